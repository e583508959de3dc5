package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

const (
	// minRetryTime and maxRetryTime are the bounds of EngineChoice.RetryAfter.
	minRetryTime = 50 * time.Millisecond
	maxRetryTime = 5 * time.Second
)

// Place chooses the engine with the lowest cost for a run and reserves it. It does not choose engines whose IDs are excluded, nor
// draining and cold ones. penalties are additional costs in milliseconds, by engine ID. If no engine is left, the choice is empty
// but not Full.
//
// If the group is contended, the choice contains the level of the run's workspace, and a run of level 2 for which no engine meets the
// objective is refused. Other runs of its rank are served in its place.
//
// If the run is already reserved, the new choice replaces the reservation. If its sender has already reported it, the query is
// late: the choice is then where it runs, or empty if it has ended.
func (e *Engines) Place(
	now time.Time, sender masticway.Incarnation, r masticway.EngineRun, excluded map[string]bool, penalties map[string]float64,
) masticway.EngineChoice {
	s := e.heard(now, sender)
	r.Tokens, r.Output = e.limitTokens(r.Tokens), e.limitTokens(r.Output)
	if e.ended.has(r.ID) {
		return masticway.EngineChoice{}
	}
	e.updateSpeeds(now)
	e.updateContention(now)
	level, charged := e.shares.level(now, r.Workspace), 0
	if known := e.runs[r.ID]; known != nil {
		if known.reported {
			return masticway.EngineChoice{Server: known.engine.incarnation, Level: level}
		}
		charged = known.charged
		e.remove(known)
	}
	best, wait, shortest := e.cheapest(e.newPlacement(now, r, penalties), excluded)
	if best == nil {
		return masticway.EngineChoice{}
	}
	limit := r.TimeLeft
	if level == maxLevel && r.Objective > 0 && (limit <= 0 || r.Objective < limit) {
		limit = r.Objective
	}
	if limit > 0 && shortest > milliseconds(limit) {
		retry := time.Duration(shortest*float64(time.Millisecond)) - limit
		return masticway.EngineChoice{Full: true, RetryAfter: min(max(minRetryTime, retry), maxRetryTime), Level: level}
	}
	if s != nil && len(e.runs) < maxRuns {
		n := e.newRun(s, r, now)
		n.expiresAt = now.Add(min(reservationTTL, n.timeLeft))
		n.charged = charged
		best.add(now, n)
		e.shares.charge(now, n)
		e.runs[n.id] = n
	}
	return masticway.EngineChoice{Server: best.incarnation, Wait: time.Duration(wait * float64(time.Millisecond)), Level: level}
}

// cheapest returns the engine with the lowest cost among the most suitable ones, the expected wait there, and the shortest
// expected wait at any engine. Both are in milliseconds. The engine is nil if there is none.
func (e *Engines) cheapest(p *placement, excluded map[string]bool) (best *engine, wait, shortest float64) {
	home, hasHome := chooser.Prompt{Parts: p.run.Parts}.HomePart()
	e.ranking.reset()
	if hasHome {
		hash := xxhash.Sum64String(home)
		for i, n := range e.engines {
			if n.isOpen(p.now) && !excluded[n.server.ID] {
				e.ranking.add(i, n.homeWeight(hash))
			}
		}
	}
	e.choices++
	var bestCost float64
	var bestClass suitability
	for i := range e.engines {
		// The search starts at another engine in each call, so that engines with equal costs take turns.
		k := (i + e.choices) % len(e.engines)
		n := e.engines[k]
		if !n.isOpen(p.now) || excluded[n.server.ID] {
			continue
		}
		cost, expected, class := e.cost(p, n, e.ranking.rank(k))
		if best == nil || expected < shortest {
			shortest = expected
		}
		if best == nil || class < bestClass || class == bestClass && cost < bestCost {
			best, bestCost, bestClass, wait = n, cost, class, expected
		}
	}
	return best, wait, shortest
}

// isOpen reports whether the engine takes new runs.
func (n *engine) isOpen(now time.Time) bool {
	return n.server.State != masticway.ServerDraining && !n.server.IsCold(now)
}
