package router

import (
	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/retrier"
)

// Settings holds a router's settings file.
type Settings struct {
	masticway.ProcessSettings
	CallerAddress  string `json:"caller_address"`
	AdminAddress   string `json:"admin_address"`
	LinkAddress    string `json:"link_address"`
	AdminTokenFile string `json:"admin_token_file"`
	// Lease is the time within which a crash of a router is detected, and within half of which a router must answer a challenge.
	// Heartbeat is the interval at which a router writes its lease row.
	Lease     masticway.Duration `json:"lease"`
	Heartbeat masticway.Duration `json:"heartbeat"`
	// Poll is the interval at which the configuration's head and the instance list are read.
	Poll masticway.Duration `json:"poll"`
	// StaleAfter is the time since the configuration was last confirmed after which requests are refused; zero is no limit.
	StaleAfter masticway.Duration `json:"stale_after"`
	// LinksPerPool is the maximum number of sidecars to which a router links for each pool, a model or a service.
	LinksPerPool int `json:"links_per_pool"`
	// SuspectAfter is the silence after which a sidecar gets no new work and a router is not the keeper of budgets.
	SuspectAfter masticway.Duration `json:"suspect_after"`
	// LostAfter is how long a router tries to reach a silent sidecar before the fate of a run there counts as unknown, and how long
	// a starting router waits for its peers.
	LostAfter masticway.Duration `json:"lost_after"`
	// AcceptTimeout is how long a router waits for a sidecar to accept a run before it queries the run's fate.
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
	// Slices is the number of routers that share a budget under the slice policy.
	Slices int `json:"slices"`
	// IdleAfter is the time without hold requests after which a budget's money is returned.
	IdleAfter masticway.Duration `json:"idle_after"`
	// ExactCount is set if the engine counts the tokens of a prompt before a request is refused for lack of money.
	ExactCount bool `json:"exact_count"`
	// Keepers is set if one router of the region holds the money of each budget. Otherwise each router draws for itself.
	Keepers bool `json:"keepers"`
}

// Routing holds the settings for choosing upstreams.
type Routing struct {
	Policy chooser.Policy `json:"policy"`
}

// Retry holds the settings for retries after a failed attempt.
type Retry struct {
	Policy retrier.Policy `json:"policy"`
	// Limit is the maximum number of counted retries of a request.
	Limit int `json:"limit"`
}

// Queue holds the settings of the queue for upstreams.
type Queue struct {
	// PerClass is the maximum number of requests of one class that wait for one pool, and PerWorkspace that of those from one
	// workspace.
	PerClass     int `json:"per_class"`
	PerWorkspace int `json:"per_workspace"`
	// InteractiveBurst is the number of interactive requests that go before one waiting batch request.
	InteractiveBurst int `json:"interactive_burst"`
	// InteractiveWait and BatchWait are the maximum waits of a request of each class.
	InteractiveWait masticway.Duration `json:"interactive_wait"`
	BatchWait       masticway.Duration `json:"batch_wait"`
	// Overcommit times an upstream's capacity is the maximum number of requests that one router may have in flight there.
	Overcommit float64 `json:"overcommit"`
}
