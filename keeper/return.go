package keeper

import (
	"time"
)

const (
	// surplusFactor is the multiple of the horizon's demand above which money goes back.
	surplusFactor = 3
	// handOverDelay is how long a budget that another router keeps must be quiet here before it is handed over,
	// so that a keeper that is briefly out of reach does not cost a move for each request.
	handOverDelay = 2 * time.Second
)

// Tidy returns idle money and drops quiet budgets; it looks at every budget, so it is called seldom.
func (k *Keeper) Tidy(now time.Time) []Effect {
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
	idle := now.Sub(a.lastHoldAt) >= k.settings.IdleAfter
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

// GiveBack returns what a peer may use: all that is free when idle or kept elsewhere now, half when in use.
func (k *Keeper) GiveBack(now time.Time, budget string, elsewhere bool) []Effect {
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

// Yield hands a budget over that another router keeps now: what is free goes back, and the grant ends with its last hold.
func (k *Keeper) Yield(now time.Time, budget string) []Effect {
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

// Drain returns everything that is not held; it is called until Empty.
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

// Empty tells whether no grant is left.
func (k *Keeper) Empty() bool { return len(k.accounts) == 0 }
