// Package keeper decides when a router draws, holds, spends and returns prepaid money.
//
// A router draws money from a budget into a grant, which only this incarnation
// of the router may spend. For each attempt to run a request it holds a part of
// the grant, and settles the hold when the true cost is known. Usually all hold
// requests of a region for one budget go to the same router, the keeper of that
// budget. Type Keeper is the state of a router for all budgets that it keeps.
//
// The package is deterministic and does no I/O: a method that handles an event
// takes the current time and returns effects. The caller carries the effects out
// on the table and passes their results back. No timing of these calls can lead
// to overspending, because a hold is taken only from a grant that the table has
// already recorded for this incarnation.
//
// Terms of this package:
//   - Table: the table of the row store with a row for each budget and grant.
//   - Payer: the router incarnation that a grant belongs to.
//   - Move: one write to the table that draws money into a grant, returns money
//     to the budget, closes the grant, or does several of these.
//   - Free money: money in a grant that is not spent, held or returned.
//   - Horizon: how far ahead a draw covers the forecast demand.
//   - Tracked identity: the identity of a request that must not run twice. The
//     keeper answers a later request with the same identity as a duplicate.
//   - PolicySlice: the policy that draws one fixed share of a budget per router.
//     It is the baseline to which the forecast is compared.
package keeper
