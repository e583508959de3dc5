package masticway

import (
	"slices"
	"strings"
	"time"
)

// RetryPolicy says what may be done with a request whose first run failed.
type RetryPolicy string

// The kinds of repetition that a route allows.
const (
	// RetryUnlimited marks requests that may run any number of times.
	RetryUnlimited RetryPolicy = "freely"
	// RetryNever marks requests that may run at most once.
	RetryNever RetryPolicy = "never"
	// RetryByResuming marks event streams that may go on at another server after the last event given.
	RetryByResuming RetryPolicy = "by_resuming"
)

// TrafficShare is one part of a route's traffic.
type TrafficShare struct {
	Pool   string
	Weight int
}

// Route says where requests of one host and path prefix go and what may be done with them.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Shares      []TrafficShare
	RetryPolicy RetryPolicy
	// IsStream tells that answers are event streams.
	IsStream bool
	// AllowsAnonymous routes need no caller key.
	AllowsAnonymous bool
	// MaxServers bounds the servers that one request may run on.
	MaxServers int
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to its first event, that earns full credit.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between events that is still on time; zero on routes without streams.
	MaxEventGap time.Duration
	Priority    int
	// Regions are those in which requests may run; none is any.
	Regions []string
}

// Pool is what the configuration says of one set of like servers.
type Pool struct {
	Name string
	// HealthPath answers 200 on a healthy server.
	HealthPath string
	// MaxConnections bounds a server's connections from all routers together.
	MaxConnections int
	// IsEngine tells that the servers are model engines.
	IsEngine bool
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// TokensPerEvent is the most output tokens that one event of a stream holds.
	TokensPerEvent int
	// TokenCapacity is how many tokens an engine keeps, for running requests and cached prompt parts.
	TokenCapacity int
	// RemainingWarmUp is how long a server stays slow once it is cold, and MaxColdRate how many requests a second it then bears.
	WarmUpTime  time.Duration
	MaxColdRate float64
}

// Account is a workspace as the configuration has it: its keys, its rank and the tokens paid for.
type Account struct {
	Workspace string
	Keys      []string
	Priority  int
	// HasPriority tells that Priority goes before the route's.
	HasPriority bool
	// Prepaid is the total that the workspace may consume, in tokens.
	Prepaid int64
	// HasLimit tells that Prepaid is set; workspaces without it are not limited.
	HasLimit bool
	// Regions are those in which its requests may run; none is any.
	Regions []string
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Deployment is one accepted version of a deployment's configuration; it does not change.
type Deployment struct {
	Version  int64
	Routes   []Route
	Pools    map[string]Pool
	Accounts map[string]Account
	Limits   CallerLimits
	// keys finds the workspace of a caller key.
	keys map[string]string
	// hosts holds each host's routes, longest prefix first.
	hosts map[string][]Route
}

// WithIndex returns the deployment ready for look-ups.
func (d Deployment) WithIndex() Deployment {
	d.keys = map[string]string{}
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			d.keys[k] = a.Workspace
		}
	}
	d.hosts = map[string][]Route{}
	for _, r := range d.Routes {
		d.hosts[r.Host] = append(d.hosts[r.Host], r)
	}
	for _, routes := range d.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return d
}

// Route returns the route with the longest prefix of a path, and whether there is one.
func (d Deployment) Route(host, path string) (Route, bool) {
	for _, r := range d.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Account returns the workspace that holds a caller key, and whether there is one.
func (d Deployment) Account(key string) (Account, bool) {
	workspace, ok := d.keys[key]
	if !ok {
		return Account{}, false
	}
	a, ok := d.Accounts[workspace]
	return a, ok
}

// ServerState is a server's word on whether it takes new work.
type ServerState string

// The states of a server.
const (
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// Server is one life of one upstream as it registered itself; a restart makes a new one.
type Server struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	Slots   int
	State   ServerState
	// StartedAt tells the lives of one id apart: when this one began, by its own word. It is zero where servers do not say.
	StartedAt time.Time
	// RemainingWarmUp is how much longer the server stays slow, as of its registration.
	RemainingWarmUp time.Duration
	// ColdUntil is until when a router takes the server for cold; it is zero for a warm one and no part of a registration.
	ColdUntil time.Time
}

// IsCold tells that the server is taken for cold at a time: it is slow, and too many requests would crash it.
func (s Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// PromptPart is one leading piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// OpaqueRequest is what a caller declares about a request whose bytes are not read.
type OpaqueRequest struct {
	// ID is the caller's own, one for each of its attempts.
	ID  string
	Key string
	// Metered tells that the request declares tokens.
	Metered   bool
	Prompt    int
	MaxOutput int
	Parts     []PromptPart
	// TimeLeft is how long the caller will wait; zero when it does not say.
	TimeLeft time.Duration
	// LastEvent is the id of the last event that the caller already has.
	LastEvent string
}

// Delivery is what a server is told beside the caller's own headers.
type Delivery struct {
	Server    string
	Workspace string
	TimeLeft  time.Duration
	// Urgency is 0 for the most urgent to 9.
	Urgency    int
	HasUrgency bool
	LastEvent  string
}

// RateLimit is how many requests a second a server takes from all routers together; the zero value is no limit.
type RateLimit struct {
	IsSet bool    `cbor:"1,keyasint,omitempty"`
	Rate  float64 `cbor:"2,keyasint,omitempty"`
}

// ServerAnswer is what the head of a server's answer says about its run, and of the server.
type ServerAnswer struct {
	ID string
	// Signed tells that the answer bears the server's signature.
	Signed bool
	// NotRun tells that the server certainly did not run the request.
	NotRun bool
	// IdleTimeout is how long the server keeps an idle connection; zero when it does not say.
	IdleTimeout time.Duration
	// Limit is the server's present limit, which may be none; LimitInvalid tells that what it says of it is no rate.
	Limit        RateLimit
	LimitInvalid bool
	// Draining tells that the server takes no new work in this life.
	Draining bool
	// Backoff is how long a server that turned the request away wants nothing from this router; zero when it does not say.
	Backoff time.Duration
}
