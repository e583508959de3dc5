package keeper

import (
	"time"
)

const (
	// surplusFactor is the multiple of the forecast that an idle budget keeps while it has open holds.
	surplusFactor = 3
	// handOverDelay is the time without hold requests after which a budget that another router now keeps is handed
	// over. It avoids a move for each request while that router is unreachable for a short time.
	handOverDelay = 2 * time.Second
)

// ReleaseIdle returns idle money and drops idle budgets. It visits every budget, so it should be called rarely.
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

// ReturnFree returns free money that a peer has asked for: all of it if the budget is idle or now kept by another router
// (elsewhere), and half of it if it is in use.
func (k *Keeper) ReturnFree(now time.Time, budget string, elsewhere bool) []Effect {
	a, ok := k.accounts[budget]
	if !ok || a.isMoving() || a.grant.Number == 0 || len(a.waiters) > 0 || k.settings.Policy == PolicySlice {
		return nil
	}
	free := a.free()
	if !elsewhere && now.Sub(a.lastHoldAt) < a.horizon {
		free /= 2
	}
	if free <= 0 {
		return nil
	}
	return []Effect{k.startMove(now, a, Move{Return: free})}
}

// HandOver hands a budget over that another router now keeps: it returns the free money, and closes the grant once no hold is
// open.
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

// Drain returns all money that is not held. It must be called repeatedly until the keeper has no accounts left.
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
