package keeper

import (
	"time"
)

const (
	// surplusFactor is a multiple of the forecast demand: how much free money ReleaseIdle leaves in the grant of an idle
	// budget that has open holds.
	surplusFactor = 3
	// handOverDelay is the time without hold requests after which HandOver returns the money of a budget that another router
	// now keeps. While that router is briefly unreachable, requests still arrive here. The delay avoids a move for each of
	// them.
	handOverDelay = 2 * time.Second
)

// ReleaseIdle starts moves that return the free money of idle budgets (see Settings.IdleTimeout), and drops accounts without
// a grant. It skips budgets for which requests wait. It visits every budget, so it should be called rarely.
func (k *Keeper) ReleaseIdle(now time.Time) []Effect {
	var effects []Effect
	for _, budget := range k.sortedBudgets() {
		a := k.accounts[budget]
		a.decayRate(now)
		if len(a.waiters) == 0 {
			effects = append(effects, k.releaseIdle(now, a)...)
		}
	}
	return effects
}

func (k *Keeper) releaseIdle(now time.Time, a *account) []Effect {
	if a.isMoving() || now.Before(a.nextMoveAt) {
		return nil
	}
	if a.grant.Number == 0 {
		delete(k.accounts, a.budget)
		return nil
	}
	idle := now.Sub(a.lastHoldAt) >= k.settings.IdleTimeout
	if idle && a.holdCount == 0 {
		return []Effect{k.startMove(now, a, Move{Return: max(0, a.free()), Close: true})}
	}
	if k.settings.Policy == PolicySlice {
		return nil
	}
	target := a.forecast() * surplusFactor
	if idle && a.free() > target {
		return []Effect{k.startMove(now, a, Move{Return: a.free() - target})}
	}
	return nil
}

// ReturnFree starts a move that returns free money to the budget after another router has asked for it (AskPeers). It
// returns half of the free money. It returns all of it if another router now keeps the budget (keptElsewhere), or if no hold
// request has arrived for as long as the account's horizon.
//
// It does nothing under PolicySlice, while requests wait, or while a move is in progress.
func (k *Keeper) ReturnFree(now time.Time, budget string, keptElsewhere bool) []Effect {
	a, ok := k.accounts[budget]
	if !ok || a.isMoving() || a.grant.Number == 0 || len(a.waiters) > 0 || k.settings.Policy == PolicySlice {
		return nil
	}
	free := a.free()
	if !keptElsewhere && now.Sub(a.lastHoldAt) < a.horizon {
		free /= 2
	}
	if free <= 0 {
		return nil
	}
	return []Effect{k.startMove(now, a, Move{Return: free})}
}

// HandOver starts a move that returns the free money of a budget, and closes the grant if no hold is open. The caller must
// check that another router now keeps the budget, and call HandOver repeatedly until the grant is closed.
//
// It does nothing while requests wait, while a move is in progress, or until handOverDelay after the last hold request.
func (k *Keeper) HandOver(now time.Time, budget string) []Effect {
	a, ok := k.accounts[budget]
	if !ok || a.isMoving() || a.grant.Number == 0 || len(a.waiters) > 0 || now.Sub(a.lastHoldAt) < handOverDelay {
		return nil
	}
	if a.holdCount == 0 {
		return []Effect{k.startMove(now, a, Move{Return: max(0, a.free()), Close: true})}
	}
	if a.free() <= 0 {
		return nil
	}
	return []Effect{k.startMove(now, a, Move{Return: a.free()})}
}

// Drain starts moves that return all money that is not held, and that close the grants without open holds. Budgets
// with waiting requests are no exception. The caller must call it repeatedly until IsEmpty returns true.
func (k *Keeper) Drain(now time.Time) []Effect {
	var effects []Effect
	for _, budget := range k.sortedBudgets() {
		a := k.accounts[budget]
		if a.isMoving() {
			continue
		}
		if a.grant.Number == 0 {
			delete(k.accounts, budget)
			continue
		}
		if a.holdCount == 0 {
			effects = append(effects, k.startMove(now, a, Move{Return: max(0, a.free()), Close: true}))
			continue
		}
		if a.free() > 0 {
			effects = append(effects, k.startMove(now, a, Move{Return: a.free()}))
		}
	}
	return effects
}

// IsEmpty reports whether the keeper has no accounts left.
func (k *Keeper) IsEmpty() bool { return len(k.accounts) == 0 }
