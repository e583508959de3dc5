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
	// silentFor is how long a router is not asked that left a question without an answer.
	silentFor = time.Second
	// ownersMost is how many routers may give permits for one limit: the first, and the backup where that one does not answer.
	ownersMost = 2
	// backupShare is the part of a limit that the backup gives: with all that the owner gives, and what is on its way, it stays
	// within one and a half times the limit in any 4 s.
	backupShare = 0.2
	// forwardsFor is how long a router that has started passes questions on, until all others have counted it.
	forwardsFor = 20 * time.Second
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
	Ranked(of string, most int) []string
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
	began time.Time
	// constrained is how many servers have a limit or have asked for rest, read by every request.
	constrained atomic.Int64
	stir        chan struct{}

	mu     sync.Mutex
	limits *Limits
	rests  *Rests
	// silent are the routers that left a question without an answer, and until when they are not asked.
	silent map[string]time.Time
	// untold are the servers of whose limit others have to hear.
	untold map[masticway.ServerIncarnation]bool
}

var _ masticway.Throttler = (*Throttler)(nil)

// New returns a throttler that knows no limit.
func New(p Parts) *Throttler {
	return &Throttler{
		Parts: p, began: p.Clock.Now(), stir: make(chan struct{}, 1), limits: NewLimits(), rests: NewRests(), silent: map[string]time.Time{},
		untold: map[masticway.ServerIncarnation]bool{},
	}
}

// Observe notes what the head of a server's answer says of the server.
func (t *Throttler) Observe(server masticway.ServerIncarnation, a masticway.ServerAnswer) {
	if a.Backoff > 0 {
		t.rest(server, a.Backoff)
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
	t.note(server, Observation{Limit: a.Limit}, "answer")
}

// rest takes a server's word that it wants nothing from this router for a time.
func (t *Throttler) rest(server masticway.ServerIncarnation, asked time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.rests.Asked(t.Clock.Now(), server, asked)
	t.count()
	t.Log.WithFields(logrus.Fields{
		"event": "server_rests", "server": server, "asked_s": asked.Seconds(), "for_ms": left.Milliseconds(),
	}).Info("a server wants nothing for a while")
}

// count counts the servers which not all requests may go to; the caller holds the lock.
func (t *Throttler) count() {
	t.constrained.Store(int64(t.limits.Named() + t.rests.Len()))
	t.Metrics.Gauge(metricLimited, int64(t.limits.Named()))
	t.Metrics.Gauge(metricResting, int64(t.rests.Len()))
}

// note takes an observation and tells of what it changes; the caller holds the lock.
func (t *Throttler) note(server masticway.ServerIncarnation, w Observation, source string) {
	t.noted(server, t.limits.Heard(t.Clock.Now(), server, w), w.Age, source)
}

// noted logs a change, and has others hear of what this router has heard from the server itself, or as its owner.
func (t *Throttler) noted(server masticway.ServerIncarnation, c Change, age time.Duration, source string) {
	if c == ChangeNone {
		return
	}
	t.count()
	if source == "answer" || c != ChangeRate && t.first(server) {
		t.untold[server] = true
		select {
		case t.stir <- struct{}{}:
		default:
		}
	}
	t.Log.WithFields(logrus.Fields{
		"event": "server_limit", "server": server, "change": c, "per_second": t.limits.Limit(server).Rate, "source": source, "age_ms": age.Milliseconds(),
	}).Info("a server's limit changed")
}

// first tells that this router owns a server's limit.
func (t *Throttler) first(server masticway.ServerIncarnation) bool {
	ranked := t.Members.Ranked(string(server), 1)
	return len(ranked) > 0 && ranked[0] == t.Address
}

// Available returns the servers that may get a request now as far as this router knows.
func (t *Throttler) Available(servers []masticway.Server) []masticway.Server {
	now := t.Clock.Now()
	return t.without(servers, func(s masticway.ServerIncarnation) bool { return t.rests.Left(now, s) > 0 || t.limits.Refuses(now, s) })
}

// Unlimited returns the servers that name no limit and do not rest.
func (t *Throttler) Unlimited(servers []masticway.Server) []masticway.Server {
	now := t.Clock.Now()
	return t.without(servers, func(s masticway.ServerIncarnation) bool { return t.rests.Left(now, s) > 0 || t.limits.Limit(s).IsSet })
}

// without returns the servers but some; most of the time no server says anything, and nothing is copied.
func (t *Throttler) without(servers []masticway.Server, some func(masticway.ServerIncarnation) bool) []masticway.Server {
	if t.constrained.Load() == 0 {
		return servers
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make([]masticway.Server, 0, len(servers))
	for _, s := range servers {
		if !some(s.Incarnation()) {
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
		v, answered := t.take(server)
		switch v {
		case VerdictAdmitted:
			return true
		case VerdictAsk:
			t.ask(ctx, server)
		case VerdictAsked:
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

// take judges one request.
func (t *Throttler) take(server masticway.ServerIncarnation) (v Verdict, answered <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if t.rests.Left(now, server) > 0 {
		return VerdictRefused, nil
	}
	return t.limits.Take(now, server)
}

// ask asks the owner of a server's limit, or the backup in its place.
func (t *Throttler) ask(ctx context.Context, server masticway.ServerIncarnation) {
	t.Metrics.Add(metricAsks, 1)
	t.mu.Lock()
	q := Question{Server: server, Observed: t.limits.Observed(t.Clock.Now(), server), Wanted: t.limits.Wanted(server)}
	t.mu.Unlock()
	// What comes of it is for all requests at hand, whose callers stay.
	reply, from := t.put(context.WithoutCancel(ctx), q)
	t.mu.Lock()
	defer t.mu.Unlock()
	if reply == nil {
		t.Metrics.Add(metricUnanswered, 1)
		t.Log.WithFields(logrus.Fields{"event": "limit_owner_unreachable", "server": server, "members": t.Members.Members()}).Info("no router gives permits for a server")
	}
	change := t.limits.Answered(t.Clock.Now(), server, reply, t.Members.Members())
	if reply != nil {
		t.noted(server, change, reply.Observed.Age, from)
	}
}

// put puts a question to the first router that answers it and returns where that is; nil when none does.
func (t *Throttler) put(ctx context.Context, q Question) (*Reply, string) {
	for _, address := range t.Members.Ranked(string(q.Server), ownersMost) {
		reply, err := t.putTo(ctx, address, askTimeout, q)
		if err == nil && !reply.Elsewhere {
			return &reply, address
		}
	}
	return nil, ""
}

// putTo puts a question to one router, which may be this one. One that was silent just before is not asked.
func (t *Throttler) putTo(ctx context.Context, address string, within time.Duration, q Question) (Reply, error) {
	if address == t.Address {
		return t.Answer(ctx, q), nil
	}
	if err := t.isSilent(address); err != nil {
		return Reply{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply, err := t.Routers.Ask(bounded, address, q)
	if err != nil {
		t.mu.Lock()
		t.silent[address] = t.Clock.Now().Add(silentFor)
		t.mu.Unlock()
		t.Log.WithFields(logrus.Fields{"event": "limit_ask_failed", "server": q.Server, "address": address, "error": err}).Info("a router did not answer about a limit")
	}
	return reply, err
}

// SilentError reports a router that is not asked since it left a question without an answer.
type SilentError struct {
	Address string
	For     time.Duration
}

// Error names the router.
func (e *SilentError) Error() string {
	return fmt.Sprintf("router at %s was silent and is not asked for %v", e.Address, e.For)
}

func (t *Throttler) isSilent(address string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.silent[address]
	left := until.Sub(t.Clock.Now())
	if ok && left > 0 {
		return &SilentError{Address: address, For: left}
	}
	delete(t.silent, address)
	return nil
}

// Answer answers another router's question, or this one's own.
func (t *Throttler) Answer(ctx context.Context, q Question) Reply {
	t.hear(q)
	if q.Wanted <= 0 {
		return Reply{Observed: t.observed(q.Server)}
	}
	ranked := t.Members.Ranked(string(q.Server), ownersMost)
	first := len(ranked) > 0 && ranked[0] == t.Address
	backup := len(ranked) > 1 && ranked[1] == t.Address
	switch {
	case q.Forwarded:
		return t.grant(q, 1)
	case first && len(ranked) > 1 && t.Clock.Now().Sub(t.began) < forwardsFor:
		forwarded := q
		forwarded.Forwarded = true
		if reply, err := t.putTo(ctx, ranked[1], forwardTimeout, forwarded); err == nil {
			return reply
		}
		return t.grant(q, 1)
	case first:
		return t.grant(q, 1)
	case backup:
		return t.grant(q, backupShare)
	}
	return Reply{Observed: t.observed(q.Server), Elsewhere: true}
}

// hear takes the observation that a question brings.
func (t *Throttler) hear(q Question) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(q.Server, q.Observed, "router")
}

func (t *Throttler) observed(server masticway.ServerIncarnation) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Observed(t.Clock.Now(), server)
}

func (t *Throttler) grant(q Question, share float64) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.limits.Grant(t.Clock.Now(), q, share)
	t.Metrics.Add(metricGranted, int64(r.Granted))
	return r
}

// ReturnPermit returns an admission for which nothing was sent.
func (t *Throttler) ReturnPermit(server masticway.ServerIncarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.GiveBack(t.Clock.Now(), server)
}

// Throttling returns why and for how long a server takes no request from this router; false when it may get one.
func (t *Throttler) Throttling(server masticway.ServerIncarnation) (masticway.Throttling, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if left := t.rests.Left(now, server); left > 0 {
		return masticway.Throttling{Remaining: left, BackoffRequested: true, Reason: fmt.Sprintf("%s has asked this router for rest", server)}, true
	}
	wait := t.limits.Wait(now, server)
	return masticway.Throttling{Remaining: wait, Reason: fmt.Sprintf("%s takes %v requests a second", server, t.limits.Limit(server).Rate)}, wait > 0
}

// RetryAfter returns when a caller that is refused for a server's sake should come again.
func (t *Throttler) RetryAfter(server masticway.ServerIncarnation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if left := t.rests.Left(now, server); left > 0 {
		return left
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
	t.limits.Keep(now, known)
	t.rests.Forget(now)
	maps.DeleteFunc(t.silent, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.count()
}
