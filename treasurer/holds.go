package treasurer

import (
	"slices"
	"time"
)

// hold is what was reserved for a request, or for a loan to another router: an amount of this router's grant, and borrowed
// loans. It is cleared once the response may be sent or the loan may be handed over.
type hold struct {
	account *account
	amount  int64
	loans   []Loan
	cleared bool
}

// settle gives back to the account what was not used of the hold. Loans count as used first. The part of used that exceeds
// the hold is ignored. If the hold is not cleared, nothing counts as used.
func (h hold) settle(used int64) {
	if !h.cleared {
		used = 0
	}
	for _, l := range h.loans {
		spent := min(used, l.Amount)
		used -= spent
		l.Amount -= spent
		h.account.addLoan(l)
	}
	unused := h.amount - min(h.amount, used)
	h.account.taken -= unused
	if h.cleared {
		h.account.cleared -= unused
	}
}

// Hold reserves tokens for a request, or queues the request until its deadline. The replies may include replies to other
// requests and holds of the workspace. For a workspace without a budget the verdict is VerdictUnreachable.
func (p *Planner) Hold(now time.Time, workspace string, need int64, deadline time.Time) (HoldID, []Reply) {
	p.lastHold++
	id := p.lastHold
	a, ok := p.accounts[workspace]
	if !ok {
		return id, []Reply{{ID: id, Verdict: VerdictUnreachable}}
	}
	need = boundedNeed(need)
	a.observeDemand(now, need)
	a.arrivals.add(now, 1)
	a.waiting = append(a.waiting, waiter{id: id, need: need, since: now, deadline: deadline})
	return id, p.serveQueue(now, a)
}

// Settle ends a hold. used is how many of its tokens were used; the others are free again. If there is no such hold but the
// request still waits, the request is dropped.
func (p *Planner) Settle(now time.Time, id HoldID, used int64) []Reply {
	h, ok := p.holds[id]
	if !ok {
		p.dropWaiter(id)
		return nil
	}
	delete(p.holds, id)
	h.settle(boundedAmount(used))
	h.account.awaitingClearance = slices.DeleteFunc(h.account.awaitingClearance, func(g HoldID) bool { return g == id })
	return p.serveQueue(now, h.account)
}

// Clear asks for clearance of a hold. No part of the response may be sent before a reply with VerdictCleared, which a later
// call of the planner may return. If there is no such hold, there is never a reply.
func (p *Planner) Clear(now time.Time, id HoldID) []Reply {
	h, ok := p.holds[id]
	if !ok {
		return nil
	}
	h.account.awaitingClearance = append(h.account.awaitingClearance, id)
	return p.clearHolds(now, h.account)
}

// clearHolds clears those holds of a workspace that wait for clearance and fit within currentLimit. A hold that does not fit does
// not stop smaller ones behind it.
func (p *Planner) clearHolds(now time.Time, a *account) []Reply {
	var replies []Reply
	var blocked []HoldID
	for _, id := range a.awaitingClearance {
		h := p.holds[id]
		if !h.cleared && a.cleared+h.amount > p.currentLimit(now, a) {
			blocked = append(blocked, id)
			continue
		}
		if !h.cleared {
			h.cleared = true
			a.cleared += h.amount
		}
		replies = append(replies, Reply{ID: id, Verdict: VerdictCleared})
	}
	a.awaitingClearance = blocked
	return replies
}

// dropWaiter removes a request from its queue, if it is there.
func (p *Planner) dropWaiter(id HoldID) {
	for _, a := range p.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.id == id })
	}
}

// serveQueue clears the holds of a workspace that can be cleared. Then it answers the waiting requests in order, until it
// meets one that must go on waiting.
func (p *Planner) serveQueue(now time.Time, a *account) []Reply {
	replies := p.clearHolds(now, a)
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		verdict, ok := p.decide(now, a, w)
		if !ok {
			break
		}
		if verdict == VerdictHeld {
			own := min(w.need, p.available(now, a))
			a.taken += own
			p.holds[w.id] = &hold{account: a, amount: own, loans: a.takeLoans(w.need - own)}
		}
		a.waiting = a.waiting[1:]
		replies = append(replies, Reply{
			ID: w.id, Verdict: verdict, Waited: now.Sub(w.since), Prepaid: a.prepaid, Ungranted: a.ungranted(), Free: a.free(),
			Available: p.available(now, a) + a.loanBalance(), RowAge: now.Sub(a.rowSeenAt), AskedPeers: !a.borrowedAt.Before(w.since),
		})
	}
	return replies
}

// decide returns the verdict on a waiting request and true. It returns false if the request must go on waiting.
func (p *Planner) decide(now time.Time, a *account, w waiter) (Verdict, bool) {
	if w.need <= p.available(now, a)+a.loanBalance() {
		return VerdictHeld, true
	}
	if w.need > a.currentPrepaid() && p.started && now.Sub(p.startedAt) > startupGrace {
		return VerdictExhausted, true
	}
	if p.isRejected && !p.started {
		// Without its first checkpoint this router does not ask others either.
		return VerdictUnreachable, true
	}
	if now.Before(w.deadline) && (a.borrowing || a.borrowedAt.Before(w.since) && now.Sub(a.shortfallAt) > p.borrowRetryInterval(a)) {
		// Other routers may have the tokens.
		return "", false
	}
	if len(p.peers) > 0 && !a.allAnswered {
		// A router that did not answer may have the tokens.
		return p.decideUnreachable(now, a, w)
	}
	fresh := a.rowKnown && (!a.rowSeenAt.Before(w.since) || now.Sub(a.rowSeenAt) < rowTTL)
	isComplete := fresh && !a.restoring && p.isSettled(now)
	isExhausted := isComplete && p.exceedsBudget(a, w.need) || p.exceedsLendersBudget(now, a, w.need)
	if isExhausted && now.Sub(p.startedAt) > startupGrace {
		return VerdictExhausted, true
	}
	return p.decideUnreachable(now, a, w)
}

// decideUnreachable returns VerdictUnreachable and true if the request's deadline has passed, or if waiting is pointless. While
// the store is unavailable, waiting is pointless, except at a router that borrows from holders: its holders can lend more as time
// passes, because their spend limits grow. It is also pointless if the store rejects this router's rows or they have no room for the
// workspace.
func (p *Planner) decideUnreachable(now time.Time, a *account, w waiter) (Verdict, bool) {
	if p.isStoreUnavailable(now) && !p.borrowsFromHolders(now, a) || p.isRejected || p.isLeftOut(a) || !now.Before(w.deadline) {
		return VerdictUnreachable, true
	}
	return "", false
}

// exceedsBudget reports whether a need exceeds the sum of what is ungranted by the known row, what is free in this router's
// grant, and what is left of its loans. It returns false while a change of the grant is in flight or of unknown outcome.
func (p *Planner) exceedsBudget(a *account, need int64) bool {
	return need > a.ungranted()+max(0, a.free())+a.loanBalance() && a.isGrantKnown()
}

// exceedsLendersBudget is like exceedsBudget for a router that borrows from holders, by what a lender has said of the budget within
// rowTTL. The router's own row may be old. It returns false if the lender did not know the newest configuration.
func (p *Planner) exceedsLendersBudget(now time.Time, a *account, need int64) bool {
	if !p.borrowsFromHolders(now, a) || !a.news.IsKnown || now.Sub(a.news.at) >= rowTTL || a.news.Version < a.configVersion {
		return false
	}
	return need > a.news.Ungranted+max(0, a.free())+a.loanBalance() && a.isGrantKnown()
}

// isStoreUnavailable reports whether the store has failed for longer than unavailableAfter.
func (p *Planner) isStoreUnavailable(now time.Time) bool {
	return !p.failingSince.IsZero() && now.Sub(p.failingSince) > unavailableAfter
}
