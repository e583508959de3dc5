package treasurer

import (
	"slices"
	"time"
)

// hold is the money of one request: an amount of the router's own, and loans.
type hold struct {
	account *account
	amount  int64
	loans   []Loan
	cleared bool
}

// settle gives back what was not used, borrowed money first; nothing can have been used of a hold that is not cleared.
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
	back := h.amount - min(h.amount, used)
	h.account.taken -= back
	if h.cleared {
		h.account.cleared -= back
	}
}

// Hold takes money for one request, or queues it until its deadline; workspaces that are not metered hold nothing.
func (p *Planner) Hold(now time.Time, workspace string, need int64, deadline time.Time) (HoldID, []Reply) {
	p.lastHold++
	id := p.lastHold
	a, ok := p.accounts[workspace]
	if !ok {
		return id, []Reply{{ID: id, Verdict: VerdictUnreachable}}
	}
	a.observeDemand(now, need)
	a.arrivals.add(now, 1)
	a.waiting = append(a.waiting, waiter{id: id, need: need, since: now, deadline: deadline})
	return id, p.serveQueue(now, a)
}

// Settle ends a hold with what was used of it; a hold that is not known has no effect.
func (p *Planner) Settle(now time.Time, id HoldID, used int64) []Reply {
	h, ok := p.holds[id]
	if !ok {
		p.dropWaiter(id)
		return nil
	}
	delete(p.holds, id)
	h.settle(max(0, used))
	h.account.awaitingClearance = slices.DeleteFunc(h.account.awaitingClearance, func(g HoldID) bool { return g == id })
	return p.serveQueue(now, h.account)
}

// Clear asks that a hold's answer may go to the caller; the reply says when. Until then nothing of it may be given.
func (p *Planner) Clear(now time.Time, id HoldID) []Reply {
	h, ok := p.holds[id]
	if !ok {
		return nil
	}
	h.account.awaitingClearance = append(h.account.awaitingClearance, id)
	return p.clearHolds(now, h.account)
}

// clearHolds clears holds as far as every promise allows; a small one need not wait for a great one before it.
func (p *Planner) clearHolds(now time.Time, a *account) []Reply {
	var replies []Reply
	var shut []HoldID
	for _, id := range a.awaitingClearance {
		h := p.holds[id]
		if !h.cleared && a.cleared+h.amount > p.currentLimit(now, a) {
			shut = append(shut, id)
			continue
		}
		if !h.cleared {
			h.cleared = true
			a.cleared += h.amount
		}
		replies = append(replies, Reply{ID: id, Verdict: VerdictCleared})
	}
	a.awaitingClearance = shut
	return replies
}

// dropWaiter drops a request that has stopped waiting.
func (p *Planner) dropWaiter(id HoldID) {
	for _, a := range p.accounts {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.id == id })
	}
}

// serveQueue answers the requests that can be answered now, in their order.
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
			ID: w.id, Verdict: verdict, Waited: now.Sub(w.since), Prepaid: a.prepaid, Left: a.ungranted(), Free: a.free(),
			Own: p.available(now, a) + a.loanBalance(), RowAge: now.Sub(a.rowSeenAt), Asked: !a.borrowedAt.Before(w.since),
		})
	}
	return replies
}

func (p *Planner) decide(now time.Time, a *account, w waiter) (Verdict, bool) {
	if w.need <= p.available(now, a)+a.loanBalance() {
		return VerdictHeld, true
	}
	if now.Before(w.deadline) && (a.borrowing || a.borrowedAt.Before(w.since) && now.Sub(a.shortfallAt) > p.borrowRetryInterval(a)) {
		// Others may have it.
		return "", false
	}
	if len(p.peers) > 0 && !a.allAnswered {
		// Who did not answer may have it.
		return p.decideUnreachable(now, a, w)
	}
	fresh := a.rowKnown && (!a.rowSeenAt.Before(w.since) || now.Sub(a.rowSeenAt) < rowTTL)
	if fresh && p.exceedsBudget(a, w.need) && now.Sub(p.startedAt) > startupGrace {
		return VerdictExhausted, true
	}
	return p.decideUnreachable(now, a, w)
}

// decideUnreachable ends a wait that is over, or in vain: a holder has nothing to wait for while the store is away, but what it
// may lend others grows with the time that the store is silent.
func (p *Planner) decideUnreachable(now time.Time, a *account, w waiter) (Verdict, bool) {
	if p.isStoreUnavailable(now) && !p.borrowsFromHolders(now, a) || !now.Before(w.deadline) {
		return VerdictUnreachable, true
	}
	return "", false
}

// exceedsBudget tells that a need certainly exceeds what is left and what this router has in hand.
func (p *Planner) exceedsBudget(a *account, need int64) bool {
	return need > a.ungranted()+max(0, a.free())+a.loanBalance() && a.isGrantKnown()
}

// isStoreUnavailable tells that the store has failed for a while.
func (p *Planner) isStoreUnavailable(now time.Time) bool {
	return !p.failingSince.IsZero() && now.Sub(p.failingSince) > unavailableAfter
}
