package treasurer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Step is one thing to do at the store; its outcome goes back to the purse that planned it.
type Step struct {
	// Part is the part of the accounts that the step reads or changes; it is empty for the book.
	Part string
	// Workspace is the one whose row the step changes; it is empty for a reading.
	Workspace string
	// Write is the change; nil asks for a reading of the part.
	Write *masticway.RowWrite
	// sequence is the book's.
	sequence int64
	sentAt   time.Time
}

// Plan returns what should be done at the store now. At most one write of the book, one change of each workspace and
// one reading of each part are under way.
func (p *Planner) Plan(now time.Time) []Step {
	if !p.started {
		return nil
	}
	if p.peersChanged {
		p.peersChanged, p.peersChangedAt = false, now
	}
	var steps []Step
	for _, a := range p.sortedAccounts {
		a.demand.decay(now)
		a.peerDemand.decay(now)
		p.updateConcentration(now, a)
	}
	failing := !p.failingSince.IsZero()
	if !p.checkpointInFlight && !now.Before(p.checkpointRetryAt) && (failing || p.isCheckpointDue(now)) {
		steps = append(steps, p.writeCheckpoint(now))
	}
	if failing {
		return steps
	}
	looks := map[string]bool{}
	for _, a := range p.accountsByQueue() {
		if a.changeInFlight || now.Before(a.retryAt) {
			continue
		}
		delta := p.grantDelta(now, a)
		if !a.rowKnown && (len(a.waiting) > 0 || delta != 0) || p.needsFreshRow(now, a) {
			looks[PartOf(a.workspace, p.settings.Parts)] = true
		}
		if delta != 0 && a.rowKnown && now.Sub(p.lastChangeAt) >= p.changeInterval {
			p.lastChangeAt = now
			steps = append(steps, p.changeGrant(now, a, delta))
		}
	}
	for _, part := range slices.Sorted(maps.Keys(looks)) {
		if !p.readsInFlight[part] {
			p.readsInFlight[part] = true
			steps = append(steps, Step{Part: part, sentAt: now})
		}
	}
	return steps
}

// accountsByQueue lists the accounts, first those for which somebody waits: a change may have to wait for the next one's turn.
func (p *Planner) accountsByQueue() []*account {
	all := slices.Clone(p.sortedAccounts)
	slices.SortStableFunc(all, func(x, y *account) int { return cmp.Compare(len(y.waiting), len(x.waiting)) })
	return all
}

// isCheckpointDue tells whether the book has to be written.
func (p *Planner) isCheckpointDue(now time.Time) bool {
	age := now.Sub(p.checkpointSentAt)
	if age < checkpointPause || p.checkpointCredit(now) < 1 {
		return false
	}
	pause := idleCheckpointInterval
	for _, a := range p.sortedAccounts {
		if p.needsFirstLimit(now, a) || a.taken > p.baseLimit(a) {
			return true
		}
		if a.demand.rate > 1 && a.granted > 0 {
			pause = p.checkpointInterval()
		}
	}
	return age >= pause
}

// checkpointInterval is how often the book of a router with demand is written, whatever it has taken.
func (p *Planner) checkpointInterval() time.Duration {
	return max(busyCheckpointInterval, time.Duration(p.members)*busyCheckpointIntervalPerRouter)
}

// needsFirstLimit tells that the book has to name a workspace before money can be drawn for it.
func (p *Planner) needsFirstLimit(now time.Time, a *account) bool {
	return !p.hasLimit(a) && p.mayDraw(now, a) && (len(a.waiting) > 0 || p.isHolder(a) || a.concentrated)
}

// checkpointCredit is how many books may be written now: they may come minCheckpointInterval apart, and a few sooner where none were written before. A
// loan waits for the book of a router that mostly has nothing to write.
func (p *Planner) checkpointCredit(now time.Time) float64 {
	return min(maxCheckpointCredit, p.checkpointCreditLeft+float64(now.Sub(p.checkpointSentAt))/float64(p.minCheckpointInterval()))
}

// minCheckpointInterval is the least time between two writes of the book, a few aside.
func (p *Planner) minCheckpointInterval() time.Duration {
	return checkpointPause + time.Duration(p.members)*checkpointPausePerRouter
}

// currentLimit is the most that every promise in force allows now, whatever has been granted.
func (p *Planner) currentLimit(now time.Time, a *account) int64 {
	return p.minLimit(a, func(f checkpointLimits, promise SpendLimit) int64 {
		passed := now.Sub(f.basis)
		bound := promise.bound(passed)
		if len(f.witnesses) == 0 {
			return bound
		}
		return max(promise.unwitnessedBound(passed), min(bound, f.quorumTaken(a.workspace)))
	})
}

// expectedLimit is the same once the witnesses have heard of it.
func (p *Planner) expectedLimit(now time.Time, a *account) int64 {
	return p.minLimit(a, func(f checkpointLimits, promise SpendLimit) int64 { return promise.bound(now.Sub(f.basis)) })
}

// baseLimit is the same without what silence adds.
func (p *Planner) baseLimit(a *account) int64 {
	return p.minLimit(a, func(_ checkpointLimits, promise SpendLimit) int64 { return promise.unwitnessedBound(0) })
}

func (p *Planner) minLimit(a *account, bound func(checkpointLimits, SpendLimit) int64) int64 {
	if len(p.limitsInForce) == 0 {
		return 0
	}
	least := int64(math.MaxInt64)
	for _, f := range p.limitsInForce {
		promise, ok := f.limits[a.workspace]
		if !ok {
			return 0
		}
		least = min(least, bound(f, promise))
	}
	return least
}

// hasLimit tells that every book that the store may have names the workspace; only then is money drawn for it, so
// that a successor finds every grant.
func (p *Planner) hasLimit(a *account) bool {
	for _, f := range p.limitsInForce {
		if _, ok := f.limits[a.workspace]; !ok {
			return false
		}
	}
	return len(p.limitsInForce) > 0
}

// burst is how much of a workspace may be taken between two writes of the book, when these are slow or far apart.
func (p *Planner) burst(a *account, ahead int64) int64 {
	span := p.checkpointLatency
	apart := p.minCheckpointInterval()
	if apart > checkpointPause+slowStoreLatency {
		span += apart
	}
	var burst int64
	if span >= slowStoreLatency {
		burst = int64(a.demand.rate * 2 * span.Seconds())
	}
	burst = max(burst, p.earlyBurst(a, ahead))
	// Others wait for what a holder lends; a loan that has to wait for the book first comes too late for many.
	burst = max(burst, int64(a.peerDemand.rate*lendBurstFactor*(apart+p.checkpointLatency).Seconds()))
	return min(burst, max(0, a.free()))
}

// earlyLimit is how much of a workspace may be taken in the first seconds of a silence, before its rate counts: answers that
// come ready then would wait. It is a small part of what should be in hand, so that little is lost when all routers die;
// what is in hand just before it is filled up is less than half of that.
func (p *Planner) earlyLimit(a *account) int64 {
	hand := max(float64(a.free()), p.holderShare(a))
	// Before there was any demand, the hand itself is small.
	span := max(a.demand.rate*outageThreshold.Seconds(), initialReserveShare*hand)
	return int64(min(span, p.settings.BurstShare*hand))
}

// earlyBurst is the part of what may be taken ahead that needs neither time nor a witness: a book for each answer would cost the
// store more calls.
func (p *Planner) earlyBurst(a *account, ahead int64) int64 {
	if len(p.peers) == 0 {
		return ahead
	}
	return min(ahead, p.demandWithin(a, burstWindow))
}

// unwitnessedLimit is the part of which no witness has to hear. It is lost when the router dies, whoever lives on. A router that is cut
// off from all others serves its own callers by it, and some that are cut off together lend to each other.
func (p *Planner) unwitnessedLimit(a *account, ahead int64) int64 {
	if a.concentrated {
		// All of the workspace's demand is this router's, and would be lost at once.
		return min(ahead, p.demandWithin(a, burstWindow))
	}
	own := max(0, a.demand.rate-a.peerDemand.rate)
	return min(ahead, max(p.demandWithin(a, unwitnessedWindow), int64(own*outageThreshold.Seconds())))
}

// demandWithin is the demand of some time, a usual request at least.
func (p *Planner) demandWithin(a *account, span time.Duration) int64 {
	return max(int64(a.demand.rate*span.Seconds()), int64(a.typicalNeed))
}

// newLimit is what a book says of a workspace now.
func (p *Planner) newLimit(a *account) SpendLimit {
	ahead := p.earlyLimit(a)
	return SpendLimit{
		Taken: a.taken, Burst: p.burst(a, ahead), Rate: p.limitRate(a), MaxUnwitnessed: p.unwitnessedLimit(a, ahead), MaxEarly: ahead,
	}
}

func (p *Planner) writeCheckpoint(now time.Time) Step {
	p.checkpoint.Sequence++
	next := p.checkpoint
	next.Limits = map[string]SpendLimit{}
	for _, a := range p.sortedAccounts {
		if !p.needsLimit(now, a) {
			continue
		}
		next.Limits[a.workspace] = p.newLimit(a)
	}
	next.Witnesses = p.chooseWitnesses()
	p.limitsInForce = append(p.limitsInForce, checkpointLimits{
		sequence: next.Sequence, basis: p.checkpointBasis, limits: next.Limits, witnesses: next.Witnesses, acked: map[masticway.Incarnation]map[string]int64{},
	})
	p.checkpoint = next
	p.checkpointInFlight = true
	p.checkpointCreditLeft, p.checkpointSentAt = max(0, p.checkpointCredit(now)-1), now
	key := p.checkpointKey()
	return Step{
		sequence: next.Sequence, sentAt: now,
		Write: &masticway.RowWrite{
			Expected: []masticway.RowVersion{{RowKey: key, Version: p.checkpointVersion}},
			Puts:     []masticway.RowPut{{RowKey: key, Value: encode(next)}},
		},
	}
}

// limitRate is what is taken of a workspace in a second of silence at the most. Holders lend to each other then, so it
// is the requests of all of them whose spread counts: with that of each holder's own, two losses of power in one outage cost
// 13.7 s of all demand at five routers for 10.1 s; 0.4% were refused in an outage of 7 s with either.
func (p *Planner) limitRate(a *account) int64 {
	seen := a.demand.rate * demandWindow.Seconds() / max(1, a.typicalNeed)
	if p.isHolder(a) {
		seen *= float64(len(p.holders(a)))
	}
	return int64(a.demand.rate * (1 + rateDeviations/math.Sqrt(max(1, seen))))
}

// needsLimit tells that the book must name a workspace: it has a grant, or may get one.
func (p *Planner) needsLimit(now time.Time, a *account) bool {
	return a.granted > 0 || !a.isGrantKnown() || a.taken > 0 || p.mayDraw(now, a)
}

// mayDraw tells that this router may draw money of a workspace from the store.
func (p *Planner) mayDraw(now time.Time, a *account) bool {
	return p.isHolder(a) || a.concentrated || (len(a.waiting) > 0 || a.demand.rate > 1) && !p.borrowsFromHolders(now, a)
}

func (p *Planner) checkpointKey() masticway.RowKey {
	instance := p.settings.Incarnation.Instance()
	return masticway.RowKey{Table: tableCheckpoints, Part: PartOf(instance, p.settings.Parts), Key: instance}
}

// accountParts lists the parts of the store in which the accounts are.
func (p *Planner) accountParts() []string {
	known := map[string]bool{}
	for workspace := range p.accounts {
		known[PartOf(workspace, p.settings.Parts)] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// ownParts lists the parts of the store in which the accounts are of which this router keeps money in hand, or has some.
func (p *Planner) ownParts() []string {
	own := map[string]bool{}
	for workspace, a := range p.accounts {
		if a.granted > 0 || p.keepsReserve(a) {
			own[PartOf(workspace, p.settings.Parts)] = true
		}
	}
	return slices.Sorted(maps.Keys(own))
}

// needsFreshRow tells that somebody waits for money that, by an old look, is not there.
func (p *Planner) needsFreshRow(now time.Time, a *account) bool {
	return len(a.waiting) > 0 && a.rowKnown && p.exceedsBudget(a, a.waiting[0].need) && now.Sub(a.rowSeenAt) >= rowTTL
}

// changeGrant changes one workspace's grant. Each has a write of its own, so that a busy row conflicts alone.
func (p *Planner) changeGrant(now time.Time, a *account, delta int64) Step {
	a.changeInFlight, a.returning = true, max(0, -delta)
	next := a.newestRow().WithGrant(p.settings.Incarnation, Grant{Granted: a.granted + delta, Taken: a.taken, Demand: int64(a.demand.rate)})
	key := accountKey(a.workspace, p.settings.Parts)
	return Step{
		Part: key.Part, Workspace: a.workspace, sentAt: now,
		Write: &masticway.RowWrite{
			Expected: []masticway.RowVersion{{RowKey: key, Version: a.rowVersion}},
			Puts:     []masticway.RowPut{{RowKey: key, Value: encode(next)}},
		},
	}
}

// newestRow returns the row with the newest configuration's word on what is prepaid.
func (a *account) newestRow() Account {
	row := a.row
	row.Prepaid, row.Version = a.currentPrepaid(), max(a.configVersion, row.Version)
	return row
}

// grantDelta returns by how much the grant should grow or shrink now.
func (p *Planner) grantDelta(now time.Time, a *account) int64 {
	free := a.free()
	left := a.ungranted()
	if p.closing {
		return -max(0, free)
	}
	if left < 0 {
		// The budget was lowered below what is out: give back what is not taken.
		return -max(0, min(free, -left))
	}
	need := a.queuedNeed()
	reserve := p.reserve(now, a)
	short := need > 0 && free < need
	if !p.hasLimit(a) {
		return 0
	}
	if short && p.borrowsFromHolders(now, a) {
		return 0
	}
	if short && left > 0 {
		if free+left < a.waiting[0].need {
			return 0
		}
		return min(left, need-free+reserve)
	}
	if need == 0 && a.demand.rate < 1 && now.Sub(p.peersChangedAt) < startupGrace {
		// While many routers start, each that counts a few takes itself for a holder of most workspaces.
		return 0
	}
	if float64(free-need) < lowWatermark*float64(reserve) {
		return min(left, reserve-(free-need))
	}
	surplus := free - need - reserve
	if surplus <= 0 || float64(free-need) <= highWatermark*float64(reserve) {
		a.surplusSince = time.Time{}
		return 0
	}
	if a.surplusSince.IsZero() {
		a.surplusSince = now
	}
	if now.Sub(a.surplusSince) < surplusTTL {
		return 0
	}
	return -surplus
}
