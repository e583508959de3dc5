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
	// checkInterval is how often the load is looked at.
	checkInterval = 100 * time.Millisecond
	// minOutTime is how long a router stays out at first, maxOut at most: twice as long each time that it is overloaded again
	// within as long after it came back, since the same callers come back to it.
	minOutTime = 20 * time.Second
	maxOutTime = 160 * time.Second
	// leaseTimeout bounds the asking for a lease, over a full link.
	leaseTimeout = 3 * time.Second
	// leaseRetryInterval separates two attempts at a lease.
	leaseRetryInterval = 500 * time.Millisecond
	// maxPauseWithoutLease is how long the listener may be paused without a lease.
	maxPauseWithoutLease = 1500 * time.Millisecond
)

// Names of metrics.
const (
	metricOverloaded = "overloaded"
	metricOut        = "out_of_rotation"
)

// Settings are what a rotator is made with.
type Settings struct {
	Instance string
	// Zone is the availability zone whose routers share the leases.
	Zone string
	// Memory is the router's memory in bytes, of which requests may take a part; zero when it is not known.
	Memory int64
}

// Listener is where callers' connections come in.
type Listener interface {
	// Pause has connections refused at once.
	Pause()
	// Resume takes them again; it returns false when that has to be tried again.
	Resume() bool
}

// Parts are what a rotator works with.
type Parts struct {
	Listener Listener
	// Voters are reached over a full link, too.
	Voters  Voters
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	// Neighbours lists the other routers of the zone.
	Neighbours func() []Neighbour
}

// Rotator says whether new callers are wanted.
type Rotator struct {
	settings Settings
	parts    Parts
	out      atomic.Bool
	wg       sync.WaitGroup

	mu        sync.Mutex
	load      *Load
	granted   grantedLeases
	admission admission

	// absence, paused and overloadedAt belong to the goroutine that runs: the last is when the present overload began.
	absence      absence
	paused       bool
	overloadedAt time.Time
}

// New returns a rotator for a router that is in rotation.
func New(s Settings, p Parts) *Rotator {
	return &Rotator{settings: s, parts: p, load: NewLoad(), admission: admission{maxHeldBytes: int64(bodyMemoryShare * float64(s.Memory))}}
}

// IsOut tells that the router is out of rotation.
func (r *Rotator) IsOut() bool { return r.out.Load() }

// Admit counts a request in; false when the router is overloaded and this one is too many, or would not fit.
func (r *Rotator) Admit(rank int, bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.admit(rank, bytes)
}

// MarkAnswered counts an admitted request out of those at work.
func (r *Rotator) MarkAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.markAnswered()
}

// Release counts out the bytes of an admitted request.
func (r *Rotator) Release(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.release(bytes)
}

// Note counts one of the router's own calls, which ended after some time with an answer or without one.
func (r *Rotator) Note(k Kind, took time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load.Record(r.parts.Clock.Now(), k, took, answered)
}

// Dial returns a function that makes connections to servers as another does, and counts how long that takes.
func (r *Rotator) Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		began := r.parts.Clock.Now()
		conn, err := dial(ctx, network, address)
		if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.Note(KindServer, r.parts.Clock.Now().Sub(began), err == nil)
		}
		return conn, err
	}
}

// Run looks after the rotation until the context ends.
func (r *Rotator) Run(ctx context.Context) {
	wasOverloaded := false
	for ctx.Err() == nil {
		overloaded, delayed := r.measure()
		if overloaded != wasOverloaded {
			r.overloadedAt = r.parts.Clock.Now()
			r.logOverload(overloaded)
			wasOverloaded = overloaded
		}
		r.updateListener(overloaded && delayed)
		r.updateRotation(ctx, overloaded)
		select {
		case <-ctx.Done():
		case <-r.parts.Clock.After(checkInterval):
		}
	}
	r.wg.Wait()
}

// updateListener pauses the listener while more comes than can be carried. Without a lease it goes on after a moment: callers whom no
// router of the zone lets in would not even hear when to come back.
func (r *Rotator) updateListener(overloaded bool) {
	pause := overloaded && (r.absence.out || r.parts.Clock.Now().Sub(r.overloadedAt) < maxPauseWithoutLease)
	switch {
	case pause && !r.paused:
		r.parts.Listener.Pause()
		r.paused = true
	case !pause && r.paused:
		r.paused = !r.parts.Listener.Resume()
	}
}

// measure tells whether the router is overloaded, and whether its own calls are delayed at this moment.
func (r *Rotator) measure() (overloaded, delayed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.parts.Clock.Now()
	overloaded, delayed = r.load.Update(now), r.load.IsDelayed(now)
	r.admission.adjust(overloaded, delayed)
	return overloaded, delayed
}

// logOverload logs that the overload has begun or ended.
func (r *Rotator) logOverload(overloaded bool) {
	fields := logrus.Fields{"event": "overload", "overloaded": overloaded}
	gauge := int64(0)
	if overloaded {
		gauge = 1
	}
	r.parts.Metrics.Gauge(metricOverloaded, gauge)
	r.mu.Lock()
	for k, d := range r.load.Delays(r.parts.Clock.Now()) {
		fields["delay_ms_"+string(k)] = d.Milliseconds()
	}
	r.mu.Unlock()
	r.parts.Log.WithFields(fields).Warn("the load of this router has changed")
}

// updateRotation leaves the rotation or comes back to it, as is due.
func (r *Rotator) updateRotation(ctx context.Context, overloaded bool) {
	now := r.parts.Clock.Now()
	switch {
	case r.absence.pending != nil:
		r.checkElection(ctx)
	case !r.absence.out && overloaded && !now.Before(r.absence.retryAt):
		r.requestLease(ctx)
	case r.absence.out && !now.Before(r.absence.until):
		r.rejoin(ctx)
	}
}

// requestLease asks for a lease, beside all else.
func (r *Rotator) requestLease(ctx context.Context) {
	pending := make(chan election, 1)
	r.absence.pending = pending
	now := r.parts.Clock.Now()
	span := r.absence.nextSpan(now)
	r.wg.Go(func() { pending <- r.elect(ctx, now, span) })
}

// checkElection goes out of rotation once the lease that was asked for is there.
func (r *Rotator) checkElection(ctx context.Context) {
	var e election
	select {
	case e = <-r.absence.pending:
	default:
		return
	}
	r.absence.pending = nil
	now := r.parts.Clock.Now()
	line := r.parts.Log.WithFields(logrus.Fields{
		"event": "rotation", "routers": e.routers, "voters": e.voters, "votes": e.votes, "for_ms": e.span.Milliseconds(),
		"took_ms": now.Sub(e.began).Milliseconds(),
	})
	if !e.isWon() {
		r.returnLease(ctx)
		// Routers that ask at the same time split the votes.
		r.absence.retryAt = now.Add(leaseRetryInterval + rand.N(leaseRetryInterval))
		line.Info("no lease out of rotation can be had now")
		return
	}
	r.absence.start(e.began, e.span)
	r.out.Store(true)
	r.parts.Metrics.Gauge(metricOut, 1)
	line.Warn("this router leaves the rotation")
}

// rejoin goes back into rotation and gives the lease up; voters that do not hear of it let it lapse.
func (r *Rotator) rejoin(ctx context.Context) {
	r.absence.end(r.parts.Clock.Now())
	r.out.Store(false)
	r.parts.Metrics.Gauge(metricOut, 0)
	r.parts.Log.WithFields(logrus.Fields{"event": "rotation"}).Warn("this router is back in rotation")
	r.returnLease(ctx)
}

// returnLease tells the voters that no lease is wanted.
func (r *Rotator) returnLease(ctx context.Context) {
	r.wg.Go(func() {
		r.collectVotes(ctx, selectVoters(r.settings.Zone, r.zoneRouters()), LeaseRequest{Instance: r.settings.Instance})
	})
}
