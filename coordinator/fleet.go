package coordinator

import (
	"slices"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// maxGroupQueries is the maximum number of groups that are queried for one run.
const maxGroupQueries = 2

// groupKey identifies a group of engines.
type groupKey struct {
	pool  string
	group int
}

// fleet is one snapshot of the configuration and the engines. It does not change. pools is nil while coordination does not apply.
type fleet struct {
	deployment masticway.Deployment
	servers    map[string][]masticway.Server
	pools      map[string]*poolFleet
}

// poolFleet is the engines of one pool in a snapshot.
type poolFleet struct {
	pool masticway.Pool
	// servers are all engines of the pool, and groups those of each group. groupOf holds the group of each server ID; it is nil if
	// there is only one group.
	servers []masticway.Server
	groups  [][]masticway.Server
	groupOf map[string]int
}

// newPoolFleets returns the pools of engines. The groups of known engines are copied from the previous fleet.
func newPoolFleets(d masticway.Deployment, servers map[string][]masticway.Server, previous *fleet) map[string]*poolFleet {
	pools := map[string]*poolFleet{}
	for name, pool := range d.Pools {
		if pool.IsEngine && len(servers[name]) > 0 {
			pools[name] = newPoolFleet(pool, servers[name], previous.pools[name])
		}
	}
	return pools
}

// newPoolFleet returns the engines of a pool. before is the pool in the previous fleet, or nil.
func newPoolFleet(pool masticway.Pool, servers []masticway.Server, before *poolFleet) *poolFleet {
	n := scheduler.GroupCount(len(servers))
	p := &poolFleet{pool: pool, servers: servers, groups: make([][]masticway.Server, n)}
	if n == 1 {
		p.groups[0] = servers
		return p
	}
	p.groupOf = make(map[string]int, len(servers))
	for _, s := range servers {
		group, ok := 0, false
		if before != nil && len(before.groups) == n {
			group, ok = before.groupOf[s.ID]
		}
		if !ok {
			group = scheduler.GroupOf(pool.Name, s.ID, n)
		}
		p.groupOf[s.ID] = group
		p.groups[group] = append(p.groups[group], s)
	}
	return p
}

// group returns the group of a server.
func (p *poolFleet) group(serverID string) int { return p.groupOf[serverID] }

// excluded returns the IDs of the servers of a group that are not among the candidates. It returns false if no server of the
// group is.
func (p *poolFleet) excluded(group int, candidates []masticway.Server) ([]string, bool) {
	servers := p.groups[group]
	if len(candidates) == len(p.servers) {
		return nil, len(servers) > 0
	}
	isCandidate := make(map[string]bool, len(candidates))
	for _, s := range candidates {
		isCandidate[s.ID] = true
	}
	var excluded []string
	for _, s := range servers {
		if !isCandidate[s.ID] {
			excluded = append(excluded, s.ID)
		}
	}
	return excluded, len(excluded) < len(servers)
}

// penalties returns the penalties of the servers of a group.
func (p *poolFleet) penalties(group int, all map[string]float64) map[string]float64 {
	if len(p.groups) == 1 || len(all) == 0 {
		return all
	}
	own := map[string]float64{}
	for id, penalty := range all {
		if p.groupOf[id] == group {
			own[id] = penalty
		}
	}
	return own
}

// has reports whether the fleet has a group.
func (f *fleet) has(k groupKey) bool {
	p, ok := f.pools[k.pool]
	return ok && k.group >= 0 && k.group < len(p.groups)
}

// unite returns the elements of the lists as a set, or nil if there are none.
func unite(lists ...[]string) map[string]bool {
	if !slices.ContainsFunc(lists, func(l []string) bool { return len(l) > 0 }) {
		return nil
	}
	set := map[string]bool{}
	for _, l := range lists {
		for _, id := range l {
			set[id] = true
		}
	}
	return set
}
