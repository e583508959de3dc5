package treasurer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/masticway/masticway"
)

const (
	// keptSpan is how much of all routers' demand the keeper of a workspace keeps in hand, and keptRequests how many
	// usual requests at least.
	keptSpan     = 3 * time.Second
	keptRequests = 8
	// keptBelow is the number of usual requests that each router could keep in hand below which the keeper takes all.
	keptBelow = 1.0
	// keptBursts is how many times what a keeper is asked for between two writes of its book it may lend in that time;
	// all of it is lost when the keeper dies. With 0.3 s of demand for every fleet, a loss of power of thirty routers
	// cost 1% of all budgets.
	keptBursts = 2.0
)

// keeper is the router that holds what is left of a thin workspace. All routers that know the same peers agree on it
// without a word, and when they do not, nothing breaks: money is only ever spent from a grant or a loan.
func (p *Purse) keeper(a *account) masticway.Incarnation {
	return masticway.Incarnation(p.ring.Lookup(a.workspace))
}

// newRing spreads workspaces over this router and those that it can ask.
func (p *Purse) newRing() *rendezvous.Rendezvous {
	names := []string{string(p.settings.Incarnation)}
	for _, w := range p.peers {
		names = append(names, string(w.Incarnation))
	}
	slices.Sort(names)
	return rendezvous.New(names, xxhash.Sum64String)
}

// delegated tells that this router leaves the rest of a workspace to its keeper and borrows from it: so many routers
// drawing single requests from one row would mostly meet each other's writes.
func (p *Purse) delegated(now time.Time, a *account) bool {
	return a.known && p.keeper(a) != p.settings.Incarnation && p.reserveOf(a) == 0 && now.Sub(a.emptyAt) > emptyFor
}

// fleetDemand is all routers' demand, of the others as of their last change of the row.
func (a *account) fleetDemand(self masticway.Incarnation) float64 {
	all := a.demand
	for i, g := range a.row.Grants {
		if i != self {
			all += float64(g.Demand)
		}
	}
	return all
}

// handShare is the part of what is left and its own that a router with a part of all demand keeps in hand, so that all
// routers together have handTimes as much in hand as is left in the store. A router does not know what the others have
// unspent: with d of the demand it aims at handTimes times d of what is left, which is this part of both.
func handShare(d float64) float64 { return handTimes * d / (1 + handTimes*d) }

// reserveOf is how much the router should keep in hand of a workspace beyond what it has taken.
func (p *Purse) reserveOf(a *account) int64 {
	want := int64(a.demand * p.settings.Reserve.Seconds())
	if a.demand*demandWindow.Seconds() > a.typical/2 {
		// A workspace with little traffic sends whole requests all the same.
		want = max(want, int64(2*a.typical))
	}
	spare := a.row.Left() + max(0, a.free())
	if spare <= 0 {
		return 0
	}
	all := a.fleetDemand(p.settings.Incarnation) + 1
	usual := reserveShare * float64(spare) / float64(max(1, p.members))
	if all > 2 && usual < keptBelow*a.typical && p.keeper(a) == p.settings.Incarnation {
		// The others cannot keep anything of use in hand.
		want = max(want, int64(all*keptSpan.Seconds()), int64(keptRequests*a.typical))
		return min(want, spare)
	}
	share := int64(float64(spare) * handShare((a.demand+1)/all))
	if share < int64(a.typical/leastShare) {
		// So little in hand serves nobody, also together with others, and is missing elsewhere.
		return 0
	}
	return min(want, share)
}
