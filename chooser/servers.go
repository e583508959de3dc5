package chooser

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// maxRank is how many ranks count.
const maxRank = 6

// Prompt describes a request to be placed at one of a pool's servers.
type Prompt struct {
	Tokens int
	// Output is the most tokens that the answer may have.
	Output int
	Parts  []masticway.PromptPart
	// Zone is the router's availability zone.
	Zone string
}

// homePart is the part by which all routers gather requests at one engine: the last one that others may share.
func (p Prompt) homePart() (string, bool) {
	switch len(p.Parts) {
	case 0:
		return "", false
	case 1:
		return p.Parts[0].ID, true
	}
	return p.Parts[len(p.Parts)-2].ID, true
}

// Servers places requests at servers that are reached without a sidecar, from the router's own observations only;
// it is not safe for concurrent use.
type Servers struct {
	policy ServerPolicy
	loads  map[string]*serverLoad
	// startTimes is when the lives of the known servers began.
	startTimes map[string]time.Time
	choices    int
}

// NewServers returns a placement that has observed nothing.
func NewServers(p ServerPolicy) *Servers {
	return &Servers{policy: p, loads: map[string]*serverLoad{}}
}

// Choose returns the index of the server with the least expected cost in milliseconds, or -1 without one.
func (s *Servers) Choose(now time.Time, engine bool, p Prompt, servers []masticway.Server) (int, float64) {
	s.choices++
	var ranks []int
	if part, ok := p.homePart(); ok && engine {
		ranks = rankServers(part, servers)
	}
	rankCost := s.rankCost(p)
	best, bestCost := -1, 0.0
	for i := range servers {
		// Equal costs take turns.
		k := (i + s.choices) % len(servers)
		cost := s.cost(now, engine, p, servers[k], ranks != nil && ranks[k] == 0)
		if ranks != nil {
			cost += float64(min(ranks[k], maxRank)) * rankCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return best, bestCost
}

// rankServers orders servers by their rendezvous weights for a part, so that all routers agree without a word on its
// home, rank zero, and on where its requests go when that is crowded.
func rankServers(part string, servers []masticway.Server) []int {
	hash := xxhash.Sum64String(part)
	weights := make([]uint64, len(servers))
	order := make([]int, len(servers))
	for i, server := range servers {
		weights[i] = rendezvousWeight(hash, server.ID)
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(weights[y], weights[x]) })
	ranks := make([]int, len(servers))
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}
