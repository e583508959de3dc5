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
package keeper
