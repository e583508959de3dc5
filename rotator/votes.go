package rotator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxVoters is the maximum number of routers of an availability zone that vote on leases.
const maxVoters = 7

// Neighbour is a router of this router's availability zone. It may be this router, and then has no Address.
type Neighbour struct {
	Instance string
	// Address is the address at which other routers reach the router.
	Address string
}

// selectVoters returns the routers of a zone that vote on leases. These are the ones with the highest rendezvous weights, so that
// all routers with the same membership choose the same voters.
func selectVoters(zone string, all []Neighbour) []Neighbour {
	weight := func(o Neighbour) uint64 { return xxhash.Sum64String(zone + "\x00" + o.Instance) }
	sorted := slices.SortedFunc(slices.Values(all), func(x, y Neighbour) int { return cmp.Compare(weight(y), weight(x)) })
	return sorted[:min(maxVoters, len(sorted))]
}

// voterLeases returns how many leases the voter with the given rank may grant in a zone with the given number of routers. At least
// half of the routers must stay in rotation, because with fewer the load balancer would use all of them. A router that is out of
// rotation has leases from a majority of the voters. So the maximum number of routers that are out is the number of leases that
// all voters together may grant, divided by the majority.
func voterLeases(routers, voters, rank int) int {
	majority := voters/2 + 1
	maxOut := (routers - 1) / 2
	all := maxOut*majority + majority - 1
	leases := all / voters
	if rank < all%voters {
		leases++
	}
	return leases
}

// grantedLeases holds the leases that one voter has granted, by the instance that holds the lease.
type grantedLeases map[string]lease

// lease is a lease that a voter has granted: for which election, and when it expires.
type lease struct {
	election uint64
	expiry   time.Time
}

// grant grants or renews an instance's lease. It returns false if other instances hold all of the maxLeases leases.
func (g grantedLeases) grant(now time.Time, req LeaseRequest, maxLeases int) bool {
	maps.DeleteFunc(g, func(_ string, l lease) bool { return !now.Before(l.expiry) })
	if _, renewal := g[req.Instance]; !renewal && len(g) >= maxLeases {
		return false
	}
	g[req.Instance] = lease{election: req.Election, expiry: now.Add(req.Duration)}
	return true
}

// revoke ends an instance's lease of an election.
func (g grantedLeases) revoke(instance string, election uint64) {
	if g[instance].election == election {
		delete(g, instance)
	}
}
