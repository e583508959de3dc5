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
	// askTimeout is the timeout of a request to another router, a few times the round-trip time between availability zones.
	askTimeout = 120 * time.Millisecond
	// forwardTimeout is the timeout of a permit request that the owner forwards to the backup. It is short enough that the router
	// that sent the request still gets a reply within askTimeout.
	forwardTimeout = 50 * time.Millisecond
	// unresponsiveTime is how long a router is not asked after a request to it has failed.
	unresponsiveTime = time.Second
	// maxOwners is the number of routers that may grant permits for one limit: the owner, and the backup if the owner does not
	// reply.
	maxOwners = 2
	// backupShare is the share of a limit that the backup grants. It is so small that the owner and the backup together admit at
	// most 1.5 times the limit in any 4 s, even though some permits are used late.
	backupShare = 0.2
	// forwardPeriod is how long after its start an owner forwards permit requests to the backup. By then all other routers know
	// the owner.
	forwardPeriod = 20 * time.Second
)

// Names of metrics.
const (
	metricLimited    = "servers_limited"
	metricBackoffs   = "servers_resting"
	metricAsks       = "limit_asks"
	metricUnanswered = "limit_asks_unanswered"
	metricGranted    = "limit_permits_granted"
	metricRefused    = "limit_refusals"
	metricNotified   = "limits_told"
)

// Members provides the membership of the routers.
type Members interface {
	// Members returns the number of known routers, or zero if it is unknown.
	Members() int
	// RankedAddresses returns the addresses of up to max routers, those with the highest rendezvous weights for a key, highest
	// first. This router may be among them.
	RankedAddresses(key string, max int) []string
}

// Dependencies holds the dependencies of a throttler.
type Dependencies struct {
	Routers Routers
	Members Members
	// Peers returns the addresses of the other routers. It includes some routers that are not yet counted as members.
	Peers   func() []string
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	// Address is the address at which other routers reach this one.
	Address string
}

// Throttler applies the decisions of Limits and Backoffs, and exchanges permits and observations with other routers.
type Throttler struct {
	Dependencies
	startedAt time.Time
	// constrained is the number of limits plus the number of backoffs, including those that have ended since the last Prune. Every
	// request reads it, and needs no lock if it is zero.
	constrained atomic.Int64
	// wake signals Run that pendingNotify is not empty.
	wake chan struct{}

	mu       sync.Mutex
	limits   *Limits
	backoffs *Backoffs
	// unresponsiveUntil holds the routers to which a request has failed, and the times until which they are not asked.
	unresponsiveUntil map[string]time.Time
	// pendingNotify holds the servers about whose limits other routers have yet to be notified.
	pendingNotify map[masticway.ServerIncarnation]bool
}

var _ masticway.Throttler = (*Throttler)(nil)

// New returns a throttler without any limit.
func New(p Dependencies) *Throttler {
	return &Throttler{
		Dependencies: p, startedAt: p.Clock.Now(), wake: make(chan struct{}, 1), limits: NewLimits(), backoffs: NewBackoffs(), unresponsiveUntil: map[string]time.Time{},
		pendingNotify: map[masticway.ServerIncarnation]bool{},
	}
}

// Observe records the rate limit and the requested backoff in the headers of a server's answer. If the answer has no limit, it
// ends the recorded limit, provided that the server signed the answer or reported that it did not run the request.
func (t *Throttler) Observe(server masticway.ServerIncarnation, a masticway.ServerAnswer) {
	if a.Backoff > 0 {
		t.startBackoff(server, a.Backoff)
	}
	if a.LimitInvalid {
		t.Log.WithFields(logrus.Fields{"event": "server_limit_unreadable", "server": server}).Debug("a server reported an invalid rate limit")
		return
	}
	if !a.Limit.IsSet && !a.Signed && !a.NotRun {
		// The answer may come from a faulty server, so it does not end a limit.
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordObservation(server, Observation{Limit: a.Limit}, "answer")
}

// startBackoff records that a server has asked this router to send it no requests for a time.
func (t *Throttler) startBackoff(server masticway.ServerIncarnation, requested time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := t.backoffs.Start(t.Clock.Now(), server, requested)
	t.updateCounts()
	t.Log.WithFields(logrus.Fields{
		"event": "server_rests", "server": server, "asked_s": requested.Seconds(), "for_ms": remaining.Milliseconds(),
	}).Info("a server asked this router to back off")
}

// updateCounts updates constrained and the metrics of limits and backoffs. The caller must hold the lock.
func (t *Throttler) updateCounts() {
	t.constrained.Store(int64(t.limits.LimitedCount() + t.backoffs.Len()))
	t.Metrics.Gauge(metricLimited, int64(t.limits.LimitedCount()))
	t.Metrics.Gauge(metricBackoffs, int64(t.backoffs.Len()))
}

// recordObservation records an observation and handles the change that it causes. The caller must hold the lock.
func (t *Throttler) recordObservation(server masticway.ServerIncarnation, o Observation, source string) {
	t.handleChange(server, t.limits.Observe(t.Clock.Now(), server, o), o.Age, source)
}

// handleChange logs a change of a server's limit. It schedules the notification of other routers in two cases: if this router
// observed the change in a server's answer, or if it owns the limit and the limit has begun or ended. The caller must hold the
// lock.
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

// isOwner reports whether this router owns a server's limit.
func (t *Throttler) isOwner(server masticway.ServerIncarnation) bool {
	ranked := t.Members.RankedAddresses(string(server), 1)
	return len(ranked) > 0 && ranked[0] == t.Address
}

// Available returns the servers that may get a request now, as far as this router knows. It asks no other router, so a request to
// them must still be admitted by Admit.
func (t *Throttler) Available(servers []masticway.Server) []masticway.Server {
	now := t.Clock.Now()
	return t.exclude(servers, func(s masticway.ServerIncarnation) bool {
		return t.backoffs.Remaining(now, s) > 0 || t.limits.IsRefused(now, s)
	})
}

// Unlimited returns the servers that have no rate limit and from which no requested backoff is in effect.
func (t *Throttler) Unlimited(servers []masticway.Server) []masticway.Server {
	now := t.Clock.Now()
	return t.exclude(servers, func(s masticway.ServerIncarnation) bool {
		return t.backoffs.Remaining(now, s) > 0 || t.limits.Limit(s).IsSet
	})
}

// exclude returns the servers for which excluded returns false. Usually no server is constrained, and nothing is copied.
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

// Admit takes a permit for one request to a server. It returns true without a permit if the server has no limit. It returns false
// if a backoff is in effect, if no permit is available, or if the context ends while another request of this router asks for
// permits. It may block until another router has replied to a permit request. If the request is not sent, the caller must call
// ReturnPermit.
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

// acquire decides on one request. It refuses the request if a backoff is in effect, and otherwise does what Limits.Acquire does.
func (t *Throttler) acquire(server masticway.ServerIncarnation) (d Decision, answered <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if t.backoffs.Remaining(now, server) > 0 {
		return DecisionRefused, nil
	}
	return t.limits.Acquire(now, server)
}

// requestPermits asks the owner of a server's limit for permits, or the backup if the owner does not reply, and records the
// result.
func (t *Throttler) requestPermits(ctx context.Context, server masticway.ServerIncarnation) {
	t.Metrics.Add(metricAsks, 1)
	t.mu.Lock()
	askedAt := t.Clock.Now()
	req := PermitRequest{Server: server, Observed: t.limits.Observation(askedAt, server), Wanted: t.limits.PermitsWanted(server)}
	t.mu.Unlock()
	// The reply serves all waiting requests, so it must arrive even if this request is canceled.
	reply, from := t.askOwners(context.WithoutCancel(ctx), req)
	t.mu.Lock()
	defer t.mu.Unlock()
	if reply == nil {
		t.Metrics.Add(metricUnanswered, 1)
		t.Log.WithFields(logrus.Fields{"event": "limit_owner_unreachable", "server": server, "members": t.Members.Members()}).Info("no router grants permits for a server")
	}
	change := t.limits.HandleReply(t.Clock.Now(), askedAt, server, reply, t.Members.Members())
	if reply != nil {
		t.handleChange(server, change, reply.Observed.Age, from)
	}
}

// askOwners sends a permit request to the owner and, if it gets no usable reply, to the backup. It returns the first reply in
// which NotOwner is not set, and the address of the router that sent it. It returns nil if there is none.
func (t *Throttler) askOwners(ctx context.Context, req PermitRequest) (*PermitReply, string) {
	for _, address := range t.Members.RankedAddresses(string(req.Server), maxOwners) {
		reply, err := t.askRouter(ctx, address, askTimeout, req)
		if err == nil && !reply.NotOwner {
			return &reply, address
		}
	}
	return nil, ""
}

// askRouter sends a permit request to one router, which may be this one. It returns an UnresponsiveError without asking if a
// request to the router has recently failed.
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
		t.Log.WithFields(logrus.Fields{"event": "limit_ask_failed", "server": req.Server, "address": address, "error": err}).Info("a router did not reply to a permit request")
	}
	return reply, err
}

// UnresponsiveError reports a router that is not asked because a request to it has recently failed.
type UnresponsiveError struct {
	Address   string
	Remaining time.Duration
}

// Error returns a description with the router's address.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("router at %s was unresponsive and is not asked for %v", e.Address, e.Remaining)
}

// checkResponsive returns an UnresponsiveError if a router must not be asked now.
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

// Answer answers a permit request of another router or of this one. It records the observation in the request. If the request
// wants permits, the owner of the limit grants them at the full limit, and its backup at backupShare of it. An owner that has
// just started first forwards the request to the backup, which grants forwarded requests at the full limit.
func (t *Throttler) Answer(ctx context.Context, req PermitRequest) PermitReply {
	t.recordPeerObservation(req)
	if req.Wanted <= 0 {
		return PermitReply{Observed: t.observation(req.Server)}
	}
	ranked := t.Members.RankedAddresses(string(req.Server), maxOwners)
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

// recordPeerObservation records the observation in a permit request.
func (t *Throttler) recordPeerObservation(req PermitRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordObservation(req.Server, req.Observed, "router")
}

// observation returns the newest observation of a server's limit.
func (t *Throttler) observation(server masticway.ServerIncarnation) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Observation(t.Clock.Now(), server)
}

// grant answers a permit request from this router's token bucket, which fills at the given share of the limit.
func (t *Throttler) grant(req PermitRequest, share float64) PermitReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limits.Grant(t.Clock.Now(), req, share)
	t.Metrics.Add(metricGranted, int64(r.Granted))
	return r
}

// ReturnPermit gives back the permit of a request that was admitted at a time and not sent.
func (t *Throttler) ReturnPermit(server masticway.ServerIncarnation, admittedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.ReturnPermit(t.Clock.Now(), server, admittedAt)
}

// Throttling returns why and for how long this router must not send requests to a server. It returns false if nothing is known
// that prevents a request; Admit may still refuse it.
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

// RetryAfter returns how long one caller that is refused because of a server's limit or backoff should wait before it retries.
// For a limit, it spaces the retries of successive callers, up to maxRetryAfter.
func (t *Throttler) RetryAfter(server masticway.ServerIncarnation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if remaining := t.backoffs.Remaining(now, server); remaining > 0 {
		return remaining
	}
	return t.limits.RetryAfter(now, server, t.Members.Members())
}

// Prune removes the backoffs that have ended. It also removes the limits of the servers that have not been in known, the set of
// registered servers, for unregisteredTTL.
func (t *Throttler) Prune(known map[masticway.ServerIncarnation]bool) {
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
