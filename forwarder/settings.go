package forwarder

import (
	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// Settings is the content of a gateway's settings file.
type Settings struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	LogLevel string `json:"log_level"`
	// LogEvery logs one in so many served requests. Requests that are not served are always logged.
	LogEvery         int    `json:"log_every"`
	CallerAddress    string `json:"caller_address"`
	ReadinessAddress string `json:"readiness_address"`
	MetricsAddress   string `json:"metrics_address"`
	// PeerAddress is the address at which other routers reach this one.
	PeerAddress string `json:"peer_address"`
	// PeerSeeds are addresses of routers that a new router asks for the others. They may be stale.
	PeerSeeds []string `json:"peer_seeds,omitempty"`
	// StoreAddress is the address of the platform's row store.
	StoreAddress string `json:"store_address"`
	// Processors is how many processors the router may use; it may be a fraction.
	Processors float64 `json:"processors,omitempty"`
	// MemoryMB is the memory of the router's machine in megabytes; zero means unknown.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// GraceSeconds is how long the process runs after it is asked to shut down.
	GraceSeconds float64         `json:"grace_seconds"`
	Budgets      BudgetSettings  `json:"money"`
	Retries      RetriesSettings `json:"retries"`
	Cold         ColdSettings    `json:"cold"`
	// Regions maps the deployment's availability zones to their regions.
	Regions map[string]string `json:"regions,omitempty"`
	Policy  PolicySettings    `json:"policy"`
}

// PolicySettings configures optional policies; zero disables a policy.
type PolicySettings struct {
	// BurstShare is the part of a budget's available tokens that a router may take in advance.
	BurstShare float64 `json:"burst_share"`
	// Holders is how many routers hold tokens of a workspace whose budget is not nearly exhausted; zero means all.
	Holders int `json:"holders"`
	// RankShare is the cost of each rank of a server, as a part of the time to read a prompt's shared parts.
	RankShare float64 `json:"rank_share"`
	// ZoneTokenCost is the cost in milliseconds of each token of an answer from another zone.
	ZoneTokenCost float64 `json:"zone_token_cost"`
}

// BudgetSettings configures how prepaid budgets are kept.
type BudgetSettings struct {
	// Parts is the number of parts of the store over which budgets are spread.
	Parts   int                `json:"parts"`
	Reserve masticway.Duration `json:"reserve"`
}

// RetriesSettings bounds the retries at a pool over all routers.
type RetriesSettings struct {
	Ratio         float64 `json:"ratio"`
	FixedRetries  float64 `json:"slack"`
	WindowSeconds float64 `json:"window_seconds"`
}

// ColdSettings bounds the requests that a cold server gets in any second, over all routers: the pool's configured rate times
// Overshoot, plus Slack.
type ColdSettings struct {
	Overshoot     float64 `json:"overshoot"`
	ExtraRequests float64 `json:"slack"`
}

// serverPolicy returns the settings for the choice of servers.
func (s Settings) serverPolicy() chooser.ServerPolicy {
	return chooser.ServerPolicy{
		RankShare: s.Policy.RankShare, ZoneTokenCost: s.Policy.ZoneTokenCost,
		Cold: chooser.ColdRateLimit{Overshoot: s.Cold.Overshoot, Slack: s.Cold.ExtraRequests},
	}
}
