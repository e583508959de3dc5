package throttler

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// askTimeout bounds one question to another router, a few times the way between availability zones.
	askTimeout = 120 * time.Millisecond
	// forwardTimeout bounds a question that is passed on, so that the router that has put it still hears.
	forwardTimeout = 50 * time.Millisecond
	// unresponsiveTime is how long a router is not asked that left a question without an answer.
	unresponsiveTime = time.Second
	// maxOwners is how many routers may give permits for one limit: the first, and the backup where that one does not answer.
	maxOwners = 2
	// backupShare is the part of a limit that the backup gives: with all that the owner gives, and what is on its way, it stays
	// within one and a half times the limit in any 4 s.
	backupShare = 0.2
	// forwardPeriod is how long a router that has started passes questions on, until all others have counted it.
	forwardPeriod = 20 * time.Second
)

// Names of metrics.
const (
	metricLimited    = "servers_limited"
	metricResting    = "servers_resting"
	metricAsks       = "limit_asks"
	metricUnanswered = "limit_asks_unanswered"
	metricGranted    = "limit_permits_granted"
	metricRefused    = "limit_refusals"
	metricTold       = "limits_told"
)

// Members knows the other routers.
type Members interface {
	// Members returns how many routers there seem to be, zero when that is not known.
	Members() int
	// Ranked names the addresses of the routers that something falls to, this one's among them, first to last.
	Ranked(key string, max int) []string
}

// Parts are what a throttler is made of.
type Parts struct {
	Routers Routers
	Members Members
	// Peers names the addresses of the other routers, some of them before they are counted.
	Peers   func() []string
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	// Address is where other routers reach this one.
	Address string
}

// Throttler carries out what Limits decides.
type Throttler struct {
	Parts
	startedAt time.Time
	// constrained is how many servers have a limit or have asked for rest, read by every request.
	constrained atomic.Int64
	wake        chan struct{}

	mu       sync.Mutex
	limits   *Limits
	backoffs *Backoffs
	// unresponsiveUntil are the routers that left a question without an answer, and until when they are not asked.
	unresponsiveUntil map[string]time.Time
	// pendingNotify are the servers of whose limit others have to hear.
	pendingNotify map[masticway.ServerIncarnation]bool
}

var _ masticway.Throttler = (*Throttler)(nil)

// New returns a throttler that knows no limit.
func New(p Parts) *Throttler {
	return &Throttler{
		Parts: p, startedAt: p.Clock.Now(), wake: make(chan struct{}, 1), limits: NewLimits(), backoffs: NewBackoffs(), unresponsiveUntil: map[string]time.Time{},
		pendingNotify: map[masticway.ServerIncarnation]bool{},
	}
}

// Observe notes what the head of a server's answer says of the server.
func (t *Throttler) Observe(server masticway.ServerIncarnation, a masticway.ServerAnswer) {
	if a.Backoff > 0 {
		t.startBackoff(server, a.Backoff)
	}
	if a.LimitInvalid {
		t.Log.WithFields(logrus.Fields{"event": "server_limit_unreadable", "server": server}).Debug("a server's limit is no rate")
		return
	}
	if !a.Limit.IsSet && !a.Signed && !a.NotRun {
		// What a faulty server sends does not end a limit.
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordObservation(server, Observation{Limit: a.Limit}, "answer")
}

// startBackoff takes a server's word that it wants nothing from this router for a time.
func (t *Throttler) startBackoff(server masticway.ServerIncarnation, requested time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := t.backoffs.Start(t.Clock.Now(), server, requested)
	t.updateCounts()
	t.Log.WithFields(logrus.Fields{
		"event": "server_rests", "server": server, "asked_s": requested.Seconds(), "for_ms": remaining.Milliseconds(),
	}).Info("a server wants nothing for a while")
}

// updateCounts counts the servers which not all requests may go to; the caller holds the lock.
func (t *Throttler) updateCounts() {
	t.constrained.Store(int64(t.limits.LimitedCount() + t.backoffs.Len()))
	t.Metrics.Gauge(metricLimited, int64(t.limits.LimitedCount()))
	t.Metrics.Gauge(metricResting, int64(t.backoffs.Len()))
}

// recordObservation takes an observation and tells of what it changes; the caller holds the lock.
func (t *Throttler) recordObservation(server masticway.ServerIncarnation, o Observation, source string) {
	t.handleChange(server, t.limits.Observe(t.Clock.Now(), server, o), o.Age, source)
}

// handleChange logs a change, and has others hear of what this router has heard from the server itself, or as its owner.
func (t *Throttler) handleChange(server masticway.ServerIncarnation, change Change, age time.Duration, source string) {
	if change == ChangeNone {
		return
	}
	t.updateCounts()
	if source == "answer" || change != ChangeRate && t.isOwner(server) {
		t.pendingNotify[server] = true
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
	t.Log.WithFields(logrus.Fields{
		"event": "server_limit", "server": server, "change": change, "per_second": t.limits.Limit(server).Rate, "source": source, "age_ms": age.Milliseconds(),
	}).Info("a server's limit changed")
}

// isOwner tells that this router owns a server's limit.
func (t *Throttler) isOwner(server masticway.ServerIncarnation) bool {
	ranked := t.Members.Ranked(string(server), 1)
	return len(ranked) > 0 && ranked[0] == t.Address
}

// Available returns the servers that may get a request now as far as this router knows.
func (t *Throttler) Available(servers []masticway.Server) []masticway.Server {
	now := t.Clock.Now()
	return t.exclude(servers, func(s masticway.ServerIncarnation) bool {
		return t.backoffs.Remaining(now, s) > 0 || t.limits.IsRefused(now, s)
	})
}

// Unlimited returns the servers that name no limit and do not rest.
func (t *Throttler) Unlimited(servers []masticway.Server) []masticway.Server {
	now := t.Clock.Now()
	return t.exclude(servers, func(s masticway.ServerIncarnation) bool {
		return t.backoffs.Remaining(now, s) > 0 || t.limits.Limit(s).IsSet
	})
}

// exclude returns the servers but some; most of the time no server says anything, and nothing is copied.
func (t *Throttler) exclude(servers []masticway.Server, excluded func(masticway.ServerIncarnation) bool) []masticway.Server {
	if t.constrained.Load() == 0 {
		return servers
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make([]masticway.Server, 0, len(servers))
	for _, s := range servers {
		if !excluded(s.Incarnation()) {
			kept = append(kept, s)
		}
	}
	return kept
}

// Admit tells whether a server may get one more request from this router now.
func (t *Throttler) Admit(ctx context.Context, server masticway.ServerIncarnation) bool {
	if t.constrained.Load() == 0 {
		return true
	}
	for {
		d, answered := t.acquire(server)
		switch d {
		case DecisionAdmitted:
			return true
		case DecisionAsk:
			t.requestPermits(ctx, server)
		case DecisionWait:
			select {
			case <-answered:
			case <-ctx.Done():
				return false
			}
		default:
			t.Metrics.Add(metricRefused, 1)
			return false
		}
	}
}

// acquire judges one request.
func (t *Throttler) acquire(server masticway.ServerIncarnation) (d Decision, answered <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if t.backoffs.Remaining(now, server) > 0 {
		return DecisionRefused, nil
	}
	return t.limits.Acquire(now, server)
}

// requestPermits asks the owner of a server's limit, or the backup in its place.
func (t *Throttler) requestPermits(ctx context.Context, server masticway.ServerIncarnation) {
	t.Metrics.Add(metricAsks, 1)
	t.mu.Lock()
	req := PermitRequest{Server: server, Observed: t.limits.Observation(t.Clock.Now(), server), Wanted: t.limits.PermitsWanted(server)}
	t.mu.Unlock()
	// What comes of it is for all requests at hand, whose callers stay.
	reply, from := t.askOwners(context.WithoutCancel(ctx), req)
	t.mu.Lock()
	defer t.mu.Unlock()
	if reply == nil {
		t.Metrics.Add(metricUnanswered, 1)
		t.Log.WithFields(logrus.Fields{"event": "limit_owner_unreachable", "server": server, "members": t.Members.Members()}).Info("no router gives permits for a server")
	}
	change := t.limits.HandleReply(t.Clock.Now(), server, reply, t.Members.Members())
	if reply != nil {
		t.handleChange(server, change, reply.Observed.Age, from)
	}
}

// askOwners puts a question to the first router that answers it and returns where that is; nil when none does.
func (t *Throttler) askOwners(ctx context.Context, req PermitRequest) (*PermitReply, string) {
	for _, address := range t.Members.Ranked(string(req.Server), maxOwners) {
		reply, err := t.askRouter(ctx, address, askTimeout, req)
		if err == nil && !reply.NotOwner {
			return &reply, address
		}
	}
	return nil, ""
}

// askRouter puts a question to one router, which may be this one. One that was silent just before is not asked.
func (t *Throttler) askRouter(ctx context.Context, address string, timeout time.Duration, req PermitRequest) (PermitReply, error) {
	if address == t.Address {
		return t.Answer(ctx, req), nil
	}
	if err := t.checkResponsive(address); err != nil {
		return PermitReply{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := t.Routers.Ask(bounded, address, req)
	if err != nil {
		t.mu.Lock()
		t.unresponsiveUntil[address] = t.Clock.Now().Add(unresponsiveTime)
		t.mu.Unlock()
		t.Log.WithFields(logrus.Fields{"event": "limit_ask_failed", "server": req.Server, "address": address, "error": err}).Info("a router did not answer about a limit")
	}
	return reply, err
}

// UnresponsiveError reports a router that is not asked since it left a question without an answer.
type UnresponsiveError struct {
	Address   string
	Remaining time.Duration
}

// Error names the router.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("router at %s was silent and is not asked for %v", e.Address, e.Remaining)
}

func (t *Throttler) checkResponsive(address string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.unresponsiveUntil[address]
	remaining := until.Sub(t.Clock.Now())
	if ok && remaining > 0 {
		return &UnresponsiveError{Address: address, Remaining: remaining}
	}
	delete(t.unresponsiveUntil, address)
	return nil
}

// Answer answers another router's question, or this one's own.
func (t *Throttler) Answer(ctx context.Context, req PermitRequest) PermitReply {
	t.recordPeerObservation(req)
	if req.Wanted <= 0 {
		return PermitReply{Observed: t.observation(req.Server)}
	}
	ranked := t.Members.Ranked(string(req.Server), maxOwners)
	owner := len(ranked) > 0 && ranked[0] == t.Address
	backup := len(ranked) > 1 && ranked[1] == t.Address
	switch {
	case req.Forwarded:
		return t.grant(req, 1)
	case owner && len(ranked) > 1 && t.Clock.Now().Sub(t.startedAt) < forwardPeriod:
		forwarded := req
		forwarded.Forwarded = true
		if reply, err := t.askRouter(ctx, ranked[1], forwardTimeout, forwarded); err == nil {
			return reply
		}
		return t.grant(req, 1)
	case owner:
		return t.grant(req, 1)
	case backup:
		return t.grant(req, backupShare)
	}
	return PermitReply{Observed: t.observation(req.Server), NotOwner: true}
}

// recordPeerObservation takes the observation that a question brings.
func (t *Throttler) recordPeerObservation(req PermitRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordObservation(req.Server, req.Observed, "router")
}

func (t *Throttler) observation(server masticway.ServerIncarnation) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Observation(t.Clock.Now(), server)
}

func (t *Throttler) grant(req PermitRequest, share float64) PermitReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limits.Grant(t.Clock.Now(), req, share)
	t.Metrics.Add(metricGranted, int64(r.Granted))
	return r
}

// ReturnPermit returns an admission for which nothing was sent.
func (t *Throttler) ReturnPermit(server masticway.ServerIncarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.ReturnPermit(t.Clock.Now(), server)
}

// Throttling returns why and for how long a server takes no request from this router; false when it may get one.
func (t *Throttler) Throttling(server masticway.ServerIncarnation) (masticway.Throttling, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if remaining := t.backoffs.Remaining(now, server); remaining > 0 {
		return masticway.Throttling{Remaining: remaining, BackoffRequested: true, Reason: fmt.Sprintf("%s has asked this router for rest", server)}, true
	}
	wait := t.limits.WaitTime(now, server)
	return masticway.Throttling{Remaining: wait, Reason: fmt.Sprintf("%s takes %v requests a second", server, t.limits.Limit(server).Rate)}, wait > 0
}

// RetryAfter returns when a caller that is refused for a server's sake should come again.
func (t *Throttler) RetryAfter(server masticway.ServerIncarnation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if remaining := t.backoffs.Remaining(now, server); remaining > 0 {
		return remaining
	}
	return t.limits.RetryAfter(now, server, t.Members.Members())
}

// Keep forgets what is over, and servers that are not among some.
func (t *Throttler) Keep(known map[masticway.ServerIncarnation]bool) {
	if t.constrained.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.limits.Prune(now, known)
	t.backoffs.Prune(now)
	maps.DeleteFunc(t.unresponsiveUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.updateCounts()
}
