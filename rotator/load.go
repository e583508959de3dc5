package rotator

import "time"

const (
	// overloadDelay is the delay of every call from which on a kind counts as delayed: with it a question to another router
	// is answered too late for the request that waits for it. recoveryDelay is the one below which it does no more.
	overloadDelay = 60 * time.Millisecond
	recoveryDelay = 30 * time.Millisecond
	// minUnansweredTime is what a call counts for at least that got no answer, however soon it was given up.
	minUnansweredTime = 250 * time.Millisecond
	// minDelayedKinds is how many kinds of calls must be delayed: one alone may be slow at its other end.
	minDelayedKinds = 2
	// overloadAfter and recoveryAfter are how long the delay must have stood, and been gone.
	overloadAfter = 200 * time.Millisecond
	recoveryAfter = 1500 * time.Millisecond
)

// Kind is a kind of a router's own calls.
type Kind string

// The kinds of calls: to the row store, to other routers, and connections to servers.
const (
	KindStore  Kind = "store"
	KindRouter Kind = "router"
	KindServer Kind = "server"
)

// Load tells from the times of a router's own calls whether its link or its processor is full.
type Load struct {
	kinds map[Kind]*callTimes
	// changingSince is when the present delay began, or when it ended; zero when the load is what it was found to be.
	changingSince time.Time
	overloaded    bool
}

// NewLoad returns a load of which nothing is known yet.
func NewLoad() *Load {
	return &Load{kinds: map[Kind]*callTimes{KindStore: {}, KindRouter: {}, KindServer: {}}}
}

// Record counts a call that ended now, after some time, with an answer or by its time limit.
func (l *Load) Record(now time.Time, k Kind, took time.Duration, answered bool) {
	if !answered {
		took = max(took, minUnansweredTime)
	}
	l.kinds[k].record(now, took)
}

// Delays are the present delays of the kinds of which enough is known.
func (l *Load) Delays(now time.Time) map[Kind]time.Duration {
	all := map[Kind]time.Duration{}
	for k, d := range l.kinds {
		if excess, ok := d.excess(now); ok {
			all[k] = excess
		}
	}
	return all
}

// Update tells whether the router carries more than it can; it is to be asked several times a second.
func (l *Load) Update(now time.Time) bool {
	threshold, minDuration := overloadDelay, overloadAfter
	if l.overloaded {
		threshold, minDuration = recoveryDelay, recoveryAfter
	}
	if l.isDelayedBy(now, threshold) == l.overloaded {
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

// IsDelayed tells whether the router's own calls are delayed now.
func (l *Load) IsDelayed(now time.Time) bool { return l.isDelayedBy(now, overloadDelay) }

func (l *Load) isDelayedBy(now time.Time, threshold time.Duration) bool {
	delayed := 0
	for _, d := range l.Delays(now) {
		if d >= threshold {
			delayed++
		}
	}
	return delayed >= minDelayedKinds
}
