package forwarder

import (
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
	// retryElsewhere is when a caller of a router that ends should come back: the next connection reaches another one.
	retryElsewhere = 50 * time.Millisecond
	// defaultBody bounds a body when the configuration does not.
	defaultBody = 4 << 20
	// defaultTimeout is how long a request may take when neither caller nor route says.
	defaultTimeout = 30 * time.Second
	// leastUrgent is the last rank that servers know.
	leastUrgent = 9
)

// Codes of refusals; docs/OPERATIONS.md tells what an operator does about each.
const (
	codeNotReady       = "not_ready"
	codeMalformed      = "malformed"
	codeNoRoute        = "no_route"
	codeBadKey         = "bad_key"
	codeTooLarge       = "body_too_large"
	codeBodyBroken     = "body_unreadable"
	codeExhausted      = "budget_exhausted"
	codeUnreachable    = "budget_unreachable"
	codeNoServer       = "no_server"
	codeServersFull    = "servers_full"
	codeServersCold    = "servers_cold"
	codeServersLimited = "servers_limited"
	codeServersResting = "servers_resting"
	codeProven         = "request_ends_servers"
	codeSuspect        = "request_under_examination"
	codeFailed         = "server_failed"
	codeUnknown        = "outcome_unknown"
	codeTimeout        = "timeout"
	codeNotInTime      = "not_in_time"
	codeShuttingDown   = "shutting_down"
	codeOverloaded     = "router_overloaded"
)

// request is one caller's request, checked; it does not change.
type request struct {
	masticway.OpaqueRequest
	route    masticway.Route
	pool     masticway.Pool
	account  masticway.Account
	revision int64
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	prompt   chooser.Prompt
	received time.Time
	deadline time.Time
}

// metered tells that the request consumes a prepaid budget.
func (q request) metered() bool { return q.Metered && q.account.HasLimit }

// rank returns the request's urgency; a workspace's own goes before the route's.
func (q request) rank() int {
	if q.account.HasPriority {
		return min(leastUrgent, max(0, q.account.Priority))
	}
	return min(leastUrgent, max(0, q.route.Priority))
}

// path returns the path without the query, which may hold what is a caller's own business.
func (q request) path() string {
	path, _, _ := strings.Cut(q.target, "?")
	return path
}

// refusal builds the answer to a request that certainly did not run.
func refusal(status int, code, message string, wait time.Duration) *masticway.RefusalError {
	return &masticway.RefusalError{Status: status, Code: code, Message: message, Fate: masticway.FateNotRun, RetryAfter: wait}
}

// admit checks a request and reads its body; the exchange is there for the log also when it is refused.
func (f *Forwarder) admit(w http.ResponseWriter, r *http.Request) (*exchange, *masticway.RefusalError) {
	now := f.clock.Now()
	x := &exchange{f: f, w: w, state: deliveryChart.Initial(), fate: masticway.FateNotRun, exclude: map[string]bool{}}
	x.q = request{
		method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, received: now, deadline: now.Add(defaultTimeout),
	}
	b := f.beliefs()
	head, err := f.dialect.ParseRequest(r.Header)
	x.q.OpaqueRequest = head
	switch {
	case !b.Known:
		return x, refusal(http.StatusServiceUnavailable, codeNotReady, "no configuration is known yet", retrySoon)
	case err != nil:
		return x, refusal(http.StatusBadRequest, codeMalformed, err.Error(), 0)
	}
	if refused := x.find(b, r); refused != nil {
		return x, refused
	}
	if refused := x.outlasting(); refused != nil {
		return x, refused
	}
	if refused := x.carry(r, b.Deployment.Limits); refused != nil {
		return x, refused
	}
	if refused := x.read(w, r, b.Deployment.Limits); refused != nil {
		return x, refused
	}
	// The body may have taken long.
	return x, x.outlasting()
}

// outlasting refuses a request that may last longer than this router.
func (x *exchange) outlasting() *masticway.RefusalError {
	if !x.f.draining.Load().cuts(x.f.clock.Now(), x.q.deadline) {
		return nil
	}
	return refusal(http.StatusServiceUnavailable, codeShuttingDown, "this router ends before the answer would", retryElsewhere)
}

// carry counts the request in, before its body has come over a link that may be full.
func (x *exchange) carry(r *http.Request, limits masticway.CallerLimits) *masticway.RefusalError {
	bytes := r.ContentLength
	if bytes < 0 {
		// It may become as large as is allowed.
		bytes = bodyLimit(limits)
	}
	if x.f.rotation.Admit(x.q.rank(), bytes) {
		x.carried.Store(true)
		x.admitted, x.bytes = true, bytes
		return nil
	}
	return refusal(http.StatusServiceUnavailable, codeOverloaded, "this router has more to carry than it can", retryElsewhere)
}

// answered counts the request out, once.
func (x *exchange) answered() {
	if x.carried.Swap(false) {
		x.f.rotation.MarkAnswered()
	}
}

// release counts out what the request held.
func (x *exchange) release() {
	x.answered()
	if x.admitted {
		x.f.rotation.Release(x.bytes)
	}
}

// bodyLimit is the most that a body may have.
func bodyLimit(limits masticway.CallerLimits) int64 {
	if limits.MaxBodyBytes <= 0 {
		return defaultBody
	}
	return limits.MaxBodyBytes
}

// find looks up route, workspace and pool.
func (x *exchange) find(b follower.Beliefs, r *http.Request) *masticway.RefusalError {
	d := b.Deployment
	x.q.revision = d.Version
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
	x.q.pool = d.Pools[pick(route.Shares, x.q.ID)]
	x.q.prompt = chooser.Prompt{Tokens: x.q.Prompt, Output: x.q.MaxOutput, Parts: x.q.Parts, Zone: x.f.settings.Zone}
	x.limitTime()
	return nil
}

// pick chooses a pool by weight; one request always gets the same.
func pick(shares []masticway.TrafficShare, id string) string {
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

// limitTime sets the end of the caller's patience or of the route's timeout, whichever comes first.
func (x *exchange) limitTime() {
	left := x.q.TimeLeft
	if t := x.q.route.Timeout; t > 0 && (left <= 0 || t < left) {
		left = t
	}
	if left > 0 {
		x.q.deadline = x.q.received.Add(left)
	}
}

// read takes the body in whole, so that it can be sent again.
func (x *exchange) read(w http.ResponseWriter, r *http.Request, limits masticway.CallerLimits) *masticway.RefusalError {
	limit := bodyLimit(limits)
	if r.ContentLength == 0 {
		return nil
	}
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
	if err != nil {
		return refusal(http.StatusBadRequest, codeBodyBroken, "the body ended early: "+err.Error(), 0)
	}
	return nil
}
