package scheduler

import "github.com/masticway/masticway/chooser"

// ranking finds the engines with the highest weights for a prompt. Ranks of chooser.MaxRank and above cost the same, so only those
// below are determined.
type ranking struct {
	engines [chooser.MaxRank]int
	weights [chooser.MaxRank]uint64
	count   int
}

func (r *ranking) reset() { r.count = 0 }

// add adds an engine by its index.
func (r *ranking) add(engine int, weight uint64) {
	i := r.count
	if i < len(r.weights) {
		r.count++
	} else if i--; weight <= r.weights[i] {
		return
	}
	for ; i > 0 && weight > r.weights[i-1]; i-- {
		r.engines[i], r.weights[i] = r.engines[i-1], r.weights[i-1]
	}
	r.engines[i], r.weights[i] = engine, weight
}

// rank returns the rank of an engine, at most chooser.MaxRank.
func (r *ranking) rank(engine int) int {
	for i, k := range r.engines[:r.count] {
		if k == engine {
			return i
		}
	}
	return chooser.MaxRank
}

// homeWeight returns the engine's rendezvous weight for the hash of a prompt's home part.
func (n *engine) homeWeight(hash uint64) uint64 {
	return chooser.ScaleWeight(chooser.MixWeight(hash, n.idHash), n.speed.class.homeShare())
}
