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

// leasesPerVoter returns how many leases each voter may grant in a zone with the given number of routers. At least half of the
// routers must stay in rotation, because with fewer the load balancer would use all of them. A router that is out of rotation has
// leases from a majority of the voters. So the maximum number of routers that are out is the number of leases that all voters
// together may grant, divided by the majority.
func leasesPerVoter(routers, voters int) int {
	majority := voters/2 + 1
	maxOut := (routers - 1) / 2
	return (maxOut*majority + majority - 1) / voters
}

// grantedLeases holds the leases that one voter has granted, and when they expire.
type grantedLeases struct {
	expiry map[string]time.Time
}

// grant grants or renews an instance's lease. It returns false if other instances hold all of the maxLeases leases.
func (v *grantedLeases) grant(now time.Time, instance string, span time.Duration, maxLeases int) bool {
	maps.DeleteFunc(v.expiry, func(_ string, until time.Time) bool { return !now.Before(until) })
	if _, renewal := v.expiry[instance]; !renewal && len(v.expiry) >= maxLeases {
		return false
	}
	if v.expiry == nil {
		v.expiry = map[string]time.Time{}
	}
	v.expiry[instance] = now.Add(span)
	return true
}

// revoke ends an instance's lease.
func (v *grantedLeases) revoke(instance string) { delete(v.expiry, instance) }
