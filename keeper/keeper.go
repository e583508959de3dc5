package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Policy determines how much a draw takes.
type Policy string

// The draw policies. PolicyForecast draws as much as the forecast demand requires. Under PolicySlice each router draws one
// fixed share of a budget; it is the baseline for comparison.
const (
	PolicyForecast Policy = "forecast"
	PolicySlice    Policy = "slice"
)

// maxRecent is the maximum length of the list of recently tracked identities. An identity that leaves the list is no longer
// tracked, unless its hold is open or the list holds it again.
const maxRecent = 50_000

// Settings configure a keeper.
type Settings struct {
	Incarnation masticway.Incarnation
	Policy      Policy
	// Slices is the number of routers that share a budget under PolicySlice. Other policies ignore it.
	Slices int
	// IdleTimeout is the time without hold requests after which ReleaseIdle returns a budget's free money and closes its
	// grant. While holds are open, it keeps the grant and returns only the free money beyond surplusFactor times the
	// forecast demand (under PolicySlice nothing).
	IdleTimeout time.Duration
}

// HoldRequest asks for a hold for one attempt.
//
// It is encoded in CBOR as part of linker.Message, under the names of its fields and tags.
type HoldRequest struct {
	ID       masticway.HoldID
	Budget   string
	Identity masticway.Identity
	Sender   masticway.Incarnation
	// MaxAmount is the maximum cost of the attempt.
	MaxAmount masticway.Amount `cbor:"Most"`
	// MinAmount is the smallest hold that the attempt can run with.
	MinAmount masticway.Amount `cbor:"Least"`
	// Tracked is set if the request must not run twice. The keeper then remembers its Identity. If an earlier tracked
	// request had this identity, the keeper may answer with ResultDuplicate; see Keeper.Hold.
	Tracked bool
	// FirstIncomplete is set by a sender that knows that an earlier run with the same Identity ended without a complete
	// answer. The keeper then does not treat the request as a duplicate of one that has been settled.
	FirstIncomplete bool `cbor:"Again"`
	// Horizon is the time over which the forecast demand is summed for the next draws of the budget. If it is zero,
	// defaultHorizon applies.
	Horizon time.Duration
	// MaxWait is how long the request may wait for money.
	MaxWait time.Duration `cbor:"Wait"`
}

// HoldResult is the result of a hold request.
type HoldResult string

// The results of a hold request. ResultDuplicate means that an earlier request had the same identity. ResultExhausted means
// that the budget has too little money left. ResultUnreachable means that the budget may have enough, but that it could not
// be obtained in time.
const (
	ResultHeld        HoldResult = "held"
	ResultDuplicate   HoldResult = "duplicate"
	ResultExhausted   HoldResult = "exhausted"
	ResultUnreachable HoldResult = "unreachable"
	// ResultNotKeeper is the answer of a router that is draining or sealed and therefore keeps no budgets. Type Keeper never
	// returns it.
	ResultNotKeeper HoldResult = "elsewhere"
)

// Charge is the cost of what one sidecar ran for a hold.
type Charge struct {
	Sidecar masticway.Incarnation `cbor:"1,keyasint"`
	Amount  masticway.Amount      `cbor:"2,keyasint"`
	// Presumed is set if the sidecar was lost, so that the true cost is unknown. Amount is then the maximum cost of what the
	// sidecar may have run.
	Presumed bool `cbor:"3,keyasint,omitempty"`
}

// Keeper manages the grants and holds of one incarnation. It is not safe for concurrent use.
type Keeper struct {
	settings Settings
	// accounts holds the accounts by budget.
	accounts map[string]*account
	holds    map[masticway.HoldID]*hold
	// waitingAccounts holds the account of each request that waits for money.
	waitingAccounts map[masticway.HoldID]*account
	// tracked holds the hold id of the latest request with each identity that must not run twice.
	tracked map[masticway.Identity]masticway.HoldID
	// senders holds the sender of each tracked request, by hold id.
	senders map[masticway.HoldID]masticway.Incarnation
	// recent lists the identities that were tracked last, oldest first, at most maxRecent. It may hold an identity twice and
	// identities that are no longer tracked.
	recent          []masticway.Identity
	lastGrantNumber int64
	started         time.Time
	// chartError describes the first event that a state chart did not allow. If it is set, this package has a bug.
	chartError error
}

// New returns a keeper that has no grants and has tracked identities since now.
func New(s Settings, now time.Time) *Keeper {
	return &Keeper{
		settings:        s,
		accounts:        map[string]*account{},
		holds:           map[masticway.HoldID]*hold{},
		waitingAccounts: map[masticway.HoldID]*account{},
		tracked:         map[masticway.Identity]masticway.HoldID{},
		senders:         map[masticway.HoldID]masticway.Incarnation{},
		started:         now,
	}
}

// Started returns when the keeper began to track identities.
func (k *Keeper) Started() time.Time { return k.started }

// Hold reserves money for one attempt. If that is not possible yet, it queues the request until there is money, the budget
// is known to be exhausted, or the request's MaxWait is over.
//
// If the request already has a hold, Hold answers with that hold again. A tracked request is a duplicate if an earlier
// request with its identity waits or has an open hold. It is also a duplicate if the earlier request has been settled and is
// still tracked, unless FirstIncomplete is set.
func (k *Keeper) Hold(now time.Time, r HoldRequest) []Effect {
	if held, ok := k.holds[r.ID]; ok {
		return []Effect{Reply{ID: r.ID, Result: ResultHeld, Grant: held.account.grant, Amount: held.amount}}
	}
	if r.Tracked {
		first, ok := k.tracked[r.Identity]
		_, open := k.holds[first]
		_, waits := k.waitingAccounts[first]
		if ok && first != r.ID && (open || waits || !r.FirstIncomplete) {
			return []Effect{Reply{ID: r.ID, Result: ResultDuplicate, Sender: k.senders[first], InProgress: open || waits}}
		}
		k.track(r)
	}
	a := k.account(r.Budget)
	k.waitingAccounts[r.ID] = a
	a.recordDemand(now, r)
	a.waiters = append(a.waiters, waiter{request: r, since: now, deadline: now.Add(r.MaxWait)})
	return k.serveWaiters(now, a)
}

// track records a request's identity. If the list of recent identities then has more than maxRecent entries, it removes the
// oldest entry. It also stops tracking that identity, unless its hold is open or the list holds it again.
func (k *Keeper) track(r HoldRequest) {
	k.tracked[r.Identity] = r.ID
	k.senders[r.ID] = r.Sender
	k.recent = append(k.recent, r.Identity)
	if len(k.recent) <= maxRecent {
		return
	}
	oldest := k.recent[0]
	k.recent = k.recent[1:]
	id := k.tracked[oldest]
	if _, open := k.holds[id]; !open && !slices.Contains(k.recent, oldest) {
		delete(k.tracked, oldest)
		delete(k.senders, id)
	}
}

// untrack drops a request's identity, so that a later request with this identity is no duplicate. It does nothing if a later
// request has already taken over the identity.
func (k *Keeper) untrack(r HoldRequest) {
	if k.tracked[r.Identity] != r.ID {
		return
	}
	delete(k.tracked, r.Identity)
	delete(k.senders, r.ID)
}

// account returns the account of a budget. It creates the account if there is none.
func (k *Keeper) account(budget string) *account {
	a, ok := k.accounts[budget]
	if !ok {
		a = &account{budget: budget, state: grantChart.Initial(), bySidecar: map[masticway.Incarnation]masticway.Amount{}}
		k.accounts[budget] = a
	}
	return a
}

// Resize reduces a hold after a smaller maximum cost has become known. It ignores a larger amount and an unknown hold.
func (k *Keeper) Resize(now time.Time, id masticway.HoldID, amount masticway.Amount) []Effect {
	h, ok := k.holds[id]
	if !ok || amount >= h.amount {
		return nil
	}
	k.stepHold(h, eventShrunk)
	h.account.held -= h.amount - amount
	h.amount = amount
	return k.serveWaiters(now, h.account)
}

// Settle ends a hold and charges its cost to the grant. A second call for the hold has no effect. If the request still waits
// for money, Settle cancels it without a reply.
func (k *Keeper) Settle(now time.Time, id masticway.HoldID, charges []Charge) []Effect {
	h, ok := k.holds[id]
	if !ok {
		k.cancelWait(id)
		return nil
	}
	delete(k.holds, id)
	k.stepHold(h, eventSettled)
	a := h.account
	a.held -= h.amount
	a.holdCount--
	var cost masticway.Amount
	answerLost := false
	for _, c := range charges {
		cost += c.Amount
		a.bySidecar[c.Sidecar] += c.Amount
		if c.Presumed {
			a.presumed += c.Amount
			answerLost = true
		}
	}
	a.spent += cost
	// The demand rate includes the maximum cost of the hold; replace it by the true cost.
	a.demandRate = max(0, a.demandRate-float64(h.request.MaxAmount-cost)/rateWindow.Seconds())
	if cost == 0 || answerLost {
		// Nothing ran, or the answer was lost with its sidecar, so the same identity may run again.
		k.untrack(h.request)
	}
	return k.serveWaiters(now, a)
}

// cancelWait drops a request that still waits for money. It sends no reply. It does nothing if the request does not wait.
func (k *Keeper) cancelWait(id masticway.HoldID) {
	a, ok := k.waitingAccounts[id]
	if !ok {
		return
	}
	delete(k.waitingAccounts, id)
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool {
		if w.request.ID == id {
			k.untrack(w.request)
		}
		return w.request.ID == id
	})
}

// serveWaiters answers the waiting requests of an account in order, up to the first that must go on waiting. It then starts
// a draw if money is short (drawIfShort).
func (k *Keeper) serveWaiters(now time.Time, a *account) []Effect {
	var effects []Effect
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		reply, ok := k.decide(now, a, w)
		if !ok {
			break
		}
		a.waiters = a.waiters[1:]
		delete(k.waitingAccounts, w.request.ID)
		effects = append(effects, reply)
	}
	return append(effects, k.drawIfShort(now, a)...)
}

// decide takes a hold for a waiting request or refuses it, and returns the reply. It returns false if the request must go on
// waiting.
//
// It refuses with ResultExhausted only if the last read of the table began at or after the arrival of the request, so that
// it does not miss a recent top-up.
func (k *Keeper) decide(now time.Time, a *account, w waiter) (Reply, bool) {
	free := a.free()
	r := w.request
	if free >= r.MaxAmount {
		return k.takeHold(now, a, w, r.MaxAmount), true
	}
	isFresh := a.tableRead && !a.isMoving() && !a.lastMoveFailed && !a.readAt.Before(w.since)
	if isFresh && free >= r.MinAmount {
		share := free / masticway.Amount(len(a.waiters)+1)
		return k.takeHold(now, a, w, min(r.MaxAmount, max(r.MinAmount, share))), true
	}
	if isFresh && free+a.held+a.remaining+a.othersOpen < r.MinAmount {
		return k.refuse(now, w, ResultExhausted), true
	}
	if now.Before(w.deadline) {
		return Reply{}, false
	}
	// Money in other routers' grants is not exhausted: it can be returned, also by the recovery of a router that crashed.
	if !isFresh || free+a.remaining+a.othersOpen >= r.MinAmount {
		return k.refuse(now, w, ResultUnreachable), true
	}
	return k.refuse(now, w, ResultExhausted), true
}

func (k *Keeper) takeHold(now time.Time, a *account, w waiter, amount masticway.Amount) Reply {
	r := w.request
	a.held += amount
	a.holdCount++
	h := &hold{request: r, amount: amount, account: a, opened: now, state: holdChart.Initial()}
	k.stepHold(h, eventTaken)
	k.holds[r.ID] = h
	return Reply{ID: r.ID, Result: ResultHeld, Grant: a.grant, Amount: amount, Waited: now.Sub(w.since)}
}

func (k *Keeper) refuse(now time.Time, w waiter, result HoldResult) Reply {
	k.untrack(w.request)
	return Reply{ID: w.request.ID, Result: result, Waited: now.Sub(w.since)}
}

// Tick answers the waiting requests that can be answered now, for example because their deadline has passed, and starts
// draws for the others. The requests for a budget are answered in order, so a reply may come later than the deadline. Tick
// visits only budgets for which requests wait.
func (k *Keeper) Tick(now time.Time) []Effect {
	if len(k.waitingAccounts) == 0 {
		return nil
	}
	waiting := map[string]bool{}
	for _, a := range k.waitingAccounts {
		waiting[a.budget] = true
	}
	var effects []Effect
	for _, budget := range slices.Sorted(maps.Keys(waiting)) {
		effects = append(effects, k.serveWaiters(now, k.accounts[budget])...)
	}
	return effects
}

// Budgets returns the budgets in memory, sorted.
func (k *Keeper) Budgets() []string { return k.sortedBudgets() }

// sortedBudgets returns the budgets in memory in a fixed order, so that the same events give the same effects.
func (k *Keeper) sortedBudgets() []string {
	names := make([]string, 0, len(k.accounts))
	for n := range k.accounts {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
