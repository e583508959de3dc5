// Package bookkeeper stores money in the table: budgets, grants, top-ups and refunds, and the rows that recoveries need.
//
// Every change of a budget is one conditional transaction that preserves
// prepaid >= settled + open grants. A grant is money moved from a budget to one
// router, and is open until it is settled or returned. If the answer to a write
// is lost, the row is read again to find out whether the write succeeded, by its
// sequence number, change id or value; it is never assumed to have failed.
//
// Terms of this package:
//   - Move: a keeper's write that draws money into a grant, returns money to
//     the budget or closes the grant.
//   - Payer: the router incarnation that a grant belongs to.
//   - Settled: the cost that has been charged to a budget or grant.
//   - Presumed: charged at maximum cost, because a sidecar was lost and the
//     true cost is unknown.
//   - Links row: an incarnation's row with the sidecars that may run work for
//     its money. To fence (or seal) an incarnation in the table, its links row
//     is marked as sealed.
//   - Lease row: the row that a router renews to show that it is up.
//   - Challenge: a row that asks a router that seems to have failed to renew
//     its lease at once.
//   - Fencing number: a number that increases with each order to an upstream,
//     so that older orders can be refused.
package bookkeeper
