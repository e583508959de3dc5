// Package recoverer detects failed routers and decides how their money is returned to its budgets.
//
// First the failed router's incarnation is fenced in the table, then at each
// sidecar that may have run work for its money. The sidecars' totals are the true
// cost. Money is returned only when each sidecar has reported or is known to be
// gone; a missed heartbeat is not enough. What may have been run by a sidecar that
// is gone without a report is presumed spent.
//
// Terms of this package:
//   - Lease row: the row that a router renews to show that it is up.
//   - Challenge: a row in the table that asks a suspected router to renew its
//     lease at once.
//   - Links row: an incarnation's row in the table with the sidecars that may
//     have run work for its money.
//   - Final report: the report with which a sidecar shut down, or one that
//     says that nothing runs for a sealed incarnation.
//   - Lost sidecar: a sidecar that is gone without a final report.
package recoverer
