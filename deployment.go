package masticway

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// RetryPolicy specifies how a request may be retried after a failed attempt.
type RetryPolicy string

// The retry policies of a route.
const (
	// RetryUnlimited is for requests that may run any number of times.
	RetryUnlimited RetryPolicy = "freely"
	// RetryNever is for requests that may run at most once.
	RetryNever RetryPolicy = "never"
	// RetryByResuming is for event streams. If a server fails, another one may continue the stream after the last event that the
	// caller has received.
	RetryByResuming RetryPolicy = "by_resuming"
)

// TrafficShare determines the share of a route's traffic that goes to one pool: Weight divided by the sum of the weights of all
// shares of the route.
type TrafficShare struct {
	Pool   string
	Weight int
}

// Route specifies where requests for one host and path prefix are sent and how they are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Shares      []TrafficShare
	RetryPolicy RetryPolicy
	// IsStream is set if answers are event streams.
	IsStream bool
	// AllowsAnonymous is set if requests need no caller key.
	AllowsAnonymous bool
	// MaxServers is the maximum number of servers that one request may run on.
	MaxServers int
	// Timeout is the timeout of a request whose caller declares none or a longer one. If it is zero, the caller's applies or else
	// a default.
	Timeout time.Duration
	// LatencyObjective is the longest time to the answer, or on event streams to its first event, that meets the objective.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between two events of a stream that meets the objective.
	MaxEventGap time.Duration
	// Priority is the urgency of the requests; zero is the most urgent.
	Priority int
	// Regions are the regions in which requests may run; if empty, they may run in any.
	Regions []string
}

// Pool is the configuration of a set of equivalent servers.
type Pool struct {
	Name string
	// HealthPath is the path of the health check, which a healthy server answers with status 200.
	HealthPath string
	// MaxConnections is the maximum number of connections to one server from all routers together.
	MaxConnections int
	// IsEngine is set if the servers are model engines.
	IsEngine bool
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// TokensPerEvent is the maximum number of output tokens in one event of a stream.
	TokensPerEvent int
	// TokenCapacity is the number of tokens that an engine can hold for running requests and cached prompt parts.
	TokenCapacity int
	// MaxReservation is the longest time for which an engine reserves capacity for a request. It is zero if the servers reserve none.
	MaxReservation time.Duration
	// WarmUpTime is how long a server stays slow after it becomes cold, for example by a restart. MaxColdRate is the maximum
	// number of requests per second that a cold server can handle.
	WarmUpTime  time.Duration
	MaxColdRate float64
}

// Account is the configuration of a workspace: its keys, its priority and its prepaid tokens.
type Account struct {
	Workspace string
	// Keys are the keys, in plain text, with which the workspace's callers authenticate themselves.
	Keys     []string
	Priority int
	// HasPriority is set if Priority overrides the priority of the route. Zero is the most urgent priority.
	HasPriority bool
	// Prepaid is the total number of tokens that the workspace may consume.
	Prepaid int64
	// HasLimit is set if Prepaid applies; otherwise the workspace may consume any number of tokens.
	HasLimit bool
	// Regions are the regions in which its requests may run; if empty, they may run in any.
	Regions []string
}

// CallerLimits are the limits on callers' requests and connections that a deployment declares. Gateways enforce only
// MaxBodyBytes; their other limits are constants.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Deployment is one accepted version of a deployment's configuration. It is immutable.
type Deployment struct {
	Version  int64
	Routes   []Route
	Pools    map[string]Pool
	Accounts map[string]Account
	Limits   CallerLimits
	// keys maps caller keys to workspaces.
	keys map[string]string
	// hosts maps each host to its routes, longest prefix first.
	hosts map[string][]Route
}

// WithIndex returns the deployment with the indexes that Route and Account use.
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

// Route returns the host's route with the longest matching path prefix, and whether there is one.
func (d Deployment) Route(host, path string) (Route, bool) {
	for _, r := range d.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Account returns the account of the workspace that a caller key belongs to, and whether there is one.
func (d Deployment) Account(key string) (Account, bool) {
	workspace, ok := d.keys[key]
	if !ok {
		return Account{}, false
	}
	a, ok := d.Accounts[workspace]
	return a, ok
}

// ServerState is the state that a server reports: whether it accepts new requests.
type ServerState string

// The states of a server.
const (
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// Server is one incarnation of an upstream as it registered itself. A restart creates a new incarnation.
type Server struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	// Version is the version of the server's software. What servers of different versions write does not fit into one stream. It is
	// empty if the server reports none.
	Version string
	Slots   int
	State   ServerState
	// StartedAt is the start time that the server reports, which distinguishes the incarnations with one ID. It is zero if the
	// server reports none.
	StartedAt time.Time
	// RemainingWarmUp is how much longer the server stays slow, as of its registration.
	RemainingWarmUp time.Duration
	// ColdUntil is the time until which a router considers the server cold. It is zero if the server is warm, and it is not part
	// of the registration.
	ColdUntil time.Time
}

// IsCold reports whether the server is considered cold at a time. A cold server is slow, and too many requests crash it.
func (s Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// PromptPart is one of the leading parts of a prompt. Other requests may share it, so a server may have it in its cache. ID
// identifies its content, and Tokens is its length.
type PromptPart struct {
	ID     string `cbor:"1,keyasint,omitempty"`
	Tokens int    `cbor:"2,keyasint,omitempty"`
}

// OpaqueRequest is what a caller declares in headers about a request whose body is not parsed.
type OpaqueRequest struct {
	// ID is assigned by the caller and is unique for each of its attempts.
	ID  string
	Key string
	// Metered is set if the request declares its tokens: the number of prompt tokens in Prompt and the maximum number of output
	// tokens in MaxOutput.
	Metered   bool
	Prompt    int
	MaxOutput int
	Parts     []PromptPart
	// TimeLeft is how long the caller will wait; it is zero if the caller does not declare it.
	TimeLeft time.Duration
	// LastEvent is the ID of the last event that the caller has received.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this request resumes.
	Resumes string
}

// Delivery is the information that is sent to a server in addition to the caller's headers.
type Delivery struct {
	Server    string
	Workspace string
	TimeLeft  time.Duration
	// Urgency ranges from 0, the most urgent, to 9. It is sent if HasUrgency is set.
	Urgency    int
	HasUrgency bool
	LastEvent  string
	// Reservation is the reservation of capacity that the request uses; it is empty if there is none.
	Reservation string
}

// ServerCall is a call to a server that is no request of a caller.
type ServerCall struct {
	Method, Target string
	Header         http.Header
	Body           []byte
}

// RateLimit is the number of requests per second that a server accepts from all routers together. The zero value is no limit.
type RateLimit struct {
	IsSet bool    `cbor:"1,keyasint,omitempty"`
	Rate  float64 `cbor:"2,keyasint,omitempty"`
}

// ServerAnswer is what the status and headers of a server's answer say about the request and about the server.
type ServerAnswer struct {
	ID string
	// Signed is set if the answer has the server's signature header.
	Signed bool
	// NotRun is set if the server certainly did not run the request.
	NotRun bool
	// IdleTimeout is how long the server keeps an idle connection; it is zero if the server does not report it.
	IdleTimeout time.Duration
	// Limit is the server's current rate limit, if it has one. LimitInvalid is set if the reported limit cannot be parsed.
	Limit        RateLimit
	LimitInvalid bool
	// Draining is set if this incarnation of the server accepts no new requests.
	Draining bool
	// Backoff is how long a server that refused the request wants no requests from this router. It is zero if the server does not
	// report it.
	Backoff time.Duration
}
