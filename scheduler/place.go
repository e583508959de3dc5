package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

const (
	// maxMemoryShare is the share of an engine's memory that runs may occupy while another engine has room.
	maxMemoryShare = 0.95
	// pacedEvents is the number of events of a run with a limited pause at which the pending prefill at an engine counts twice. It
	// comes between the run's events. With fewer events the added weight is proportionally less, with more it is the same.
	pacedEvents = 64.0
	// streamDelayShare is the share of a run's prefill time that each running stream with a limited pause adds to the cost of an
	// engine, because the prefill delays the stream's events.
	streamDelayShare = 0.03
	// minRetryTime and maxRetryTime are the bounds of EngineChoice.RetryAfter.
	minRetryTime = 50 * time.Millisecond
	maxRetryTime = 5 * time.Second
)

// suitability says how well an engine suits a run. An engine with a lower value is chosen regardless of the cost.
type suitability int

const (
	suitable suitability = iota
	// suitableLater is for engines without a free slot or memory.
	suitableLater
	// unsuitable is for engines where the first event is not expected before the deadline.
	unsuitable
)

// placement is what the cost of an engine for a run depends on, apart from the engine.
type placement struct {
	now       time.Time
	run       masticway.EngineRun
	parts     []part
	penalties map[string]float64
	// rankCost is the cost of each rank, and zoneCost that of another availability zone, both in milliseconds.
	rankCost, zoneCost float64
	// pendingWeight is the weight of the pending prefill at an engine.
	pendingWeight float64
}

// Place chooses the engine with the lowest cost for a run and reserves it. It does not choose engines whose IDs are excluded, nor
// draining and cold ones. penalties are additional costs in milliseconds, by engine ID. If no engine is left, the choice is empty
// but not Full.
//
// If the run is already reserved, the new choice replaces the reservation. If its sender has already reported it, the query is
// late: the choice is then where it runs, or empty if it has ended.
func (e *Engines) Place(
	now time.Time, sender masticway.Incarnation, r masticway.EngineRun, excluded map[string]bool, penalties map[string]float64,
) masticway.EngineChoice {
	s := e.heard(now, sender)
	if e.ended.has(r.ID) {
		return masticway.EngineChoice{}
	}
	if known := e.runs[r.ID]; known != nil {
		if known.reported {
			return masticway.EngineChoice{Server: known.engine.incarnation}
		}
		e.remove(known)
	}
	e.updateSpeeds(now)
	best, wait, shortest := e.cheapest(e.newPlacement(now, r, penalties), excluded)
	if best == nil {
		return masticway.EngineChoice{}
	}
	if r.TimeLeft > 0 && shortest > milliseconds(r.TimeLeft) {
		retry := time.Duration(shortest*float64(time.Millisecond)) - r.TimeLeft
		return masticway.EngineChoice{Full: true, RetryAfter: min(max(minRetryTime, retry), maxRetryTime)}
	}
	if s != nil && len(e.runs) < maxRuns {
		n := newRun(s, r, now)
		n.expiresAt = now.Add(min(reservationTTL, n.timeLeft))
		best.add(now, n)
		e.runs[n.id] = n
	}
	return masticway.EngineChoice{Server: best.incarnation, Wait: time.Duration(wait * float64(time.Millisecond))}
}

func (e *Engines) newPlacement(now time.Time, r masticway.EngineRun, penalties map[string]float64) *placement {
	e.parts = appendParts(e.parts[:0], r.Parts)
	p := &placement{
		now: now, run: r, parts: e.parts, penalties: penalties,
		rankCost:      e.costs.RankCost(chooser.Prompt{Parts: r.Parts}, e.speeds.median),
		zoneCost:      e.costs.ZoneCost(r.Output),
		pendingWeight: 1,
	}
	if r.EventGap > 0 {
		p.pendingWeight += min(1, float64(r.Output)/float64(max(1, e.pool.TokensPerEvent))/pacedEvents)
	}
	return p
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
		cost, expected, class := e.cost(p, n)
		if hasHome {
			cost += p.rankCost * float64(e.ranking.rank(k))
		}
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

// cost returns the cost of an engine for a run without that of its rank, the expected wait for the run's first event there, both in
// milliseconds, and the engine's suitability.
func (e *Engines) cost(p *placement, n *engine) (cost, wait float64, class suitability) {
	n.evictParts(p.now)
	speed := n.speed.current
	prefill := float64(max(0, p.run.Tokens-n.parts.cachedTokens(p.parts))) / speed
	pending := float64(n.pendingPrefill) / speed
	wait = firstEventLatency + prefill + pending
	cost = prefill + p.pendingWeight*pending
	cost += chooser.RunningCost * float64(n.runs) * e.speeds.median / speed
	cost += streamDelayShare * prefill * float64(n.streams)
	if n.server.Zone != p.run.Zone {
		cost += p.zoneCost
	}
	if penalty := p.penalties[n.server.ID]; penalty > 0 {
		cost += penalty
	}
	if tokens := p.run.Tokens + p.run.Output; !n.hasRoom(tokens) {
		queue := n.roomWait(tokens, e.streamTime)
		wait += queue
		cost += queue
		class = suitableLater
	}
	if p.run.TimeLeft > 0 && wait > milliseconds(p.run.TimeLeft) {
		class = unsuitable
	}
	return cost, wait, class
}

// roomWait estimates the time in milliseconds until enough runs have ended for a run with the given number of tokens, if the runs
// take streamTime on average and are spread evenly over it.
func (n *engine) roomWait(tokens int, streamTime float64) float64 {
	share := 0.0
	if n.slots > 0 && n.runs >= n.slots {
		share = float64(n.runs-n.slots+1) / float64(n.slots)
	}
	if n.capacity > 0 && n.tokens > 0 {
		share = max(share, (float64(n.tokens+tokens)-maxMemoryShare*float64(n.capacity))/float64(n.tokens))
	}
	return share * streamTime
}
