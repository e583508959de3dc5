package diverter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway/diverter"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/rotator"
)

const (
	// step is the time by which the simulation advances in each step.
	step = 20 * time.Millisecond
	// strongCapacity and thinCapacity are the numbers of requests per second that a router's link can carry. Of each zone's
	// routers, strongRouters are strong.
	strongCapacity = 150.0
	thinCapacity   = 60.0
	strongRouters  = 2
	// maxLinkDelay is the maximum time that packets wait for the link, and maxWait how long a request may wait to be served well.
	maxLinkDelay = 500 * time.Millisecond
	maxWait      = 300 * time.Millisecond
	// usualCallTime is the duration of a router's own call over an idle link.
	usualCallTime = 3 * time.Millisecond
	// probeInterval is the interval of the load balancer's readiness checks, and maxMisses the number of successive failed checks
	// after which it does not use a router.
	probeInterval = time.Second
	maxMisses     = 2
	// callerRate is the number of requests per second of each caller.
	callerRate = 0.5
	// connectionTime is the mean time for which a caller uses a connection.
	connectionTime = 10 * time.Second
)

var errCut = errors.New("cut off")

// simRouter is one router, with its link.
type simRouter struct {
	w          *world
	name, zone string
	processors float64
	rotator    *rotator.Rotator
	diverter   *diverter.Diverter
	stop       context.CancelFunc
	paused     atomic.Bool
	down       atomic.Bool
	draining   atomic.Bool
	// extraDelay is added to the delay of the router's messages, and linkDelay is the delay of its link, both in nanoseconds.
	extraDelay, linkDelay atomic.Int64
	// queue holds the times at which the waiting requests arrived, and credit the part of a request that the link has carried.
	queue    []queued
	capacity float64
	credit   float64
	misses   int
}

type queued struct {
	at   time.Time
	from *caller
}

// Pause and Resume implement rotator.Listener.
func (m *simRouter) Pause() { m.paused.Store(true) }

func (m *simRouter) Resume() bool {
	m.paused.Store(false)
	return true
}

func (m *simRouter) inRotation() bool { return m.misses < maxMisses }

// caller is a caller with a connection, which stays open until an answer closes it.
type caller struct {
	// name determines order, in which the load balancer prefers the routers for the caller.
	zone, name string
	order      []*simRouter
	conn       *simRouter
	// next is the time of the next request, and reconnectAt when the caller replaces the connection.
	next, reconnectAt time.Time
}

// tally counts the requests of the callers of a zone.
type tally struct{ served, lost int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.served+t.lost)) }

// world is a simulated deployment. The load balancer, the callers and the links run in the goroutine of the test. The routers run
// in a synctest bubble.
type world struct {
	ctx      context.Context
	random   *rand.Rand
	zones    []string
	routers  []*simRouter
	callers  []*caller
	messages atomic.Int64
	// applies is the result of the predicate. known reports whether a router knows another one; nil means that all are known.
	applies atomic.Bool
	mu      sync.Mutex
	known   func(from, to *simRouter) bool
	isCut   func(from, to *simRouter) bool
	steps   int
	counts  map[string]*tally
	// changes is the number of times that each zone began or ceased to be diverted, by the majority of its routers. maxDiverted is
	// the maximum number of zones of which any router was diverted at the same time.
	changes     map[string]int
	wasDiverted map[string]bool
	maxDiverted int
}

// newWorld starts routersPerZone routers in each of a number of zones.
func newWorld(ctx context.Context, zones, routersPerZone int) *world {
	w := &world{ctx: ctx, random: rand.New(rand.NewPCG(5, uint64(zones))), counts: map[string]*tally{}, changes: map[string]int{}, wasDiverted: map[string]bool{}}
	w.applies.Store(true)
	for i := range zones {
		w.zones = append(w.zones, fmt.Sprintf("zone-%d", i))
	}
	for _, zone := range w.zones {
		for i := range routersPerZone {
			w.addRouter(zone, fmt.Sprintf("%s-router-%d", zone, i), i < strongRouters)
		}
	}
	return w
}

func (w *world) addRouter(zone, name string, strong bool) *simRouter {
	m := &simRouter{w: w, name: name, zone: zone, processors: 0.144, capacity: thinCapacity}
	if strong {
		m.processors, m.capacity = 0.8, strongCapacity
	}
	log, _ := test.NewNullLogger()
	m.rotator = rotator.New(rotator.Settings{Instance: name, Zone: zone}, rotator.Dependencies{
		Listener: m, Voters: m, Clock: emulator.MonotonicClock{}, Log: log.WithField("", ""), Metrics: measurer.New(),
		Neighbours: func() (all []rotator.Neighbour) {
			for _, o := range m.peers() {
				if o.Zone == zone {
					all = append(all, rotator.Neighbour{Instance: o.Instance, Address: o.Address})
				}
			}
			return all
		},
	})
	m.diverter = diverter.New(diverter.Settings{Instance: name, Address: name, Zone: zone, Zones: w.zones, Processors: m.processors}, diverter.Dependencies{
		Rotation: m.rotator, Messages: m, Routers: m.peers, Applies: w.applies.Load, IsServing: func() bool { return !m.draining.Load() }, Clock: emulator.MonotonicClock{},
		Log: log.WithField("", ""), Metrics: measurer.New(),
	})
	var ctx context.Context
	ctx, m.stop = context.WithCancel(w.ctx)
	w.mu.Lock()
	w.routers = append(w.routers, m)
	w.mu.Unlock()
	go m.rotator.Run(ctx)
	go m.diverter.Run(ctx)
	return m
}

// kill stops a router as a crash would. Other routers still know it, and its connections fail.
func (w *world) kill(m *simRouter) {
	m.down.Store(true)
	m.stop()
	m.queue = nil
}

// drain makes all routers of the given zones unready. They serve the callers that are still connected.
func (w *world) drain(zones ...string) {
	for _, m := range w.all() {
		if slices.Contains(zones, m.zone) {
			m.draining.Store(true)
		}
	}
}

// remove makes other routers forget a router.
func (w *world) remove(m *simRouter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routers = slices.DeleteFunc(slices.Clone(w.routers), func(o *simRouter) bool { return o == m })
}

func (w *world) all() []*simRouter {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routers
}

// cut sets which routers cannot reach each other, and know which routers each router knows.
func (w *world) cut(f func(from, to *simRouter) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = f
}

func (w *world) know(f func(from, to *simRouter) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = f
}

// peers returns the routers that the router knows.
func (m *simRouter) peers() (all []diverter.Router) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for _, o := range m.w.routers {
		if o != m && (m.w.known == nil || m.w.known(m, o)) {
			all = append(all, diverter.Router{Instance: o.name, Address: o.name, Zone: o.zone, Processors: o.processors})
		}
	}
	return all
}

// send waits until a message has arrived at the router at an address, and returns that router.
func (m *simRouter) send(ctx context.Context, address string) (*simRouter, error) {
	for _, o := range m.w.all() {
		if o.name != address {
			continue
		}
		m.w.mu.Lock()
		isCut := m.w.isCut != nil && m.w.isCut(m, o)
		m.w.mu.Unlock()
		if isCut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if o.down.Load() {
			return nil, errCut
		}
		return o, m.travel(ctx, o)
	}
	return nil, errCut
}

// travel waits as long as a message between two routers takes.
func (m *simRouter) travel(ctx context.Context, o *simRouter) error {
	delay := usualCallTime / 2
	for _, r := range []*simRouter{m, o} {
		delay += time.Duration(r.linkDelay.Load() + r.extraDelay.Load())
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

func call[A any](ctx context.Context, m *simRouter, address string, serve func(o *simRouter) A) (answer A, err error) {
	o, err := m.send(ctx, address)
	if err != nil {
		return answer, err
	}
	answer = serve(o)
	return answer, o.travel(ctx, m)
}

// Ask implements rotator.Voters; Report and Divert implement diverter.Messages.
func (m *simRouter) Ask(ctx context.Context, address string, req rotator.LeaseRequest) (rotator.LeaseReply, error) {
	return call(ctx, m, address, func(o *simRouter) rotator.LeaseReply { return o.rotator.Vote(req) })
}

func (m *simRouter) Report(ctx context.Context, address string, r diverter.Report) (diverter.Reply, error) {
	m.w.messages.Add(1)
	return call(ctx, m, address, func(o *simRouter) diverter.Reply { return o.diverter.AcceptReport(r) })
}

func (m *simRouter) Divert(ctx context.Context, address string, req diverter.DivertRequest) (diverter.DivertReply, error) {
	m.w.messages.Add(1)
	return call(ctx, m, address, func(o *simRouter) diverter.DivertReply { return o.diverter.AnswerDivert(req) })
}
