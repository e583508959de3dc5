package coordinator

import "time"

const (
	// minSkipTime is how long a router is skipped after a failed call. The time doubles with each further failure up to
	// maxSkipTime.
	minSkipTime = time.Second
	maxSkipTime = 8 * time.Second
	// maxQueryFailures is the number of consecutive unanswered queries, each after a pause, after which a router that still
	// acknowledges reports is replaced by the backup. A single lost packet should not move all reports to the backup.
	maxQueryFailures = 2
	// forgetAfter is how long the failures of a router are kept after they have ceased to have consequences.
	forgetAfter = time.Minute
)

// health is what a router knows of another one to which it sends messages.
type health struct {
	// failures counts the times for which the router was skipped since its last success. Until skipUntil it gets no message.
	failures  int
	skipUntil time.Time
	// unreachable is set if reports fail too, not only queries.
	unreachable bool
	// unansweredQueries counts the consecutive unanswered queries. Until queriesPausedUntil the router gets no query.
	unansweredQueries  int
	queriesPausedUntil time.Time
}

// Owners decides which of the routers that may own a group gets messages. It is not safe for concurrent use.
type Owners struct {
	troubled map[string]*health
}

// NewOwners returns an Owners that knows of no failures.
func NewOwners() *Owners { return &Owners{troubled: map[string]*health{}} }

// Choose returns the address of the router that gets the reports about a group, given the addresses of the owner and the backup
// in this order. It prefers a router without failures. If there is none, it chooses one that only queries have failed to reach,
// and then one whose skip time is over. It returns an empty address if there is no such router either.
func (o *Owners) Choose(now time.Time, ranked []string) string {
	for _, suits := range []func(*health) bool{
		func(h *health) bool { return h == nil || h.failures == 0 },
		func(h *health) bool { return !h.unreachable },
		func(h *health) bool { return !now.Before(h.skipUntil) },
	} {
		for _, address := range ranked {
			if suits(o.troubled[address]) {
				return address
			}
		}
	}
	return ""
}

// MayQuery reports whether queries may be sent to a router.
func (o *Owners) MayQuery(now time.Time, address string) bool {
	h, ok := o.troubled[address]
	return !ok || h.failures == 0 && !now.Before(h.queriesPausedUntil)
}

// DueForProbe reports whether a router was skipped and its skip time is over. A probe should then be sent to it.
func (o *Owners) DueForProbe(now time.Time, address string) bool {
	h, ok := o.troubled[address]
	return ok && h.failures > 0 && !now.Before(h.skipUntil)
}

// RecordSuccess records that a router replied after a time. A reply within queryTimeout ends all consequences of failures. A
// later one only shows that the router can be reached.
func (o *Owners) RecordSuccess(now time.Time, address string, took time.Duration, wasQuery bool) {
	h, ok := o.troubled[address]
	if !ok {
		return
	}
	h.unreachable = false
	if took <= queryTimeout && (wasQuery || h.failures > 0) {
		delete(o.troubled, address)
	}
}

// RecordFailure records that a call other than a query failed, or that a router refused to act as owner.
func (o *Owners) RecordFailure(now time.Time, address string) {
	h := o.health(address)
	h.unreachable = true
	h.skip(now)
}

// RecordQueryTimeout records that a query was not answered in time. Queries that were in flight together count once; it returns
// false for the others.
func (o *Owners) RecordQueryTimeout(now time.Time, address string) bool {
	h := o.health(address)
	if now.Before(h.queriesPausedUntil) {
		return false
	}
	h.queriesPausedUntil = now.Add(minSkipTime)
	h.unansweredQueries++
	if h.unansweredQueries >= maxQueryFailures {
		h.skip(now)
	}
	return true
}

// RecordProbeTimeout records that a probe was not answered within queryTimeout.
func (o *Owners) RecordProbeTimeout(now time.Time, address string) { o.health(address).skip(now) }

// skip skips the router for a time that grows with the number of failures. It does nothing while the router is skipped already.
func (h *health) skip(now time.Time) {
	if now.Before(h.skipUntil) {
		return
	}
	h.skipUntil = now.Add(min(maxSkipTime, minSkipTime<<min(h.failures, 3)))
	h.failures++
}

func (o *Owners) health(address string) *health {
	h, ok := o.troubled[address]
	if !ok {
		h = &health{}
		o.troubled[address] = h
	}
	return h
}

// Prune forgets the routers with which no call has failed for forgetAfter.
func (o *Owners) Prune(now time.Time) {
	for address, h := range o.troubled {
		if now.Sub(h.skipUntil) > forgetAfter && now.Sub(h.queriesPausedUntil) > forgetAfter {
			delete(o.troubled, address)
		}
	}
}
