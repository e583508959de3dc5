package rotator

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// checkInterval is the interval at which the load is checked.
	checkInterval = 100 * time.Millisecond
	// minOutTime is how long a router stays out of rotation the first time, and maxOutTime the maximum. The time doubles if the
	// router leaves the rotation again soon, before it has been back for as long as it was out. An overload that soon means that
	// the same callers have returned to it, so it must stay out for longer.
	minOutTime = 20 * time.Second
	maxOutTime = 160 * time.Second
	// leaseTimeout is the timeout of an election. It is long enough for a saturated link.
	leaseTimeout = 3 * time.Second
	// surplusTimeout is how long a router waits for the other votes of an election that it has won.
	surplusTimeout = 50 * time.Millisecond
	// leaseRetryInterval is the minimum time from a lost election to the next. A random time of up to the same length is added.
	leaseRetryInterval = 500 * time.Millisecond
	// loadLogInterval is the interval at which an overloaded router logs its load.
	loadLogInterval = time.Second
)

// Names of metrics.
const (
	metricOverloaded = "overloaded"
	metricOut        = "out_of_rotation"
)

// Settings configures a rotator.
type Settings struct {
	Instance string
	// Zone is the availability zone whose routers share the leases.
	Zone string
	// Memory is the memory of the router in bytes; zero means unknown. Request bodies may use the share bodyMemoryShare of it.
	// They are not limited if it is unknown.
	Memory int64
	// LinkRate is the capacity of the router's network link in bytes per second in each direction; zero means unknown.
	LinkRate float64
}

// Listener accepts the connections of callers.
type Listener interface {
	// Pause makes the listener refuse connections immediately.
	Pause()
	// Resume makes the listener accept connections again. It returns false if this has failed and the caller must try again.
	Resume() bool
}

// Dependencies holds the dependencies of a rotator.
type Dependencies struct {
	Listener Listener
	// Voters reaches the other routers that vote on leases. It must also work over a saturated link.
	Voters  Voters
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	// Neighbours returns the other routers of the zone.
	Neighbours func() []Neighbour
}

// Rotator controls the load of a router: it admits requests, pauses the listener, and takes the router out of rotation.
type Rotator struct {
	settings Settings
	deps     Dependencies
	out      atomic.Bool
	// forewarnedUntil is when the current or last forewarning ends, in nanoseconds since the Unix epoch.
	forewarnedUntil atomic.Int64
	// overloaded is the result of the last check of the load.
	overloaded atomic.Bool
	wg         sync.WaitGroup

	mu        sync.Mutex
	load      *Load
	granted   grantedLeases
	admission admission
	limiter   connLimiter
	drain     drain
	use       linkUse
	refusals  refusals
	// measuredAt is when the load was last measured, and unread is the number of connections that have ended before a request was
	// read from them.
	measuredAt time.Time
	unread     int
	// pausedSince is since when the listener has been paused; it is zero while it is not. pausedTime is the total time of the
	// earlier pauses.
	pausedSince time.Time
	pausedTime  time.Duration

	// callerBytes is the number of bytes that were read from callers or written to them.
	callerBytes atomic.Int64
	// spent wakes Run when the limiter has no tokens left.
	spent chan struct{}

	// The fields below belong to the goroutine of Run. refuses is set if the listener was paused since the last check, and
	// loadLoggedAt is when the load was last logged.
	absence      absence
	paused       bool
	refuses      bool
	loadLoggedAt time.Time
}

// New returns a rotator for a router that is in rotation.
func New(s Settings, p Dependencies) *Rotator {
	return &Rotator{settings: s, deps: p, spent: make(chan struct{}, 1), load: NewLoad(), granted: grantedLeases{}, admission: admission{maxHeldBytes: int64(bodyMemoryShare * float64(s.Memory))}, use: linkUse{rate: s.LinkRate}}
}

// IsOut reports whether the router is out of rotation.
func (r *Rotator) IsOut() bool { return r.out.Load() }

// IsReady reports whether new callers should use the router: it is in rotation, and does not forewarn of leaving it.
func (r *Rotator) IsReady() bool {
	return !r.IsOut() && r.deps.Clock.Now().UnixNano() >= r.forewarnedUntil.Load()
}

// IsOverloaded reports whether the last check of the load found that the router is overloaded.
func (r *Rotator) IsOverloaded() bool { return r.overloaded.Load() }

// Pressure reports whether the router is overloaded, its number of unanswered requests, and the total time for which the listener
// has been paused.
func (r *Rotator) Pressure() (overloaded bool, unanswered int, paused time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load.overloaded, r.admission.unanswered, r.totalPause(r.deps.Clock.Now())
}

// totalPause returns the total time for which the listener has been paused. The caller must hold r.mu.
func (r *Rotator) totalPause(now time.Time) time.Duration {
	if r.pausedSince.IsZero() {
		return r.pausedTime
	}
	return r.pausedTime + now.Sub(r.pausedSince)
}

// MarkConnection records that a caller's connection was accepted, on which a request is about to arrive. While the router is
// overloaded, it pauses the listener when more arrive than the router can carry.
func (r *Rotator) MarkConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals.accept()
	r.takeToken()
}

// MarkUnread records that a caller's connection has ended before a request was read from it.
func (r *Rotator) MarkUnread() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread++
}

// MarkBytes records that n bytes were read from callers or written to them.
func (r *Rotator) MarkBytes(n int) { r.callerBytes.Add(int64(n)) }

// MarkRequest records that the first byte of a request was read. kept is set if the connection had carried a request before.
func (r *Rotator) MarkRequest(kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.read()
	if kept {
		r.takeToken()
	}
}

// takeToken takes a token of the limiter, and wakes Run if the listener must be paused. The caller must hold r.mu.
func (r *Rotator) takeToken() {
	if !r.limiter.arrive() {
		return
	}
	select {
	case r.spent <- struct{}{}:
	default:
	}
}

// Admit admits and counts a request. It returns false if the request must be refused because the router is overloaded or because
// the request does not fit into memory. The caller must call MarkAnswered and Release once for each admitted request. rank is
// zero for the most urgent requests.
func (r *Rotator) Admit(rank int, bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.admit(rank, bytes)
}

// MarkAnswered records that the first part of an admitted request's answer has arrived, or that the request has ended without it.
func (r *Rotator) MarkAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.markAnswered()
}

// Release releases the bytes of an admitted request that has ended.
func (r *Rotator) Release(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.release(bytes)
}

// RecordCall records the duration of one of the router's own calls, and whether it was answered.
func (r *Rotator) RecordCall(k Kind, took time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	r.load.Record(now, k, took, answered)
	if answered {
		r.drain.record(now, took)
	}
}

// MeasureDial wraps a dial function so that the durations of successful calls are recorded, and those of calls that fail after
// the deadline of their context. Other failed calls are not recorded.
func (r *Rotator) MeasureDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		began := r.deps.Clock.Now()
		conn, err := dial(ctx, network, address)
		if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.RecordCall(KindServer, r.deps.Clock.Now().Sub(began), err == nil)
		}
		return conn, err
	}
}

// Run controls the rotation, the listener and the limit on unanswered requests until the context ends.
func (r *Rotator) Run(ctx context.Context) {
	wasOverloaded := false
	nextCheck := r.deps.Clock.Now()
	for ctx.Err() == nil {
		now := r.deps.Clock.Now()
		if !now.Before(nextCheck) {
			overloaded := r.measure(now)
			if overloaded != wasOverloaded {
				r.logOverload(overloaded)
				wasOverloaded = overloaded
			}
			if overloaded && now.Sub(r.loadLoggedAt) >= loadLogInterval {
				r.loadLoggedAt = now
				r.logLoad()
			}
			r.updateRotation(ctx, overloaded)
			nextCheck = now.Add(checkInterval)
		}
		wait := r.updateListener(ctx, now)
		select {
		case <-ctx.Done():
		case <-r.spent:
		case <-r.deps.Clock.After(min(wait, nextCheck.Sub(now))):
		}
	}
	r.wg.Wait()
}

// updateListener pauses or resumes the listener as the limiter requires. A paused listener is not resumed while packets wait for the
// link. updateListener returns how long the listener needs no change, unless requests come.
func (r *Rotator) updateListener(ctx context.Context, now time.Time) (wait time.Duration) {
	r.mu.Lock()
	open, wait := r.limiter.refill(now, r.paused)
	r.mu.Unlock()
	if open {
		wait = checkInterval
	}
	switch {
	case !open && !r.paused:
		r.deps.Listener.Pause()
		r.paused, r.refuses = true, true
		r.measurePause()
		r.wg.Go(func() { r.probeLink(ctx) })
		return wait
	case open && r.paused && !r.isDrained():
		return minPause
	case open && r.paused:
		r.paused = !r.deps.Listener.Resume()
	default:
		return wait
	}
	r.measurePause()
	return wait
}

// measurePause updates the time for which the listener has been paused after the field paused has changed.
func (r *Rotator) measurePause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	switch {
	case r.paused && r.pausedSince.IsZero():
		r.pausedSince = now
		r.drain.begin(now)
	case !r.paused && !r.pausedSince.IsZero():
		r.pausedTime += now.Sub(r.pausedSince)
		r.pausedSince = time.Time{}
		r.drain = drain{}
	}
}

// measure updates the load and the limits. It reports whether the router is overloaded.
func (r *Rotator) measure(now time.Time) (overloaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.use.update(r.callerBytes.Load())
	if !r.measuredAt.IsZero() {
		r.refusals.update(now.Sub(r.measuredAt), r.totalPause(now))
	}
	r.measuredAt = now
	fullRate := r.use.fullRate(r.limiter.carried(), r.admission.unanswered)
	overloaded = r.load.Update(now, r.refuses, fullRate > 0)
	r.refuses = r.paused
	r.limiter.adjust(overloaded, r.load.Delay(now), fullRate)
	r.admission.setLimit(r.limiter.rate)
	r.overloaded.Store(overloaded)
	return overloaded
}

// logLoad logs what an overloaded router carries, what it accepts, and what it refuses before reading anything.
func (r *Rotator) logLoad() {
	r.mu.Lock()
	now := r.deps.Clock.Now()
	fields := logrus.Fields{
		"event": "load", "carried_per_s": int(r.limiter.carried()), "accepted_per_s": int(r.limiter.rate), "unanswered": r.admission.unanswered,
		"delay_ms": r.load.Delay(now).Milliseconds(), "paused_ms": r.totalPause(now).Milliseconds(), "out": r.absence.out,
		"link_percent": int(100 * r.use.share()), "refused_connections": int(r.refusals.total), "unread_connections": r.unread,
	}
	r.mu.Unlock()
	r.deps.Log.WithFields(fields).Info("load of an overloaded router")
}

// logOverload logs the start or the end of an overload, and sets the metric.
func (r *Rotator) logOverload(overloaded bool) {
	fields := logrus.Fields{"event": "overload", "overloaded": overloaded}
	gauge := int64(0)
	if overloaded {
		gauge = 1
	}
	r.deps.Metrics.Gauge(metricOverloaded, gauge)
	r.mu.Lock()
	for k, d := range r.load.Delays(r.deps.Clock.Now()) {
		fields["delay_ms_"+string(k)] = d.Milliseconds()
	}
	r.mu.Unlock()
	r.deps.Log.WithFields(fields).Warn("the overload of this router has begun or ended")
}

// updateRotation does what is due: it starts an election, handles the result of one, or ends the absence.
func (r *Rotator) updateRotation(ctx context.Context, overloaded bool) {
	now := r.deps.Clock.Now()
	switch {
	case r.absence.pending != nil:
		r.checkElection(ctx)
	case !r.absence.out && overloaded && !now.Before(r.absence.retryAt):
		r.requestLease(ctx)
	case r.absence.out && !now.Before(r.absence.until):
		r.rejoin(ctx)
	}
}

// requestLease starts an election in a goroutine. checkElection receives the result.
func (r *Rotator) requestLease(ctx context.Context) {
	pending := make(chan election, 1)
	r.absence.pending = pending
	now := r.deps.Clock.Now()
	span := r.absence.nextSpan(now)
	if until, ok := r.absence.forewarn(now); ok {
		r.forewarnedUntil.Store(until.UnixNano())
	}
	r.wg.Go(func() { pending <- r.elect(ctx, now, span) })
}

// checkElection handles the result of the current election, if the election has ended. If it is won, the router leaves the
// rotation. Otherwise checkElection gives the granted leases back and sets the time of the next election.
func (r *Rotator) checkElection(ctx context.Context) {
	var e election
	select {
	case e = <-r.absence.pending:
	default:
		return
	}
	r.absence.pending = nil
	now := r.deps.Clock.Now()
	line := r.deps.Log.WithFields(e.fields()).WithField("took_ms", now.Sub(e.began).Milliseconds())
	r.returnLeases(ctx, e.unneeded(), e.id)
	if !e.isWon() {
		r.forewarnedUntil.Store(0)
		// A random delay keeps routers that asked at the same time from splitting the votes again.
		r.absence.retryAt = now.Add(leaseRetryInterval + rand.N(leaseRetryInterval))
		line.Info("cannot get a lease to leave the rotation")
		return
	}
	r.absence.start(e)
	r.out.Store(true)
	r.deps.Metrics.Gauge(metricOut, 1)
	line.Warn("leaving the rotation")
}

// rejoin puts the router back into rotation and gives the lease back. Voters that do not receive that request let the lease
// expire.
func (r *Rotator) rejoin(ctx context.Context) {
	r.absence.end(r.deps.Clock.Now())
	r.out.Store(false)
	r.deps.Metrics.Gauge(metricOut, 0)
	r.deps.Log.WithFields(logrus.Fields{"event": "rotation"}).Warn("back in rotation")
	r.returnLeases(ctx, selectVoters(r.settings.Zone, r.zoneRouters()), r.absence.election)
}
