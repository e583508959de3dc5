package diverter

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Router is a router of the deployment.
type Router struct {
	Instance string
	// Address is the address at which other routers reach the router.
	Address string
	// Zone is the router's availability zone; it is empty if the zone is unknown.
	Zone string
	// Processors is the number of processors that the router may use, which may be a fraction. It is zero if unknown.
	Processors float64
}

// maxCoordinators is the number of routers of a zone that may coordinate it: the coordinator, and its backup.
const maxCoordinators = 2

// coordinators returns the routers of a zone that may coordinate it, the preferred one first. All routers with the same
// membership choose the same ones. The choice is weighted by processors.
func coordinators(zone string, all []Router) []Router {
	members := slices.DeleteFunc(slices.Clone(all), func(r Router) bool { return r.Zone != zone })
	slices.SortFunc(members, func(x, y Router) int {
		return cmp.Or(cmp.Compare(y.weight(), x.weight()), cmp.Compare(x.Instance, y.Instance))
	})
	return members[:min(maxCoordinators, len(members))]
}

// weight returns the router's rendezvous weight for its zone. Its probability to be the greatest is proportional to the
// processors, where zero counts as one.
func (r Router) weight() float64 {
	processors := r.Processors
	if processors <= 0 {
		processors = 1
	}
	const fractionBits = 53
	hash := xxhash.Sum64String("zone/" + r.Zone + "\x00" + r.Instance)
	uniform := (float64(hash>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -processors / math.Log(uniform)
}

// otherZones returns the zones other than own: the configured ones and those of the known routers, sorted.
func otherZones(own string, configured []string, all []Router) []string {
	zones := slices.Clone(configured)
	for _, r := range all {
		zones = append(zones, r.Zone)
	}
	slices.Sort(zones)
	return slices.DeleteFunc(slices.Compact(zones), func(z string) bool { return z == "" || z == own })
}
