package coordinator_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/coordinator"
	"github.com/masticway/masticway/measurer"
)

// tick is the time by which the simulation advances in each step.
const tick = 10 * time.Millisecond

var errUnreachable = errors.New("unreachable")

// world simulates routers in front of a pool of engines, in one goroutine.
type world struct {
	now     time.Time
	random  *rand.Rand
	routers []*simRouter
	pool    masticway.Pool
	engines []masticway.Server
	// link returns what happens to a message from one router to another.
	link func(from, to *simRouter) link
	// applies is set if coordination applies.
	applies bool
	// runs are the runs that have not ended, by ID, and endedAt the times at which the others ended. perSecond runs begin each second, in total.
	runs      map[string]*simRun
	endedAt   map[string]time.Time
	perSecond float64
	begun     int
	// placed counts the runs whose engine an owner chose, local the others, by the source that the coordinator determined.
	placed, local int
	// longestWait is the longest time that a request waited for Place.
	longestWait time.Duration
	messages    int
}

// link is what happens to a message between two routers.
type link struct {
	delay time.Duration
	// lost is set if the message does not arrive, replyLost if the reply does not, and doubled if the message arrives twice.
	lost, replyLost, doubled bool
}

// simRun is a run at a simulated engine.
type simRun struct {
	router   *simRouter
	server   masticway.ServerIncarnation
	firstAt  time.Time
	endAt    time.Time
	hasFirst bool
}

// simRouter is one simulated router. It implements coordinator.Routers, coordinator.Members and masticway.Clock.
type simRouter struct {
	w            *world
	address      string
	coordinator  *coordinator.Coordinator
	metrics      *measurer.Set
	logged       *test.Hook
	isDown       bool
	isOverloaded bool
	// members are the routers that it knows, nil if it knows all.
	members []*simRouter
	// groups are the states of the groups that it has served, newest last.
	groups []*simEngines
}

func newWorld(routers, engines int) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), pool: masticway.Pool{Name: "llm", IsEngine: true, Slots: 64}, applies: true,
		runs: map[string]*simRun{}, endedAt: map[string]time.Time{}, perSecond: 200, link: func(_, _ *simRouter) link { return link{} },
	}
	for i := range engines {
		w.engines = append(w.engines, masticway.Server{ID: fmt.Sprintf("e-%d", i), Pool: "llm"})
	}
	for i := range routers {
		n := &simRouter{w: w, address: fmt.Sprintf("router-%d", i)}
		w.routers = append(w.routers, n)
		n.start("1")
	}
	w.update()
	return w
}

// start starts a new incarnation of the router, which knows nothing.
func (n *simRouter) start(suffix string) {
	log, logged := test.NewNullLogger()
	n.metrics, n.groups, n.logged = measurer.New(), nil, logged
	n.coordinator = coordinator.New(coordinator.Dependencies{
		Routers: n, Members: n, Clock: n, Log: log.WithField("", ""), Metrics: n.metrics, Self: masticway.NewIncarnation(n.address, suffix), Address: n.address,
		Applies:      func(masticway.Deployment, int) bool { return n.w.applies },
		IsOverloaded: func() bool { return n.isOverloaded },
		NewEngines: func() coordinator.Engines {
			e := &simEngines{runs: map[string]*simEntry{}, senders: map[masticway.Incarnation]*simSender{}}
			n.groups = append(n.groups, e)
			return e
		},
	})
}

// update passes the engines to all routers.
func (w *world) update() {
	d := masticway.Deployment{Pools: map[string]masticway.Pool{"llm": w.pool, "plain": {Name: "plain"}}}
	for _, n := range w.routers {
		n.coordinator.Update(d, map[string][]masticway.Server{"llm": w.engines, "plain": {{ID: "p"}}})
	}
}

func (n *simRouter) Now() time.Time { return n.w.now }

func (n *simRouter) After(time.Duration) <-chan time.Time { return nil }

func (n *simRouter) known() []*simRouter {
	if n.members != nil {
		return n.members
	}
	return n.w.routers
}

func (n *simRouter) Members() int { return len(n.known()) }

func (n *simRouter) RankedLargeAddresses(key string, limit int) (addresses []string) {
	weight := func(o *simRouter) uint64 { return xxhash.Sum64String(key + o.address) }
	ranked := slices.SortedFunc(slices.Values(n.known()), func(x, y *simRouter) int { return cmp.Compare(weight(y), weight(x)) })
	for _, o := range ranked[:min(limit, len(ranked))] {
		addresses = append(addresses, o.address)
	}
	return addresses
}

// router returns the router at an address.
func (w *world) router(address string) *simRouter {
	i := slices.IndexFunc(w.routers, func(n *simRouter) bool { return n.address == address })
	return w.routers[i]
}

// owner and backup return the routers that all routers consider the owner and the backup of the first group.
func (w *world) owner() *simRouter {
	return w.router(w.routers[0].RankedLargeAddresses("engines/llm/0", 2)[0])
}
func (w *world) backup() *simRouter {
	return w.router(w.routers[0].RankedLargeAddresses("engines/llm/0", 2)[1])
}

// transmit delivers a message to another router, and advances the clock by the time that this takes.
func (n *simRouter) transmit(ctx context.Context, address string, deliver func(o *simRouter)) error {
	w, o := n.w, n.w.router(address)
	w.messages++
	l := w.link(n, o)
	if o.isDown && l.delay == 0 && !l.lost {
		return errUnreachable
	}
	// The deadline of the context is on the system's clock, of which any time may have passed. It only tells which of the two
	// timeouts of messages applies.
	limit := 20 * time.Millisecond
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) > 2*limit {
		limit = 250 * time.Millisecond
	}
	if l.lost || l.delay > limit || o.isDown {
		w.now = w.now.Add(limit)
		return context.DeadlineExceeded
	}
	w.now = w.now.Add(l.delay)
	deliver(o)
	if l.doubled {
		deliver(o)
	}
	if l.replyLost {
		w.now = w.now.Add(limit - l.delay)
		return context.DeadlineExceeded
	}
	return nil
}

func (n *simRouter) Send(ctx context.Context, address string, m coordinator.Message) (r coordinator.Reply, err error) {
	err = n.transmit(ctx, address, func(o *simRouter) { r = o.coordinator.Answer(m) })
	return r, err
}

func (n *simRouter) SendSpeeds(ctx context.Context, address string, s coordinator.Speeds) error {
	return n.transmit(ctx, address, func(o *simRouter) { o.coordinator.AdoptSpeeds(s) })
}

// advance runs the simulation for a time.
func (w *world) advance(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		w.now = w.now.Add(tick)
		for offered := w.perSecond * tick.Seconds(); offered > 0; offered-- {
			if w.random.Float64() < offered {
				w.begin(w.routers[w.random.IntN(len(w.routers))], 500*time.Millisecond)
			}
		}
		w.progress()
		for _, n := range w.routers {
			if !n.isDown {
				n.coordinator.Step(context.Background())
			}
		}
	}
}

// begin begins a run at a router that lasts for a time.
func (w *world) begin(n *simRouter, lasts time.Duration) {
	if n.isDown {
		return
	}
	w.begun++
	run := masticway.EngineRun{ID: fmt.Sprintf("r%d", w.begun), Tokens: 100, TimeLeft: 20 * time.Second}
	began := w.now
	choice, ok := n.coordinator.Place(context.Background(), masticway.EngineQuery{Pool: w.pool, Run: run, Candidates: w.engines})
	w.longestWait = max(w.longestWait, w.now.Sub(began))
	server := w.engines[w.random.IntN(len(w.engines))]
	if w.local++; ok {
		w.local--
		w.placed++
		i := slices.IndexFunc(w.engines, func(s masticway.Server) bool { return s.Incarnation() == choice.Server })
		server = w.engines[i]
	}
	n.coordinator.Begin("llm", run, server)
	w.runs[run.ID] = &simRun{router: n, server: server.Incarnation(), firstAt: w.now.Add(lasts / 4), endAt: w.now.Add(lasts)}
}

// progress reports the first events and ends of runs that are due.
func (w *world) progress() {
	for id, r := range w.runs {
		if !w.now.Before(r.firstAt) && !r.hasFirst {
			r.hasFirst = true
			r.router.coordinator.FirstEvent(id, time.Millisecond)
		}
		if !w.now.Before(r.endAt) {
			r.router.coordinator.End(id, 1, time.Millisecond, false)
			delete(w.runs, id)
			w.endedAt[id] = w.now
		}
	}
}

// share returns the share of the runs placed by owners since the last call.
func (w *world) share() float64 {
	share := float64(w.placed) / float64(w.placed+w.local)
	w.placed, w.local = 0, 0
	return share
}

// open returns the engine of each open run, and known that of each run that a group's state holds.
func (w *world) open() map[string]masticway.ServerIncarnation {
	open := map[string]masticway.ServerIncarnation{}
	for id, r := range w.runs {
		open[id] = r.server
	}
	return open
}

func (n *simRouter) knownRuns() map[string]masticway.ServerIncarnation {
	known := map[string]masticway.ServerIncarnation{}
	for _, g := range n.groups {
		for id, e := range g.runs {
			if e.state != masticway.EngineRunEnded {
				known[id] = e.server
			}
		}
	}
	return known
}

func (w *world) count(metric string) (n int64) {
	for _, r := range w.routers {
		n += r.metrics.Count(metric)
	}
	return n
}

// simEngines records runs as scheduler.Engines does, and chooses the engine with the fewest runs.
type simEngines struct {
	servers []masticway.Server
	runs    map[string]*simEntry
	senders map[masticway.Incarnation]*simSender
	speeds  map[masticway.ServerIncarnation]masticway.EngineSpeed
	slow    []string
	fast    []string
	level   int
	// contended is what IsContended returns.
	contended bool
	full      bool
}

type simSender struct {
	heardAt  time.Time
	complete bool
}

type simEntry struct {
	sender  masticway.Incarnation
	server  masticway.ServerIncarnation
	state   masticway.EngineRunState
	endedAt time.Time
	// reserved is set until the run is reported. A reservation expires after 2 s.
	reserved   bool
	reservedAt time.Time
}

func (e *simEngines) Sync(_ time.Time, _ masticway.Pool, servers []masticway.Server) {
	e.servers = servers
}

func (e *simEngines) Place(now time.Time, sender masticway.Incarnation, r masticway.EngineRun, excluded map[string]bool, penalties map[string]float64) masticway.EngineChoice {
	if e.full {
		return masticway.EngineChoice{Full: true, RetryAfter: time.Second}
	}
	load := map[masticway.ServerIncarnation]float64{}
	for _, n := range e.runs {
		if n.state != masticway.EngineRunEnded {
			load[n.server]++
		}
	}
	var best masticway.ServerIncarnation
	for _, s := range e.servers {
		id := s.Incarnation()
		if load[id] += penalties[s.ID]; !excluded[s.ID] && (best == "" || load[id] < load[best]) {
			best = id
		}
	}
	if _, ok := e.runs[r.ID]; !ok && best != "" {
		e.runs[r.ID] = &simEntry{sender: sender, server: best, reserved: true, reservedAt: now}
	}
	return masticway.EngineChoice{Server: best, Level: e.level}
}

func (e *simEngines) Record(now time.Time, sender masticway.Incarnation, r masticway.EngineReport) {
	n, ok := e.runs[r.Run]
	switch {
	case !ok && r.Details == nil && r.State != masticway.EngineRunEnded:
		return
	case !ok:
		n = &simEntry{sender: sender}
		e.runs[r.Run] = n
	case n.state >= r.State && !n.reserved:
		return
	}
	n.server, n.state, n.reserved, n.endedAt = r.Server, r.State, false, now
}

func (e *simEngines) Replace(now time.Time, sender masticway.Incarnation, open []masticway.EngineReport) {
	e.senders[sender].complete = true
	isOpen := map[string]bool{}
	for _, r := range open {
		isOpen[r.Run] = true
	}
	maps.DeleteFunc(e.runs, func(id string, n *simEntry) bool {
		return n.sender == sender && !n.reserved && n.state != masticway.EngineRunEnded && !isOpen[id]
	})
	for _, r := range open {
		e.Record(now, sender, r)
	}
}

func (e *simEngines) Touch(now time.Time, sender masticway.Incarnation) bool {
	s, ok := e.senders[sender]
	if !ok {
		s = &simSender{}
		e.senders[sender] = s
	}
	s.heardAt = now
	return s.complete
}

func (e *simEngines) Expire(now time.Time) {
	maps.DeleteFunc(e.senders, func(_ masticway.Incarnation, s *simSender) bool { return now.Sub(s.heardAt) >= 3*time.Second })
	maps.DeleteFunc(e.runs, func(_ string, n *simEntry) bool {
		return e.senders[n.sender] == nil || n.reserved && now.Sub(n.reservedAt) > 2*time.Second || n.state == masticway.EngineRunEnded && now.Sub(n.endedAt) > 5*time.Second
	})
}

func (e *simEngines) Speeds() map[masticway.ServerIncarnation]masticway.EngineSpeed { return e.speeds }

func (e *simEngines) AdoptSpeeds(_ time.Time, s map[masticway.ServerIncarnation]masticway.EngineSpeed) {
	e.speeds = s
}

func (e *simEngines) SlowEngines() []string { return e.slow }

func (e *simEngines) FastEngines() []string { return e.fast }

func (e *simEngines) IsContended() bool { return e.contended }
