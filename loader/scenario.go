package loader

import (
	"encoding/json"
	"fmt"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/validator"
)

// Scenario is a load experiment: a fleet, its traffic and the faults.
type Scenario struct {
	Name string `json:"name"`
	Seed int64  `json:"seed"`
	// Duration is the time from the start of the load in which requests arrive.
	Duration masticway.Duration `json:"duration"`
	Regions  []Region           `json:"regions"`
	// ZoneDelay, RegionDelay and ClientDelay are one-way network delays. ZoneDelay applies between zones of a region and to
	// the platform, RegionDelay between regions, and ClientDelay to and from clients.
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
	// Router and Sidecar hold the settings that differ from the defaults.
	Router  json.RawMessage `json:"router"`
	Sidecar json.RawMessage `json:"sidecar"`
	Expect  Expect          `json:"expect"`
}

// Region is a region of the fleet.
type Region struct {
	Name    string   `json:"name"`
	Zones   []string `json:"zones"`
	Routers int      `json:"routers"`
}

// EngineGroup is a group of model engines in every region.
type EngineGroup struct {
	Model string `json:"model"`
	// Count is the number of engines in each region.
	Count int `json:"count"`
	// The other fields are as in emulator.EngineSettings and emulator.EngineFaults.
	Capacity    int                `json:"capacity"`
	PrefillTime masticway.Duration `json:"prefill_time"`
	TokenTime   masticway.Duration `json:"token_time"`
	CacheBlocks int                `json:"cache_blocks"`
	ReportLag   masticway.Duration `json:"report_lag"`
	HideCache   bool               `json:"hide_cache"`
}

// ServiceGroup is a group of plain services in every region.
type ServiceGroup struct {
	Name string `json:"name"`
	// Count is the number of services in each region.
	Count int `json:"count"`
}

// Budget is a budget with its prepaid amount at the start.
type Budget struct {
	ID      string           `json:"id"`
	Prepaid masticway.Amount `json:"prepaid"`
}

// Traffic is a stream of similar requests to a model, or to a service if Service is set.
type Traffic struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	// Rate is the mean number of requests per second, in all regions together.
	Rate    float64         `json:"rate"`
	Model   string          `json:"model"`
	Service string          `json:"service"`
	Path    string          `json:"path"`
	Class   masticway.Class `json:"class"`
	// PromptBytes is the approximate size of a prompt. Each request belongs to one of Groups groups, and the first
	// SharedBytes bytes of a prompt are equal in all requests of its group.
	PromptBytes int `json:"prompt_bytes"`
	SharedBytes int `json:"shared_bytes"`
	Groups      int `json:"groups"`
	// OutputTokens is the mean length of an answer in tokens. MaxTokens is the limit that each request sets, or zero if
	// requests set none.
	OutputTokens int  `json:"output_tokens"`
	MaxTokens    int  `json:"max_tokens"`
	Stream       bool `json:"stream"`
	// Retries is the maximum number of retries of a request.
	Retries int `json:"retries"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. "Cut" is a process that is cut off from all others, or a region that is cut off from the other
// regions and the platform. "Drained" is a graceful shutdown. FaultListHidesDraining drains a sidecar while the instance
// list is down.
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
	// At is the time from the start of the load until the fault begins.
	At masticway.Duration `json:"at"`
	// Duration is the time after At at which the fault ends. If the fault stopped a process, the process is then replaced or
	// started again. Faults of kinds that end by themselves ignore Duration.
	Duration masticway.Duration `json:"for"`
	Kind     FaultKind          `json:"kind"`
	// Target names what the fault affects: the index or a prefix of the name of a router or sidecar, or the name of a
	// region, budget or workspace.
	Target string `json:"target"`
	// Value is the delay in milliseconds for FaultTableSlow, the number of answers for FaultTableLosesAnswers and
	// FaultServiceDropsAnswers, and the amount for FaultTopUp. Other kinds ignore it.
	Value int64 `json:"value"`
}

// Expect holds upper limits for figures of the report. A zero limit is not checked. Promises are always checked.
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
