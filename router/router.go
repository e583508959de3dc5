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
	// flushInterval is the interval between two writes of bills and traces to the object store.
	flushInterval = time.Second
	// auditInterval is the interval between two searches for bills to refund.
	auditInterval = 5 * time.Second
	// heartbeatsPerInbound is the number of rounds of heartbeats on links that this router dialed, for each round on the inbound
	// links, which peers dialed.
	heartbeatsPerInbound = 4
	// challengeReadsPerLease is how many times a router checks for a challenge within the time Settings.Lease. It must answer a
	// challenge within half of this time.
	challengeReadsPerLease = 4
	// startRetryInterval is the interval between two attempts at one step of the start.
	startRetryInterval = 100 * time.Millisecond
	// platformTimeout limits the time of one piece of background work that calls the platform, such as reading the instance list.
	platformTimeout = 3 * time.Second
)

// Platform holds the platform services that a router uses.
type Platform struct {
	Table     masticway.Table
	Objects   masticway.ObjectStore
	Instances masticway.InstanceList
}

// Secrets holds what a router reads from secret files.
type Secrets struct {
	FleetKey   []byte
	AdminToken string
}

// Router is one incarnation of a router process.
type Router struct {
	settings Settings
	self     masticway.Incarnation
	clock    masticway.Clock
	log      *logrus.Entry
	platform Platform
	secrets  Secrets
	dial     linker.DialFunc
	metrics  *measurer.Set

	book      *bookkeeper.Ledger
	store     *configurer.Store
	budgets   *budgetManager
	upstreams *upstreams
	peers     *peers
	recovery  *recovery
	traces    *explainer.TraceCache
	journal   *batcher.Batcher[biller.Bill]
	auditor   *biller.Auditor

	configMu      sync.Mutex
	config        configurer.State
	snapshot      atomic.Pointer[configurer.Snapshot]
	configApplied chan struct{}

	retryMu sync.Mutex
	retrier *retrier.Retrier

	// listVersion is the version of the instance list that was last read; only the polling loop uses it.
	listVersion string
	// sentOpen and sentUpto are the numbers of the open grants and the highest number assigned, as of the last round of
	// heartbeats. heartbeatMu guards them.
	sentOpen []int64
	sentUpto int64
	// heartbeats is the number of rounds of heartbeats sent.
	heartbeats int

	draining atomic.Bool
	// peersReady is set once this router and the other routers of the region have each other among their keepers, or the wait for
	// this has taken LostAfter.
	peersReady        atomic.Bool
	openRequests      atomic.Int64
	lastRequestNumber atomic.Uint64
	// answeredChallenge is the version of the last challenge that was answered.
	answeredChallenge atomic.Int64
	// changesRequestedAt is when this router last asked another process for configuration changes, in Unix nanoseconds.
	changesRequestedAt atomic.Int64
	heartbeatMu        sync.Mutex
	// confirmedAt is the latest time at which the applied revision was known to be the newest, in Unix nanoseconds.
	confirmedAt atomic.Int64
	sealed      chan struct{}
	sealedOnce  sync.Once

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns a router that has not been started.
func New(s Settings, secrets Secrets, clock masticway.Clock, log *logrus.Logger, platform Platform, dial linker.DialFunc, metrics *measurer.Set) *Router {
	self := masticway.NewIncarnation(s.Instance, uuid.NewString()[:8])
	ctx, stop := context.WithCancel(context.Background())
	r := &Router{
		settings: s, self: self, clock: clock, log: log.WithField("incarnation", self), platform: platform,
		secrets: secrets, dial: dial, metrics: metrics,
		book:          bookkeeper.New(platform.Table),
		store:         configurer.NewStore(platform.Table),
		traces:        explainer.NewTraceCache(self),
		journal:       biller.NewJournal(self),
		auditor:       biller.NewAuditor(),
		configApplied: make(chan struct{}, 1),
		retrier:       retrier.New(retrier.Settings{Policy: s.Retry.Policy, MaxCountedRetries: s.Retry.Limit}),
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

// Self returns the identifier of this incarnation.
func (r *Router) Self() masticway.Incarnation { return r.self }

// Sealed returns a channel that is closed when this router learns that its incarnation has been sealed, so that a new one must be
// started.
func (r *Router) Sealed() <-chan struct{} { return r.sealed }

// markSealed records that this incarnation is sealed, and refuses all hold requests.
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

// Start writes this incarnation's first rows, loads the configuration and starts the background work. It retries each step until
// the step succeeds, ctx ends, the incarnation is sealed or the router stops. After Start, the router accepts callers' requests
// once Ready returns true.
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

// retryUntil calls f until f succeeds, f returns a SealedError, ctx ends or the router stops.
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

// loop calls f after each interval until the router stops.
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

// waitForPeers sets peersReady once this router and the other routers of the region have each other among their keepers. Until
// then, two routers may each be the keeper of the same budget, so two requests with the same key that arrive at both would both
// run. An unreachable peer delays this router for LostAfter at most.
func (r *Router) waitForPeers() {
	deadline := r.clock.Now().Add(r.settings.LostAfter.Std())
	for !r.peers.isReady() && r.clock.Now().Before(deadline) && r.ctx.Err() == nil {
		r.budgets.sleep(tickInterval)
	}
	r.peersReady.Store(true)
}

// Ready reports whether the router accepts requests from callers. If not, it refuses them. Requests from operators and other
// routers do not depend on Ready.
func (r *Router) Ready() bool {
	return r.peersReady.Load() && r.snapshot.Load().Revision() > 0 && !r.draining.Load() && !r.isSealed() && !r.isStale()
}

// Drain stops accepting requests from callers, waits for those in progress and returns all money.
//
// It returns true if all requests ended before ctx. Otherwise it logs and counts the requests in progress, and returns no money.
// Another router recovers the money that is not returned.
func (r *Router) Drain(ctx context.Context) bool {
	r.draining.Store(true)
	for r.openRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			r.metrics.Add(metricDrainCut, r.openRequests.Load())
			r.log.WithFields(logrus.Fields{"event": "drain_expired", "open": r.openRequests.Load()}).Warn("drain timed out")
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

// closeRows returns all money and then deletes this incarnation's rows, so that it needs no recovery. If the money is not
// returned before ctx ends, it leaves the rows for recovery.
func (r *Router) closeRows(ctx context.Context) {
	if !r.budgets.drain(ctx) {
		r.log.WithField("event", "drain_money_left").Warn("money is left for recovery")
		return
	}
	if err := r.book.DeleteIncarnation(ctx, r.self); err != nil {
		r.log.WithFields(logrus.Fields{"event": "forget_failed", "error": err}).Warn("rows are left for recovery")
	}
}

// Close stops all work, and waits until requests and goroutines have ended. It returns no money, so it has the effect of a crash
// unless Drain has succeeded.
func (r *Router) Close() {
	r.stop()
	r.peers.close()
	for r.openRequests.Load() > 0 {
		// The handlers end because r.ctx has ended. Close must wait for them before wg.Wait, because they may start goroutines.
		time.Sleep(time.Millisecond)
	}
	r.wg.Wait()
}

// identity returns the names and the key with which this process authenticates itself on links.
func (r *Router) identity() linker.Identity {
	return linker.Identity{
		Self: masticway.Peer{Instance: r.settings.Instance, Incarnation: r.self, Role: masticway.RoleRouter},
		Key:  r.secrets.FleetKey, Meter: r.metrics,
	}
}

func (r *Router) dialer(h linker.Handler, up, down func(*linker.Conn)) linker.Dialer {
	return linker.Dialer{Identity: r.identity(), Dial: r.dial, Handler: h, OnUp: up, OnDown: down}
}

// dialOnce opens a link to a process to which this router keeps no link. The caller must close it.
func (r *Router) dialOnce(ctx context.Context, address string) (*linker.Conn, error) {
	d := r.dialer(func(*linker.Conn, linker.Message) {}, func(*linker.Conn) {}, func(*linker.Conn) {})
	c, err := d.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	r.wg.Go(func() { d.Serve(r.ctx, c) })
	return c, nil
}

// LinkHandler returns the handler for links from other routers.
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

// renewLease writes this incarnation's lease row. The lease expires after twice Settings.Heartbeat.
func (r *Router) renewLease(ctx context.Context) error {
	state := "serving"
	if r.draining.Load() {
		state = "draining"
	}
	return r.book.PutLease(ctx, bookkeeper.RouterLease{
		Incarnation: r.self, Instance: r.settings.Instance, Address: r.settings.LinkAddress,
		Region: r.settings.Region, Zone: r.settings.Zone, State: state,
		ExpiresAt: r.clock.Now().Add(2 * r.settings.Heartbeat.Std()), AppliedRevision: r.snapshot.Load().Revision(),
		BlockedRecoveries: r.recovery.summary(),
	})
}

// keepLease renews the lease row at the interval Settings.Heartbeat, and at once when a configuration revision has been applied.
// It does not renew the row while the router is draining or sealed.
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

// heartbeatMessage returns this router's current heartbeat for sidecars, including the open grants.
func (r *Router) heartbeatMessage() linker.Message {
	open, upto := r.budgets.openGrants()
	return linker.Message{Heartbeat: &linker.Heartbeat{Revision: r.snapshot.Load().Revision(), OpenGrants: open, GrantsUpTo: upto, Draining: r.draining.Load()}}
}

// sendHeartbeats sends a heartbeat on every link in use that this router dialed, and in some rounds also on the inbound links,
// which peers dialed. The heartbeats to sidecars include the open grants only if these have changed since the last round, because
// there are many sidecars. It also asks peers to register sidecars that they lack.
func (r *Router) sendHeartbeats() {
	r.heartbeatMu.Lock()
	defer r.heartbeatMu.Unlock()
	m := r.heartbeatMessage()
	full := *m.Heartbeat
	if full.GrantsUpTo == r.sentUpto && slices.Equal(full.OpenGrants, r.sentOpen) {
		m.Heartbeat.OpenGrants, m.Heartbeat.GrantsUpTo = nil, 0
	}
	r.sentOpen, r.sentUpto = full.OpenGrants, full.GrantsUpTo
	for _, c := range r.upstreams.allConns() {
		_ = c.Send(m)
	}
	peer := r.peers.heartbeatMessage()
	for _, c := range r.peers.allConns() {
		_ = c.Send(peer)
	}
	// Inbound links only need enough heartbeats that the peers' read timeouts do not expire.
	r.heartbeats++
	if r.heartbeats%heartbeatsPerInbound == 0 {
		for _, c := range r.peers.listener.All() {
			_ = c.Send(peer)
		}
	}
	r.peers.registerAll()
}

// flush writes the collected bills and traces to the object store. It also works after r.ctx has ended.
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

// audit refunds bills that are duplicates or superseded. It does nothing unless this router is the one of its region that audits
// (see peers.keeperFor).
func (r *Router) audit() {
	if r.peers.keeperFor("audit") != r.self {
		return
	}
	ctx, cancel := r.platformContext()
	defer cancel()
	bills, err := r.auditor.ReadNewBills(ctx, r.platform.Objects, r.clock.Now())
	if err != nil {
		return
	}
	for _, f := range r.auditor.FindRefunds(r.clock.Now(), bills) {
		r.refund(ctx, f)
	}
}

// refund refunds one bill. If this fails, it makes a later audit try again.
func (r *Router) refund(ctx context.Context, f biller.Refund) {
	err := r.book.Refund(ctx, f.Budget, f.Hold, f.Amount)
	if err != nil {
		r.auditor.RetryRefund(f)
		return
	}
	r.metrics.Add(metricRefunds, 1)
	r.log.WithFields(logrus.Fields{"event": "double_bill_returned", "identity": f.Identity, "hold": f.Hold, "amount": f.Amount}).Info("duplicate bill refunded")
}
