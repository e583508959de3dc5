package router

import (
	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/retrier"
)

// Settings holds the contents of a router's settings file.
type Settings struct {
	masticway.ProcessSettings
	CallerAddress  string `json:"caller_address"`
	AdminAddress   string `json:"admin_address"`
	LinkAddress    string `json:"link_address"`
	AdminTokenFile string `json:"admin_token_file"`
	// Lease is the time in which the crash of a router is detected. A router must answer a challenge, another router's question
	// whether it is still up, within half of this time. Heartbeat is the interval at which a router writes its lease row.
	Lease     masticway.Duration `json:"lease"`
	Heartbeat masticway.Duration `json:"heartbeat"`
	// Poll is the interval at which a router reads the newest revision of the configuration and the instance list.
	Poll masticway.Duration `json:"poll"`
	// StaleAfter is the maximum age of the configuration. The age is the time since the applied revision was last known to be the
	// newest. At a higher age, callers' requests are refused. Zero means no limit.
	StaleAfter masticway.Duration `json:"stale_after"`
	// LinksPerPool is the number of sidecars that a router chooses for its links in each pool. A pool is the upstreams of one
	// model or service.
	LinksPerPool int `json:"links_per_pool"`
	// SuspectAfter is how long a process may be silent, sending no message, before routers stop using it. A silent sidecar gets
	// no new work. A silent router is not the keeper of any budget.
	SuspectAfter masticway.Duration `json:"suspect_after"`
	// LostAfter is how long a router tries to ask a sidecar for a run before the run's fate counts as unknown. It is also how
	// long a starting router waits for its peers.
	LostAfter masticway.Duration `json:"lost_after"`
	// AcceptTimeout is how long a router waits for a sidecar to accept a run before it asks whether the sidecar has the run.
	AcceptTimeout masticway.Duration `json:"accept_timeout"`
	// BodyLimit is the maximum size of a caller's request body in bytes.
	BodyLimit int64   `json:"body_limit"`
	Money     Money   `json:"money"`
	Routing   Routing `json:"routing"`
	Retry     Retry   `json:"retry"`
	Queue     Queue   `json:"queue"`
}

// Money holds the settings for drawing and holding money.
type Money struct {
	Policy keeper.Policy `json:"policy"`
	// Slices is the number of routers that share a budget under keeper.PolicySlice, where each router draws one fixed share.
	Slices int `json:"slices"`
	// IdleAfter is the time without hold requests for a budget after which a router returns its free money of the budget. While
	// holds are open, it returns only what exceeds the forecast demand.
	IdleAfter masticway.Duration `json:"idle_after"`
	// ExactCount is set if a router asks an engine to count a prompt's tokens before it refuses the request for lack of money.
	// Otherwise it uses only an upper bound of the number.
	ExactCount bool `json:"exact_count"`
	// Keepers is set if each budget has one router, its keeper, that draws the money for all routers of the region. Otherwise
	// each router draws money for itself.
	Keepers bool `json:"keepers"`
}

// Routing holds the settings for choosing upstreams.
type Routing struct {
	Policy chooser.Policy `json:"policy"`
}

// Retry holds the settings for retries after a failed attempt.
type Retry struct {
	Policy retrier.Policy `json:"policy"`
	// Limit is the maximum number of retries of a request that count (retrier.ActionRetryCounted).
	Limit int `json:"limit"`
}

// Queue holds the settings of the queue in which requests wait for slots at upstreams.
type Queue struct {
	// PerClass is the maximum number of requests that wait in the queue per pool and class. PerWorkspace is the maximum per pool,
	// class and workspace.
	PerClass     int `json:"per_class"`
	PerWorkspace int `json:"per_workspace"`
	// InteractiveBurst is how many interactive requests of a pool leave the queue in a row while a batch request waits. Then the
	// batch request leaves it.
	InteractiveBurst int `json:"interactive_burst"`
	// InteractiveWait and BatchWait are how long a request of each class may wait for a slot at an upstream.
	InteractiveWait masticway.Duration `json:"interactive_wait"`
	BatchWait       masticway.Duration `json:"batch_wait"`
	// Overcommit is the maximum number of requests that one router may have in flight at an upstream, as a multiple of its
	// capacity.
	Overcommit float64 `json:"overcommit"`
}
