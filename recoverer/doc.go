// Package recoverer detects failed routers and decides how their money is returned to its budgets.
//
// First the failed router's incarnation is fenced in the table, then at each
// sidecar that may have run work for its money. The sidecars' totals are the true
// cost. Money is returned only when each sidecar has reported or is known to be
// gone; a missed heartbeat is not enough. What may have been run by a sidecar that
// is gone without a report is presumed spent.
package recoverer
