package treasurer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// StoreCall is a call to the store. The caller must make it and pass its outcome to CompleteStoreCall of the planner that
// returned it.
type StoreCall struct {
	// Part is the part of the accounts that the call reads or changes. It is empty for a checkpoint.
	Part string
	// Workspace is the workspace with the row that the call changes. It is empty for a read and for a checkpoint.
	Workspace string
	// Write is the change; nil means that the part is to be read.
	Write *masticway.RowWrite
	// sequence is the checkpoint's sequence number, zero for other calls.
	sequence int64
	sentAt   time.Time
	// era is the era of the store for whose rows the call was made.
	era int64
}

// Plan returns the calls to make to the store now. It counts them as in flight until CompleteStoreCall is called for them. It
// returns no checkpoint while another is in flight. The same holds for changes of one workspace's grant, and for reads of one
// part. While the store fails, it returns only checkpoints.
func (p *Planner) Plan(now time.Time) []StoreCall {
	if !p.started || p.mustEnterEra {
		return nil
	}
	if p.peersChanged {
		p.peersChanged, p.peersChangedAt = false, now
	}
	var calls []StoreCall
	for _, a := range p.sortedAccounts {
		a.demand.decay(now)
		a.peerDemand.decay(now)
		p.updateConcentration(now, a)
	}
	failing := !p.failingSince.IsZero()
	if !p.checkpointInFlight && !now.Before(p.checkpointRetryAt) && (failing || p.isCheckpointDue(now)) {
		calls = append(calls, p.writeCheckpoint(now))
	}
	if failing {
		return calls
	}
	reads := map[string]bool{}
	for _, a := range p.accountsByQueue() {
		if a.changeInFlight || now.Before(a.retryAt) {
			continue
		}
		delta := p.grantDelta(now, a)
		if !now.Before(p.restoreUntil) {
			a.lost = Account{}
		}
		restore := p.mustRestore(now, a)
		if !a.rowKnown && (len(a.waiting) > 0 || delta != 0 || restore || len(a.lost.Grants)+len(a.lost.Ended) > 0 && !now.Before(p.restoreOthersAt)) || p.needsFreshRow(now, a) {
			reads[PartOf(a.workspace, p.settings.Parts)] = true
		}
		if (delta != 0 || restore) && a.rowKnown && now.Sub(p.lastChangeAt) >= p.changeInterval {
			if call, ok := p.changeGrant(now, a, delta); ok {
				p.lastChangeAt = now
				calls = append(calls, call)
			}
		}
	}
	for _, part := range slices.Sorted(maps.Keys(reads)) {
		if !p.readsInFlight[part] {
			p.readsInFlight[part] = true
			calls = append(calls, p.ReadCall(now, part))
		}
	}
	return calls
}

// storeNow returns an estimate of the store's time.
func (p *Planner) storeNow(now time.Time) time.Duration {
	return p.checkpoint.Basis + now.Sub(p.checkpointBasis)
}

// ReadCall returns a call that reads a part of the accounts, for the caller to make.
func (p *Planner) ReadCall(now time.Time, part string) StoreCall {
	return StoreCall{Part: part, sentAt: now, era: p.era}
}

// accountsByQueue lists the accounts by the length of their queues of waiting requests, longest first. The order matters
// because Plan may return only one change of a grant in each change interval.
func (p *Planner) accountsByQueue() []*account {
	all := slices.Clone(p.sortedAccounts)
	slices.SortStableFunc(all, func(x, y *account) int { return cmp.Compare(len(y.waiting), len(x.waiting)) })
	return all
}

// isCheckpointDue reports whether a checkpoint must be written now. The caller must check that none is in flight and that
// the store does not fail.
func (p *Planner) isCheckpointDue(now time.Time) bool {
	age := now.Sub(p.checkpointSentAt)
	if p.checkpointLost {
		return true
	}
	if age < checkpointPause || p.checkpointCredit(now) < 1 {
		return false
	}
	interval := idleCheckpointInterval
	for _, a := range p.sortedAccounts {
		if p.needsFirstLimit(now, a) || a.taken > p.baseLimit(a) {
			return true
		}
		if a.demand.rate > 1 && a.granted > 0 {
			interval = p.checkpointInterval()
		}
	}
	return age >= interval
}

// checkpointInterval returns how often a router with demand writes a checkpoint even if its spend limits cover all that it
// has taken.
func (p *Planner) checkpointInterval() time.Duration {
	return max(busyCheckpointInterval, time.Duration(p.members)*busyCheckpointIntervalPerRouter)
}

// needsFirstLimit reports whether this router's grant of a workspace should grow now or soon, but cannot until a checkpoint
// names the workspace.
func (p *Planner) needsFirstLimit(now time.Time, a *account) bool {
	return !p.hasLimit(a) && p.mayDraw(now, a) && (len(a.waiting) > 0 || p.isHolder(a) || a.concentrated)
}

// checkpointCredit returns how many checkpoints may be written now. It grows by one in each minCheckpointInterval, up to
// maxCheckpointCredit. A router that is mostly idle can therefore write a checkpoint at once when a loan waits for it.
func (p *Planner) checkpointCredit(now time.Time) float64 {
	return min(maxCheckpointCredit, p.checkpointCreditLeft+float64(now.Sub(p.checkpointSentAt))/float64(p.minCheckpointInterval()))
}

// minCheckpointInterval returns the minimum average time between two checkpoints.
func (p *Planner) minCheckpointInterval() time.Duration {
	return checkpointPause + time.Duration(p.members)*checkpointPausePerRouter
}

// currentLimit returns the most that may be cleared of a workspace now, including what is cleared already. It is the lowest of
// the bounds that the checkpoints in force set. If a checkpoint has witnesses, its bound includes, of what needs witnesses, only
// what a quorum of them has acknowledged. The grant is not considered.
func (p *Planner) currentLimit(now time.Time, a *account) int64 {
	return p.minLimit(a, func(f checkpointLimits, limit SpendLimit) int64 {
		elapsed := now.Sub(f.basis)
		bound := limit.bound(elapsed)
		if len(f.witnesses) == 0 {
			return bound
		}
		return max(limit.unwitnessedBound(elapsed), min(bound, f.quorumTaken(a.workspace)))
	})
}

// expectedLimit returns what currentLimit would return if the witnesses had acknowledged everything.
func (p *Planner) expectedLimit(now time.Time, a *account) int64 {
	return p.minLimit(a, func(f checkpointLimits, limit SpendLimit) int64 { return limit.bound(now.Sub(f.basis)) })
}

// baseLimit returns what may be cleared of a workspace at any time until the next checkpoint, whatever the rate:
// SpendLimit.Taken plus SpendLimit.Burst, in the checkpoint in force for which the sum is lowest.
func (p *Planner) baseLimit(a *account) int64 {
	return p.minLimit(a, func(_ checkpointLimits, limit SpendLimit) int64 { return limit.unwitnessedBound(0) })
}

// minLimit returns the lowest result of bound for a workspace's spend limits in all checkpoints in force. It returns zero if
// one of these checkpoints does not name the workspace.
func (p *Planner) minLimit(a *account, bound func(checkpointLimits, SpendLimit) int64) int64 {
	if len(p.limitsInForce) == 0 {
		return 0
	}
	lowest := int64(math.MaxInt64)
	for _, f := range p.limitsInForce {
		limit, ok := f.limits[a.workspace]
		if !ok {
			return 0
		}
		lowest = min(lowest, bound(f, limit))
	}
	return lowest
}

// hasLimit reports whether every checkpoint that the store may have names the workspace. The grant grows only then: a
// successor closes only the grants of workspaces that the checkpoint in the store names.
func (p *Planner) hasLimit(a *account) bool {
	for _, f := range p.limitsInForce {
		if _, ok := f.limits[a.workspace]; !ok {
			return false
		}
	}
	return len(p.limitsInForce) > 0
}

// burst returns SpendLimit.Burst for the next checkpoint: how many of the workspace's free tokens may be cleared until the
// checkpoint that follows it. It is the result of earlyBurst, or more if checkpoints are slow or far apart or if other
// routers borrow. early is the result of earlyLimit.
func (p *Planner) burst(a *account, early int64) int64 {
	span := p.checkpointLatency
	interval := p.minCheckpointInterval()
	if interval > checkpointPause+slowStoreLatency {
		span += interval
	}
	var burst int64
	if span >= slowStoreLatency {
		burst = roundAmount(a.demand.rate * 2 * span.Seconds())
	}
	burst = max(burst, p.earlyBurst(a, early))
	// Other routers wait for loans from a holder, and a loan that must wait for the next checkpoint is mostly too late.
	burst = max(burst, roundAmount(a.peerDemand.rate*lendBurstFactor*(interval+p.checkpointLatency).Seconds()))
	return min(burst, max(0, a.free()))
}

// earlyLimit returns SpendLimit.MaxEarly for the next checkpoint: how much of a workspace its rate may let be cleared until
// outageThreshold. From then on the full rate applies. Without an early limit, responses that are ready before
// outageThreshold would have to wait. The limit is at most the fraction Settings.EarlyShare of the reserve, so that little
// is lost when all routers crash. The reserve counts as what is free or as holderShare, whichever is more, because less than
// half of the reserve is free just before the grant grows again.
func (p *Planner) earlyLimit(a *account) int64 {
	reserve := max(float64(a.free()), p.holderShare(a))
	// Without demand, the fraction initialReserveShare of the reserve is allowed.
	span := max(a.demand.rate*outageThreshold.Seconds(), initialReserveShare*reserve)
	return roundAmount(min(span, p.settings.EarlyShare*reserve))
}

// earlyBurst returns the part of the early limit that may be cleared at once and without witnesses, so that not every
// response needs a checkpoint of its own. early is the result of earlyLimit.
func (p *Planner) earlyBurst(a *account, early int64) int64 {
	if len(p.peers) == 0 {
		return early
	}
	return min(early, p.demandWithin(a, burstWindow))
}

// unwitnessedLimit returns SpendLimit.MaxUnwitnessed for the next checkpoint: the part of the early limit that needs no
// acknowledgement of witnesses. It counts as spent when the router crashes, even if other routers are up. It lets a router
// that cannot reach any other one serve its own callers. It also lets routers that are partitioned off together lend to each
// other. early is the result of earlyLimit.
func (p *Planner) unwitnessedLimit(a *account, early int64) int64 {
	if a.concentrated {
		// All of the workspace's demand is at this router, so what it may clear without witnesses is lost at once when it
		// crashes.
		return min(early, p.demandWithin(a, burstWindow))
	}
	own := max(0, a.demand.rate-a.peerDemand.rate)
	return min(early, max(p.demandWithin(a, unwitnessedWindow), roundAmount(own*outageThreshold.Seconds())))
}

// demandWithin returns the demand for a workspace within span, in tokens, but at least the need of one typical request.
func (p *Planner) demandWithin(a *account, span time.Duration) int64 {
	return max(roundAmount(a.demand.rate*span.Seconds()), roundAmount(a.typicalNeed))
}

// newLimit returns the spend limit of a workspace for the next checkpoint.
func (p *Planner) newLimit(a *account) SpendLimit {
	early := p.earlyLimit(a)
	return SpendLimit{
		Taken: a.taken, Burst: p.burst(a, early), Rate: p.limitRate(a), MaxUnwitnessed: p.unwitnessedLimit(a, early), MaxEarly: early,
	}
}

// writeCheckpoint returns the write of the next checkpoint. It counts the write as in flight and its spend limits as in
// force.
func (p *Planner) writeCheckpoint(now time.Time) StoreCall { return p.writeLimits(now, p.newLimit) }

// writeLimits returns the write of the next checkpoint with the spend limits that newLimit returns.
func (p *Planner) writeLimits(now time.Time, newLimit func(a *account) SpendLimit) StoreCall {
	p.checkpoint.Sequence++
	next := p.checkpoint
	next.Limits = map[string]SpendLimit{}
	for _, a := range p.accountsToName(now) {
		next.Limits[a.workspace] = newLimit(a)
	}
	limitRows := encodeLimits(next.Limits, p.settings.maxRowBytes())
	// Rows that are not needed any more are written without limits, because it is not known whether the store has them.
	next.LimitRows = max(next.LimitRows, len(limitRows))
	next.Witnesses = p.chooseWitnesses()
	p.limitsInForce = append(p.limitsInForce, checkpointLimits{
		sequence: next.Sequence, basis: p.checkpointBasis, limits: next.Limits, witnesses: next.Witnesses, acked: map[masticway.Incarnation]map[string]int64{},
	})
	p.checkpoint = next
	p.checkpointInFlight, p.checkpointLost = true, false
	p.checkpointCreditLeft, p.checkpointSentAt = max(0, p.checkpointCredit(now)-1), now
	key := p.checkpointKey()
	write := masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: p.checkpointVersion}},
		Puts:     append([]masticway.RowPut{{RowKey: key, Value: next.encodeOwnRow()}}, limitPuts(next.Incarnation, key.Part, limitRows, next.LimitRows)...),
	}
	p.addPredecessorRows(&write)
	return StoreCall{sequence: next.Sequence, sentAt: now, era: p.era, Write: &write}
}

// accountsToName lists the accounts that the next checkpoint must name. If it has no room for all of them, it leaves out some of which
// this router cannot have a grant yet, those without waiting requests first. isFull records whether it does.
func (p *Planner) accountsToName(now time.Time) []*account {
	var named []*account
	size := 0
	for _, a := range p.sortedAccounts {
		if p.mayHaveGrant(a) || p.wantsGrant(now, a) {
			named = append(named, a)
			size += maxLimitBytes(a.workspace)
		}
	}
	room := p.settings.maxLimitsBytes()
	p.isFull = size > room
	if !p.isFull {
		return named
	}
	slices.SortStableFunc(named, func(x, y *account) int {
		return cmp.Or(compareBool(p.mayHaveGrant(y), p.mayHaveGrant(x)), cmp.Compare(len(y.waiting), len(x.waiting)))
	})
	for i, a := range named {
		room -= maxLimitBytes(a.workspace)
		if room < 0 && !p.mayHaveGrant(a) {
			return named[:i]
		}
	}
	return named
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// limitRate returns SpendLimit.Rate for the next checkpoint: the demand plus rateDeviations standard deviations of the
// demand. Holders lend to each other during an outage of the store, so at a holder the deviation is computed for the
// requests at all holders, which is smaller. With the deviation of each holder's own requests, two power losses in one
// outage cost 13.7 s of all demand at five routers, against 10.1 s. Of all requests 0.4% were refused in an outage of 7 s
// with either.
func (p *Planner) limitRate(a *account) int64 {
	requests := a.demand.rate * demandWindow.Seconds() / max(1, a.typicalNeed)
	if p.isHolder(a) {
		requests *= float64(len(p.holders(a)))
	}
	return roundAmount(a.demand.rate * (1 + rateDeviations/math.Sqrt(max(1, requests))))
}

// mayHaveGrant reports whether this router has a grant of a workspace, or may have one, so that each checkpoint must name it.
func (p *Planner) mayHaveGrant(a *account) bool {
	return a.granted > 0 || !a.isGrantKnown() || a.taken > 0
}

// mayDraw reports whether this router draws a grant of a workspace for its requests instead of borrowing. It does not if its
// checkpoints have no room for the workspace.
func (p *Planner) mayDraw(now time.Time, a *account) bool {
	return p.wantsGrant(now, a) && !p.isLeftOut(a)
}

// isLeftOut reports whether this router's checkpoints have no room for a workspace, so that it can only borrow the tokens.
func (p *Planner) isLeftOut(a *account) bool { return p.isFull && !p.hasLimit(a) }

// wantsGrant reports whether this router should draw a grant of a workspace: as a holder, because demand is concentrated at it, or
// because it has demand and does not borrow from holders now.
func (p *Planner) wantsGrant(now time.Time, a *account) bool {
	return p.isHolder(a) || a.concentrated || (len(a.waiting) > 0 || a.demand.rate > 1) && !p.borrowsFromHolders(now, a)
}

// checkpointKey returns the key of the row of this instance's checkpoint.
func (p *Planner) checkpointKey() masticway.RowKey {
	instance := p.settings.Incarnation.Instance()
	return masticway.RowKey{Table: tableCheckpoints, Part: PartOf(instance, p.settings.Parts), Key: instance}
}

// accountParts lists the parts of the accounts table that have the rows of the configured workspaces.
func (p *Planner) accountParts() []string {
	known := map[string]bool{}
	for workspace := range p.accounts {
		known[PartOf(workspace, p.settings.Parts)] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// ownParts lists the parts with the rows of workspaces of which this router has a grant or keeps a reserve.
func (p *Planner) ownParts() []string {
	own := map[string]bool{}
	for workspace, a := range p.accounts {
		if a.granted > 0 || p.keepsReserve(a) {
			own[PartOf(workspace, p.settings.Parts)] = true
		}
	}
	return slices.Sorted(maps.Keys(own))
}

// needsFreshRow reports whether the known row of a workspace shows too little for the first waiting request but is older
// than rowTTL. The row must then be read again before the budget is found exhausted.
func (p *Planner) needsFreshRow(now time.Time, a *account) bool {
	return len(a.waiting) > 0 && a.rowKnown && p.exceedsBudget(a, a.waiting[0].need) && now.Sub(a.rowSeenAt) >= rowTTL
}

// changeGrant returns the write that changes a workspace's grant by delta tokens, and counts the change as in flight. Each
// workspace has its own write, so that a conflict on one row affects no other workspace. It returns false if the row has no room for
// a further grant; other routers may lend the tokens.
func (p *Planner) changeGrant(now time.Time, a *account, delta int64) (StoreCall, bool) {
	next := p.withLost(now, a, a.newestRow()).withoutOldEnded(p.storeNow(now)).WithGrant(p.settings.Incarnation, Grant{
		Granted: a.granted + delta, Taken: a.taken, Demand: roundAmount(a.demand.rate), Sequence: a.sequence + 1,
	})
	key, value := accountKey(a.workspace, p.settings.Parts), encode(next)
	if _, known := a.row.Grants[p.settings.Incarnation]; !known && delta > 0 && len(value) > p.settings.maxRowBytes()/8*7 {
		a.retryAt = now.Add(rejectedRetryInterval)
		return StoreCall{}, false
	}
	a.changeInFlight, a.returning = true, max(0, -delta)
	return StoreCall{
		Part: key.Part, Workspace: a.workspace, sentAt: now, era: p.era,
		Write: &masticway.RowWrite{
			Expected: []masticway.RowVersion{{RowKey: key, Version: a.rowVersion}},
			Puts:     []masticway.RowPut{{RowKey: key, Value: value}},
		},
	}, true
}

// newestRow returns the known row with the prepaid amount of the newest configuration that this router or the row has.
func (a *account) newestRow() Account {
	row := a.row
	row.Prepaid, row.Version = a.currentPrepaid(), max(a.configVersion, row.Version)
	return row
}

// grantDelta returns by how many tokens the grant should grow now. If the result is negative, that many tokens should be
// returned to the workspace. As a side effect it updates surplusSince.
func (p *Planner) grantDelta(now time.Time, a *account) int64 {
	free := a.free()
	left := a.ungranted()
	if p.closing {
		return -max(0, free)
	}
	if !p.isSettled(now) || a.restoring {
		return 0
	}
	if left < 0 {
		// The budget was lowered below the sum of what is closed and granted: return what is not taken.
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
		// While many routers start, each of them knows only a few peers and therefore finds that it is a holder of most
		// workspaces.
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
