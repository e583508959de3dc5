package coordinator

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway/chooser"
)

// speedClasses holds the IDs of the slow and of the fast engines of a group, each sorted.
type speedClasses struct{ slow, fast []string }

func (s speedClasses) equal(o speedClasses) bool {
	return slices.Equal(s.slow, o.slow) && slices.Equal(s.fast, o.fast)
}

// version returns a hash of both lists, or zero if both are empty.
func (s speedClasses) version() uint64 {
	if len(s.slow)+len(s.fast) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, list := range [][]string{s.slow, s.fast} {
		for _, id := range list {
			_, _ = h.WriteString(id + "\n")
		}
		_, _ = h.WriteString("\n")
	}
	return max(1, h.Sum64())
}

// addHomeWeights adds the shares of the engines in the homes of prompts to a map by server ID.
func (s speedClasses) addHomeWeights(weights map[string]float64) {
	for _, id := range s.slow {
		weights[id] = chooser.SlowShare
	}
	for _, id := range s.fast {
		weights[id] = chooser.FastShare
	}
}
