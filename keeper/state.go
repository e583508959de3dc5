package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
)

// OpenHold describes an open hold, which is one that has not been settled.
type OpenHold struct {
	ID       masticway.HoldID
	Identity masticway.Identity
	Grant    masticway.GrantKey
	Amount   masticway.Amount
}

// HoldsOf returns the open holds that a sender requested, sorted by id.
func (k *Keeper) HoldsOf(sender masticway.Incarnation) []OpenHold {
	var held []OpenHold
	for id, h := range k.holds {
		if h.request.Sender == sender {
			held = append(held, OpenHold{ID: id, Identity: h.request.Identity, Grant: h.account.grant, Amount: h.amount})
		}
	}
	slices.SortFunc(held, func(a, b OpenHold) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return held
}

// OldestHold returns when the oldest open hold was taken. It returns false if no hold is open.
func (k *Keeper) OldestHold() (time.Time, bool) {
	var oldest time.Time
	for _, h := range k.holds {
		if oldest.IsZero() || h.opened.Before(oldest) {
			oldest = h.opened
		}
	}
	return oldest, !oldest.IsZero()
}

// SpentBy returns what has been charged for the runs of one sidecar, by the number of the grant. It covers the grants in
// memory and omits those without charges.
func (k *Keeper) SpentBy(sidecar masticway.Incarnation) map[int64]masticway.Amount {
	spent := map[int64]masticway.Amount{}
	for _, a := range k.accounts {
		if amount := a.bySidecar[sidecar]; amount > 0 {
			spent[a.grant.Number] = amount
		}
	}
	return spent
}

// OpenGrants returns the numbers of the grants in memory, in ascending order, and the highest number assigned so far.
func (k *Keeper) OpenGrants() (numbers []int64, maxNumber int64) {
	for _, a := range k.accounts {
		if a.grant.Number != 0 {
			numbers = append(numbers, a.grant.Number)
		}
	}
	slices.Sort(numbers)
	return numbers, k.lastGrantNumber
}

// Position is the state of one budget at the keeper.
type Position struct {
	Budget string           `json:"budget"`
	Drawn  masticway.Amount `json:"drawn"`
	Spent  masticway.Amount `json:"spent"`
	Held   masticway.Amount `json:"held"`
	Free   masticway.Amount `json:"free"`
	Holds  int              `json:"holds"`
}

// Position returns the state of a budget and whether the budget is in memory.
func (k *Keeper) Position(budget string) (Position, bool) {
	a, ok := k.accounts[budget]
	if !ok {
		return Position{}, false
	}
	return Position{
		Budget: budget, Drawn: a.drawn, Spent: a.spent, Held: a.held, Free: a.free(), Holds: a.holdCount,
	}, true
}

// Size returns the number of budgets and open holds in memory.
func (k *Keeper) Size() (budgets, holds int) { return len(k.accounts), len(k.holds) }
