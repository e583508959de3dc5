package treasurer

import "time"

// These constants are policy: when a router that is not a holder of a workspace draws its own grant because demand is
// concentrated there.
const (
	// concentratedRate is how many requests a second of a workspace must arrive at a router before it draws a grant for them,
	// so that a router with little traffic of many workspaces does not hold grants of all of them.
	concentratedRate = 3.0
	// dispersedFactor is the fraction of both thresholds (concentratedRate and the share of all demand that one of the
	// candidates would have on average) below which the router stops drawing; it leaves a margin because demand is bursty.
	dispersedFactor = 0.5
)

// updateConcentration updates whether a workspace's demand is concentrated at this router: whether many of its requests, and
// at least one candidate's average share of its demand, arrive here. Such a router holds a grant although it is not one of
// the holders: what it would borrow arrives over the same network link as its callers' requests, and late if these saturate
// it. Other routers need not know, because tokens are only ever spent from a grant or a loan.
func (p *Planner) updateConcentration(now time.Time, a *account) {
	if a.arrivals.sum == 0 {
		return
	}
	p.holderCandidates(a)
	if a.rank >= 0 || now.Sub(p.startedAt) < startupGrace {
		// Where many routers start together, the first ones receive the traffic of all.
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

// isBudgetLow reports whether too little of a workspace's budget is left for all of its candidates to hold some.
func (p *Planner) isBudgetLow(a *account) bool {
	return a.rowKnown && len(p.holders(a)) < len(p.holderCandidates(a))
}
