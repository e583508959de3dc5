package treasurer

import "time"

// These constants are policy: when a router that is not a candidate for a holder of a workspace still draws its own grant,
// because demand is concentrated at it.
const (
	// concentratedRate is the minimum rate at which requests of a workspace must arrive at a router before it draws a grant
	// for them, in requests a second. Without it, a router with little traffic of many workspaces would hold grants of all
	// of them.
	concentratedRate = 3.0
	// dispersedFactor is the fraction of both thresholds below which a router stops drawing the grant. The thresholds are
	// concentratedRate, and the share of all demand that each candidate would have on average. The margin is needed because
	// demand is bursty.
	dispersedFactor = 0.5
)

// updateConcentration updates whether a workspace's demand is concentrated at this router. It is if enough of its requests
// arrive here (concentratedRate) and they are at least the average share that one candidate would have. The router must not
// be a candidate itself, and the budget must not be low.
//
// A router with concentrated demand draws its own grant. If it borrowed, the loans would arrive over the network link of its
// callers' requests, and late if these saturate the link. Other routers need not know, because tokens are only ever spent
// from a grant or a loan.
func (p *Planner) updateConcentration(now time.Time, a *account) {
	if a.arrivals.sum == 0 {
		return
	}
	p.holderCandidates(a)
	if a.rank >= 0 || now.Sub(p.startedAt) < startupGrace {
		// If many routers start together, the first ones receive the traffic of all.
		a.concentrated = false
		return
	}
	minRate, minShare := concentratedRate, 1/float64(len(a.candidates))
	if a.concentrated {
		minRate, minShare = dispersedFactor*minRate, dispersedFactor*minShare
	}
	a.arrivals.decay(now)
	own := max(0, a.demand.rate-a.peerDemand.rate)
	all := max(own, a.fleetDemand(p.settings.Incarnation))
	a.concentrated = a.arrivals.rate >= minRate && own >= minShare*all && !p.isBudgetLow(a)
}

// isBudgetLow reports whether so little of a workspace's budget is left that not all of its candidates are holders. It
// returns false while the row is not known.
func (p *Planner) isBudgetLow(a *account) bool {
	return a.rowKnown && len(p.holders(a)) < len(p.holderCandidates(a))
}
