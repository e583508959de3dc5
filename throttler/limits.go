package throttler

import (
	"math"
	"time"

	"github.com/masticway/masticway"
)

const (
	// permitLife is how long a permit may be used.
	permitLife = 400 * time.Millisecond
	// bucketDepth is how long the owner saves up what nobody asks for, bucketLeast how many permits at least.
	bucketDepth = 250 * time.Millisecond
	bucketLeast = 2
	// rateLeast is what a server gets that names less, in requests a second: its answers tell of the limit's end.
	rateLeast = 0.1
	// askSpacing separates the questions of all routers together about one server that has refused them.
	askSpacing = 10 * time.Millisecond
	// askAtLeastEvery bounds how long a router goes by an old refusal.
	askAtLeastEvery = 2 * time.Second
	// unansweredPause is how long a server gets nothing after a question that nobody answered.
	unansweredPause = 250 * time.Millisecond
	// unlistedKept is how long a server is remembered that is not registered any more.
	unlistedKept = time.Minute
	// bookedMost bounds the time after which a refused caller is told to come again.
	bookedMost = 10 * time.Second
)

// Observation is what a server was last heard to say of its limit.
type Observation struct {
	Limit masticway.RateLimit `cbor:"1,keyasint"`
	// Age is how long ago the server said so.
	Age time.Duration `cbor:"2,keyasint"`
}

// Question asks the owner of a server's limit for permits; without any wanted it only tells what was observed.
type Question struct {
	Server   masticway.ServerIncarnation `cbor:"1,keyasint"`
	Observed Observation                 `cbor:"2,keyasint"`
	Wanted   int                         `cbor:"3,keyasint,omitempty"`
	// Forwarded tells that an owner that has just started asks the backup in its place.
	Forwarded bool `cbor:"4,keyasint,omitempty"`
}

// Reply answers a question.
type Reply struct {
	Observed Observation `cbor:"1,keyasint"`
	Granted  int         `cbor:"2,keyasint,omitempty"`
	// Wait is when the next permit is due, if there was none.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Elsewhere tells that the router that was asked gives no permits for this limit.
	Elsewhere bool `cbor:"4,keyasint,omitempty"`
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

// limited is what is known of one server that has named a limit.
type limited struct {
	limit   masticway.RateLimit
	heardAt time.Time
	// permits may be used until permitsUntil; refusedUntil no more are asked for.
	permits      int
	permitsUntil time.Time
	refusedUntil time.Time
	// asked is closed when the question under way is answered, for which waiting requests wait beside the one that asks.
	asked   chan struct{}
	waiting int
	// booked is when the last caller was told to come again.
	booked time.Time
	// tokens are what the owner may give as of tokensAt.
	tokens   float64
	tokensAt time.Time
	// unlistedSince is since when the server is not registered, zero while it is.
	unlistedSince time.Time
}

// rate is what the server gets in requests a second.
func (l *limited) rate() float64 { return max(rateLeast, l.limit.Rate) }

// Limits are one router's beliefs about limits, the permits that it has, and the buckets that it owns; it is not safe
// for concurrent use.
type Limits struct {
	servers map[masticway.ServerIncarnation]*limited
	// named is how many servers have a limit now.
	named int
}

// NewLimits returns limits of no server.
func NewLimits() *Limits { return &Limits{servers: map[masticway.ServerIncarnation]*limited{}} }

// Named is how many servers have a limit now.
func (s *Limits) Named() int { return s.named }

// Heard takes an observation unless a newer one is known.
func (s *Limits) Heard(now time.Time, server masticway.ServerIncarnation, w Observation) Change {
	l, ok := s.servers[server]
	if !ok {
		if !w.Limit.IsSet {
			return ChangeNone
		}
		l = &limited{}
		s.servers[server] = l
	}
	at := now.Add(-max(0, w.Age))
	// What another router repeats is not younger for the way that it took.
	repeated := w.Age > 0 && w.Limit == l.limit
	if at.Before(l.heardAt) || repeated {
		return ChangeNone
	}
	before := l.limit
	l.limit, l.heardAt = w.Limit, at
	switch {
	case before == w.Limit:
		return ChangeNone
	case !before.IsSet:
		s.named++
		*l = limited{limit: w.Limit, heardAt: at, tokensAt: now, asked: l.asked, waiting: l.waiting}
		return ChangeBegun
	case !w.Limit.IsSet:
		s.named--
		return ChangeEnded
	}
	return ChangeRate
}

// Observed returns what was last heard of a server; its limit is none if nothing is known.
func (s *Limits) Observed(now time.Time, server masticway.ServerIncarnation) Observation {
	l, ok := s.servers[server]
	if !ok {
		return Observation{Age: math.MaxInt64}
	}
	return Observation{Limit: l.limit, Age: now.Sub(l.heardAt)}
}

// Known returns the observations on all servers that have a limit now.
func (s *Limits) Known(now time.Time) Observations {
	observations := Observations{}
	for server, l := range s.servers {
		if l.limit.IsSet {
			observations[server] = s.Observed(now, server)
		}
	}
	return observations
}

// Verdict is what may be done with a request for a server.
type Verdict string

// The verdicts.
const (
	VerdictAdmitted Verdict = "admitted"
	VerdictRefused  Verdict = "refused"
	// VerdictAsk is for the request that asks the owner; Answered has to follow.
	VerdictAsk Verdict = "ask"
	// VerdictAsked is for requests that wait until the question under way is answered, and are judged again then.
	VerdictAsked Verdict = "asked"
)

// Take judges one request; answered is closed when a question that is under way ends.
func (s *Limits) Take(now time.Time, server masticway.ServerIncarnation) (v Verdict, answered <-chan struct{}) {
	l, ok := s.servers[server]
	switch {
	case !ok || !l.limit.IsSet:
		return VerdictAdmitted, nil
	case l.permits > 0 && now.Before(l.permitsUntil):
		l.permits--
		return VerdictAdmitted, nil
	case now.Before(l.refusedUntil):
		return VerdictRefused, nil
	case l.asked != nil:
		l.waiting++
		return VerdictAsked, l.asked
	}
	l.asked = make(chan struct{})
	return VerdictAsk, nil
}

// Wanted is how many permits the requests at hand need.
func (s *Limits) Wanted(server masticway.ServerIncarnation) int {
	if l, ok := s.servers[server]; ok {
		return l.waiting + 1
	}
	return 1
}

// Refuses tells that a server gets nothing now as far as is known without asking.
func (s *Limits) Refuses(now time.Time, server masticway.ServerIncarnation) bool {
	l, ok := s.servers[server]
	return ok && l.limit.IsSet && now.Before(l.refusedUntil) && (l.permits == 0 || !now.Before(l.permitsUntil))
}

// Answered takes the reply to the question under way, nil if there was none; members is how many routers there are.
func (s *Limits) Answered(now time.Time, server masticway.ServerIncarnation, r *Reply, members int) Change {
	l, ok := s.servers[server]
	if !ok {
		return ChangeNone
	}
	if l.asked != nil {
		close(l.asked)
		l.asked, l.waiting = nil, 0
	}
	if r == nil {
		l.refusedUntil = now.Add(unansweredPause)
		return ChangeNone
	}
	change := s.Heard(now, server, r.Observed)
	if r.Granted > 0 {
		l.permits, l.permitsUntil = r.Granted, now.Add(permitLife)
		return change
	}
	l.refusedUntil = now.Add(max(min(r.Wait, askAtLeastEvery), time.Duration(members)*askSpacing))
	return change
}

// ReturnPermit returns a permit that was not used.
func (s *Limits) GiveBack(now time.Time, server masticway.ServerIncarnation) {
	l, ok := s.servers[server]
	if !ok || !l.limit.IsSet {
		return
	}
	if !now.Before(l.permitsUntil) {
		l.permits = 0
	}
	l.permits++
	l.permitsUntil = now.Add(permitLife)
}

// Grant answers a question from the bucket, which fills with a share of the limit.
func (s *Limits) Grant(now time.Time, q Question, share float64) (r Reply) {
	r.Observed = s.Observed(now, q.Server)
	l, ok := s.servers[q.Server]
	if !ok || !l.limit.IsSet || q.Wanted <= 0 {
		return r
	}
	rate := l.rate() * share
	depth := max(bucketLeast, l.rate()*bucketDepth.Seconds())
	l.tokens = min(depth, l.tokens+rate*now.Sub(l.tokensAt).Seconds())
	l.tokensAt = now
	r.Granted = min(q.Wanted, int(l.tokens))
	l.tokens -= float64(r.Granted)
	if r.Granted == 0 {
		r.Wait = time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	return r
}

// Wait is how long a server gets nothing from this router.
func (s *Limits) Wait(now time.Time, server masticway.ServerIncarnation) time.Duration {
	if !s.Refuses(now, server) {
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
	wait := s.Wait(now, server)
	l, ok := s.servers[server]
	if !ok {
		return wait
	}
	apart := time.Duration(float64(max(1, members)) / l.rate() * float64(time.Second))
	due := now.Add(wait)
	if next := l.booked.Add(apart); next.After(due) {
		due = next
	}
	if latest := now.Add(bookedMost); due.After(latest) {
		due = latest
	}
	l.booked = due
	return due.Sub(now)
}

// Keep forgets the servers that have not been among the known ones for long; the row of one that lapses may come back.
func (s *Limits) Keep(now time.Time, known map[masticway.ServerIncarnation]bool) {
	for server, l := range s.servers {
		if known[server] {
			l.unlistedSince = time.Time{}
			continue
		}
		if l.unlistedSince.IsZero() {
			l.unlistedSince = now
		}
		if l.asked != nil || now.Sub(l.unlistedSince) < unlistedKept {
			continue
		}
		if l.limit.IsSet {
			s.named--
		}
		delete(s.servers, server)
	}
}
