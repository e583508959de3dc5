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
	CallerAddress  string             `json:"caller_address"`
	AdminAddress   string             `json:"admin_address"`
	LinkAddress    string             `json:"link_address"`
	AdminTokenFile string             `json:"admin_token_file"`
	Lease          masticway.Duration `json:"lease"`
	Heartbeat      masticway.Duration `json:"heartbeat"`
	Poll           masticway.Duration `json:"poll"`
	StaleAfter     masticway.Duration `json:"stale_after"`
	LinksPerPool   int                `json:"links_per_pool"`
	SuspectAfter   masticway.Duration `json:"suspect_after"`
	LostAfter      masticway.Duration `json:"lost_after"`
	AcceptTimeout  masticway.Duration `json:"accept_timeout"`
	BodyLimit      int64              `json:"body_limit"`
	Money          Money              `json:"money"`
	Routing        Routing            `json:"routing"`
	Retry          Retry              `json:"retry"`
	Queue          Queue              `json:"queue"`
}

// Money holds the settings for drawing and holding money.
type Money struct {
	Policy     keeper.Policy      `json:"policy"`
	Slices     int                `json:"slices"`
	IdleAfter  masticway.Duration `json:"idle_after"`
	ExactCount bool               `json:"exact_count"`
	Keepers    bool               `json:"keepers"`
}

// Routing holds the settings for choosing upstreams.
type Routing struct {
	Policy chooser.Policy `json:"policy"`
}

// Retry holds the settings for retries after a failed attempt.
type Retry struct {
	Policy retrier.Policy `json:"policy"`
	Limit  int            `json:"limit"`
}

// Queue holds the settings of the queue for upstreams.
type Queue struct {
	PerClass         int                `json:"per_class"`
	PerWorkspace     int                `json:"per_workspace"`
	InteractiveBurst int                `json:"interactive_burst"`
	InteractiveWait  masticway.Duration `json:"interactive_wait"`
	BatchWait        masticway.Duration `json:"batch_wait"`
	Overcommit       float64            `json:"overcommit"`
}
