package rotator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxVoters is how many routers of an availability zone vote on leases.
const maxVoters = 7

// Neighbour is a router of the same availability zone.
type Neighbour struct {
	Instance string
	// Address is where other routers reach it.
	Address string
}

// selectVoters are the routers of a zone that vote on leases: the first by rendezvous hash, so that all agree on them that know the same
// routers.
func selectVoters(zone string, all []Neighbour) []Neighbour {
	weight := func(o Neighbour) uint64 { return xxhash.Sum64String(zone + "\x00" + o.Instance) }
	sorted := slices.SortedFunc(slices.Values(all), func(x, y Neighbour) int { return cmp.Compare(weight(y), weight(x)) })
	return sorted[:min(maxVoters, len(sorted))]
}

// leasesPerVoter is how many leases each voter may give in a zone of so many routers. Whoever is out has the votes of most voters, so that
// leases times voters by that majority are out at the most; with fewer than half of the routers in rotation the balancer would
// use all.
func leasesPerVoter(routers, voters int) int {
	majority := voters/2 + 1
	maxOut := (routers - 1) / 2
	return (maxOut*majority + majority - 1) / voters
}

// grantedLeases are the leases that one voter has given, and until when.
type grantedLeases struct {
	expiry map[string]time.Time
}

// grant gives a lease to an instance or renews it; false when others have all of so many.
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
