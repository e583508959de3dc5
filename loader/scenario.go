package loader

import (
	"encoding/json"
	"fmt"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/validator"
)

// Scenario is a load experiment: a fleet, its traffic and the faults.
type Scenario struct {
	Name        string             `json:"name"`
	Seed        int64              `json:"seed"`
	Duration    masticway.Duration `json:"duration"`
	Regions     []Region           `json:"regions"`
	ZoneDelay   masticway.Duration `json:"zone_delay"`
	RegionDelay masticway.Duration `json:"region_delay"`
	ClientDelay masticway.Duration `json:"client_delay"`
	Engines     []EngineGroup      `json:"engines"`
	Services    []ServiceGroup     `json:"services"`
	Catalog     json.RawMessage    `json:"catalog"`
	Contracts   []json.RawMessage  `json:"contracts"`
	Budgets     []Budget           `json:"budgets"`
	Traffic     []Traffic          `json:"traffic"`
	Faults      []Fault            `json:"faults"`
	Router      json.RawMessage    `json:"router"`
	Sidecar     json.RawMessage    `json:"sidecar"`
	Expect      Expect             `json:"expect"`
}

// Region is a region of the fleet.
type Region struct {
	Name    string   `json:"name"`
	Zones   []string `json:"zones"`
	Routers int      `json:"routers"`
}

// EngineGroup is a group of model engines in every region.
type EngineGroup struct {
	Model       string             `json:"model"`
	Count       int                `json:"count"`
	Capacity    int                `json:"capacity"`
	PrefillTime masticway.Duration `json:"prefill_time"`
	TokenTime   masticway.Duration `json:"token_time"`
	CacheBlocks int                `json:"cache_blocks"`
	ReportLag   masticway.Duration `json:"report_lag"`
	HideCache   bool               `json:"hide_cache"`
}

// ServiceGroup is a group of plain services in every region.
type ServiceGroup struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Budget is a budget with its prepaid amount at the start.
type Budget struct {
	ID      string           `json:"id"`
	Prepaid masticway.Amount `json:"prepaid"`
}

// Traffic is a stream of similar requests.
type Traffic struct {
	Name         string          `json:"name"`
	Workspace    string          `json:"workspace"`
	Rate         float64         `json:"rate"`
	Model        string          `json:"model"`
	Service      string          `json:"service"`
	Path         string          `json:"path"`
	Class        masticway.Class `json:"class"`
	PromptBytes  int             `json:"prompt_bytes"`
	SharedBytes  int             `json:"shared_bytes"`
	Groups       int             `json:"groups"`
	OutputTokens int             `json:"output_tokens"`
	MaxTokens    int             `json:"max_tokens"`
	Stream       bool            `json:"stream"`
	Retries      int             `json:"retries"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultTableDown           FaultKind = "table_down"
	FaultTableSlow           FaultKind = "table_slow"
	FaultTableLosesAnswers   FaultKind = "table_loses_answers"
	FaultObjectsDown         FaultKind = "objects_down"
	FaultInstancesDown       FaultKind = "instances_down"
	FaultRouterKilled        FaultKind = "router_killed"
	FaultRouterCut           FaultKind = "router_cut"
	FaultRouterDrained       FaultKind = "router_drained"
	FaultSidecarKilled       FaultKind = "sidecar_killed"
	FaultSidecarDrained      FaultKind = "sidecar_drained"
	FaultSidecarCut          FaultKind = "sidecar_cut"
	FaultEngineDown          FaultKind = "engine_down"
	FaultEngineStalled       FaultKind = "engine_stalled"
	FaultServiceDropsAnswers FaultKind = "service_drops_answers"
	FaultRegionCut           FaultKind = "region_cut"
	FaultTopUp               FaultKind = "top_up"
	FaultConfigChange        FaultKind = "config_change"
	FaultListHidesDraining   FaultKind = "list_hides_leaving"
)

// Fault is a failure, or an action of an operator, during the load.
type Fault struct {
	At       masticway.Duration `json:"at"`
	Duration masticway.Duration `json:"for"`
	Kind     FaultKind          `json:"kind"`
	Target   string             `json:"target"`
	Value    int64              `json:"value"`
}

// Expect has upper limits of figures, beside the promises; a figure without limit (zero) is only reported.
type Expect struct {
	FalseRefusalShare float64 `json:"false_refusal_share"`
	FailedShare       float64 `json:"failed_share"`
}

// Parse decodes a scenario and validates it, its catalog and its contracts.
func Parse(data []byte) (Scenario, error) {
	s, err := validator.Decode[Scenario](validator.KindScenario, data)
	if err != nil {
		return s, err
	}
	if _, err := s.catalog(); err != nil {
		return s, err
	}
	_, err = s.contracts()
	return s, err
}

func (s Scenario) catalog() (masticway.Catalog, error) {
	c, err := validator.Decode[masticway.Catalog](validator.KindCatalog, s.Catalog)
	if err != nil {
		return c, fmt.Errorf("catalog of scenario %s: %w", s.Name, err)
	}
	return c, nil
}

func (s Scenario) contracts() ([]masticway.Contract, error) {
	list := make([]masticway.Contract, 0, len(s.Contracts))
	for _, data := range s.Contracts {
		c, err := validator.Decode[masticway.Contract](validator.KindContract, data)
		if err != nil {
			return nil, fmt.Errorf("contract of scenario %s: %w", s.Name, err)
		}
		list = append(list, c)
	}
	return list, nil
}
