package keeper

import (
	"time"

	"github.com/masticway/masticway"
)

const (
	// lowWatermark is a share of the forecast demand. If free money is below it, drawIfShort starts a draw even if no
	// request waits.
	lowWatermark = 0.25
	// moveRetryDelay is the minimum time from the start of a move to the next move by drawIfShort or ReleaseIdle. It does
	// not apply after a move that drew money.
	moveRetryDelay = 100 * time.Millisecond
)

// drawIfShort starts a draw if requests wait for money. It also starts one if free money is below the low watermark and the
// budget had money left at the last move, but not under PolicySlice. It does nothing while a move is in progress or before
// nextMoveAt.
//
// If requests wait and at the last move all the budget's money was in the grants of other routers, it also asks those
// routers to return some.
func (k *Keeper) drawIfShort(now time.Time, a *account) []Effect {
	if a.isMoving() || now.Before(a.nextMoveAt) {
		return nil
	}
	var need, want masticway.Amount
	for _, w := range a.waiters {
		need += w.request.MinAmount
		want += w.request.MaxAmount
	}
	forecast := a.forecast()
	isShort := len(a.waiters) > 0
	runsLow := k.settings.Policy != PolicySlice && a.grant.Number != 0 && a.remaining > 0 &&
		float64(a.free()) < lowWatermark*float64(forecast)
	if !isShort && !runsLow {
		return nil
	}
	var effects []Effect
	if isShort && a.tableRead && a.remaining == 0 && a.othersOpen > 0 {
		effects = append(effects, AskPeers{Budget: a.budget, Payers: a.otherPayers})
	}
	m := Move{Need: max(0, need-a.free()), Want: max(0, want+forecast-a.free())}
	if k.settings.Policy == PolicySlice {
		m.Slices = k.settings.Slices
	}
	return append(effects, k.startMove(now, a, m))
}

// startMove fills in the fields of m that describe the grant, records that a move is in progress and returns m. If the
// account has no grant, it assigns the key of a new one. The caller must check that no move is in progress.
func (k *Keeper) startMove(now time.Time, a *account, m Move) Move {
	if a.grant.Number == 0 {
		k.lastGrantNumber++
		a.grant = masticway.GrantKey{Budget: a.budget, Payer: k.settings.Incarnation, Number: k.lastGrantNumber}
	}
	event := eventMove
	if m.Close {
		event = eventClose
	}
	k.stepGrant(a, event)
	a.moveStartedAt = now
	a.seq++
	a.nextMoveAt = now.Add(moveRetryDelay)
	// Money that is being returned must not be held in the meantime.
	a.returned += m.Return
	m.Grant = a.grant
	m.Spent = a.spent
	m.Presumed = a.presumed
	m.DrawnBefore = a.drawn
	m.Seq = a.seq
	return m
}

// ApplyMoveResult applies the result of a move and answers the waiting requests that can be answered now. It may start the
// next move. It ignores the result if the grant is no longer in memory.
func (k *Keeper) ApplyMoveResult(now time.Time, r MoveResult) []Effect {
	a, ok := k.accounts[r.Move.Grant.Budget]
	if !ok || a.grant != r.Move.Grant {
		return nil
	}
	k.stepGrant(a, eventOf(r))
	a.lastMoveFailed = r.Failed
	if r.Failed {
		a.returned -= r.Move.Return
		return k.serveWaiters(now, a)
	}
	a.tableRead = true
	a.readAt = a.moveStartedAt
	a.drawn += r.Drawn
	a.remaining = r.Remaining
	a.othersOpen = r.OthersOpen
	a.otherPayers = r.OtherPayers
	if k.settings.Policy == PolicySlice {
		a.remaining = 0
		a.othersOpen = 0
	}
	if r.Drawn > 0 {
		a.nextMoveAt = now
	}
	if r.Move.Close {
		return k.removeClosedGrant(now, a)
	}
	return k.serveWaiters(now, a)
}

// removeClosedGrant drops the account of a grant that the table has closed. If requests wait, it puts them into a new
// account without a grant and starts a draw for it.
func (k *Keeper) removeClosedGrant(now time.Time, a *account) []Effect {
	fresh := &account{
		budget: a.budget, state: grantChart.Initial(), waiters: a.waiters, demandRate: a.demandRate, rateUpdatedAt: a.rateUpdatedAt,
		lastHoldAt: a.lastHoldAt, horizon: a.horizon, bySidecar: map[masticway.Incarnation]masticway.Amount{},
	}
	delete(k.accounts, a.budget)
	if len(fresh.waiters) == 0 {
		return nil
	}
	k.accounts[a.budget] = fresh
	for _, w := range fresh.waiters {
		k.waitingAccounts[w.request.ID] = fresh
	}
	return k.serveWaiters(now, fresh)
}
