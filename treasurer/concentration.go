package treasurer

import "time"

// The policy of concentrated demand: when a router that is none of a workspace's holders draws for itself.
const (
	// concentratedRate is how many requests a second of a workspace must come to a router before it draws for them, so that
	// a router with little traffic of many workspaces keeps no money of all of them.
	concentratedRate = 3.0
	// dispersedFactor is the part of both bounds below which a router that draws for itself stops: demand comes in lumps.
	dispersedFactor = 0.5
)

// updateConcentration notes whether a workspace's demand comes to this router rather than to others. Such a router is a holder of
// its own accord: what it would borrow comes over the same link as its callers' requests, late when these fill it. Others
// need not agree, as money is only ever spent from a grant or a loan.
func (p *Planner) updateConcentration(now time.Time, a *account) {
	if a.arrivals.sum == 0 {
		return
	}
	p.holderCandidates(a)
	if a.rank >= 0 || now.Sub(p.startedAt) < startupGrace {
		// Where many routers start together, the first ones get what is meant for all.
		a.concentrated = false
		return
	}
	requests, part := concentratedRate, 1/float64(len(a.candidates))
	if a.concentrated {
		requests, part = dispersedFactor*requests, dispersedFactor*part
	}
	a.arrivals.decay(now)
	own := max(0, a.demand.rate-a.peerDemand.rate)
	all := max(own, a.fleetDemand(p.settings.Incarnation))
	a.concentrated = a.arrivals.rate >= requests && own >= part*all && !p.isBudgetLow(a)
}

// isBudgetLow tells that what is left of a workspace's budget is too little for all that should hold money of it.
func (p *Planner) isBudgetLow(a *account) bool {
	return a.rowKnown && len(p.holders(a)) < len(p.holderCandidates(a))
}
