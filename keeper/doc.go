// Package keeper decides when a router draws, holds, spends and returns prepaid money.
//
// It is deterministic and does no I/O: each method takes an event and the
// current time and returns effects. The caller carries the effects out on the
// table and passes their results back. No timing of these calls can lead to
// overspending, because a hold is taken only from a grant that the table has
// already recorded for this incarnation.
package keeper
