package throttler

import (
	"math"
	"time"

	"github.com/masticway/masticway"
)

const (
	// permitTTL is how long a router may use permits after it has received them.
	permitTTL = 400 * time.Millisecond
	// bucketPeriod is the time for which a token bucket accumulates unused permits. minBucketSize is the minimum size of a
	// bucket, in permits.
	bucketPeriod  = 250 * time.Millisecond
	minBucketSize = 2
	// minRate is the minimum rate of requests to a server, in requests per second, whatever its limit: only its answers show that
	// the limit has ended.
	minRate = 0.1
	// A refused router waits at least minAskInterval times the number of routers before its next permit request for the server.
	// If all routers are refused, they then ask at most once per minAskInterval on average.
	minAskInterval = 10 * time.Millisecond
	// maxAskInterval is the maximum wait time that a router accepts from a refusal.
	maxAskInterval = 2 * time.Second
	// unansweredBackoff is how long a router sends a server no requests after a permit request to which neither the owner of the
	// limit nor the backup has replied.
	unansweredBackoff = 250 * time.Millisecond
	// unregisteredTTL is how long the limit of a server is kept after its registration has disappeared.
	unregisteredTTL = time.Minute
	// maxRetryAfter is the maximum time after which a caller that is refused because of a limit is told to retry.
	maxRetryAfter = 10 * time.Second
)

// Observation is what a server reported about its limit, and the age of that report. Limit is not set if the server reported
// none.
type Observation struct {
	Limit masticway.RateLimit `cbor:"1,keyasint"`
	// Age is the time since the server's report.
	Age time.Duration `cbor:"2,keyasint"`
}

// PermitRequest asks the owner of a server's limit for permits, and passes on the sender's newest observation of the limit. If
// Wanted is zero, it asks for none.
type PermitRequest struct {
	Server   masticway.ServerIncarnation `cbor:"1,keyasint"`
	Observed Observation                 `cbor:"2,keyasint"`
	Wanted   int                         `cbor:"3,keyasint,omitempty"`
	// Forwarded is set if an owner that has just started forwards the request to the backup.
	Forwarded bool `cbor:"4,keyasint,omitempty"`
}

// PermitReply is the reply to a permit request.
type PermitReply struct {
	Observed Observation `cbor:"1,keyasint"`
	Granted  int         `cbor:"2,keyasint,omitempty"`
	// Wait is the time until the next permit is due. It is set if none was granted.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// NotOwner is set if the replying router is neither the owner of the limit nor the backup. Such a router grants no permits.
	NotOwner bool `cbor:"4,keyasint,omitempty"`
}

// Change is how an observation changes the recorded limit of a server.
type Change string

// The kinds of changes. ChangeRate is for a limit that remains, with other values.
const (
	ChangeNone  Change = ""
	ChangeBegun Change = "begun"
	ChangeRate  Change = "changed"
	ChangeEnded Change = "ended"
)

// limitState is the state of one server that has reported a limit. limit is the newest known limit, as observed at observedAt.
type limitState struct {
	limit      masticway.RateLimit
	observedAt time.Time
	// permits is the number of permits that this router may use until permitsUntil. Until refusedUntil, it sends no further
	// permit request and, without a permit, no request to the server.
	permits      int
	permitsUntil time.Time
	refusedUntil time.Time
	// askDone is closed when the current permit request has been answered or has failed. It is nil if there is none. waiters is
	// the number of requests to the server that wait for the current permit request. The request that sent it is not counted.
	askDone chan struct{}
	waiters int
	// lastRetryAt is when the caller that was refused last was told to retry.
	lastRetryAt time.Time
	// tokens is the number of permits in the token bucket, as of tokensAt. This router grants them to others and itself if it is
	// the owner or the backup.
	tokens   float64
	tokensAt time.Time
	// unregisteredSince is the time since which the server has not been registered. It is zero if the server is registered.
	unregisteredSince time.Time
}

// rate returns the rate at which permits for the server are granted, in permits per second.
func (l *limitState) rate() float64 { return max(minRate, l.limit.Rate) }

// Limits holds one router's observations of limits, its permits, and the token buckets from which it grants permits. It is not
// safe for concurrent use.
type Limits struct {
	servers map[masticway.ServerIncarnation]*limitState
	// limitedCount is the number of servers that currently have a limit.
	limitedCount int
}

// NewLimits returns a Limits without any limit.
func NewLimits() *Limits { return &Limits{servers: map[masticway.ServerIncarnation]*limitState{}} }

// LimitedCount returns the number of servers that currently have a limit.
func (s *Limits) LimitedCount() int { return s.limitedCount }

// Observe records an observation and returns how it changes the limit. It ignores an observation that is older than the recorded
// one. It also ignores one that reports the recorded limit and comes from another router, that is, has a positive age. When a
// limit begins, the unused permits are dropped and the token bucket is empty.
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
	// An observation that another router repeats is no newer than the original. Its age does not include the network delay.
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

// Observation returns the newest observation of a server's limit. If nothing is known, it has no limit and the maximum age.
func (s *Limits) Observation(now time.Time, server masticway.ServerIncarnation) Observation {
	l, ok := s.servers[server]
	if !ok {
		return Observation{Age: math.MaxInt64}
	}
	return Observation{Limit: l.limit, Age: now.Sub(l.observedAt)}
}

// Observations returns the newest observation for each server that has a limit.
func (s *Limits) Observations(now time.Time) Observations {
	observations := Observations{}
	for server, l := range s.servers {
		if l.limit.IsSet {
			observations[server] = s.Observation(now, server)
		}
	}
	return observations
}

// Decision is the decision on one request to a server.
type Decision string

// The decisions.
const (
	DecisionAdmitted Decision = "admitted"
	DecisionRefused  Decision = "refused"
	// DecisionAsk is for the request that must ask the owner for permits. The caller must then call HandleReply with the reply.
	DecisionAsk Decision = "ask"
	// DecisionWait is for a request while a permit request for its server is in progress. The caller must wait until the permit
	// request ends, and then call Acquire again.
	DecisionWait Decision = "asked"
)

// Acquire decides on one request. If it admits a request to a server with a limit, it uses up a permit. For DecisionAsk, it
// records that a permit request is in progress, which the caller must send. For DecisionWait, it counts the caller as waiting,
// and answered is closed when the permit request in progress ends.
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

// PermitsWanted returns how many permits the permit request in progress asks for: one for the request that sends it and one for
// each request that waits for it.
func (s *Limits) PermitsWanted(server masticway.ServerIncarnation) int {
	if l, ok := s.servers[server]; ok {
		return l.waiters + 1
	}
	return 1
}

// IsRefused reports whether this router must not send requests to a server now. It uses only what the router already knows, and
// does not ask the owner.
func (s *Limits) IsRefused(now time.Time, server masticway.ServerIncarnation) bool {
	l, ok := s.servers[server]
	return ok && l.limit.IsSet && now.Before(l.refusedUntil) && (l.permits == 0 || !now.Before(l.permitsUntil))
}

// HandleReply ends the permit request in progress and wakes the requests that wait for it. It records the permits or the refusal
// in the reply r, and its observation. It returns how the observation changes the limit. r is nil if no router granted or refused
// permits. members is the number of routers.
func (s *Limits) HandleReply(now, askedAt time.Time, server masticway.ServerIncarnation, r *PermitReply, members int) Change {
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
		// A process that had to wait for a processor may handle the reply late.
		received := now
		if latest := askedAt.Add(maxOwners * askTimeout); latest.Before(received) {
			received = latest
		}
		l.permits, l.permitsUntil = r.Granted, received.Add(permitTTL)
		return change
	}
	l.refusedUntil = now.Add(max(min(r.Wait, maxAskInterval), time.Duration(members)*minAskInterval))
	return change
}

// ReturnPermit gives an unused permit back to this router's permits. All of its permits that have not expired may then be used
// for another permitTTL. ReturnPermit does nothing if the server has no limit, or if the permit was taken over permitTTL ago.
func (s *Limits) ReturnPermit(now time.Time, server masticway.ServerIncarnation, takenAt time.Time) {
	l, ok := s.servers[server]
	if !ok || !l.limit.IsSet || now.Sub(takenAt) > permitTTL {
		return
	}
	if !now.Before(l.permitsUntil) {
		l.permits = 0
	}
	l.permits++
	l.permitsUntil = now.Add(permitTTL)
}

// Grant answers a permit request. It takes the granted permits, at most the number wanted, out of the token bucket. The bucket
// fills at the rate of the limit times share.
func (s *Limits) Grant(now time.Time, req PermitRequest, share float64) (r PermitReply) {
	r.Observed = s.Observation(now, req.Server)
	l, ok := s.servers[req.Server]
	if !ok || !l.limit.IsSet || req.Wanted <= 0 {
		return r
	}
	rate := l.rate() * share
	depth := max(minBucketSize, l.rate()*bucketPeriod.Seconds())
	l.tokens = min(depth, l.tokens+rate*now.Sub(l.tokensAt).Seconds())
	l.tokensAt = now
	r.Granted = min(req.Wanted, int(l.tokens))
	l.tokens -= float64(r.Granted)
	if r.Granted == 0 {
		r.Wait = time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	return r
}

// WaitTime returns how much longer a server gets no requests from this router because permits were refused or no router granted
// or refused them. It returns zero if a request may be sent or a permit may be requested.
func (s *Limits) WaitTime(now time.Time, server masticway.ServerIncarnation) time.Duration {
	if !s.IsRefused(now, server) {
		return 0
	}
	return s.servers[server].refusedUntil.Sub(now)
}

// Limit returns the newest known limit of a server. It is not set if the server has none.
func (s *Limits) Limit(server masticway.ServerIncarnation) masticway.RateLimit {
	if l, ok := s.servers[server]; ok {
		return l.limit
	}
	return masticway.RateLimit{}
}

// RetryAfter returns the time after which one refused caller should retry, and records it. The retries of successive callers are
// spaced by this router's part of the limit: the limit divided by members, the number of routers. None is later than
// maxRetryAfter.
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

// Prune removes the servers that have not been in known, the set of registered servers, for unregisteredTTL. It keeps them until
// then because an expired registration may be renewed. A server with a permit request in progress is not removed.
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
