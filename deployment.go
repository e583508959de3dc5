package masticway

import (
	"slices"
	"strings"
	"time"
)

// Repeat says what may be done with a request whose first run failed.
type Repeat string

// The kinds of repetition that a route allows.
const (
	// RepeatFreely marks requests that may run any number of times.
	RepeatFreely Repeat = "freely"
	// RepeatNever marks requests that may run at most once.
	RepeatNever Repeat = "never"
	// RepeatByResuming marks event streams that may go on at another server after the last event given.
	RepeatByResuming Repeat = "by_resuming"
)

// Share is one part of a route's traffic.
type Share struct {
	Pool   string
	Weight int
}

// Route says where requests of one host and path prefix go and what may be done with them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Shares []Share
	Repeat Repeat
	// Stream tells that answers are event streams.
	Stream bool
	// Anonymous routes need no caller key.
	Anonymous bool
	// MaxServers bounds the servers that one request may run on.
	MaxServers int
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to its first event, that earns full credit.
	Target time.Duration
	// EventGap is the longest pause between events that is still on time; zero on routes without streams.
	EventGap time.Duration
	Priority int
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
	// Engine tells that the servers are model engines.
	Engine bool
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// TokensPerEvent is the most output tokens that one event of a stream holds.
	TokensPerEvent int
	// Memory is how many tokens an engine keeps, for running requests and cached prompt parts.
	Memory int
	// ColdFor is how long a server stays slow once it is cold, and ColdRate how many requests a second it then bears.
	ColdFor  time.Duration
	ColdRate float64
}

// Account is a workspace as the configuration has it: its keys, its rank and the tokens paid for.
type Account struct {
	Workspace string
	Keys      []string
	Priority  int
	// Ranked tells that Priority goes before the route's.
	Ranked bool
	// Prepaid is the total that the workspace may consume, in tokens.
	Prepaid int64
	// Metered tells that Prepaid is set; workspaces without it are not limited.
	Metered bool
	// Regions are those in which its requests may run; none is any.
	Regions []string
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
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
	// Born tells the lives of one id apart: when this one began, by its own word. It is zero where servers do not say.
	Born time.Time
	// ColdFor is how much longer the server stays slow, as of its registration.
	ColdFor time.Duration
	// ColdUntil is until when a router takes the server for cold; it is zero for a warm one and no part of a registration.
	ColdUntil time.Time
}

// Cold tells that the server is taken for cold at a time: it is slow, and too many requests would crash it.
func (s Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

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
	Urgency   int
	HasRank   bool
	LastEvent string
}

// RequestLimit is how many requests a second a server takes from all routers together; the zero value is no limit.
type RequestLimit struct {
	Named bool    `cbor:"1,keyasint,omitempty"`
	Rate  float64 `cbor:"2,keyasint,omitempty"`
}

// ServerAnswer is what the head of a server's answer says about its run, and of the server.
type ServerAnswer struct {
	ID string
	// Signed tells that the answer bears the server's signature.
	Signed bool
	// NotRun tells that the server certainly did not run the request.
	NotRun bool
	// KeepIdle is how long the server keeps an idle connection; zero when it does not say.
	KeepIdle time.Duration
	// Limit is the server's present limit, which may be none; LimitUnreadable tells that what it says of it is no rate.
	Limit           RequestLimit
	LimitUnreadable bool
	// Leaving tells that the server takes no new work in this life.
	Leaving bool
	// RestFor is how long a server that turned the request away wants nothing from this router; zero when it does not say.
	RestFor time.Duration
}
