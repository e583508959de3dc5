package apportioner

import (
	"maps"
	"math"
	"time"

	"github.com/masticway/masticway"
)

const (
	// maxUseShare is the share of its connections that a router uses without wanting more.
	maxUseShare = 0.7
	// needTTL and keptTTL are how long the greatest need is remembered: the first for the division of what several routers want, the
	// second for leases that no other router wants, so that these do not follow each short pause.
	needTTL = 200 * time.Millisecond
	keptTTL = 2 * time.Second
	// askInterval is the usual interval between the requests of a router that wants or has a lease. minAskInterval is the interval
	// if its need has grown by needGrowth or if it must confirm a smaller lease. With these, demand that moves from one router to
	// another is followed within a second, which is the sum of needTTL, the first router's next request, its confirmation and the
	// other's next request.
	askInterval    = 250 * time.Millisecond
	minAskInterval = 100 * time.Millisecond
	// needGrowth is the factor by which the need must exceed that of the last request for a request before the usual time.
	needGrowth = 1.25
)

// lease is a lease of granted connections out of a demand part of part connections.
type lease struct {
	number        uint64
	granted, part int
	until         time.Time
	// confirmed is the number of the newest lease of the same router that has been confirmed.
	confirmed uint64
}

// recentMax is the greatest value that was observed within a time.
type recentMax struct {
	value int
	at    time.Time
}

// observe records a value and forgets the greatest one if it is older than ttl.
func (m *recentMax) observe(now time.Time, value int, ttl time.Duration) {
	if value >= m.value || now.Sub(m.at) > ttl {
		m.value, m.at = value, now
	}
}

// Leases holds one router's leases of one pool, and what it needs. It is not safe for concurrent use.
type Leases struct {
	self masticway.Incarnation
	// leases holds the newest lease from each granting router.
	leases map[masticway.Incarnation]lease
	// need is the greatest number of connections needed in the last needTTL, and kept that in the last keptTTL.
	need, kept recentMax
	// inUse is the greatest number of connections in use between the last two observations.
	inUse int
	// peak and denied are the use since the last request.
	peak, denied int
	// asking is set while a request is in flight. askedAt is when the last one was sent, and askedFor what it wanted.
	asking   bool
	askedAt  time.Time
	askedFor int
	// confirmDue is set if a lease has become smaller and the granting router does not know yet that it is applied.
	confirmDue bool
}

// NewLeases returns a Leases of a router that has none.
func NewLeases(self masticway.Incarnation) *Leases {
	return &Leases{self: self, leases: map[masticway.Incarnation]lease{}}
}

// Leased returns how many connections this router may have to each server in addition to its base, given the pool's limit and the
// number of routers.
func (l *Leases) Leased(now time.Time, limit, members int) (n int) {
	part := DemandPart(limit, members)
	for _, o := range l.leases {
		if now.Before(o.until) {
			n += o.granted * part / o.part
		}
	}
	return min(n, maxLeased(limit, members))
}

// Allowed returns how many connections this router may have to each server: its base and its leases.
func (l *Leases) Allowed(now time.Time, limit, members int) int {
	return Base(limit, members) + l.Leased(now, limit, members)
}

// Observe records the use of the connections since the last call, and the need that follows from it: so many connections that the use
// is at most maxUseShare of them, and one more for each denied request.
func (l *Leases) Observe(now time.Time, u masticway.ConnectionUse) {
	l.inUse = u.Peak
	l.peak, l.denied = max(l.peak, u.Peak), l.denied+u.Denied
	need := max(int(math.Ceil(float64(u.Peak)/maxUseShare)), u.Peak+u.Denied)
	l.need.observe(now, need, needTTL)
	l.kept.observe(now, need, keptTTL)
}

// aboveBase returns how many of the needed connections are not in the base of a router, as far as it may have them.
func aboveBase(need, limit, members int) int {
	return max(0, min(need-Base(limit, members), maxLeased(limit, members)))
}

// Ask returns the request to send now, and false if none is to be sent. After it has returned a request, it returns none until
// HandleReply is called.
func (l *Leases) Ask(now time.Time, pool string, limit, members int) (Request, bool) {
	maps.DeleteFunc(l.leases, func(_ masticway.Incarnation, o lease) bool { return !now.Before(o.until) })
	wanted, kept := aboveBase(l.need.value, limit, members), aboveBase(l.kept.value, limit, members)
	// A smaller lease must not be confirmed while requests still use more connections than it allows.
	isOver := l.inUse > l.Allowed(now, limit, members)
	urgent := l.confirmDue && !isOver || float64(wanted) >= needGrowth*float64(max(1, l.askedFor))
	idle := kept == 0 && !l.confirmDue && !l.hasLease()
	if l.asking || idle || DemandPart(limit, members) == 0 {
		return Request{}, false
	}
	if since := now.Sub(l.askedAt); since < minAskInterval || since < askInterval && !urgent {
		return Request{}, false
	}
	req := Request{Pool: pool, Sender: l.self, Used: l.peak, Denied: l.denied, Wanted: wanted, Kept: kept, Held: max(0, l.inUse-Base(limit, members)), Applied: map[masticway.Incarnation]uint64{}}
	for granter, o := range l.leases {
		if !isOver {
			o.confirmed = o.number
			l.leases[granter] = o
		}
		req.Applied[granter] = o.confirmed
	}
	l.asking, l.askedAt, l.askedFor, l.confirmDue, l.peak, l.denied = true, now, wanted, l.confirmDue && isOver, 0, 0
	return req, true
}

// hasLease reports whether the router has a lease of at least one connection.
func (l *Leases) hasLease() bool {
	for _, o := range l.leases {
		if o.granted > 0 {
			return true
		}
	}
	return false
}

// HandleReply ends the request in flight and records the lease in the reply r, which replaces an earlier lease from the same router.
// It reports whether the lease has another size. r is nil if no router replied that grants leases.
func (l *Leases) HandleReply(r *Reply) (changed bool) {
	l.asking = false
	if r == nil || r.NotGranting || r.Part <= 0 {
		return false
	}
	old := l.leases[r.Granter]
	if r.Number <= old.number {
		return false
	}
	granted := max(0, min(r.Granted, r.Part))
	l.leases[r.Granter] = lease{number: r.Number, granted: granted, part: r.Part, until: l.askedAt.Add(leaseTTL), confirmed: old.confirmed}
	l.confirmDue = l.confirmDue || granted < old.granted
	return granted != old.granted
}
