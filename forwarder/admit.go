package forwarder

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/follower"
)

const (
	// retryAfterReconnect is the retry hint of a router that is draining or overloaded. The caller can retry soon, because its
	// next connection should reach another router.
	retryAfterReconnect = 50 * time.Millisecond
	// defaultMaxBodyBytes is the maximum size of a request body if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout is the timeout of a request for which the caller and the route set none.
	defaultTimeout = 30 * time.Second
	// maxRank is the highest rank that servers support, which is the least urgent.
	maxRank = 9
)

// Codes of refusals; docs/OPERATIONS.md explains how an operator handles each.
const (
	codeNotReady              = "not_ready"
	codeMalformed             = "malformed"
	codeNoRoute               = "no_route"
	codeBadKey                = "bad_key"
	codeTooLarge              = "body_too_large"
	codeBodyUnreadable        = "body_unreadable"
	codeExhausted             = "budget_exhausted"
	codeUnreachable           = "budget_unreachable"
	codeNoServer              = "no_server"
	codeStreamUnknown         = "stream_version_unknown"
	codeStreamVersionGone     = "stream_version_gone"
	codeServersFull           = "servers_full"
	codeServersCold           = "servers_cold"
	codeServersLimited        = "servers_limited"
	codeServersBackingOff     = "servers_resting"
	codeRequestCrashesServers = "request_ends_servers"
	codePartCrashesServers    = "prompt_part_ends_servers"
	codeSuspectWaiting        = "request_under_examination"
	codeFailed                = "server_failed"
	codeUnknown               = "outcome_unknown"
	codeTimeout               = "timeout"
	codeNotInTime             = "not_in_time"
	codeShuttingDown          = "shutting_down"
	codeOverloaded            = "router_overloaded"
	codeCallerLeft            = "caller_left"
)

// request is a caller's request. It does not change after its admission.
type request struct {
	masticway.OpaqueRequest
	route                masticway.Route
	pool                 masticway.Pool
	account              masticway.Account
	configurationVersion int64
	method               string
	protocol             string
	target               string
	host                 string
	header               http.Header
	body                 []byte
	prompt               chooser.Prompt
	// arrivedAt is when the request arrived, and readAt when the router had read its head. All times of the request count from its
	// arrival: a router that had to wait for a processor reads requests late.
	arrivedAt, readAt time.Time
	deadline          time.Time
}

// hasBudget reports whether the request consumes a prepaid budget: it declares its tokens, and its workspace has a budget.
func (q request) hasBudget() bool { return q.Metered && q.account.HasLimit }

// rank returns the request's urgency from 0, the most urgent, to maxRank. The workspace's priority, if it has one, takes
// precedence over the route's.
func (q request) rank() int {
	if q.account.HasPriority {
		return min(maxRank, max(0, q.account.Priority))
	}
	return min(maxRank, max(0, q.route.Priority))
}

// path returns the path without the query, which may hold the caller's private data.
func (q request) path() string {
	path, _, _ := strings.Cut(q.target, "?")
	return path
}

// refusal returns a refusal of a request that did not run. The caller may retry after the wait; zero means no retry hint.
func refusal(status int, code, message string, wait time.Duration) *masticway.RefusalError {
	return &masticway.RefusalError{Status: status, Code: code, Message: message, Fate: masticway.FateNotRun, RetryAfter: wait}
}

// admit checks a request, reserves capacity of the router for it and reads its body, or returns a refusal. It always returns the
// exchange, which the log needs; the caller must call release on it.
func (f *Forwarder) admit(w http.ResponseWriter, r *http.Request) (*exchange, *masticway.RefusalError) {
	x := &exchange{f: f, w: w, caller: masticway.CallerConnectionOf(r.Context()), state: deliveryChart.Initial(), fate: masticway.FateNotRun, tried: map[string]bool{}}
	x.q = request{method: r.Method, protocol: r.Proto, target: r.RequestURI, host: r.Host, header: r.Header, readAt: f.clock.Now()}
	x.q.arrivedAt = x.q.readAt
	if at := x.caller.ArrivedAt(); !at.IsZero() {
		x.q.arrivedAt = at
	}
	x.q.deadline = x.q.arrivedAt.Add(defaultTimeout)
	snapshot := f.snapshot()
	head, err := f.codec.ParseRequest(r.Header)
	x.q.OpaqueRequest = head
	switch {
	case !snapshot.ConfigurationLoaded:
		return x, refusal(http.StatusServiceUnavailable, codeNotReady, "no configuration is known yet", retryAfterDefault)
	case err != nil:
		return x, refusal(http.StatusBadRequest, codeMalformed, err.Error(), 0)
	}
	if refused := x.resolveRoute(snapshot, r); refused != nil {
		return x, refused
	}
	if refused := x.checkDrain(); refused != nil {
		return x, refused
	}
	if refused := x.admitLoad(r, snapshot.Deployment.Limits); refused != nil {
		return x, refused
	}
	if refused := x.readBody(w, r, snapshot.Deployment.Limits); refused != nil {
		return x, refused
	}
	// Reading the body may have taken long.
	return x, x.checkDrain()
}

// checkDrain returns a refusal if the shutdown of this router is likely to cut off the request.
func (x *exchange) checkDrain() *masticway.RefusalError {
	if !x.f.drainState.Load().refuses(x, x.f.clock.Now()) {
		return nil
	}
	return refusal(http.StatusServiceUnavailable, codeShuttingDown, errOutlastsRouter.Error(), retryAfterReconnect)
}

// admitLoad reserves capacity of the router for the request, or refuses it. It must be called before the body is read: reading
// takes capacity of the link to the callers, which may be saturated.
func (x *exchange) admitLoad(r *http.Request, limits masticway.CallerLimits) *masticway.RefusalError {
	bytes := r.ContentLength
	if bytes < 0 {
		// The length is unknown, so assume the largest that is allowed.
		bytes = maxBodyBytes(limits)
	}
	if x.f.rotation.Admit(x.q.rank(), bytes) {
		x.awaitingAnswer.Store(true)
		x.admitted, x.admittedBytes = true, bytes
		return nil
	}
	return refusal(http.StatusServiceUnavailable, codeOverloaded, "this router has more to carry than it can", retryAfterReconnect)
}

// markAnswered reports to the rotation that an admitted request no longer waits for its answer. Only the first call has an
// effect.
func (x *exchange) markAnswered() {
	if x.awaitingAnswer.Swap(false) {
		x.f.rotation.MarkAnswered()
	}
}

// release marks the request as answered and releases the capacity that admitLoad reserved, if any.
func (x *exchange) release() {
	x.markAnswered()
	if x.admitted {
		x.f.rotation.Release(x.admittedBytes)
	}
}

// maxBodyBytes returns the largest allowed size of a body.
func maxBodyBytes(limits masticway.CallerLimits) int64 {
	if limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return limits.MaxBodyBytes
}

// resolveRoute sets the route, the workspace, the pool and the deadline of the request. It refuses a request that no route
// matches. It also refuses one without a valid key, unless the route allows anonymous callers.
func (x *exchange) resolveRoute(snapshot follower.Snapshot, r *http.Request) *masticway.RefusalError {
	d := snapshot.Deployment
	x.q.configurationVersion = d.Version
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route, ok := d.Route(host, x.q.path())
	if !ok {
		return refusal(http.StatusNotFound, codeNoRoute, "no route has this host and path", 0)
	}
	x.q.route = route
	if !route.AllowsAnonymous {
		if x.q.account, ok = d.Account(x.q.Key); !ok {
			return refusal(http.StatusUnauthorized, codeBadKey, "the key is missing or unknown", 0)
		}
	}
	x.q.pool = d.Pools[pickPool(route.Shares, cmp.Or(x.q.streamAttempt(), x.q.ID))]
	x.q.prompt = chooser.Prompt{Tokens: x.q.Prompt, Output: x.q.MaxOutput, Parts: x.q.Parts, Zone: x.f.settings.Zone}
	x.setDeadline()
	return nil
}

// pickPool chooses a pool in proportion to the weights. For the same request ID and shares it always returns the same pool. It
// returns an empty name if no pool has any weight.
func pickPool(shares []masticway.TrafficShare, id string) string {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range shares {
		if point < s.Weight {
			return s.Pool
		}
		point -= s.Weight
	}
	return ""
}

// setDeadline applies the caller's time limit or the route's timeout, whichever is shorter. If both are missing, the deadline
// that admit has set stays.
func (x *exchange) setDeadline() {
	left := x.q.TimeLeft
	if t := x.q.route.Timeout; t > 0 && (left <= 0 || t < left) {
		left = t
	}
	if left > 0 {
		x.q.deadline = x.q.arrivedAt.Add(left)
	}
}

// readBody reads the whole body, so that it can be sent more than once. It refuses the request if the body is too large, cannot be
// read to its end, or has not come by the request's deadline.
func (x *exchange) readBody(w http.ResponseWriter, r *http.Request, limits masticway.CallerLimits) *masticway.RefusalError {
	limit := maxBodyBytes(limits)
	if r.ContentLength == 0 {
		return nil
	}
	// A writer without deadlines is not that of a connection.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(x.q.deadline.Sub(x.f.clock.Now())))
	var err error
	if n := r.ContentLength; n > 0 && n <= limit {
		x.q.body = make([]byte, n)
		_, err = io.ReadFull(r.Body, x.q.body)
	} else {
		x.q.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return refusal(http.StatusRequestEntityTooLarge, codeTooLarge, "the body is over the limit", 0)
	}
	if err != nil && !x.f.clock.Now().Before(x.q.deadline) {
		return refusal(http.StatusServiceUnavailable, codeNotInTime, "the body did not come in time", retryAfterDefault)
	}
	if err != nil {
		return refusal(http.StatusBadRequest, codeBodyUnreadable, "the body ended early: "+err.Error(), 0)
	}
	_ = connection.SetReadDeadline(time.Time{})
	return nil
}
