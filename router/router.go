package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/batcher"
	"github.com/masticway/masticway/biller"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/explainer"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/retrier"
)

const (
	// flushInterval is the pause between two batches of bills and traces.
	flushInterval = time.Second
	// auditInterval is the pause between two looks for double bills.
	auditInterval = 5 * time.Second
	// heartbeatsPerInbound is how many heartbeats pass between two on links that the peer dialed.
	heartbeatsPerInbound = 4
	// challengeReadsPerLease is how often in a lease a router looks for a challenge to it, which it must answer within half of it.
	challengeReadsPerLease = 4
	// startRetryInterval is the pause between two attempts to start.
	startRetryInterval = 100 * time.Millisecond
	// platformTimeout bounds one background call to the platform.
	platformTimeout = 3 * time.Second
)

// Platform is what a router needs of the platform.
type Platform struct {
	Table     masticway.Table
	Objects   masticway.ObjectStore
	Instances masticway.InstanceList
}

// Secrets are what a router reads from files.
type Secrets struct {
	FleetKey   []byte
	AdminToken string
}

// Router is one incarnation of a router.
type Router struct {
	settings Settings
	self     masticway.Incarnation
	clock    masticway.Clock
	log      *logrus.Entry
	platform Platform
	secrets  Secrets
	dial     linker.DialFunc
	metrics  *measurer.Set

	book      *bookkeeper.Book
	store     *configurer.Store
	budgets   *budgetManager
	upstreams *upstreams
	peers     *peers
	recovery  *recovery
	traces    *explainer.Memory
	journal   *batcher.Batcher[biller.Bill]
	auditor   *biller.Auditor

	configMu      sync.Mutex
	config        configurer.State
	snapshot      atomic.Pointer[configurer.Snapshot]
	configApplied chan struct{}

	retryMu sync.Mutex
	retrier *retrier.Retrier

	// listVersion is the instance list last read; only that loop uses it.
	listVersion string
	// sentOpen and sentUpto are what the last heartbeat said of open grants; heartbeatMu guards them.
	sentOpen   []int64
	sentUpto   int64
	heartbeats int

	draining atomic.Bool
	// peersReady tells that the other routers of the region count this one among the keepers, or were waited for long enough.
	peersReady        atomic.Bool
	openRequests      atomic.Int64
	lastRequestNumber atomic.Uint64
	answeredChallenge atomic.Int64
	// changesRequestedAt is when a peer was last asked for changes, in nanoseconds.
	changesRequestedAt atomic.Int64
	heartbeatMu        sync.Mutex
	// confirmedAt is when the applied revision was last known to be the newest, in nanoseconds.
	confirmedAt atomic.Int64
	sealed      chan struct{}
	sealedOnce  sync.Once

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns a router that is not yet running.
func New(s Settings, secrets Secrets, clock masticway.Clock, log *logrus.Logger, platform Platform, dial linker.DialFunc, metrics *measurer.Set) *Router {
	self := masticway.NewIncarnation(s.Instance, uuid.NewString()[:8])
	ctx, stop := context.WithCancel(context.Background())
	r := &Router{
		settings: s, self: self, clock: clock, log: log.WithField("incarnation", self), platform: platform,
		secrets: secrets, dial: dial, metrics: metrics,
		book:          bookkeeper.New(platform.Table),
		store:         configurer.NewStore(platform.Table),
		traces:        explainer.NewMemory(self),
		journal:       biller.NewJournal(self),
		auditor:       biller.NewAuditor(),
		configApplied: make(chan struct{}, 1),
		retrier:       retrier.New(retrier.Settings{Policy: s.Retry.Policy, CountedLimit: s.Retry.Limit}),
		sealed:        make(chan struct{}),
		ctx:           ctx, stop: stop,
	}
	r.snapshot.Store(&configurer.Snapshot{})
	r.budgets = newBudgetManager(ctx, &r.wg, self, s.Money, clock, r.log, r.book, metrics)
	r.upstreams = newUpstreams(r)
	r.peers = newPeers(r)
	r.recovery = newRecovery(r)
	r.budgets.onSealed = r.markSealed
	r.budgets.requestReturn = r.peers.requestReturn
	r.budgets.isKeeper = func(budget string) bool { return r.peers.keeperFor(budget) == r.self }
	return r
}

// Self names this incarnation.
func (r *Router) Self() masticway.Incarnation { return r.self }

// Sealed is closed when this incarnation has been fenced and another must start.
func (r *Router) Sealed() <-chan struct{} { return r.sealed }

func (r *Router) markSealed() {
	r.sealedOnce.Do(func() {
		r.log.WithField("event", "sealed").Warn("this incarnation is sealed")
		close(r.sealed)
		r.budgets.refuseAll()
	})
}

func (r *Router) isSealed() bool {
	select {
	case <-r.sealed:
		return true
	default:
		return false
	}
}

// Start writes the first rows, loads the configuration and begins to serve; it tries until the context ends.
func (r *Router) Start(ctx context.Context) error {
	r.wg.Go(func() { r.loop(r.settings.Poll.Std(), r.readInstances) })
	if err := r.retryUntil(ctx, "opening the links row", func() error { return r.budgets.openLinks(ctx) }); err != nil {
		return err
	}
	if err := r.retryUntil(ctx, "writing the lease row", func() error { return r.renewLease(ctx) }); err != nil {
		return err
	}
	if err := r.retryUntil(ctx, "loading the configuration", func() error { return r.loadConfig(ctx) }); err != nil {
		return err
	}
	r.wg.Go(func() { r.loop(tickInterval, func() { r.budgets.tick(); r.upstreams.tick(); r.peers.tick() }) })
	r.wg.Go(func() { r.loop(r.settings.HeartbeatInterval.Std(), r.sendHeartbeats) })
	r.wg.Go(func() { r.loop(r.settings.Poll.Std(), r.pollConfig) })
	r.wg.Go(r.keepLease)
	r.wg.Go(r.waitForPeers)
	r.wg.Go(r.watchChallenges)
	r.wg.Go(func() { r.loop(flushInterval, r.flush) })
	r.wg.Go(func() { r.loop(auditInterval, r.audit) })
	r.wg.Go(func() { r.loop(recoveryInterval, r.recovery.tick) })
	r.wg.Go(func() { r.loop(time.Second, func() { r.budgets.removeGone(); r.budgets.returnIdle() }) })
	r.log.WithFields(logrus.Fields{"event": "started", "revision": r.snapshot.Load().Revision()}).Info("started")
	return nil
}

func (r *Router) retryUntil(ctx context.Context, what string, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if _, ok := errors.AsType[*masticway.SealedError](err); ok {
			return fmt.Errorf("%s: %w", what, err)
		}
		r.log.WithFields(logrus.Fields{"event": "start_waiting", "for": what, "error": err}).Debug("cannot start yet")
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, err)
		case <-r.ctx.Done():
			return fmt.Errorf("%s: %w", what, r.ctx.Err())
		case <-r.clock.After(startRetryInterval):
		}
	}
}

func (r *Router) loop(interval time.Duration, f func()) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.clock.After(interval):
			f()
		}
	}
}

// waitForPeers waits for the other routers of the region before this one serves: until they count each other among the keepers,
// each keeps every budget alone, and a key that two are asked for at once would run twice. One that cannot be reached
// holds this router up no longer than a silent sidecar holds up a request.
func (r *Router) waitForPeers() {
	deadline := r.clock.Now().Add(r.settings.LostAfter.Std())
	for !r.peers.isReady() && r.clock.Now().Before(deadline) && r.ctx.Err() == nil {
		r.budgets.sleep(tickInterval)
	}
	r.peersReady.Store(true)
}

// Ready tells whether requests are served.
func (r *Router) Ready() bool {
	return r.peersReady.Load() && r.snapshot.Load().Revision() > 0 && !r.draining.Load() && !r.isSealed() && !r.isStale()
}

// Drain stops taking requests, lets those in progress finish and returns all money.
//
// It returns false when the context ended first; what was cut off is logged and counted.
func (r *Router) Drain(ctx context.Context) bool {
	r.draining.Store(true)
	for r.openRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			r.metrics.Add(metricDrainCut, r.openRequests.Load())
			r.log.WithFields(logrus.Fields{"event": "drain_expired", "open": r.openRequests.Load()}).Warn("drain expired")
			return false
		case <-r.clock.After(tickInterval):
		}
	}
	r.peers.waitForSettlements(ctx)
	if !r.isSealed() {
		r.closeRows(ctx)
	}
	r.flush()
	return true
}

// closeRows returns the money and removes this incarnation's rows, so that nobody needs to recover it.
func (r *Router) closeRows(ctx context.Context) {
	if !r.budgets.drain(ctx) {
		r.log.WithField("event", "drain_money_left").Warn("money is left for recovery")
		return
	}
	if err := r.book.Forget(ctx, r.self); err != nil {
		r.log.WithFields(logrus.Fields{"event": "forget_failed", "error": err}).Warn("rows are left for recovery")
	}
}

// Close ends everything at once, as a crash would.
func (r *Router) Close() {
	r.stop()
	r.peers.close()
	for r.openRequests.Load() > 0 {
		// Handlers see the end of the context; they must not start work after the wait below.
		time.Sleep(time.Millisecond)
	}
	r.wg.Wait()
}

// identity is what this process proves on links.
func (r *Router) identity() linker.Identity {
	return linker.Identity{
		Self: masticway.Peer{Instance: r.settings.Instance, Incarnation: r.self, Role: masticway.RoleRouter},
		Key:  r.secrets.FleetKey, Meter: r.metrics,
	}
}

func (r *Router) dialer(h linker.Handler, up, down func(*linker.Conn)) linker.Dialer {
	return linker.Dialer{Identity: r.identity(), Dial: r.dial, Handler: h, Up: up, Down: down}
}

// dialOnce opens a link to a process that this router keeps none to; the caller closes it.
func (r *Router) dialOnce(ctx context.Context, address string) (*linker.Conn, error) {
	d := r.dialer(func(*linker.Conn, linker.Message) {}, func(*linker.Conn) {}, func(*linker.Conn) {})
	c, err := d.Once(ctx, address)
	if err != nil {
		return nil, err
	}
	r.wg.Go(func() { d.Serve(r.ctx, c) })
	return c, nil
}

// LinkHandler serves links from other routers.
func (r *Router) LinkHandler() http.Handler { return r.peers.listener }

func (r *Router) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.ctx, platformTimeout)
}

func (r *Router) readInstances() {
	ctx, cancel := r.platformContext()
	defer cancel()
	reading, err := r.platform.Instances.Instances(ctx, r.listVersion)
	if err != nil || reading.Unchanged {
		return
	}
	r.listVersion = reading.Version
	r.upstreams.updateInstances(reading.Instances)
	r.peers.updateInstances(reading.Instances)
	r.recovery.updateInstances(reading.Instances)
}

func (r *Router) renewLease(ctx context.Context) error {
	state := "serving"
	if r.draining.Load() {
		state = "draining"
	}
	return r.book.PutDaemon(ctx, bookkeeper.Daemon{
		Incarnation: r.self, Instance: r.settings.Instance, Address: r.settings.LinkAddress,
		Region: r.settings.Region, Zone: r.settings.Zone, State: state,
		Lease: r.clock.Now().Add(2 * r.settings.Heartbeat.Std()), Applied: r.snapshot.Load().Revision(),
		Stranded: r.recovery.summary(),
	})
}

// keepLease renews the lease row, at once when a revision has been applied.
func (r *Router) keepLease() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.configApplied:
		case <-r.clock.After(r.settings.Heartbeat.Std()):
		}
		if r.draining.Load() || r.isSealed() {
			continue
		}
		ctx, cancel := r.platformContext()
		if err := r.renewLease(ctx); err != nil {
			r.log.WithFields(logrus.Fields{"event": "lease_not_renewed", "error": err}).Warn("lease not renewed")
		}
		cancel()
	}
}

// heartbeatMessage is the heartbeat to a sidecar, with all that it may need to know.
func (r *Router) heartbeatMessage() linker.Message {
	open, upto := r.budgets.openGrants()
	return linker.Message{Beat: &linker.Beat{Revision: r.snapshot.Load().Revision(), Open: open, Upto: upto, Leaving: r.draining.Load()}}
}

// sendHeartbeats tells sidecars which grants are open only when that has changed, because there are many links.
func (r *Router) sendHeartbeats() {
	r.heartbeatMu.Lock()
	defer r.heartbeatMu.Unlock()
	m := r.heartbeatMessage()
	beat := *m.Beat
	if beat.Upto == r.sentUpto && slices.Equal(beat.Open, r.sentOpen) {
		m.Beat.Open, m.Beat.Upto = nil, 0
	}
	r.sentOpen, r.sentUpto = beat.Open, beat.Upto
	for _, c := range r.upstreams.allConns() {
		_ = c.Send(m)
	}
	peer := r.peers.heartbeatMessage()
	for _, c := range r.peers.allConns() {
		_ = c.Send(peer)
	}
	// The other direction of the same pair only has to be kept from its read timeout.
	r.heartbeats++
	if r.heartbeats%heartbeatsPerInbound == 0 {
		for _, c := range r.peers.listener.All() {
			_ = c.Send(peer)
		}
	}
	r.peers.registerAll()
}

func (r *Router) flush() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), platformTimeout)
	defer cancel()
	if err := r.journal.Flush(ctx, r.platform.Objects, biller.Bucket(r.clock.Now())); err != nil {
		r.metrics.Add(metricFlushesFailed, 1)
	}
	if err := r.traces.Flush(ctx, r.platform.Objects); err != nil {
		r.metrics.Add(metricFlushesFailed, 1)
	}
}

// audit looks for double bills at one router of the fleet and gives them back.
func (r *Router) audit() {
	if r.peers.keeperFor("audit") != r.self {
		return
	}
	ctx, cancel := r.platformContext()
	defer cancel()
	bills, err := r.auditor.ReadNew(ctx, r.platform.Objects, r.clock.Now())
	if err != nil {
		return
	}
	for _, f := range r.auditor.Take(r.clock.Now(), bills) {
		r.refund(ctx, f)
	}
}

func (r *Router) refund(ctx context.Context, f biller.Refund) {
	err := r.book.Refund(ctx, f.Budget, f.Hold, f.Amount)
	if err != nil {
		r.auditor.Retry(f)
		return
	}
	r.metrics.Add(metricRefunds, 1)
	r.log.WithFields(logrus.Fields{"event": "double_bill_returned", "identity": f.Identity, "hold": f.Hold, "amount": f.Amount}).Info("double bill returned")
}
