package chooser

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// MaxRank is the rank above which a higher rank adds no cost to a server.
const MaxRank = 6

// Prompt describes a request for which one of a pool's servers must be chosen.
type Prompt struct {
	Tokens int
	// Output is the maximum number of tokens in the answer.
	Output int
	// Parts are the leading parts of the prompt that the router knows, in order.
	Parts []masticway.PromptPart
	// Zone is the router's availability zone.
	Zone string
	// HomeWeights holds the shares of engines in the homes of prompts, relative to other engines, by server ID. Engines that are not
	// in the map have share 1.
	HomeWeights map[string]float64
}

// HomePart returns the ID of the part that determines the home of the prompt, the engine that all routers prefer for it. This is
// the part before the last, because other requests may share all parts but the last. If there is only one part, it is this one.
// HomePart returns false if the prompt has no parts.
func (p Prompt) HomePart() (string, bool) {
	switch len(p.Parts) {
	case 0:
		return "", false
	case 1:
		return p.Parts[0].ID, true
	}
	return p.Parts[len(p.Parts)-2].ID, true
}

// Servers chooses among servers without sidecars, using only the router's own observations. It is not safe for concurrent use.
type Servers struct {
	policy ServerPolicy
	loads  map[string]*serverLoad
	// startTimes holds the start time of each known server's current incarnation, by server ID.
	startTimes map[string]time.Time
	choices    int
}

// NewServers returns a Servers that has no observations yet.
func NewServers(p ServerPolicy) *Servers {
	return &Servers{policy: p, loads: map[string]*serverLoad{}}
}

// Choose returns the index of the server with the lowest expected cost for a prompt, and this cost in milliseconds. isEngine must
// be set if the servers are model engines rather than plain services. The index is -1 if there are no servers.
func (s *Servers) Choose(now time.Time, isEngine bool, p Prompt, servers []masticway.Server) (int, float64) {
	s.choices++
	var ranks []int
	if part, ok := p.HomePart(); ok && isEngine {
		ranks = rankServers(part, servers, p.HomeWeights)
	}
	rankCost := s.policy.RankCost(p, TokensPerMillisecond)
	best, bestCost := -1, 0.0
	for i := range servers {
		// The search starts at another server in each call, so that servers with equal costs take turns.
		k := (i + s.choices) % len(servers)
		cost := s.cost(now, isEngine, p, servers[k], ranks != nil && ranks[k] == 0)
		if ranks != nil {
			cost += float64(min(ranks[k], MaxRank)) * rankCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return best, bestCost
}

// rankServers returns the ranks of servers by their rendezvous weights for a prompt part, starting with zero for the highest
// weight. Routers with the same servers thus agree without communication on the part's home, which has rank zero. They also
// agree on the order in which other servers are used if the home is overloaded.
func rankServers(part string, servers []masticway.Server, homeWeights map[string]float64) []int {
	hash := xxhash.Sum64String(part)
	weights := make([]uint64, len(servers))
	order := make([]int, len(servers))
	for i, server := range servers {
		weights[i] = RendezvousWeight(hash, server.ID)
		if share, ok := homeWeights[server.ID]; ok {
			weights[i] = ScaleWeight(weights[i], share)
		}
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(weights[y], weights[x]) })
	ranks := make([]int, len(servers))
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}
