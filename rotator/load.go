package rotator

import (
	"maps"
	"slices"
	"time"
)

const (
	// overloadDelay is the excess over the baseline at which a kind of call counts as delayed. With a longer delay, another
	// router's reply arrives too late for the request of the caller that waits for it. While the router is overloaded,
	// recoveryDelay replaces overloadDelay in the decision whether the overload continues.
	overloadDelay = 60 * time.Millisecond
	recoveryDelay = 30 * time.Millisecond
	// minUnansweredTime is the minimum duration recorded for a call that got no reply, however soon it was canceled.
	minUnansweredTime = 250 * time.Millisecond
	// minDelayedKinds is the minimum number of kinds of calls that must be delayed for the router to be overloaded. One kind
	// alone may be slow at the remote end.
	minDelayedKinds = 2
	// overloadAfter is how long the calls must be delayed until the router counts as overloaded. recoveryAfter is how long they
	// must not be delayed until it no longer does.
	overloadAfter = 200 * time.Millisecond
	recoveryAfter = 1500 * time.Millisecond
)

// Kind is a kind of call that a router makes itself.
type Kind string

// The kinds of calls: to the row store, to other routers, and connections to servers.
const (
	KindStore  Kind = "store"
	KindRouter Kind = "router"
	KindServer Kind = "server"
)

// Load determines from the durations of a router's own calls whether its network link or CPU is saturated.
type Load struct {
	kinds map[Kind]*callTimes
	// changingSince is since when the delays of the calls have contradicted the field overloaded. It is zero if they agree with
	// it.
	changingSince time.Time
	overloaded    bool
}

// NewLoad returns a Load without observations.
func NewLoad() *Load {
	return &Load{kinds: map[Kind]*callTimes{KindStore: {}, KindRouter: {}, KindServer: {}}}
}

// Record adds a call that ended now. answered is set if there was a reply.
func (l *Load) Record(now time.Time, k Kind, took time.Duration, answered bool) {
	if !answered {
		took = max(took, minUnansweredTime)
	}
	l.kinds[k].record(now, took)
}

// Delays returns, for each kind with enough recent calls, by how much the fastest of them exceeds the baseline.
func (l *Load) Delays(now time.Time) map[Kind]time.Duration {
	all := map[Kind]time.Duration{}
	for k, d := range l.kinds {
		if excess, ok := d.excess(now); ok {
			all[k] = excess
		}
	}
	return all
}

// Update updates the load from the recent calls and reports whether the router is overloaded. linkFull is set if requests of callers
// fill the link; the router is overloaded at once then, because its calls are late only when much waits for the link. A router that
// refuses connections remains overloaded, because its calls are only fast as long as it does. The caller must call Update several
// times per second.
func (l *Load) Update(now time.Time, refuses, linkFull bool) bool {
	if linkFull {
		l.overloaded, l.changingSince = true, time.Time{}
		return true
	}
	threshold, minDuration := overloadDelay, overloadAfter
	if l.overloaded {
		threshold, minDuration = recoveryDelay, recoveryAfter
	}
	if (l.Delay(now) >= threshold || l.overloaded && refuses) == l.overloaded {
		l.changingSince = time.Time{}
		return l.overloaded
	}
	if l.changingSince.IsZero() {
		l.changingSince = now
	}
	if now.Sub(l.changingSince) >= minDuration {
		l.overloaded, l.changingSince = !l.overloaded, time.Time{}
	}
	return l.overloaded
}

// Delay returns by how much at least minDelayedKinds kinds of the router's own calls are currently delayed.
func (l *Load) Delay(now time.Time) time.Duration {
	delays := slices.Sorted(maps.Values(l.Delays(now)))
	if len(delays) < minDelayedKinds {
		return 0
	}
	return delays[len(delays)-minDelayedKinds]
}
