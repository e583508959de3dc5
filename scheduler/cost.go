package scheduler

import (
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// The constants without a stated source were chosen by a simulation of 31 routers and 56 engines, of which a quarter are slow.
const (
	// maxMemoryShare is the share of an engine's memory that runs may occupy while another engine has room.
	maxMemoryShare = 0.95
	// pacedEvents is the number of events of a run with a limited pause at which the pending prefill at an engine counts twice. It
	// comes between the run's events. With fewer events the added weight is proportionally less, with more it is the same.
	pacedEvents = 64.0
	// chunkTokens is the assumed number of prompt tokens that an engine prefills between two tokens of a stream. The measured delay
	// of a token by a prefill chunk, 25 to 45 ms, is the time for 1,100 to 1,900 tokens.
	chunkTokens = 2000.0
	// minChunkTokens is the least number of tokens of such a chunk while prompts wait.
	minChunkTokens = 1000.0
	// gapRiskCost is the cost in milliseconds of each event of a run at an engine where a prefill chunk between any two tokens makes
	// a pause of twice the limit or more. Without it, 4% of the long answers were late at slow engines, with it 0.1%.
	gapRiskCost = 2.0
	// streamDelayShare is the share of a run's prefill time that each running stream with a limited pause adds to the cost of an
	// engine, because the prefill delays the stream's events.
	streamDelayShare = 0.01
	// busyPrefill is the mean pending prefill of the group's engines, in milliseconds, at which the prefill of a run counts
	// maxPrefillWeight times. With less, the weight is proportionally lower. The busier the engines are, the more other runs wait for
	// each prefill. At 1.4 times the usual load, this reduces the mean time to the first event by 7%.
	busyPrefill      = 100.0
	maxPrefillWeight = 2.0
)

// suitability says how well an engine suits a run. An engine with a lower value is chosen regardless of the cost.
type suitability int

const (
	// suitable is for engines with a free slot and memory.
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
	// shared is the number of prompt tokens that other runs may share.
	shared int
	// rankCost is the cost of each rank if no shared token is cached, and zoneCost that of another availability zone, both in
	// milliseconds.
	rankCost, zoneCost float64
	// prefillWeight and pendingWeight are the weights of the run's own prefill and of the pending prefill at an engine.
	prefillWeight, pendingWeight float64
	// events is the number of events of a run with a limited pause, and tokenGap the limit for one token in milliseconds. Both are
	// zero for other runs.
	events, tokenGap float64
}

func (e *Engines) newPlacement(now time.Time, r masticway.EngineRun, penalties map[string]float64) *placement {
	e.parts = appendParts(e.parts[:0], r.Parts)
	prompt := chooser.Prompt{Parts: r.Parts}
	p := &e.placement
	*p = placement{
		now: now, run: r, parts: e.parts, penalties: penalties, shared: prompt.SharedTokens(),
		rankCost: e.costs.RankCost(prompt, e.speeds.median), zoneCost: e.costs.ZoneCost(r.Output), prefillWeight: 1, pendingWeight: 1,
	}
	if len(e.engines) > 0 {
		mean := float64(e.load.pendingPrefill) / float64(len(e.engines)) / e.speeds.median
		p.prefillWeight = 1 + (maxPrefillWeight-1)*min(1, mean/busyPrefill)
	}
	if r.EventGap > 0 {
		perEvent := float64(max(1, e.pool.TokensPerEvent))
		p.events = float64(r.Output) / perEvent
		p.tokenGap = milliseconds(r.EventGap) / perEvent
		p.pendingWeight += min(1, p.events/pacedEvents)
	}
	return p
}

// cost returns the cost of an engine with a rank for a run, the expected wait for the run's first event there, both in
// milliseconds, and the engine's suitability.
func (e *Engines) cost(p *placement, n *engine, rank int) (cost, wait float64, class suitability) {
	n.evictParts(p.now)
	speed := n.speed.current
	cached := n.parts.cachedTokens(p.parts)
	prefill := float64(max(0, p.run.Tokens-cached)) / speed
	overdue := n.overdue(float64(n.pendingPrefill) / speed)
	pending := n.remainingPrefill(p.now) / speed
	wait = firstEventLatency + prefill + pending + overdue
	cost = p.prefillWeight*prefill + p.pendingWeight*pending + overdue
	cost += chooser.RunningCost * float64(n.runs) * e.speeds.median / speed
	cost += streamDelayShare * prefill * float64(n.streams)
	if p.events > 0 {
		cost += gapRiskCost * p.events * min(1, max(0, chunkTokens/speed/p.tokenGap-1))
	}
	if p.shared > 0 {
		// An engine that has the shared parts does not prefill them again, whatever its rank.
		cost += p.rankCost * float64(rank) * float64(max(0, p.shared-cached)) / float64(p.shared)
	}
	cost += n.failures.cost(p.now)
	if n.server.Zone != p.run.Zone {
		cost += p.zoneCost
	}
	if penalty := p.penalties[n.server.ID]; penalty > 0 {
		cost += penalty
	}
	class = suitable
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
		// No more than all runs can end.
		share = max(share, min(1, (float64(n.tokens+tokens)-maxMemoryShare*float64(n.capacity))/float64(n.tokens)))
	}
	return share * streamTime
}
