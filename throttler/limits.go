package throttler

import (
	"math"
	"time"

	"github.com/masticway/masticway"
)

const (
	// permitTTL is how long a permit may be used.
	permitTTL = 400 * time.Millisecond
	// bucketPeriod is how long the owner saves up what nobody asks for, minBucketSize how many permits at least.
	bucketPeriod  = 250 * time.Millisecond
	minBucketSize = 2
	// minRate is what a server gets that names less, in requests a second: its answers tell of the limit's end.
	minRate = 0.1
	// minAskInterval separates the questions of all routers together about one server that has refused them.
	minAskInterval = 10 * time.Millisecond
	// maxAskInterval bounds how long a router goes by an old refusal.
	maxAskInterval = 2 * time.Second
	// unansweredBackoff is how long a server gets nothing after a question that nobody answered.
	unansweredBackoff = 250 * time.Millisecond
	// unregisteredTTL is how long a server is remembered that is not registered any more.
	unregisteredTTL = time.Minute
	// maxRetryAfter bounds the time after which a refused caller is told to come again.
	maxRetryAfter = 10 * time.Second
)

// Observation is what a server was last heard to say of its limit.
type Observation struct {
	Limit masticway.RateLimit `cbor:"1,keyasint"`
	// Age is how long ago the server said so.
	Age time.Duration `cbor:"2,keyasint"`
}

// PermitRequest asks the owner of a server's limit for permits; without any wanted it only tells what was observed.
type PermitRequest struct {
	Server   masticway.ServerIncarnation `cbor:"1,keyasint"`
	Observed Observation                 `cbor:"2,keyasint"`
	Wanted   int                         `cbor:"3,keyasint,omitempty"`
	// Forwarded tells that an owner that has just started asks the backup in its place.
	Forwarded bool `cbor:"4,keyasint,omitempty"`
}

// PermitReply answers a question.
type PermitReply struct {
	Observed Observation `cbor:"1,keyasint"`
	Granted  int         `cbor:"2,keyasint,omitempty"`
	// Wait is when the next permit is due, if there was none.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// NotOwner tells that the router that was asked gives no permits for this limit.
	NotOwner bool `cbor:"4,keyasint,omitempty"`
}

// Change is what an observation changes.
type Change string

// The changes.
const (
	ChangeNone  Change = ""
	ChangeBegun Change = "begun"
	ChangeRate  Change = "changed"
	ChangeEnded Change = "ended"
)

// limitState is what is known of one server that has named a limit.
type limitState struct {
	limit      masticway.RateLimit
	observedAt time.Time
	// permits may be used until permitsUntil; refusedUntil no more are asked for.
	permits      int
	permitsUntil time.Time
	refusedUntil time.Time
	// askDone is closed when the question under way is answered, for which waiting requests wait beside the one that asks.
	askDone chan struct{}
	waiters int
	// lastRetryAt is when the last caller was told to come again.
	lastRetryAt time.Time
	// tokens are what the owner may give as of tokensAt.
	tokens   float64
	tokensAt time.Time
	// unregisteredSince is since when the server is not registered, zero while it is.
	unregisteredSince time.Time
}

// rate is what the server gets in requests a second.
func (l *limitState) rate() float64 { return max(minRate, l.limit.Rate) }

// Limits are one router's beliefs about limits, the permits that it has, and the buckets that it owns; it is not safe
// for concurrent use.
type Limits struct {
	servers map[masticway.ServerIncarnation]*limitState
	// limitedCount is how many servers have a limit now.
	limitedCount int
}

// NewLimits returns limits of no server.
func NewLimits() *Limits { return &Limits{servers: map[masticway.ServerIncarnation]*limitState{}} }

// LimitedCount is how many servers have a limit now.
func (s *Limits) LimitedCount() int { return s.limitedCount }

// Observe takes an observation unless a newer one is known.
func (s *Limits) Observe(now time.Time, server masticway.ServerIncarnation, o Observation) Change {
	l, ok := s.servers[server]
	if !ok {
		if !o.Limit.IsSet {
			return ChangeNone
		}
		l = &limitState{}
		s.servers[server] = l
	}
	at := now.Add(-max(0, o.Age))
	// What another router repeats is not younger for the way that it took.
	repeated := o.Age > 0 && o.Limit == l.limit
	if at.Before(l.observedAt) || repeated {
		return ChangeNone
	}
	old := l.limit
	l.limit, l.observedAt = o.Limit, at
	switch {
	case old == o.Limit:
		return ChangeNone
	case !old.IsSet:
		s.limitedCount++
		*l = limitState{limit: o.Limit, observedAt: at, tokensAt: now, askDone: l.askDone, waiters: l.waiters}
		return ChangeBegun
	case !o.Limit.IsSet:
		s.limitedCount--
		return ChangeEnded
	}
	return ChangeRate
}

// Observation returns what was last heard of a server; its limit is none if nothing is known.
func (s *Limits) Observation(now time.Time, server masticway.ServerIncarnation) Observation {
	l, ok := s.servers[server]
	if !ok {
		return Observation{Age: math.MaxInt64}
	}
	return Observation{Limit: l.limit, Age: now.Sub(l.observedAt)}
}

// Observations returns the observations on all servers that have a limit now.
func (s *Limits) Observations(now time.Time) Observations {
	observations := Observations{}
	for server, l := range s.servers {
		if l.limit.IsSet {
			observations[server] = s.Observation(now, server)
		}
	}
	return observations
}

// Decision is what may be done with a request for a server.
type Decision string

// The verdicts.
const (
	DecisionAdmitted Decision = "admitted"
	DecisionRefused  Decision = "refused"
	// DecisionAsk is for the request that asks the owner; Answered has to follow.
	DecisionAsk Decision = "ask"
	// DecisionWait is for requests that wait until the question under way is answered, and are judged again then.
	DecisionWait Decision = "asked"
)

// Acquire judges one request; answered is closed when a question that is under way ends.
func (s *Limits) Acquire(now time.Time, server masticway.ServerIncarnation) (d Decision, answered <-chan struct{}) {
	l, ok := s.servers[server]
	switch {
	case !ok || !l.limit.IsSet:
		return DecisionAdmitted, nil
	case l.permits > 0 && now.Before(l.permitsUntil):
		l.permits--
		return DecisionAdmitted, nil
	case now.Before(l.refusedUntil):
		return DecisionRefused, nil
	case l.askDone != nil:
		l.waiters++
		return DecisionWait, l.askDone
	}
	l.askDone = make(chan struct{})
	return DecisionAsk, nil
}

// PermitsWanted is how many permits the requests at hand need.
func (s *Limits) PermitsWanted(server masticway.ServerIncarnation) int {
	if l, ok := s.servers[server]; ok {
		return l.waiters + 1
	}
	return 1
}

// IsRefused tells that a server gets nothing now as far as is known without asking.
func (s *Limits) IsRefused(now time.Time, server masticway.ServerIncarnation) bool {
	l, ok := s.servers[server]
	return ok && l.limit.IsSet && now.Before(l.refusedUntil) && (l.permits == 0 || !now.Before(l.permitsUntil))
}

// HandleReply takes the reply to the question under way, nil if there was none; members is how many routers there are.
func (s *Limits) HandleReply(now time.Time, server masticway.ServerIncarnation, r *PermitReply, members int) Change {
	l, ok := s.servers[server]
	if !ok {
		return ChangeNone
	}
	if l.askDone != nil {
		close(l.askDone)
		l.askDone, l.waiters = nil, 0
	}
	if r == nil {
		l.refusedUntil = now.Add(unansweredBackoff)
		return ChangeNone
	}
	change := s.Observe(now, server, r.Observed)
	if r.Granted > 0 {
		l.permits, l.permitsUntil = r.Granted, now.Add(permitTTL)
		return change
	}
	l.refusedUntil = now.Add(max(min(r.Wait, maxAskInterval), time.Duration(members)*minAskInterval))
	return change
}

// ReturnPermit returns a permit that was not used.
func (s *Limits) ReturnPermit(now time.Time, server masticway.ServerIncarnation) {
	l, ok := s.servers[server]
	if !ok || !l.limit.IsSet {
		return
	}
	if !now.Before(l.permitsUntil) {
		l.permits = 0
	}
	l.permits++
	l.permitsUntil = now.Add(permitTTL)
}

// Grant answers a question from the bucket, which fills with a share of the limit.
func (s *Limits) Grant(now time.Time, q PermitRequest, share float64) (r PermitReply) {
	r.Observed = s.Observation(now, q.Server)
	l, ok := s.servers[q.Server]
	if !ok || !l.limit.IsSet || q.Wanted <= 0 {
		return r
	}
	rate := l.rate() * share
	depth := max(minBucketSize, l.rate()*bucketPeriod.Seconds())
	l.tokens = min(depth, l.tokens+rate*now.Sub(l.tokensAt).Seconds())
	l.tokensAt = now
	r.Granted = min(q.Wanted, int(l.tokens))
	l.tokens -= float64(r.Granted)
	if r.Granted == 0 {
		r.Wait = time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	return r
}

// WaitTime is how long a server gets nothing from this router.
func (s *Limits) WaitTime(now time.Time, server masticway.ServerIncarnation) time.Duration {
	if !s.IsRefused(now, server) {
		return 0
	}
	return s.servers[server].refusedUntil.Sub(now)
}

// Limit returns a server's present limit.
func (s *Limits) Limit(server masticway.ServerIncarnation) masticway.RateLimit {
	if l, ok := s.servers[server]; ok {
		return l.limit
	}
	return masticway.RateLimit{}
}

// RetryAfter returns when the next refused caller should come again: they come as far apart as this router's part of the limit.
func (s *Limits) RetryAfter(now time.Time, server masticway.ServerIncarnation, members int) time.Duration {
	wait := s.WaitTime(now, server)
	l, ok := s.servers[server]
	if !ok {
		return wait
	}
	spacing := time.Duration(float64(max(1, members)) / l.rate() * float64(time.Second))
	due := now.Add(wait)
	if next := l.lastRetryAt.Add(spacing); next.After(due) {
		due = next
	}
	if latest := now.Add(maxRetryAfter); due.After(latest) {
		due = latest
	}
	l.lastRetryAt = due
	return due.Sub(now)
}

// Prune forgets the servers that have not been among the known ones for long; the row of one that lapses may come back.
func (s *Limits) Prune(now time.Time, known map[masticway.ServerIncarnation]bool) {
	for server, l := range s.servers {
		if known[server] {
			l.unregisteredSince = time.Time{}
			continue
		}
		if l.unregisteredSince.IsZero() {
			l.unregisteredSince = now
		}
		if l.askDone != nil || now.Sub(l.unregisteredSince) < unregisteredTTL {
			continue
		}
		if l.limit.IsSet {
			s.limitedCount--
		}
		delete(s.servers, server)
	}
}
