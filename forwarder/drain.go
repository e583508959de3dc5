package forwarder

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/follower"
)

// drainNotice is how long a draining router still accepts requests whose deadline is after its end, if they can be expected to end in
// time, unless StopForwarding is called earlier. The load balancer needs two failed checks, a second apart, to send new connections
// elsewhere.
const drainNotice = 2500 * time.Millisecond

const (
	// maxSeenDurations is how many of a route's answers are remembered. The next one is longer than all of them in 1 of 65 cases if
	// nothing has changed.
	maxSeenDurations = 64
	// repeatableMargin and nonRepeatableMargin are by which factor a request may last longer than all answers that were seen. If a
	// request that may run once is cut off, its caller can't send it again.
	repeatableMargin    = 1.1
	nonRepeatableMargin = 1.25
	// drainMargin is for what does not grow with an answer: reading its end, writing it and closing the connection.
	drainMargin = 100 * time.Millisecond
)

// errOutlastsRouter is why a request is not sent to a server by a draining router.
var errOutlastsRouter = errors.New("this router ends before the answer would")

// drain is the state of a router that shuts down: when it was asked to, and when the shutdown ends.
type drain struct {
	since time.Time
	until time.Time
	// closing is set once connections are being closed. From then on all new requests are refused.
	closing atomic.Bool
}

// refuses reports whether a new request must be refused. This is the case if connections are being closed, or if the shutdown may cut
// off the request: its deadline is after the end of the shutdown, and drainNotice has passed or the request is expected to last too
// long. A nil drain refuses nothing.
func (d *drain) refuses(x *exchange, now time.Time) bool {
	return d != nil && (d.closing.Load() || now.Sub(d.since) > drainNotice && x.q.deadline.After(d.until) || d.wouldCutOff(x, now))
}

// wouldCutOff reports whether a request that is sent now is likely to be cut off by the end of the shutdown: its deadline is later, and
// it can't be expected to be answered before. A nil drain cuts off nothing.
func (d *drain) wouldCutOff(x *exchange, now time.Time) bool {
	if d == nil || !x.q.deadline.After(d.until) {
		return false
	}
	expected, ok := x.expectedDuration()
	return !ok || now.Add(expected).After(d.until)
}

// expectedDuration returns how long the request may be expected to last at most, by the answers that this router has seen on the route.
// If it has seen none, a stream is expected to keep what its route promises. It returns false if nothing tells.
func (x *exchange) expectedDuration() (time.Duration, bool) {
	longest, ok := x.f.durations.longest(x.q.route.Name)
	if !ok {
		promised, isPromised := x.promisedDuration()
		if !isPromised {
			return 0, false
		}
		longest = max(longest, promised)
	}
	margin := repeatableMargin
	if x.q.route.RetryPolicy == masticway.RetryNever {
		margin = nonRepeatableMargin
	}
	return time.Duration(margin*float64(longest)) + drainMargin, true
}

// maxPromised bounds what is computed of how long an answer may last.
const maxPromised = 365 * 24 * time.Hour

// promisedDuration returns how long a stream lasts at most if its server keeps what the route promises. It returns false for other
// requests, because a route's objective says nothing of how long an answer lasts that misses it.
func (x *exchange) promisedDuration() (time.Duration, bool) {
	r := x.q.route
	if !r.IsStream || r.LatencyObjective <= 0 || r.MaxEventGap <= 0 || x.q.MaxOutput <= 0 {
		return 0, false
	}
	perEvent := max(1, x.q.pool.TokensPerEvent)
	events := (x.q.MaxOutput + perEvent - 1) / perEvent
	pauses := min(float64(events)*float64(r.MaxEventGap), float64(maxPromised))
	return min(r.LatencyObjective, maxPromised) + time.Duration(pauses), true
}

// recordDuration records how long the request lasted from its admission to its end. An answer that was not complete would have lasted
// longer.
func (x *exchange) recordDuration(complete bool) {
	if x.sentAge.Load() == 0 {
		return
	}
	x.f.durations.record(x.q.route.Name, x.f.clock.Now().Sub(x.admittedAt), complete)
}

// routeDurations remembers how long the latest answers of each route lasted. It is safe for concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*seenDurations
}

// seenDurations holds the durations of the latest answers of a route. count is the number of all that were recorded, and hasComplete is
// set if a complete answer was among them.
type seenDurations struct {
	latest      [maxSeenDurations]time.Duration
	count       int
	hasComplete bool
}

func (s *seenDurations) longest() time.Duration { return slices.Max(s.latest[:]) }

// record records a duration. One of an incomplete answer only counts if it is longer than all others, so that answers that break early
// don't replace whole ones.
func (r *routeDurations) record(route string, d time.Duration, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byRoute[route]
	if !ok {
		s = &seenDurations{}
		r.byRoute[route] = s
	}
	if !complete && d <= s.longest() {
		return
	}
	s.latest[s.count%maxSeenDurations] = d
	s.count++
	s.hasComplete = s.hasComplete || complete
}

// longest returns the longest of the durations that are remembered for a route. It returns false if no answer of it was complete; the
// next one may then last longer.
func (r *routeDurations) longest(route string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byRoute[route]
	if !ok {
		return 0, false
	}
	return s.longest(), s.hasComplete
}

// retain forgets the routes that a snapshot doesn't have.
func (r *routeDurations) retain(snapshot follower.Snapshot) {
	names := make(map[string]bool, len(snapshot.Deployment.Routes))
	for _, route := range snapshot.Deployment.Routes {
		names[route.Name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.byRoute {
		if !names[name] {
			delete(r.byRoute, name)
		}
	}
}
