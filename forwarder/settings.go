package forwarder

import (
	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// Settings are a gateway's settings file.
type Settings struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	LogLevel string `json:"log_level"`
	// LogEvery writes every so-manieth line on requests that were served; those that were not are all written.
	LogEvery         int    `json:"log_every"`
	CallerAddress    string `json:"caller_address"`
	ReadinessAddress string `json:"readiness_address"`
	MetricsAddress   string `json:"metrics_address"`
	// PeerAddress is where other routers reach this one.
	PeerAddress string `json:"peer_address"`
	// PeerSeeds are addresses of some routers, which a new one asks before it knows of others; they may be stale.
	PeerSeeds []string `json:"peer_seeds,omitempty"`
	// StoreAddress is the platform's row store.
	StoreAddress string `json:"store_address"`
	// Processors is how many processors the router may use, which may be a part of one.
	Processors float64 `json:"processors,omitempty"`
	// MemoryMB is the memory of the router's machine in megabytes, zero when it is not known.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// GraceSeconds is how long the process lives after it was told to end.
	GraceSeconds float64         `json:"grace_seconds"`
	Money        MoneySettings   `json:"money"`
	Retries      RetriesSettings `json:"retries"`
	Cold         ColdSettings    `json:"cold"`
	// Regions are those of the deployment's availability zones, by zone.
	Regions map[string]string `json:"regions,omitempty"`
	Policy  PolicySettings    `json:"policy"`
}

// PolicySettings turn mechanisms of policy on and off; zero is off.
type PolicySettings struct {
	// BurstShare is the part of what is in hand of a budget that a book lets its router take ahead.
	BurstShare float64 `json:"burst_share"`
	// Holders is how many routers hold money of a workspace that is not thin; zero is all.
	Holders int `json:"holders"`
	// RankShare is the part of the time for reading a prompt's shared parts that a rank costs.
	RankShare float64 `json:"rank_share"`
	// ZoneTokenCost is the milliseconds that each token of an answer from another zone may cost.
	ZoneTokenCost float64 `json:"zone_token_cost"`
}

// MoneySettings say how prepaid budgets are kept.
type MoneySettings struct {
	// Parts is the number of parts over which budgets are spread in the store.
	Parts   int                `json:"parts"`
	Reserve masticway.Duration `json:"reserve"`
}

// RetriesSettings bound the arrivals at a pool beyond the first of each request, over all routers.
type RetriesSettings struct {
	Ratio         float64 `json:"ratio"`
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"window_seconds"`
}

// ColdSettings bound the requests that a cold server gets in any second, over all routers: the rate that the configuration
// names for its pool times Overshoot, and Slack beside.
type ColdSettings struct {
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`
}

// serverPolicy is the part of the settings on where requests go.
func (s Settings) serverPolicy() chooser.ServerPolicy {
	return chooser.ServerPolicy{
		RankShare: s.Policy.RankShare, ZoneTokenCost: s.Policy.ZoneTokenCost,
		Cold: chooser.ColdBound{Overshoot: s.Cold.Overshoot, Slack: s.Cold.Slack},
	}
}
