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

// These constants are policy: which routers keep a reserve of a workspace's tokens, and how much.
const (
	// minReserveRequests is how many typical requests each holder must be able to keep in reserve. If the unspent budget is
	// less than that for each candidate, fewer candidates are holders, at least one.
	minReserveRequests = 8
	// soleHolderWindow is the demand of the whole fleet, as a duration, that the only holder of a low budget keeps in
	// reserve.
	soleHolderWindow = 3 * time.Second
	// lendBurstFactor is how many times other routers' demand between two checkpoints the burst of a holder's spend limit
	// covers. All of it is lost if the holder crashes. With 0.3 s of demand for every size of fleet instead, a power loss of
	// thirty routers cost 1% of all budgets.
	lendBurstFactor = 2.0
	// initialReserveShare is the fraction of the ungranted tokens and its own free ones that a holder keeps in reserve even
	// without demand. It is also the fraction of a reserve that earlyLimit allows without demand.
	initialReserveShare = 0.01
	// unresponsiveTTL is how long a router that left a loan request unanswered is asked only after all other lenders of a
	// round.
	unresponsiveTTL = time.Second
)

// Peer is what the presence of another router says about it.
type Peer struct {
	Witness
	// Zone is the router's availability zone; empty if unknown.
	Zone string
	// Processors is how many processors it may use, which may be a fraction; zero if unknown.
	Processors float64
}

// holderCandidates lists the routers that are holders of a workspace unless its budget is low. It takes from each
// availability zone the router with the greatest rendezvous weight for the workspace, then the second of each zone, and so
// on until there are at least Settings.Holders. All routers that know the same peers compute the same list, also after
// restarts. If routers compute different lists the budget is still safe, because tokens are only ever spent from a grant or
// a loan. It also sets a.rank.
func (p *Planner) holderCandidates(a *account) []Peer {
	if a.candidates != nil {
		return a.candidates
	}
	zones := map[string][]Peer{}
	for _, peer := range append(slices.Clone(p.peers), p.selfPeer()) {
		zones[peer.Zone] = append(zones[peer.Zone], peer)
	}
	// Zones are ranked by a hash of the workspace and the zone's name, so that the first zone is not the same for all
	// workspaces.
	names := slices.Sorted(maps.Keys(zones))
	slices.SortStableFunc(names, func(x, y string) int { return cmp.Compare(weight(a.workspace, y), weight(a.workspace, x)) })
	for _, members := range zones {
		slices.SortFunc(members, func(x, y Peer) int {
			return cmp.Compare(y.weight(a.workspace), x.weight(a.workspace))
		})
	}
	limit := len(p.peers) + 1
	if p.settings.Holders > 0 {
		limit = min(limit, p.settings.Holders)
	}
	a.rank = -1
	for round := 0; len(a.candidates) < limit; round++ {
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

// weight returns the rendezvous weight of a name (of a zone or an instance) for a key. The key need not be a workspace.
func weight(workspace, name string) uint64 { return xxhash.Sum64String(workspace + "\x00" + name) }

// weight returns the router's rendezvous weight for a key. The key need not be a workspace. Of two routers, one with twice
// the processors has the greater weight four times as often as the other. Small routers should seldom be holders: other
// routers wait for a holder's loans, and a router with a seventh of a processor is often busy for longer than they can wait.
func (o Peer) weight(workspace string) float64 {
	const steps = 1 << 53
	uniform := (float64(weight(workspace, o.Incarnation.Instance())>>11) + 0.5) / steps
	processors := o.Processors
	if processors <= 0 {
		processors = 1
	}
	return -processors * processors / math.Log(uniform)
}

func (p *Planner) selfPeer() Peer {
	return Peer{
		Witness: Witness{Incarnation: p.settings.Incarnation, Address: p.settings.Address}, Zone: p.settings.Zone,
		Processors: p.settings.Processors,
	}
}

// holders lists the routers that should hold grants of a workspace now, so that others borrow from them. They are the first
// candidates: all if the budget is not low, fewer if it is.
func (p *Planner) holders(a *account) []Peer {
	all := p.holderCandidates(a)
	if !a.rowKnown || a.typicalNeed == 0 {
		return all
	}
	n := int(float64(a.unspent()) / (minReserveRequests * a.typicalNeed))
	if a.rank == n && a.granted > a.taken {
		// A router that is just past the last holder stays a holder while it has unused tokens, so that it does not return
		// them because of small fluctuations.
		n++
	}
	return all[:min(len(all), max(1, n))]
}

// isHolder reports whether this router is one of a workspace's holders. It returns false for a router without peers, because
// there is no other router to borrow from it.
func (p *Planner) isHolder(a *account) bool {
	if len(p.peers) == 0 {
		return false
	}
	holders := p.holders(a)
	return a.rank >= 0 && a.rank < len(holders)
}

// keepsReserve reports whether this router keeps a reserve of a workspace's tokens. It does if it is the only router, is one
// of the workspace's holders, or has the workspace's demand concentrated at it.
func (p *Planner) keepsReserve(a *account) bool {
	return len(p.peers) == 0 || p.isHolder(a) || a.concentrated
}

// borrowsFromHolders reports whether this router borrows a workspace's tokens from the holders instead of drawing a grant.
// It does if it keeps no reserve, but not within borrowBackoff after a round in which no lender answered.
func (p *Planner) borrowsFromHolders(now time.Time, a *account) bool {
	return !p.keepsReserve(a) && now.Sub(a.noAnswerAt) > borrowBackoff
}

// fleetDemand returns the demand for a workspace at this router and at all routers that have a grant of it, in tokens a second.
// Another router's demand is taken from the row: that router wrote it there when it last changed its grant.
func (a *account) fleetDemand(self masticway.Incarnation) float64 {
	all := a.demand.rate
	for i, g := range a.row.Grants {
		if i != self {
			all += float64(g.Demand)
		}
	}
	return all
}

// reserveShare returns the fraction of its pool that a router with the share d of all demand keeps in reserve. The pool is
// what is ungranted plus what is free in the router's own grant. The router aims at a reserve of reserveRatio times d of
// what then remains ungranted. If all routers do, all reserves together are reserveRatio times what remains ungranted.
func reserveShare(d float64) float64 { return reserveRatio * d / (1 + reserveRatio*d) }

// reserve returns how many tokens of a workspace this router should keep free in its grant.
func (p *Planner) reserve(now time.Time, a *account) int64 {
	pool := a.ungranted() + max(0, a.free())
	if pool <= 0 || !p.keepsReserve(a) {
		return 0
	}
	want := roundAmount(a.demand.rate * p.settings.Reserve.Seconds())
	if a.demand.rate*demandWindow.Seconds() > a.typicalNeed/2 {
		// Even with little traffic, a request needs its whole amount at once.
		want = max(want, roundAmount(2*a.typicalNeed))
	}
	if p.isHolder(a) {
		if a.demand.rate < 1 && now.Sub(p.startedAt) < startupGrace {
			// Routers that start together do not know each other yet, and each of them would draw the reserves of all.
			return 0
		}
		if len(p.holders(a)) == 1 {
			all := a.fleetDemand(p.settings.Incarnation) + 1
			return min(pool, max(want, roundAmount(all*soleHolderWindow.Seconds()), roundAmount(minReserveRequests*a.typicalNeed)))
		}
		want = max(want, roundAmount(initialReserveShare*float64(pool)))
	}
	share := roundAmount(p.holderShare(a))
	if share < roundAmount(a.typicalNeed/minReserveDivisor) {
		// A reserve this small serves no request, not even combined with others, and its tokens are missing elsewhere.
		return 0
	}
	return min(want, share)
}

// holderShare returns the most that this router may keep in reserve of a workspace, by its share of all demand. It is a
// fraction of what is ungranted plus what is free in its own grant. It is zero if the router keeps no reserve.
func (p *Planner) holderShare(a *account) float64 {
	pool := a.ungranted() + max(0, a.free())
	if pool <= 0 || !p.keepsReserve(a) {
		return 0
	}
	all := a.fleetDemand(p.settings.Incarnation) + 1
	share := (a.demand.rate + 1) / all
	if p.isHolder(a) {
		// Traffic can shift between zones faster than tokens can. So a holder's share is the mean of its share of the demand
		// and an equal share for each holder.
		share = (share + 1/float64(len(p.holders(a)))) / 2
	}
	return float64(pool) * reserveShare(share)
}

// lenders returns the routers to ask for a loan, in the order in which to ask them, at most maxLenders. The workspace's
// holders come first, starting with another one for each round. Then come other routers that had tokens free, and then any
// others. Routers that left a request unanswered within unresponsiveTTL are moved to the end. The first holder must vary
// because all callers of a workspace may use one router. If that router always asked the holder of its own availability zone
// first, everything that it borrowed was within the spend limit of this holder: a crash of the holder cost 5.7% of a budget,
// and during a partition the reserves of the other holders were empty.
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

// peersByUnspent lists the other routers that had tokens of their grants free when they last changed their grants, those
// with the most free tokens first.
func (p *Planner) peersByUnspent(a *account) []Peer {
	unspent := func(o Peer) int64 { return a.row.Grants[o.Incarnation].Granted - a.row.Grants[o.Incarnation].Taken }
	var others []Peer
	for _, peer := range p.peers {
		if unspent(peer) > 0 {
			others = append(others, peer)
		}
	}
	slices.SortStableFunc(others, func(x, y Peer) int {
		return cmp.Compare(unspent(y), unspent(x))
	})
	return others
}

// unresponsiveRank returns 1 if a router left a loan request unanswered within the last unresponsiveTTL, and 0 otherwise.
func (p *Planner) unresponsiveRank(now time.Time, i masticway.Incarnation) int {
	if at, ok := p.unansweredAt[i.Instance()]; ok && now.Sub(at) < unresponsiveTTL {
		return 1
	}
	return 0
}
