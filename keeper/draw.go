package keeper

import (
	"time"

	"github.com/masticway/masticway"
)

const (
	// lowWater is the part of the horizon's demand below which the next draw starts early.
	lowWater = 0.25
	// retryPause separates attempts to draw after a refusal or an outage.
	retryPause = 100 * time.Millisecond
)

// draw starts a move when money is short or will soon be.
func (k *Keeper) draw(now time.Time, a *account) []Effect {
	if a.moving() || now.Before(a.retryAt) {
		return nil
	}
	var need, want masticway.Amount
	for _, w := range a.waiting {
		need += w.request.Least
		want += w.request.Most
	}
	forecast := a.forecast()
	short := len(a.waiting) > 0
	early := k.settings.Policy != PolicySlice && a.grant.Number != 0 && a.left > 0 &&
		float64(a.free()) < lowWater*float64(forecast)
	if !short && !early {
		return nil
	}
	var effects []Effect
	if short && a.known && a.left == 0 && a.elsewhere > 0 {
		effects = append(effects, AskPeers{Budget: a.budget, Payers: a.others})
	}
	m := Move{Need: max(0, need-a.free()), Want: max(0, want+forecast-a.free())}
	if k.settings.Policy == PolicySlice {
		m.Fixed = k.settings.Slices
	}
	return append(effects, k.start(now, a, m))
}

func (k *Keeper) start(now time.Time, a *account, m Move) Move {
	if a.grant.Number == 0 {
		k.number++
		a.grant = masticway.GrantKey{Budget: a.budget, Payer: k.settings.Incarnation, Number: k.number}
	}
	event := eventMove
	if m.Close {
		event = eventClose
	}
	k.stepGrant(a, event)
	a.startedAt = now
	a.seq++
	a.retryAt = now.Add(retryPause)
	// What is on its way back must not be held meanwhile.
	a.returned += m.Return
	m.Grant = a.grant
	m.Spent = a.spent
	m.Presumed = a.presumed
	m.DrawnBefore = a.drawn
	m.Seq = a.seq
	return m
}

// Moved takes the result of a move and serves those who waited for it.
func (k *Keeper) Moved(now time.Time, r MoveResult) []Effect {
	a, ok := k.accounts[r.Move.Grant.Budget]
	if !ok || a.grant != r.Move.Grant {
		return nil
	}
	k.stepGrant(a, answerTo(r))
	a.failed = r.Failed
	if r.Failed {
		a.returned -= r.Move.Return
		return k.serve(now, a)
	}
	a.known = true
	a.askedAt = a.startedAt
	a.drawn += r.Drawn
	a.left = r.Left
	a.elsewhere = r.Elsewhere
	a.others = r.Others
	if k.settings.Policy == PolicySlice {
		a.left = 0
		a.elsewhere = 0
	}
	if r.Drawn > 0 {
		a.retryAt = now
	}
	if r.Move.Close {
		return k.closed(now, a)
	}
	return k.serve(now, a)
}

// closed forgets a grant that the table has ended; waiting requests open a new one.
func (k *Keeper) closed(now time.Time, a *account) []Effect {
	fresh := &account{
		budget: a.budget, state: grantChart.Initial(), waiting: a.waiting, rate: a.rate, rateAt: a.rateAt, lastHold: a.lastHold,
		horizon: a.horizon, bySidecar: map[masticway.Incarnation]masticway.Amount{},
	}
	delete(k.accounts, a.budget)
	if len(fresh.waiting) == 0 {
		return nil
	}
	k.accounts[a.budget] = fresh
	for _, w := range fresh.waiting {
		k.waits[w.request.ID] = fresh
	}
	return k.serve(now, fresh)
}
