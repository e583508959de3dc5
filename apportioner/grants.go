package apportioner

import (
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// leaseTTL is how long a router may use a lease, counted from when it sent the request.
	leaseTTL = 3 * time.Second
	// grantTTL is how long the granting router counts a lease, from when it granted it. It exceeds leaseTTL by the time in which
	// the other router notices the end of the lease and closes idle connections, and by clocks whose rates differ by 1%.
	grantTTL = leaseTTL + 300*time.Millisecond
	// silenceTime is how long a router grants nothing after it has become owner or backup. The leases of its predecessor end
	// meanwhile.
	silenceTime = grantTTL
	// maxRoleGap is the longest time between two observations of the same role after which the role counts as uninterrupted. In a
	// shorter time, no other router can have had the role for silenceTime.
	maxRoleGap = leaseTTL
	// demandTTL is how long a router's demand is remembered after its request. It is longer than the interval between requests, of
	// which two may be lost.
	demandTTL = 1200 * time.Millisecond
	// roundingTolerance makes up for the rounding of sums of fractions. It is far smaller than one connection.
	roundingTolerance = 1e-6
)

// Role is a router's function for one pool.
type Role string

// The roles. RoleNone is also for a router that does not divide the pool by demand.
const (
	RoleNone   Role = "none"
	RoleOwner  Role = "owner"
	RoleBackup Role = "backup"
)

// quarters returns how many quarters of the demand part a router with the role leases.
func (r Role) quarters() int {
	switch r {
	case RoleOwner:
		return ownerQuarters
	case RoleBackup:
		return backupQuarters
	}
	return 0
}

// grant is one lease as its granting router counts it: a fraction of the demand part.
type grant struct {
	number   uint64
	fraction float64
	until    time.Time
}

// borrower is what the granting router knows of one other router. grants are the leases that it may use: the one granted last, and
// earlier ones until it confirms a later one or they end.
type borrower struct {
	wanted   int
	wantedAt time.Time
	grants   []grant
	// inUse is the fraction that it has reported to be in use, which counts until inUseUntil.
	inUse      float64
	inUseUntil time.Time
}

// held returns the fraction of the demand part that a borrower may use or has reported to use.
func (b *borrower) held(now time.Time) (fraction float64) {
	if now.Before(b.inUseUntil) {
		fraction = b.inUse
	}
	for _, g := range b.grants {
		fraction = max(fraction, g.fraction)
	}
	return fraction
}

// Grants holds the leases of one pool that one router has granted. It is not safe for concurrent use.
type Grants struct {
	self masticway.Incarnation
	role Role
	// since is when the router got its role, seenAt when the role was last observed.
	since, seenAt time.Time
	number        uint64
	borrowers     map[masticway.Incarnation]*borrower
}

// NewGrants returns a Grants of a router without a role.
func NewGrants(self masticway.Incarnation) *Grants {
	return &Grants{self: self, role: RoleNone, borrowers: map[masticway.Incarnation]*borrower{}}
}

// SetRole records the router's role. It reports whether the role has changed. It must be called before each Grant, and at least once
// in maxRoleGap; if it is not, the role counts as just begun.
func (g *Grants) SetRole(now time.Time, role Role) (changed bool) {
	changed = role != g.role
	if changed || now.Sub(g.seenAt) > maxRoleGap {
		g.role, g.since = role, now
	}
	g.seenAt = now
	return changed
}

// IsSilent reports whether the router grants nothing, because it has no role or got it less than silenceTime ago.
func (g *Grants) IsSilent(now time.Time) bool {
	return g.role == RoleNone || now.Sub(g.since) < silenceTime
}

// Grant answers a request for a lease. limit is the pool's limit and members the number of routers. The lease is the sender's share
// of what this router may lease, divided by demand, as far as other routers do not still use it. What no router wants stays with those
// that have recently needed it, so that short pauses of demand close no connections.
func (g *Grants) Grant(now time.Time, limit, members int, req Request) Reply {
	part := DemandPart(limit, members)
	if g.IsSilent(now) || part == 0 {
		return Reply{Granter: g.self, NotGranting: true}
	}
	g.expire(now)
	sender, ok := g.borrowers[req.Sender]
	if !ok {
		sender = &borrower{}
		g.borrowers[req.Sender] = sender
	}
	sender.grants = slices.DeleteFunc(sender.grants, func(l grant) bool { return l.number < req.Applied[g.self] })
	sender.wanted, sender.wantedAt = min(req.Wanted, maxLeased(limit, members)), now
	sender.inUse, sender.inUseUntil = float64(max(0, min(req.Held, part)))/float64(part), now.Add(grantTTL)
	wanted := map[masticway.Incarnation]int{}
	total, wantedByOthers, free := part*g.role.quarters()/limitQuarters, 0, float64(g.role.quarters())/limitQuarters
	for incarnation, b := range g.borrowers {
		isFresh := now.Sub(b.wantedAt) < demandTTL
		if isFresh {
			wanted[incarnation] = b.wanted
		}
		if b == sender {
			continue
		}
		if isFresh {
			wantedByOthers += b.wanted
		}
		free -= b.held(now)
	}
	share := max(Divide(total, wanted)[req.Sender], min(req.Kept, maxLeased(limit, members), total-wantedByOthers))
	granted := max(0, min(share, int(free*float64(part)+roundingTolerance)))
	g.number++
	sender.grants = append(sender.grants, grant{number: g.number, fraction: float64(granted) / float64(part), until: now.Add(grantTTL)})
	return Reply{Granter: g.self, Number: g.number, Granted: granted, Part: part}
}

// expire removes the leases that have ended, and the routers without a lease and without demand.
func (g *Grants) expire(now time.Time) {
	maps.DeleteFunc(g.borrowers, func(_ masticway.Incarnation, b *borrower) bool {
		b.grants = slices.DeleteFunc(b.grants, func(l grant) bool { return !now.Before(l.until) })
		return len(b.grants) == 0 && !now.Before(b.inUseUntil) && now.Sub(b.wantedAt) >= demandTTL
	})
}
