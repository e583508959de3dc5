package rotator

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// drainedTime is the longest duration of a call over a link for which no packets wait.
	drainedTime = 30 * time.Millisecond
	// maxDrainTime is the longest time for which the listener stays paused because packets may wait for the link. If no call is
	// answered, it is not known whether they do.
	maxDrainTime = time.Second
	// drainProbeInterval is the pause between two probes of the link. drainProbes is the number of routers that are asked at the
	// same time, because one of them may not answer.
	drainProbeInterval = 10 * time.Millisecond
	drainProbes        = 2
)

// drain tells whether packets that were sent to the router before its listener was paused still wait for its link. The kernel has
// lost the connections of most of them. If the listener were resumed before they have arrived, all callers that connect behind them
// would come at once.
type drain struct {
	// pausedAt is when the listener was paused; it is zero while it is not. isEmpty is set once a call that began later was fast.
	pausedAt time.Time
	isEmpty  bool
}

// begin records that the listener was paused.
func (d *drain) begin(now time.Time) { *d = drain{pausedAt: now} }

// record records an answered call of the router that ended now.
func (d *drain) record(now time.Time, took time.Duration) {
	if took <= drainedTime && !d.pausedAt.IsZero() && !now.Add(-took).Before(d.pausedAt) {
		d.isEmpty = true
	}
}

// isOver reports whether the listener may be resumed.
func (d *drain) isOver(now time.Time) bool {
	return d.isEmpty || now.Sub(d.pausedAt) >= maxDrainTime
}

// isDrained reports whether the listener may be resumed.
func (r *Rotator) isDrained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drain.isOver(r.deps.Clock.Now())
}

// probeLink asks other routers of the zone until an answer, or another call of the router, shows that no packets wait for the link.
func (r *Rotator) probeLink(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxDrainTime)
	defer cancel()
	for ctx.Err() == nil && !r.isDrained() {
		neighbours := r.deps.Neighbours()
		if len(neighbours) == 0 {
			return
		}
		rand.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
		r.probe(ctx, neighbours[:min(drainProbes, len(neighbours))])
		select {
		case <-ctx.Done():
		case <-r.deps.Clock.After(drainProbeInterval):
		}
	}
}

// probe sends a request that changes nothing to some routers, and waits for the first answer.
func (r *Rotator) probe(ctx context.Context, neighbours []Neighbour) {
	began := r.deps.Clock.Now()
	for v := range r.askVoters(ctx, neighbours, LeaseRequest{Instance: r.settings.Instance}) {
		if v.err != nil {
			continue
		}
		r.mu.Lock()
		now := r.deps.Clock.Now()
		r.drain.record(now, now.Sub(began))
		r.mu.Unlock()
		return
	}
}
