package treasurer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// The policy of holders: which routers keep money of a workspace in hand, and how much.
const (
	// minReserveRequests is how many usual requests each holder must be able to keep in hand; a budget with less left has
	// fewer holders, down to one that holds all of it.
	minReserveRequests = 8
	// soleHolderWindow is how much of all routers' demand the one holder of a thin budget keeps in hand.
	soleHolderWindow = 3 * time.Second
	// lendBurstFactor is how many times what a holder is asked for between two writes of its book it may lend in that time;
	// all of it is lost when the holder dies. With 0.3 s of demand for every fleet, a loss of power of thirty routers
	// cost 1% of all budgets.
	lendBurstFactor = 2.0
	// initialReserveShare is the part of what is left that a holder keeps in hand before it has seen any demand.
	initialReserveShare = 0.01
	// unresponsiveTTL is how long a router that did not answer a question for money is asked after all others.
	unresponsiveTTL = time.Second
)

// Peer is another router, as its presence tells.
type Peer struct {
	Witness
	// Zone is the availability zone that it is in; empty when it did not say.
	Zone string
	// Processors is how many processors it may use, which may be a part of one; zero when it did not say.
	Processors float64
}

// holderCandidates lists the routers that hold money of a workspace while it is not thin: in each availability zone the first by
// rendezvous hash of the workspace and the instance, then the second ones, and so on until there are enough. All routers
// that know the same peers agree on it without a word, also over restarts, and when they do not, nothing breaks: money
// is only ever spent from a grant or a loan.
func (p *Planner) holderCandidates(a *account) []Peer {
	if a.candidates != nil {
		return a.candidates
	}
	zones := map[string][]Peer{}
	for _, peer := range append(slices.Clone(p.peers), p.selfPeer()) {
		zones[peer.Zone] = append(zones[peer.Zone], peer)
	}
	// Zones and routers are ranked by their names, so that each workspace has another order.
	names := slices.Sorted(maps.Keys(zones))
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(weight(a.workspace, y), weight(a.workspace, x)) })
	for _, members := range zones {
		slices.SortFunc(members, func(x, y Peer) int {
			return cmp.Compare(y.weight(a.workspace), x.weight(a.workspace))
		})
	}
	enough := len(p.peers) + 1
	if p.settings.Holders > 0 {
		enough = min(enough, p.settings.Holders)
	}
	a.rank = -1
	for round := 0; len(a.candidates) < enough; round++ {
		for _, name := range names {
			if members := zones[name]; round < len(members) {
				if members[round].Incarnation == p.settings.Incarnation {
					a.rank = len(a.candidates)
				}
				a.candidates = append(a.candidates, members[round])
			}
		}
	}
	return a.candidates
}

// weight is the rendezvous weight of a name for a workspace.
func weight(workspace, name string) uint64 { return xxhash.Sum64String(workspace + "\x00" + name) }

// weight is the router's weight for a workspace: of two, the one with twice the processors comes first four times as often.
// Others wait for what a holder lends, and with a seventh of a processor a router is often busy for longer than they do.
func (o Peer) weight(workspace string) float64 {
	const steps = 1 << 53
	drawn := (float64(weight(workspace, o.Incarnation.Instance())>>11) + 0.5) / steps
	processors := o.Processors
	if processors <= 0 {
		processors = 1
	}
	return -processors * processors / math.Log(drawn)
}

func (p *Planner) selfPeer() Peer {
	return Peer{
		Witness: Witness{Incarnation: p.settings.Incarnation, Address: p.settings.Address}, Zone: p.settings.Zone,
		Processors: p.settings.Processors,
	}
}

// holders lists the routers that should hold money of a workspace now: fewer than in its order when it is thin.
func (p *Planner) holders(a *account) []Peer {
	all := p.holderCandidates(a)
	if !a.rowKnown || a.typicalNeed == 0 {
		return all
	}
	n := int(float64(a.unspent()) / (minReserveRequests * a.typicalNeed))
	if a.rank == n && a.granted > a.taken {
		// One that has money in hand does not give it back for a little noise.
		n++
	}
	return all[:min(len(all), max(1, n))]
}

// isHolder tells that this router is one of a workspace's holders, of which others borrow.
func (p *Planner) isHolder(a *account) bool {
	if len(p.peers) == 0 {
		return false
	}
	holders := p.holders(a)
	return a.rank >= 0 && a.rank < len(holders)
}

// keepsReserve tells that this router keeps money of a workspace in hand: it is one of its holders, or alone, or the workspace's
// demand comes to it.
func (p *Planner) keepsReserve(a *account) bool {
	return len(p.peers) == 0 || p.isHolder(a) || a.concentrated
}

// borrowsFromHolders tells that this router leaves a workspace's money to its holders and borrows from them, as long as any of
// them answers.
func (p *Planner) borrowsFromHolders(now time.Time, a *account) bool {
	return !p.keepsReserve(a) && now.Sub(a.noAnswerAt) > borrowBackoff
}

// fleetDemand is all routers' demand, of the others as of their last change of the row.
func (a *account) fleetDemand(self masticway.Incarnation) float64 {
	all := a.demand.rate
	for i, g := range a.row.Grants {
		if i != self {
			all += float64(g.Demand)
		}
	}
	return all
}

// reserveShare is the part of what is left and its own that a router with a part of all demand keeps in hand, so that all
// routers together have reserveRatio as much in hand as is left in the store. A router does not know what the others have
// unspent: with d of the demand it aims at reserveRatio times d of what is left, which is this part of both.
func reserveShare(d float64) float64 { return reserveRatio * d / (1 + reserveRatio*d) }

// reserve is how much the router should keep in hand of a workspace beyond what it has taken.
func (p *Planner) reserve(now time.Time, a *account) int64 {
	spare := a.ungranted() + max(0, a.free())
	if spare <= 0 || !p.keepsReserve(a) {
		return 0
	}
	want := int64(a.demand.rate * p.settings.Reserve.Seconds())
	if a.demand.rate*demandWindow.Seconds() > a.typicalNeed/2 {
		// A workspace with little traffic sends whole requests all the same.
		want = max(want, int64(2*a.typicalNeed))
	}
	if p.isHolder(a) {
		if a.demand.rate < 1 && now.Sub(p.startedAt) < startupGrace {
			// Routers that start together do not know each other yet, and each would draw for all.
			return 0
		}
		if len(p.holders(a)) == 1 {
			all := a.fleetDemand(p.settings.Incarnation) + 1
			return min(spare, max(want, int64(all*soleHolderWindow.Seconds()), int64(minReserveRequests*a.typicalNeed)))
		}
		want = max(want, int64(initialReserveShare*float64(spare)))
	}
	share := int64(p.holderShare(a))
	if share < int64(a.typicalNeed/minReserveDivisor) {
		// So little in hand serves nobody, also together with others, and is missing elsewhere.
		return 0
	}
	return min(want, share)
}

// holderShare is the part of what is left, and of what the router has in hand, that falls to it as a holder.
func (p *Planner) holderShare(a *account) float64 {
	spare := a.ungranted() + max(0, a.free())
	if spare <= 0 || !p.keepsReserve(a) {
		return 0
	}
	all := a.fleetDemand(p.settings.Incarnation) + 1
	part := (a.demand.rate + 1) / all
	if p.isHolder(a) {
		// Callers move between zones faster than the money can, so half of a holder's part is the same for all.
		part = (part + 1/float64(len(p.holders(a)))) / 2
	}
	return float64(spare) * reserveShare(part)
}

// lenders are the routers to ask for money of a workspace, best first: its holders, with each question another one of them
// first, then others that had money in hand. Those that did not answer lately are asked last. All callers of a workspace may
// come to one router; with the holder of its own availability zone first all that it borrowed was promised and in hand there:
// the death of that one cost 5.7% of a budget, and in a cut the hands of the others were empty.
func (p *Planner) lenders(now time.Time, a *account) []Witness {
	var all []Witness
	add := func(o Peer) {
		if o.Incarnation.Instance() != p.settings.Incarnation.Instance() && !slices.Contains(all, o.Witness) {
			all = append(all, o.Witness)
		}
	}
	holders := p.holders(a)
	for i := range holders {
		add(holders[(int(p.lastMessage)+i)%len(holders)])
	}
	for _, o := range p.peersByUnspent(a) {
		add(o)
	}
	for _, peer := range p.peers {
		if len(all) >= maxLenders {
			break
		}
		add(peer)
	}
	slices.SortStableFunc(all, func(x, y Witness) int {
		return cmp.Compare(p.unresponsiveRank(now, x.Incarnation), p.unresponsiveRank(now, y.Incarnation))
	})
	return all[:min(len(all), maxLenders)]
}

// peersByUnspent lists the other routers that have money in hand, most first.
func (p *Planner) peersByUnspent(a *account) []Peer {
	inHand := func(o Peer) int64 { return a.row.Grants[o.Incarnation].Granted - a.row.Grants[o.Incarnation].Taken }
	var others []Peer
	for _, peer := range p.peers {
		if inHand(peer) > 0 {
			others = append(others, peer)
		}
	}
	slices.SortStableFunc(others, func(x, y Peer) int {
		return cmp.Compare(inHand(y), inHand(x))
	})
	return others
}

// unresponsiveRank is 1 for a router that left a question without an answer a moment ago, else 0.
func (p *Planner) unresponsiveRank(now time.Time, i masticway.Incarnation) int {
	if at, ok := p.unansweredAt[i.Instance()]; ok && now.Sub(at) < unresponsiveTTL {
		return 1
	}
	return 0
}
