// Package recoverer detects failed routers and decides how their money is returned to its budgets.
//
// First the failed incarnation is fenced in the table, then at each sidecar
// that it may have reached. The sidecars' totals are the true cost. Money is
// returned only when each sidecar has reported or is known to be gone; a missed
// heartbeat is not enough. What a sidecar that is gone without a report may
// have run is presumed spent.
package recoverer
