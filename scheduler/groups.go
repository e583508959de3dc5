package scheduler

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// groupSize is the number of engines per group. With one group for a whole pool of thousands of engines, its owner would get the
// queries of all routers.
const groupSize = 64

// GroupCount returns the number of groups of a pool with the given number of engines.
func GroupCount(engines int) int { return max(1, int(math.Round(float64(engines)/groupSize))) }

// GroupOf returns the number of the group of a pool that an engine belongs to: the one with the highest rendezvous weight for the
// engine's ID. If the number of groups grows, engines move only to the added groups.
func GroupOf(pool string, serverID string, groups int) int {
	first, _ := rankGroups(xxhash.Sum64String(pool)^mixKey(serverID), groups)
	return first
}

// PromptGroups returns the groups to query for a run: the two with the highest rendezvous weights for the home part of its prompt
// (see chooser.Prompt.HomePart), or for the run's ID if the prompt has no parts. If there is only one group, it returns this one.
func PromptGroups(r masticway.EngineRun, groups int) []int {
	key, ok := chooser.Prompt{Parts: r.Parts}.HomePart()
	if !ok {
		key = r.ID
	}
	first, second := rankGroups(mixKey(key), groups)
	if second < 0 {
		return []int{first}
	}
	return []int{first, second}
}

// mixKey returns the hash of a key of groups. It differs from the hash by which engines are ranked, so that the group of a prompt
// does not determine its home in the group.
func mixKey(key string) uint64 { return xxhash.Sum64String("group/" + key) }

// rankGroups returns the groups with the highest and the second highest rendezvous weight for a hash. The second is -1 if there
// is only one group.
func rankGroups(hash uint64, groups int) (first, second int) {
	first, second = 0, -1
	var highest, next uint64
	for g := range groups {
		weight := chooser.MixWeight(hash, uint64(g+1)*goldenRatio)
		switch {
		case g == 0 || weight > highest:
			if g > 0 {
				second, next = first, highest
			}
			first, highest = g, weight
		case second < 0 || weight > next:
			second, next = g, weight
		}
	}
	return first, second
}

// goldenRatio is 2^64 divided by the golden ratio. Its multiples are spread evenly, and so serve as the hashes of small numbers.
const goldenRatio = 0x9e3779b97f4a7c15
