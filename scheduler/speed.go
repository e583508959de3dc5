package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

const (
	// speedDecay is the time constant of the exponential decay of the weight of samples.
	speedDecay = 20 * time.Second
	// priorPrompts is the weight of the group's median speed in an engine's speed, in mean prompts. maxSamplePrompts is the maximum
	// weight of one sample. With these weights, one sample lowers a speed to no less than 4/5.5 of the median, so that it makes no
	// engine slow.
	priorPrompts     = 4.0
	maxSamplePrompts = 1.5
	// minSampleTokens is the number of tokens below which a run is no sample, because the time to its first event is then not
	// determined by the prefill.
	minSampleTokens = 128
	// minSampleShare is the share of the median speed that a sample counts as if it is slower. An engine that was frozen for seconds
	// would otherwise be classified as slow for a minute.
	minSampleShare = 0.1
	// maxSpeedShare is the upper bound of a speed as a multiple of the median.
	maxSpeedShare = 4.0
	// meanPromptWeight is the weight of the newest run in the mean number of uncached prompt tokens, and initialMeanPrompt its
	// initial value.
	meanPromptWeight  = 0.02
	initialMeanPrompt = 2000.0
	// speedUpdateInterval is the minimum interval of updates of the median and of the engines' speeds relative to it.
	speedUpdateInterval = 100 * time.Millisecond
	// maxSampleScan is the number of pending runs, from the first placed one, among which the first one sent is searched.
	maxSampleScan = 64
	// firstEventLatency is the time in milliseconds from sending a run to its first event at an idle engine, without the prefill.
	firstEventLatency = 10.0
)

// engineSpeed is what is known of an engine's prefill speed.
type engineSpeed struct {
	// tokens and milliseconds are the sums over the samples, decayed by their age, as of the time at.
	tokens, milliseconds float64
	at                   time.Time
	// current is the estimate in tokens per millisecond, from the samples and the group's median.
	current float64
	class   speedClass
}

// groupSpeeds holds what the speeds of a group's engines have in common.
type groupSpeeds struct {
	// median is the median of the engines' current speeds, in tokens per millisecond.
	median float64
	// meanPrompt is the mean number of uncached prompt tokens of a run.
	meanPrompt float64
	updatedAt  time.Time
	// buffer holds the speeds while the median is computed.
	buffer []float64
}

func newGroupSpeeds() groupSpeeds {
	return groupSpeeds{median: chooser.TokensPerMillisecond, meanPrompt: initialMeanPrompt}
}

// decay reduces the weight of the samples according to the time that has passed.
func (s *engineSpeed) decay(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		f := math.Exp(-d.Seconds() / speedDecay.Seconds())
		s.tokens *= f
		s.milliseconds *= f
		s.at = now
	}
}

// update computes the current speed from the samples and the group's median.
func (s *engineSpeed) update(g *groupSpeeds) {
	prior := priorPrompts * g.meanPrompt
	own := g.median * maxSpeedShare
	if s.tokens < own*s.milliseconds {
		own = s.tokens / s.milliseconds
	}
	s.current = (s.tokens*own + prior*g.median) / (s.tokens + prior)
}

// recordSample adds the prefill of a run whose first event arrived at a time to the speed of its engine. It must be called while
// the run is still pending.
//
// The time of the sample starts at the previous first event, or when the engine began to have pending runs, whichever is later.
// First events may be reported in another order than they arrived. An earlier one of the same busy period then adds tokens but no
// time, because the later one has added the time of both. One of an earlier busy period is ignored.
//
// Pending runs that are only reserved do not count as the start: their times are those of the choice, while the times of reported
// runs are late by the delay of the report. With reports that are late by 1 s, speeds fell to half otherwise.
func (e *Engines) recordSample(now time.Time, r *run, at time.Time) {
	n := r.engine
	if at.Before(r.sentAt) || at.Before(n.sampledFrom) || r.uncached < minSampleTokens {
		return
	}
	from, latency := r.sentAt, firstEventLatency
	p := n.oldestPending
	for i := 0; i < maxSampleScan && p != nil; i++ {
		if p.reported && p.sentAt.Before(from) {
			from = p.sentAt
		}
		p = p.next
	}
	if n.firstEventAt.After(from) {
		from, latency = n.firstEventAt, 0
	} else {
		n.sampledFrom = from
	}
	tokens := float64(r.uncached)
	took := max(0, milliseconds(at.Sub(from))-latency)
	if at.After(n.firstEventAt) {
		n.firstEventAt = at
	}
	g := &e.speeds
	g.meanPrompt += meanPromptWeight * (tokens - g.meanPrompt)
	weight := min(1, maxSamplePrompts*g.meanPrompt/tokens)
	n.speed.decay(now)
	n.speed.tokens += weight * tokens
	n.speed.milliseconds += weight * min(took, tokens/(minSampleShare*g.median))
	n.speed.update(g)
}

// updateSpeeds updates the median, the engines' speeds and the engines' speed classes, at most once per speedUpdateInterval.
func (e *Engines) updateSpeeds(now time.Time) {
	g := &e.speeds
	if d := now.Sub(g.updatedAt); len(e.engines) == 0 || d >= 0 && d < speedUpdateInterval {
		return
	}
	g.updatedAt = now
	g.buffer = g.buffer[:0]
	for _, n := range e.engines {
		n.speed.decay(now)
		n.speed.update(g)
		g.buffer = append(g.buffer, n.speed.current)
	}
	slices.Sort(g.buffer)
	g.median = g.buffer[len(g.buffer)/2]
	e.slow, e.fast = e.slow[:0], e.fast[:0]
	for _, n := range e.engines {
		n.speed.class = n.speed.class.next(n.speed.current/g.median, n.speed.tokens >= priorPrompts*g.meanPrompt)
		switch n.speed.class {
		case slowSpeed:
			e.slow = append(e.slow, n.server.ID)
		case fastSpeed:
			e.fast = append(e.fast, n.server.ID)
		}
	}
}

// Speeds returns the learned speeds, for the next owner of the group.
func (e *Engines) Speeds() map[masticway.ServerIncarnation]masticway.EngineSpeed {
	speeds := make(map[masticway.ServerIncarnation]masticway.EngineSpeed, len(e.engines))
	for _, n := range e.engines {
		if n.speed.tokens > 0 && n.speed.milliseconds > 0 {
			speeds[n.incarnation] = masticway.EngineSpeed{TokensPerMS: n.speed.tokens / n.speed.milliseconds, Tokens: n.speed.tokens}
		}
	}
	return speeds
}

// AdoptSpeeds sets the speeds that the previous owner of the group has learned, where they have more weight than what is known
// here. Those of engines that are not in the group are ignored.
func (e *Engines) AdoptSpeeds(now time.Time, s map[masticway.ServerIncarnation]masticway.EngineSpeed) {
	for id, adopted := range s {
		n := e.byIncarnation[id]
		if n == nil || !(adopted.TokensPerMS > 0) || math.IsInf(adopted.Tokens/adopted.TokensPerMS, 0) {
			continue
		}
		n.speed.decay(now)
		if adopted.Tokens > n.speed.tokens {
			n.speed.tokens, n.speed.milliseconds = adopted.Tokens, adopted.Tokens/adopted.TokensPerMS
			n.speed.update(&e.speeds)
		}
	}
}
