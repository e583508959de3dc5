package keeper

import (
	"time"
)

const (
	// surplus is the multiple of the horizon's demand above which money goes back.
	surplus = 3
	// yieldAfter is how long a budget that another router keeps must be quiet here before it is handed over,
	// so that a keeper that is briefly out of reach does not cost a move for each request.
	yieldAfter = 2 * time.Second
)

// Tidy returns idle money and drops quiet budgets; it looks at every budget, so it is called seldom.
func (k *Keeper) Tidy(now time.Time) []Effect {
	var effects []Effect
	for _, budget := range k.budgets() {
		a := k.accounts[budget]
		a.decay(now)
		if len(a.waiting) == 0 {
			effects = append(effects, k.tidy(now, a)...)
		}
	}
	return effects
}

func (k *Keeper) tidy(now time.Time, a *account) []Effect {
	if a.moving() || now.Before(a.retryAt) {
		return nil
	}
	if a.grant.Number == 0 {
		delete(k.accounts, a.budget)
		return nil
	}
	idle := now.Sub(a.lastHold) >= k.settings.IdleAfter
	if idle && a.holds == 0 {
		return []Effect{k.start(now, a, Move{Return: max(0, a.free()), Close: true})}
	}
	if k.settings.Policy == PolicySlice {
		return nil
	}
	keep := a.forecast() * surplus
	if idle && a.free() > keep {
		return []Effect{k.start(now, a, Move{Return: a.free() - keep})}
	}
	return nil
}

// GiveBack returns what a peer may use: all that is free when idle or kept elsewhere now, half when in use.
func (k *Keeper) GiveBack(now time.Time, budget string, elsewhere bool) []Effect {
	a, ok := k.accounts[budget]
	if !ok || a.moving() || a.grant.Number == 0 || len(a.waiting) > 0 || k.settings.Policy == PolicySlice {
		return nil
	}
	free := a.free()
	if !elsewhere && now.Sub(a.lastHold) < a.horizon {
		free /= 2
	}
	if free <= 0 {
		return nil
	}
	return []Effect{k.start(now, a, Move{Return: free})}
}

// Yield hands a budget over that another router keeps now: what is free goes back, and the grant ends with its last hold.
func (k *Keeper) Yield(now time.Time, budget string) []Effect {
	a, ok := k.accounts[budget]
	if !ok || a.moving() || a.grant.Number == 0 || len(a.waiting) > 0 || now.Sub(a.lastHold) < yieldAfter {
		return nil
	}
	if a.holds == 0 {
		return []Effect{k.start(now, a, Move{Return: max(0, a.free()), Close: true})}
	}
	if a.free() <= 0 {
		return nil
	}
	return []Effect{k.start(now, a, Move{Return: a.free()})}
}

// Drain returns everything that is not held; it is called until Empty.
func (k *Keeper) Drain(now time.Time) []Effect {
	var effects []Effect
	for _, budget := range k.budgets() {
		a := k.accounts[budget]
		if a.moving() {
			continue
		}
		if a.grant.Number == 0 {
			delete(k.accounts, budget)
			continue
		}
		if a.holds == 0 {
			effects = append(effects, k.start(now, a, Move{Return: max(0, a.free()), Close: true}))
			continue
		}
		if a.free() > 0 {
			effects = append(effects, k.start(now, a, Move{Return: a.free()}))
		}
	}
	return effects
}

// Empty tells whether no grant is left.
func (k *Keeper) Empty() bool { return len(k.accounts) == 0 }
