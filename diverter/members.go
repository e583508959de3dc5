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

// coordinators returns which of the routers of a zone may coordinate it, the preferred one first. All routers with the same
// membership choose the same ones. The choice is weighted by processors.
func coordinators(routers []Router) []Router {
	sorted := slices.SortedFunc(slices.Values(routers), func(x, y Router) int {
		return cmp.Or(cmp.Compare(y.weight(), x.weight()), cmp.Compare(x.Instance, y.Instance))
	})
	return sorted[:min(maxCoordinators, len(sorted))]
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

// membership is what a router knows of the deployment's routers, including itself.
type membership struct {
	all []Router
	// members are the instances of the router's own zone.
	members map[string]bool
	// own are the coordinator and the backup of the router's zone, and others those of each other zone. A configured zone without
	// known routers has none.
	own    []Router
	others map[string][]Router
}

// newMembership returns the membership of a router in the zone own. configured are the configured zones, which may include own.
func newMembership(own string, configured []string, all []Router) membership {
	m := membership{all: all, members: map[string]bool{}, others: map[string][]Router{}}
	byZone := map[string][]Router{}
	for _, zone := range configured {
		byZone[zone] = nil
	}
	for _, r := range all {
		byZone[r.Zone] = append(byZone[r.Zone], r)
	}
	for zone, routers := range byZone {
		switch zone {
		case "":
		case own:
			m.own = coordinators(routers)
			for _, r := range routers {
				m.members[r.Instance] = true
			}
		default:
			m.others[zone] = coordinators(routers)
		}
	}
	return m
}
