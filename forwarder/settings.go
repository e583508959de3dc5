package forwarder

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// Settings is the content of a gateway's settings file.
type Settings struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	LogLevel string `json:"log_level"`
	// LogEvery makes the router log one of every LogEvery served requests; zero logs none of them. Requests that are not served
	// are always logged.
	LogEvery         int    `json:"log_every"`
	CallerAddress    string `json:"caller_address"`
	ReadinessAddress string `json:"readiness_address"`
	MetricsAddress   string `json:"metrics_address"`
	// PeerAddress is the address at which other routers reach this one.
	PeerAddress string `json:"peer_address"`
	// PeerSeeds are addresses of routers that a new router asks for the addresses of the others. They may be outdated.
	PeerSeeds []string `json:"peer_seeds,omitempty"`
	// StoreAddress is the address of the platform's row store.
	StoreAddress string `json:"store_address"`
	// StoreMaxRowBytes is the size of the largest row that the store takes, in bytes.
	StoreMaxRowBytes int `json:"store_max_row_bytes,omitempty"`
	// Processors is how many processors the router may use; it may be a fraction.
	Processors float64 `json:"processors,omitempty"`
	// MemoryMB is the memory of the router's machine in megabytes; zero means unknown.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// LinkMbps is the capacity of the network link of the router's machine in megabits per second; zero means unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// GraceSeconds is how long the process may take to shut down.
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
	// BurstShare is the fraction of a router's reserve of a workspace that may be used early, while the store is not yet
	// considered to be out of service (see treasurer.Settings.EarlyShare).
	BurstShare float64 `json:"burst_share"`
	// Holders is how many routers hold granted tokens of a workspace whose budget is not low; zero means all routers.
	Holders int `json:"holders"`
	// RankShare is the cost of each step in a prompt's ranking of the servers, as a fraction of the time to prefill the prompt's
	// shared parts (see chooser.ServerPolicy).
	RankShare float64 `json:"rank_share"`
	// ZoneTokenCost is the cost in milliseconds of each token of an answer from another zone.
	ZoneTokenCost float64 `json:"zone_token_cost"`
	// SharedLoad says for which deployments routers share what they know of the load.
	SharedLoad SharedLoadSettings `json:"shared_load"`
}

// SharedLoadSettings says for which deployments the routers coordinate the load of engines, of availability zones and of the
// connections to plain services.
type SharedLoadSettings struct {
	// TokenGapMS is the longest pause in milliseconds that a stream may make for each token of an event, for which the routers
	// coordinate. A chunk of another request's prompt delays each token by 25 to 45 ms, so with a longer pause the load that other
	// routers cause seldom decides whether a stream meets its objective. Zero turns the coordination off.
	TokenGapMS float64 `json:"token_gap_ms"`
	// MinRouters is the least number of routers that coordinate. Fewer routers each know enough of the load by themselves. A file
	// without it gets the default of the schema.
	MinRouters int `json:"min_routers,omitempty"`
	// DivertZones makes an overloaded availability zone send its callers to other zones.
	DivertZones bool `json:"divert_zones"`
	// QueryTimeout is the longest time for which a request waits for the choice of an engine by another router. Zero means the
	// default of the coordinator.
	QueryTimeout time.Duration `json:"-"`
}

// SharesLoad reports whether routers of a deployment coordinate the load. This needs a route to engines whose streams allow at most
// TokenGapMS for each token, at least MinRouters routers, and availability zones in a single region: messages between regions
// would take longer than a better choice saves.
func (s Settings) SharesLoad(d masticway.Deployment, routers int) bool {
	p := s.Policy.SharedLoad
	if p.TokenGapMS <= 0 || routers < max(1, p.MinRouters) {
		return false
	}
	regions := map[string]bool{}
	for _, region := range s.Regions {
		regions[region] = true
	}
	return len(regions) == 1 && slices.ContainsFunc(d.Routes, func(r masticway.Route) bool {
		return slices.ContainsFunc(r.Shares, func(share masticway.TrafficShare) bool {
			pool := d.Pools[share.Pool]
			gap := r.MaxEventGap.Seconds() * 1000
			return share.Weight > 0 && pool.IsEngine && gap > 0 && gap <= p.TokenGapMS*float64(max(1, pool.TokensPerEvent))
		})
	})
}

// BudgetSettings configures how prepaid budgets are stored and held.
type BudgetSettings struct {
	// Parts is the number of partitions of the store's tables over which budgets are spread. It must be the same for all routers.
	Parts int `json:"parts"`
	// Reserve is how long the tokens that a router keeps in reserve should last at its mean demand. They last for a shorter time
	// if the budget does not allow more. The router serves requests from them while the store cannot be reached.
	Reserve masticway.Duration `json:"reserve"`
}

// RetriesSettings limits the retries of requests to a pool that all routers together make within any time window of the given
// length.
type RetriesSettings struct {
	// Ratio is the number of retries that are allowed for each request in the window.
	Ratio float64 `json:"ratio"`
	// FixedRetries is the number of retries in the window that are allowed in addition, even if there were no requests.
	FixedRetries  float64 `json:"slack"`
	WindowSeconds float64 `json:"window_seconds"`
}

// Window returns the length of the windows.
func (s RetriesSettings) Window() time.Duration {
	return time.Duration(s.WindowSeconds * float64(time.Second))
}

// ColdSettings limits the requests per second that a cold server gets from all routers together. A cold server is slow, and too
// many requests crash it (see masticway.Server.IsCold).
type ColdSettings struct {
	// Overshoot is a factor. The pool's configured rate for cold servers is multiplied by it.
	Overshoot float64 `json:"overshoot"`
	// ExtraRequests is the number of requests per second that are allowed in addition.
	ExtraRequests float64 `json:"slack"`
}

// serverPolicy returns the settings for the choice of servers.
func (s Settings) serverPolicy() chooser.ServerPolicy {
	return chooser.ServerPolicy{
		RankShare: s.Policy.RankShare, ZoneTokenCost: s.Policy.ZoneTokenCost,
		Cold: chooser.ColdRateLimit{Overshoot: s.Cold.Overshoot, Slack: s.Cold.ExtraRequests},
	}
}
