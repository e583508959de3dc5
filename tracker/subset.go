package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// otherZonesDivisor determines how many sidecars of a pool a router links to in other availability zones: at least a share of
// 1/otherZonesDivisor, if there are enough. The router can then still serve if its own zone has lost every upstream of the pool.
const otherZonesDivisor = 4

// Pools returns the names of the pools of the models and services that an instance offers.
func Pools(i masticway.Instance) []string {
	names := make([]string, 0, len(i.Models)+len(i.Services))
	for _, m := range i.Models {
		names = append(names, ModelPool(m))
	}
	for _, s := range i.Services {
		names = append(names, ServicePool(s))
	}
	return names
}

// ModelPool returns the name of a model's pool.
func ModelPool(name string) string { return "model:" + name }

// ServicePool returns the name of a plain service's pool.
func ServicePool(name string) string { return "service:" + name }

// Subset chooses the sidecars that a router links to, from those in the list that are live. It chooses perPool sidecars for each
// pool, or all if there are fewer. The result maps their instance IDs to them.
//
// The choice is by rendezvous hashing, so that the routers spread over all sidecars and the loss of one sidecar replaces at most
// one choice for each pool.
func Subset(list []masticway.Instance, router, zone string, perPool int) map[string]masticway.Instance {
	byPool := map[string][]masticway.Instance{}
	for _, i := range list {
		if i.Role != masticway.RoleSidecar || i.State != masticway.InstanceLive {
			continue
		}
		for _, p := range Pools(i) {
			byPool[p] = append(byPool[p], i)
		}
	}
	chosen := map[string]masticway.Instance{}
	for _, members := range byPool {
		for _, i := range chooseMembers(members, router, zone, perPool) {
			chosen[i.ID] = i
		}
	}
	return chosen
}

func chooseMembers(members []masticway.Instance, router, zone string, limit int) []masticway.Instance {
	if len(members) <= limit {
		return members
	}
	slices.SortFunc(members, func(a, b masticway.Instance) int {
		return cmp.Compare(xxhash.Sum64String(router+"/"+b.ID), xxhash.Sum64String(router+"/"+a.ID))
	})
	var sameZone, otherZones []masticway.Instance
	for _, i := range members {
		if i.Zone == zone {
			sameZone = append(sameZone, i)
		} else {
			otherZones = append(otherZones, i)
		}
	}
	fromOthers := min(len(otherZones), max(limit/otherZonesDivisor, limit-len(sameZone)))
	return append(sameZone[:min(len(sameZone), limit-fromOthers)], otherZones[:fromOthers]...)
}
