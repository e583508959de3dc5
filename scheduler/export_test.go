package scheduler

import (
	"fmt"
	"time"

	"github.com/masticway/masticway"
)

// Load is the load of an engine.
type Load struct{ Runs, Streams, Pending, Tokens int }

// Load returns the load of the engine with an ID.
func (e *Engines) Load(id string) Load {
	for _, n := range e.engines {
		if n.server.ID == id {
			return Load{Runs: n.runs, Streams: n.streams, Pending: n.pendingPrefill, Tokens: n.tokens}
		}
	}
	return Load{}
}

// TotalLoad returns the sum of the loads of all engines.
func (e *Engines) TotalLoad() (l Load) {
	for _, n := range e.engines {
		l.Runs += n.runs
		l.Streams += n.streams
		l.Pending += n.pendingPrefill
		l.Tokens += n.tokens
	}
	return l
}

// Counts returns the numbers of stored runs, ended runs, senders, and prompt parts at the engine that has the most.
func (e *Engines) Counts() (runs, ended, senders, parts int) {
	for _, n := range e.engines {
		parts = max(parts, len(n.parts.entries))
	}
	return len(e.runs), len(e.ended.ids), len(e.senders), parts
}

// Speed returns the current speed of an engine, in tokens per millisecond, as a share of the median.
func (e *Engines) Speed(id masticway.ServerIncarnation) float64 {
	return e.byIncarnation[id].speed.current / e.speeds.median
}

// Use returns the number of workspaces with a use, and the use of one of them in tokens.
func (e *Engines) Use(now time.Time, workspace string) (workspaces int, tokens float64) {
	return len(e.shares.uses), e.shares.uses[workspace].decayed(now)
}

// Bounds of the stored state.
const (
	MaxRuns    = maxRuns
	MaxSenders = maxSenders
	MaxEnded   = maxEnded
	MaxParts   = maxParts
	// MaxWorkspaces is the bound on the workspaces with a use.
	MaxWorkspaces = maxWorkspaces
)

// Check compares the sums that are kept up to date with the runs.
func (e *Engines) Check() error {
	type sums struct {
		load    Load
		pending map[uint64]int
	}
	want := map[*engine]*sums{}
	for _, n := range e.engines {
		want[n] = &sums{pending: map[uint64]int{}}
	}
	group := 0
	for id, r := range e.runs {
		s := want[r.engine]
		if s == nil || r.id != id {
			return fmt.Errorf("run %s is at an engine that is not in the group", id)
		}
		s.load.Runs++
		s.load.Tokens += r.tokens + r.output
		switch {
		case r.state == masticway.EngineRunSent:
			s.load.Pending += r.uncached
			group += r.uncached
			for _, p := range r.parts {
				s.pending[p.hash]++
			}
		case r.isPaced:
			s.load.Streams++
		}
	}
	if group != e.load.pendingPrefill {
		return fmt.Errorf("the group has %d pending tokens, not %d", group, e.load.pendingPrefill)
	}
	for n, s := range want {
		if got := e.Load(n.server.ID); got != s.load {
			return fmt.Errorf("engine %s: %+v, not %+v", n.server.ID, got, s.load)
		}
		listed := 0
		for r := n.oldestPending; r != nil; r = r.next {
			listed += r.uncached
		}
		if listed != s.load.Pending {
			return fmt.Errorf("engine %s: %d pending tokens are listed, not %d", n.server.ID, listed, s.load.Pending)
		}
		tokens := 0
		for k := n.parts.oldest; k != nil; k = k.newer {
			tokens += k.tokens
			if k.pending != s.pending[k.hash] || k.pending == 0 && !k.prefilled {
				return fmt.Errorf("engine %s: part %x has %d pending runs, not %d", n.server.ID, k.hash, k.pending, s.pending[k.hash])
			}
			delete(s.pending, k.hash)
		}
		if len(s.pending) > 0 {
			return fmt.Errorf("engine %s: parts of pending runs are not in the cache: %v", n.server.ID, s.pending)
		}
		if tokens != n.parts.tokens {
			return fmt.Errorf("engine %s: parts of %d tokens, not %d", n.server.ID, tokens, n.parts.tokens)
		}
	}
	return nil
}

// Ranks returns the ranks of engines with the given weights.
func Ranks(weights []uint64) []int {
	var r ranking
	for i, w := range weights {
		r.add(i, w)
	}
	ranks := make([]int, len(weights))
	for i := range weights {
		ranks[i] = r.rank(i)
	}
	return ranks
}
