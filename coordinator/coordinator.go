package coordinator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// maxOwners is the number of routers that may serve a group: the owner, and the backup if the owner does not reply.
	maxOwners = 2
	// rankingTTL is how long the owner and the backup of a group are kept until they are determined again, which takes a hash for
	// each router.
	rankingTTL = 500 * time.Millisecond
	// logEvery is the number of choices of which one is logged. Choices whose first event is late are always logged.
	logEvery = 50
)

// Names of metrics.
const (
	metricAsks       = "engine_asks"
	metricUnanswered = "engine_asks_unanswered"
	metricSkipped    = "engine_asks_skipped"
	metricLocal      = "engine_choices_local"
	metricFull       = "engine_full"
	metricReports    = "engine_reports"
)

// Members provides the membership of the routers.
type Members interface {
	// Members returns the number of known routers, or zero if it is unknown.
	Members() int
	// RankedLargeAddresses returns the addresses of up to max routers, those with the highest rendezvous weights for a key, highest
	// first. This router may be among them.
	RankedLargeAddresses(key string, max int) []string
}

// Engines is the state of one group of engines at its owner (see scheduler.Engines). It need not be safe for concurrent use.
type Engines interface {
	Sync(now time.Time, pool masticway.Pool, servers []masticway.Server)
	Place(now time.Time, sender masticway.Incarnation, r masticway.EngineRun, excluded map[string]bool, penalties map[string]float64) masticway.EngineChoice
	Record(now time.Time, sender masticway.Incarnation, r masticway.EngineReport)
	Replace(now time.Time, sender masticway.Incarnation, open []masticway.EngineReport)
	Touch(now time.Time, sender masticway.Incarnation) (known bool)
	Expire(now time.Time)
	Speeds() map[masticway.ServerIncarnation]masticway.EngineSpeed
	AdoptSpeeds(now time.Time, s map[masticway.ServerIncarnation]masticway.EngineSpeed)
	SlowEngines() []string
	FastEngines() []string
	IsContended() bool
}

// Dependencies holds the dependencies of a coordinator.
type Dependencies struct {
	Routers Routers
	Members Members
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	// Self is the incarnation of this router, and Address the address at which other routers reach it.
	Self    masticway.Incarnation
	Address string
	// Applies reports whether the routers of a deployment coordinate, given their number.
	Applies func(d masticway.Deployment, routers int) bool
	// IsOverloaded reports whether this router is overloaded.
	IsOverloaded func() bool
	// NewEngines returns the state of a group without engines.
	NewEngines func() Engines
	// QueryTimeout is the longest time for which a request waits for the reply to a query. Zero means 20 ms. The
	// latencies at which a router sends no queries change in proportion.
	QueryTimeout time.Duration
}

// Coordinator exchanges reports and choices with other routers, and serves the groups that this router owns. It implements
// masticway.EngineCoordinator.
type Coordinator struct {
	Dependencies
	// active is set if coordination applies to the deployment. While it is not, nothing is sent or recorded.
	active atomic.Bool
	fleet  atomic.Pointer[fleet]
	// updateMu serializes the changes of fleet and active.
	updateMu sync.Mutex
	// homeWeights holds the home weights of the slow and fast engines by pool.
	homeWeights atomic.Pointer[map[string]map[string]float64]
	// wake signals Run that a message may be due earlier.
	wake     chan struct{}
	choices  atomic.Int64
	rankings rankings
	owned    owned

	// mu guards the state of this router as a sender.
	mu       sync.Mutex
	gate     Gate
	owners   *Owners
	outboxes map[groupKey]*Outbox
	// outboxOf holds the outbox of each run that has not ended, by the run's ID.
	outboxOf map[string]*Outbox

	// maintainedAt and speedsSentAt belong to the goroutine of Run.
	maintainedAt, speedsSentAt time.Time
}

var _ masticway.EngineCoordinator = (*Coordinator)(nil)

// New returns a coordinator that knows no engines yet; see Update.
func New(p Dependencies) *Coordinator {
	if p.QueryTimeout == 0 {
		p.QueryTimeout = queryTimeout
	}
	c := &Coordinator{
		Dependencies: p, wake: make(chan struct{}, 1), owners: NewOwners(), outboxes: map[groupKey]*Outbox{}, outboxOf: map[string]*Outbox{},
		rankings: rankings{known: map[groupKey]ranking{}}, owned: owned{groups: map[groupKey]*ownedGroup{}},
	}
	c.fleet.Store(&fleet{})
	c.homeWeights.Store(&map[string]map[string]float64{})
	return c
}

// Update applies a new snapshot of the configuration and the servers, by pool.
func (c *Coordinator) Update(d masticway.Deployment, servers map[string][]masticway.Server) {
	c.updateMu.Lock()
	defer c.updateMu.Unlock()
	c.apply(d, servers)
}

// apply sets the fleet, and whether coordination applies to it. The caller must hold c.updateMu.
func (c *Coordinator) apply(d masticway.Deployment, servers map[string][]masticway.Server) {
	applies := c.Applies(d, c.Members.Members())
	f := &fleet{deployment: d, servers: servers}
	if applies {
		f.pools = newPoolFleets(d, servers, c.fleet.Load())
	}
	c.fleet.Store(f)
	c.setActive(applies)
}

// refresh determines again whether coordination applies, because the number of routers changes without a new snapshot.
func (c *Coordinator) refresh() {
	c.updateMu.Lock()
	defer c.updateMu.Unlock()
	if f := c.fleet.Load(); c.Applies(f.deployment, c.Members.Members()) != c.active.Load() {
		c.apply(f.deployment, f.servers)
	}
}

// poolFleet returns the engines of a pool, or nil if coordination does not apply to them.
func (c *Coordinator) poolFleet(pool string) *poolFleet {
	if !c.active.Load() {
		return nil
	}
	return c.fleet.Load().pools[pool]
}

// setActive starts or ends the coordination.
func (c *Coordinator) setActive(applies bool) {
	if c.active.Swap(applies) == applies {
		return
	}
	c.Log.WithFields(logrus.Fields{"event": "engine_coordination", "applies": applies, "members": c.Members.Members()}).Info("the coordination of engines has begun or ended")
	if applies {
		return
	}
	c.mu.Lock()
	clear(c.outboxes)
	clear(c.outboxOf)
	c.mu.Unlock()
	c.owned.retain(func(groupKey, *ownedGroup) bool { return false })
	c.homeWeights.Store(&map[string]map[string]float64{})
}

// AppliesTo reports whether the runs at the engines of a pool are coordinated.
func (c *Coordinator) AppliesTo(pool string) bool { return c.poolFleet(pool) != nil }

// HomeWeights returns the shares of the pool's slow and fast engines in the homes of prompts, by server ID. The caller must not
// change the map.
func (c *Coordinator) HomeWeights(pool string) map[string]float64 {
	return (*c.homeWeights.Load())[pool]
}

// Begin records that a run was sent to a server. It does not block.
func (c *Coordinator) Begin(pool string, r masticway.EngineRun, server masticway.Server) {
	p := c.poolFleet(pool)
	if p == nil {
		return
	}
	key := groupKey{pool: pool, group: p.group(server.ID)}
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.outbox(now, key)
	if asked, ok := c.outboxOf[r.ID]; ok && asked != o {
		// The owner of another group may have reserved an engine.
		asked.End(now, r.ID, 0, 0, false)
	}
	wasUrgent := o.IsUrgent()
	t := o.Begin(now, r, server.Incarnation())
	if t == nil {
		delete(c.outboxOf, r.ID)
		return
	}
	c.outboxOf[r.ID] = o
	if t.source != sourceOwner {
		c.Metrics.Add(metricLocal, 1)
	}
	c.wakeFor(o, wasUrgent)
}

// FirstEvent records that the first event of a run has arrived, and how long after the request was sent. It does not block.
func (c *Coordinator) FirstEvent(run string, took time.Duration) {
	if !c.active.Load() {
		return
	}
	c.mu.Lock()
	o, ok := c.outboxOf[run]
	if !ok {
		c.mu.Unlock()
		return
	}
	wasUrgent := o.IsUrgent()
	t := o.FirstEvent(c.Clock.Now(), run, took)
	c.wakeFor(o, wasUrgent)
	c.mu.Unlock()
	if t != nil {
		c.logChoice(t, took)
	}
}

// logChoice logs the choice of an engine, if it was late or one of logEvery. The run must have had its first event.
func (c *Coordinator) logChoice(r *trackedRun, took time.Duration) {
	late := r.run.Objective > 0 && took > r.run.Objective
	if n := c.choices.Add(1); !late && n%logEvery != 0 {
		return
	}
	c.Log.WithFields(logrus.Fields{
		"event": "engine_choice", "run": r.run.ID, "engine": r.server, "source": r.source, "wait_ms": r.wait.Milliseconds(), "level": r.level,
		"took_ms": took.Milliseconds(), "tokens": r.run.Tokens, "late": late,
	}).Info("the first event of a run arrived")
}

// End records the end of a run, also of one that was placed and not begun. failed is set if it ended because of the engine. It does
// not block.
func (c *Coordinator) End(run string, events int, streamedFor time.Duration, failed bool) {
	if !c.active.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.outboxOf[run]; ok {
		delete(c.outboxOf, run)
		wasUrgent := o.IsUrgent()
		o.End(c.Clock.Now(), run, events, streamedFor, failed)
		c.wakeFor(o, wasUrgent)
	}
}

// wakeFor wakes Run if an outbox has become urgent. The first change starts the time for which reports are collected, so the
// following ones need not wake it.
func (c *Coordinator) wakeFor(o *Outbox, wasUrgent bool) {
	if !wasUrgent && o.IsUrgent() {
		c.wakeUp()
	}
}

// wakeUp makes Run determine again when the next message is due.
func (c *Coordinator) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// outbox returns the outbox of a group, with its current target. The caller must hold c.mu.
func (c *Coordinator) outbox(now time.Time, key groupKey) *Outbox {
	o, ok := c.outboxes[key]
	if !ok {
		o = NewOutbox()
		c.outboxes[key] = o
	}
	c.chooseTarget(now, key, o)
	return o
}

// chooseTarget sets the router that gets the reports about a group. The caller must hold c.mu.
func (c *Coordinator) chooseTarget(now time.Time, key groupKey, o *Outbox) {
	ranked := c.ranked(now, key)
	previous, target := o.target, c.owners.Choose(now, ranked)
	if target == previous {
		return
	}
	o.SetTarget(target)
	c.Log.WithFields(logrus.Fields{
		"event": "engine_owner", "pool": key.pool, "group": key.group, "owner": target, "previous": previous, "ranked": ranked, "open": len(o.runs),
	}).Info("the reports about a group of engines go to another router")
}

// ranking is the owner and the backup of a group, as determined at a time.
type ranking struct {
	addresses []string
	at        time.Time
}

// rankings caches the owners and backups of groups.
type rankings struct {
	mu    sync.Mutex
	known map[groupKey]ranking
}

// ranked returns the addresses of the owner and the backup of a group.
func (c *Coordinator) ranked(now time.Time, key groupKey) []string {
	c.rankings.mu.Lock()
	defer c.rankings.mu.Unlock()
	r, ok := c.rankings.known[key]
	if !ok || now.Sub(r.at) >= rankingTTL {
		r = ranking{addresses: c.Members.RankedLargeAddresses(key.String(), maxOwners), at: now}
		c.rankings.known[key] = r
	}
	return r.addresses
}
