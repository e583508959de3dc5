package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Policy chooses how much a draw takes.
type Policy string

// The draw policies: forecast follows demand, slice is the baseline of one fixed part for each router.
const (
	PolicyForecast Policy = "forecast"
	PolicySlice    Policy = "slice"
)

// maxRecent bounds the identities remembered after they were settled.
const maxRecent = 50_000

// Settings are the tunables of a keeper.
type Settings struct {
	Incarnation masticway.Incarnation
	Policy      Policy
	// Slices is the number of routers that share a budget under PolicySlice.
	Slices int
	// IdleAfter is how long a budget must be quiet before its money goes back and its state is dropped.
	IdleAfter time.Duration
}

// HoldRequest asks for money for one attempt.
type HoldRequest struct {
	ID       masticway.HoldID
	Budget   string
	Identity masticway.Identity
	Sender   masticway.Incarnation
	// Most is the bound on the cost, and Least the smallest hold that is of use.
	Most  masticway.Amount `cbor:"Most"`
	Least masticway.Amount `cbor:"Least"`
	// Tracked asks the keeper to recognise a second request with the same identity.
	Tracked bool
	// Again tells that the run of the first one ended early, so that there is no whole answer to share.
	Again   bool          `cbor:"Again"`
	Horizon time.Duration
	Wait    time.Duration `cbor:"Wait"`
}

// Verdict is the answer to a hold request.
type Verdict string

// The verdicts of a keeper; exhausted and unreachable are different refusals.
const (
	VerdictHeld        Verdict = "held"
	VerdictDuplicate   Verdict = "duplicate"
	VerdictExhausted   Verdict = "exhausted"
	VerdictUnreachable Verdict = "unreachable"
	// VerdictElsewhere comes from a router that is leaving or sealed and keeps no budget any more.
	VerdictElsewhere Verdict = "elsewhere"
)

// Charge is what one sidecar ran for a hold.
type Charge struct {
	Sidecar masticway.Incarnation `cbor:"1,keyasint"`
	Amount  masticway.Amount      `cbor:"2,keyasint"`
	// Presumed tells that the sidecar is gone, and that this is the most that it may have run.
	Presumed bool `cbor:"3,keyasint,omitempty"`
}

// Keeper holds the money of one incarnation; it is not safe for concurrent use.
type Keeper struct {
	settings        Settings
	accounts        map[string]*account
	holds           map[masticway.HoldID]*hold
	waitingAccounts map[masticway.HoldID]*account
	tracked         map[masticway.Identity]masticway.HoldID
	senders         map[masticway.HoldID]masticway.Incarnation
	recent          []masticway.Identity
	lastGrantNumber int64
	started         time.Time
	// chartError is the first step that a chart did not allow; it is a defect of this package.
	chartError error
}

// New returns a keeper without money.
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

// Started returns when the keeper began to remember identities.
func (k *Keeper) Started() time.Time { return k.started }

// Hold takes money for one attempt, or queues the request until money comes or its wait ends.
func (k *Keeper) Hold(now time.Time, r HoldRequest) []Effect {
	if held, ok := k.holds[r.ID]; ok {
		return []Effect{Reply{ID: r.ID, Verdict: VerdictHeld, Grant: held.account.grant, Amount: held.amount}}
	}
	if r.Tracked {
		first, ok := k.tracked[r.Identity]
		_, open := k.holds[first]
		_, waits := k.waitingAccounts[first]
		if ok && first != r.ID && (open || waits || !r.Again) {
			return []Effect{Reply{ID: r.ID, Verdict: VerdictDuplicate, Sender: k.senders[first], Open: open || waits}}
		}
		k.track(r)
	}
	a := k.account(r.Budget)
	k.waitingAccounts[r.ID] = a
	a.recordDemand(now, r)
	a.waiters = append(a.waiters, waiter{request: r, since: now, deadline: now.Add(r.Wait)})
	return k.serveWaiters(now, a)
}

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

// untrack lets a request that got no money be asked for again.
func (k *Keeper) untrack(r HoldRequest) {
	if k.tracked[r.Identity] != r.ID {
		return
	}
	delete(k.tracked, r.Identity)
	delete(k.senders, r.ID)
}

func (k *Keeper) account(budget string) *account {
	a, ok := k.accounts[budget]
	if !ok {
		a = &account{budget: budget, state: grantChart.Initial(), bySidecar: map[masticway.Incarnation]masticway.Amount{}}
		k.accounts[budget] = a
	}
	return a
}

// Resize shrinks a hold once its true bound is known; a hold never grows.
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

// Settle ends a hold with its true cost; a repeated report has no effect.
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
	// The forecast counted the bound; correct it towards what was used.
	a.demandRate = max(0, a.demandRate-float64(h.request.Most-cost)/rateWindow.Seconds())
	if cost == 0 || answerLost {
		// Nothing ran, or its answer went with its sidecar: the same identity may run.
		k.untrack(h.request)
	}
	return k.serveWaiters(now, a)
}

// cancelWait drops a request that still waits, because its sender has given up on it.
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

// serveWaiters answers waiting requests in order and starts a draw where money is short.
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

// decide answers a waiting request if it can be answered now.
//
// A refusal needs a look at the table that began after the request came, so
// that a top-up just made is never overlooked.
func (k *Keeper) decide(now time.Time, a *account, w waiter) (Reply, bool) {
	free := a.free()
	r := w.request
	if free >= r.Most {
		return k.takeHold(now, a, w, r.Most), true
	}
	isFresh := a.tableRead && !a.isMoving() && !a.lastMoveFailed && !a.readAt.Before(w.since)
	if isFresh && free >= r.Least {
		share := free / masticway.Amount(len(a.waiters)+1)
		return k.takeHold(now, a, w, min(r.Most, max(r.Least, share))), true
	}
	if isFresh && free+a.held+a.remaining+a.othersOpen < r.Least {
		return k.refuse(now, w, VerdictExhausted), true
	}
	if now.Before(w.deadline) {
		return Reply{}, false
	}
	// Money that others hold, perhaps a router that just died, is not exhausted: it can come back.
	if !isFresh || free+a.remaining+a.othersOpen >= r.Least {
		return k.refuse(now, w, VerdictUnreachable), true
	}
	return k.refuse(now, w, VerdictExhausted), true
}

func (k *Keeper) takeHold(now time.Time, a *account, w waiter, amount masticway.Amount) Reply {
	r := w.request
	a.held += amount
	a.holdCount++
	h := &hold{request: r, amount: amount, account: a, opened: now, state: holdChart.Initial()}
	k.stepHold(h, eventTaken)
	k.holds[r.ID] = h
	return Reply{ID: r.ID, Verdict: VerdictHeld, Grant: a.grant, Amount: amount, Waited: now.Sub(w.since)}
}

func (k *Keeper) refuse(now time.Time, w waiter, v Verdict) Reply {
	k.untrack(w.request)
	return Reply{ID: w.request.ID, Verdict: v, Waited: now.Sub(w.since)}
}

// Tick ends waits that are over and draws for those that go on; its cost follows the requests that wait.
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

// Budgets lists the budgets in memory, in a fixed order.
func (k *Keeper) Budgets() []string { return k.sortedBudgets() }

// sortedBudgets lists accounts in a fixed order, so that the same events give the same effects.
func (k *Keeper) sortedBudgets() []string {
	names := make([]string, 0, len(k.accounts))
	for n := range k.accounts {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
