package starter

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/apportioner"
	"github.com/masticway/masticway/coordinator"
	"github.com/masticway/masticway/diverter"
	"github.com/masticway/masticway/examiner"
	"github.com/masticway/masticway/follower"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/lender"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
	"github.com/masticway/masticway/platform"
	"github.com/masticway/masticway/relayer"
	"github.com/masticway/masticway/rotator"
	"github.com/masticway/masticway/scheduler"
	"github.com/masticway/masticway/sharer"
	"github.com/masticway/masticway/tallier"
	"github.com/masticway/masticway/throttler"
	"github.com/masticway/masticway/treasurer"
	"github.com/masticway/masticway/versioner"
)

const (
	// maxGatewayHeaderBytes limits the size of a request's header; net/http allows a little more.
	maxGatewayHeaderBytes = 16 << 10
	// callerIdleTimeout is how long a caller's connection may be idle before the router closes it. Deployments prescribe a
	// shorter limit to callers, so that callers close connections first. If the router closed a connection, a request could be on
	// its way at that moment.
	callerIdleTimeout = 60 * time.Second
	// storeTimeout is how long the answer to a call to the row store may take to begin. It is twice what a call takes if the
	// store is 60 times slower than usual, and less than a connection that a network fault has stalled needs to recover.
	storeTimeout = 600 * time.Millisecond
	// slowLinkTimeout is how long the answer to a read of a table may take to begin if reads with storeTimeout have failed. It
	// allows for a congested link, on which packets are queued for up to half a second in each direction, and for the store's own
	// time.
	slowLinkTimeout = 2 * time.Second
	// suspectsMaxWait is how long one call that watches the table of suspects (requests under which servers crashed) may wait for
	// changes. It is shorter than the shortest time in which deployments require all routers to learn of a suspect. A watch that
	// gets no answer is noticed when this wait and the call's timeout have passed. suspectsRelistInterval is the usual interval
	// at which the table is read in full. Longer times cost the store fewer calls.
	suspectsMaxWait        = 2500 * time.Millisecond
	suspectsRelistInterval = 30 * time.Second
	// maxReadersPerZone limits how many routers of an availability zone watch the server table in the store. They pass the
	// changes on to the zone's other routers, because watching this table is expensive for the store.
	maxReadersPerZone = 2
	// suspensionCheckInterval is the interval at which the gateway checks whether the machine has been suspended. Suspensions are
	// only logged and counted.
	suspensionCheckInterval = time.Second
	// bytesPerMbit is the number of bytes in a megabit.
	bytesPerMbit = 1e6 / 8
	// minUnreadyTime is how long a router that shuts down, and reports that it is not ready, still accepts connections and
	// forwards requests. The load balancer checks its readiness once a second and takes it out of rotation after two failed
	// checks.
	minUnreadyTime = 3200 * time.Millisecond
	// closeBudgetsBefore is how long before the end of the grace period a router gives its granted tokens back at the latest.
	// exitBefore is how long before the end of the grace period a router exits at the latest.
	closeBudgetsBefore = 1500 * time.Millisecond
	exitBefore         = 300 * time.Millisecond
	// drainPollInterval is the interval at which a router that shuts down checks whether it can proceed to the next step of the
	// shutdown.
	drainPollInterval = 20 * time.Millisecond
)

// metricSuspended is a gauge of the total time for which the machine has been suspended since the process started, in
// milliseconds.
const metricSuspended = "suspended_ms"

// GatewayListeners holds a gateway's open sockets. Metrics is nil if metrics aren't served.
type GatewayListeners struct {
	Caller    net.Listener
	Readiness net.Listener
	Metrics   net.Listener
	Peer      net.Listener
}

// ListenGateway opens a gateway's sockets; it opens one for metrics only if the settings have an address for it. If it fails, the
// sockets that it has opened stay open.
func ListenGateway(s forwarder.Settings) (GatewayListeners, error) {
	var l GatewayListeners
	var err error
	if l.Caller, err = Listen(s.CallerAddress); err != nil {
		return l, err
	}
	if l.Readiness, err = Listen(s.ReadinessAddress); err != nil {
		return l, err
	}
	if s.MetricsAddress != "" {
		if l.Metrics, err = Listen(s.MetricsAddress); err != nil {
			return l, err
		}
	}
	l.Peer, err = Listen(s.PeerAddress)
	return l, err
}

// GatewayDaemon runs a router that connects to servers directly, without sidecars, and keeps all durable state in the row store.
type GatewayDaemon struct {
	settings       forwarder.Settings
	log            *logrus.Logger
	logQueue       *logger.Queue
	clock          masticway.Clock
	forwarder      *forwarder.Forwarder
	follower       *follower.Follower
	treasurer      *treasurer.Treasurer
	examiner       *examiner.Examiner
	rotator        *rotator.Rotator
	diverter       *diverter.Diverter
	throttler      *throttler.Throttler
	versioner      *versioner.Versioner
	coordinator    *coordinator.Coordinator
	apportioner    *apportioner.Apportioner
	tally          *tallier.Tallier
	pausable       *pausableListener
	store          *relayer.Store
	sharedStore    *sharer.Store
	callerServer   *http.Server
	callerListener *callerListener
	servers        serverGroup
	listeners      GatewayListeners
	metrics        *measurer.Set
	// stalls tells when SIGTERM may have been sent.
	stalls stallRecord
	// draining is set once the shutdown has begun.
	draining atomic.Bool
	// sharingRule decides whether routers share load; ruleMu guards it.
	ruleMu      sync.Mutex
	sharingRule sharingRule
	// sharing is held while it is decided and applied whether routers share load.
	sharing sync.Mutex
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// NewGateway returns a gateway that keeps its durable state in a row store; Start starts it. The slowLinkStore must be a client
// of the same row store as store, with a longer timeout. The log is written to out.
func NewGateway(s forwarder.Settings, l GatewayListeners, store, slowLinkStore masticway.RowStore, decoder masticway.DeploymentDecoder, codec masticway.HeaderCodec, clock masticway.Clock, out io.Writer) (*GatewayDaemon, error) {
	queue := logger.NewQueue(out)
	log, err := logger.New(s.LogLevel, queue)
	if err != nil {
		return nil, err
	}
	metrics := measurer.New()
	d := &GatewayDaemon{settings: s, log: log, logQueue: queue, clock: clock, listeners: l, metrics: metrics, servers: serverGroup{log: log}}
	entry := log.WithField("instance", s.Instance)
	peerClient := messenger.NewClient()
	d.store = relayer.New(store, peerClient, clock, entry, metrics)
	d.treasurer = treasurer.New(d.store, lender.NewClient(peerClient), clock, entry, metrics, s.Instance, treasurer.Settings{
		Address: s.PeerAddress, Parts: s.Budgets.Parts, Reserve: s.Budgets.Reserve.Std(), EarlyShare: s.Policy.BurstShare,
		Zone: s.Zone, Holders: s.Policy.Holders, Processors: s.Processors, RetryWindow: s.Retries.Window(), MaxRowBytes: s.StoreMaxRowBytes,
	})
	d.store.SetPeers(d.peers)
	d.store.OnRestored(d.treasurer.NotifyStoreRecovered)
	d.examiner = examiner.New(examiner.Dependencies{
		Store: d.store, Messages: peerClient, Peers: d.peers, Members: d.treasurer, Clock: clock, Log: entry, Metrics: metrics, Self: d.treasurer.Self(),
	})
	d.sharedStore = sharer.New(sharer.Dependencies{
		Store: d.store, Readers: sharer.NewClient(peerClient), Clock: clock, Log: entry, Metrics: metrics,
		Choose: func() ([]string, bool) { return d.treasurer.ZoneReaders(decoder.ServerTable(), maxReadersPerZone) },
	}, sharer.Table{Name: decoder.ServerTable(), Projection: serverContent(decoder)})
	d.follower = follower.New(d.sharedStore, slowLinkStore, decoder, clock, entry, metrics, d.applySnapshot)
	if p, ok := store.(masticway.StoreProber); ok {
		d.follower.ProbeWith(p)
	}
	d.follower.AddTable(follower.Table{
		Name: examiner.Table, Part: examiner.Part, MaxWait: suspectsMaxWait, RelistInterval: suspectsRelistInterval, Apply: d.examiner.ApplyReading,
	})
	d.pausable = newPausableListener(l.Caller, log)
	d.rotator = rotator.New(rotator.Settings{Instance: s.Instance, Zone: s.Zone, Memory: s.MemoryMB << 20, LinkRate: s.LinkMbps * bytesPerMbit}, rotator.Dependencies{
		Listener: d.pausable, Voters: rotator.NewClient(messenger.NewSlowLinkClient()), Clock: clock, Log: entry, Metrics: metrics, Neighbours: d.zonePeers,
	})
	d.diverter = diverter.New(diverter.Settings{
		Instance: s.Instance, Address: s.PeerAddress, Zone: s.Zone, Zones: slices.Collect(maps.Keys(s.Regions)), Processors: s.Processors,
	}, diverter.Dependencies{
		Rotation: d.rotator, Messages: diverter.NewClient(messenger.NewSlowLinkClient()), Routers: d.allPeers, Applies: d.divertsZones,
		IsServing: func() bool { return !d.draining.Load() && d.follower.Snapshot().IsReady() },
		Clock:     clock, Log: entry, Metrics: metrics,
	})
	d.store.OnDirectCall(func(took time.Duration, answered bool) { d.rotator.RecordCall(rotator.KindStore, took, answered) })
	peerClient.ObserveCalls(func(took time.Duration, answered bool) { d.rotator.RecordCall(rotator.KindRouter, took, answered) })
	d.throttler = throttler.New(throttler.Dependencies{
		Routers: throttler.NewClient(peerClient), Members: d.treasurer, Peers: d.peers, Clock: clock, Log: entry, Metrics: metrics, Address: s.PeerAddress,
	})
	d.versioner = versioner.New(versioner.Dependencies{
		// The rotator doesn't observe these calls: they end after a time that is short for other calls.
		Routers: versioner.NewClient(messenger.NewClient()), Members: d.treasurer, Peers: d.peers, Store: d.store, Clock: clock, Log: entry, Metrics: metrics, Address: s.PeerAddress,
	})
	d.follower.OnServersRead(d.versioner.RecordReading)
	d.follower.OnConfigurationRead(d.versioner.RecordConfigurationReading)
	d.treasurer.OnPeerConfiguration(d.follower.RequireConfiguration)
	d.store.OnVersion(func(version int64) {
		d.treasurer.NoteVersion(version)
		d.versioner.NoteVersion(version)
	})
	d.coordinator = coordinator.New(coordinator.Dependencies{
		// The rotator doesn't observe these calls: queries end after a time that is short for other calls.
		Routers: coordinator.NewClient(messenger.NewClient()), Members: d.treasurer, Clock: clock, Log: entry, Metrics: metrics,
		Self: d.treasurer.Self(), Address: s.PeerAddress, Applies: d.appliesSharing, IsOverloaded: d.rotator.IsOverloaded,
		QueryTimeout: s.Policy.SharedLoad.QueryTimeout,
		NewEngines: func() coordinator.Engines {
			return scheduler.NewEngines(scheduler.Policy{RankShare: s.Policy.RankShare, ZoneTokenCost: s.Policy.ZoneTokenCost})
		},
	})
	d.apportioner = apportioner.New(apportioner.Dependencies{
		// The rotator doesn't observe these calls: they end after a time that is short for other calls.
		Routers: apportioner.NewClient(messenger.NewClient()), Members: d.treasurer, Clock: clock, Log: entry, Metrics: metrics, Self: d.treasurer.Self(), Address: s.PeerAddress,
		TakeUse:          func(pools []string) map[string]masticway.ConnectionUse { return d.forwarder.TakeConnectionUse(pools) },
		LimitConnections: func(limits map[string]int) { d.forwarder.LimitConnections(limits) },
	})
	d.tally = tallier.New(clock, entry, d.treasurer.Self())
	dialer := &net.Dialer{KeepAlive: -1}
	d.forwarder = forwarder.New(s, forwarder.Dependencies{
		Clock: clock, Log: entry, Metrics: metrics, Tally: d.tally, Codec: codec, Budgets: d.treasurer, Snapshot: d.follower.Snapshot, Examiner: d.examiner,
		Rotation: d.diverter, Throttler: d.throttler, StreamVersions: d.versioner, Coordinator: d.coordinator, Connections: d.apportioner, OnDraining: d.follower.MarkDraining, Dial: d.rotator.MeasureDial(dialer.DialContext),
	})
	d.callerListener = newCallerListener(d.pausable, clock, d.rotator)
	d.callerServer = &http.Server{
		Handler: d.forwarder, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxGatewayHeaderBytes, IdleTimeout: callerIdleTimeout,
		ConnState: d.callerListener.trackState, ConnContext: connContext,
	}
	return d, nil
}

// BuildGateway opens a gateway's sockets and returns the gateway. It uses the wire formats of the users' platform (see package
// platform).
func BuildGateway(s forwarder.Settings, out io.Writer) (*GatewayDaemon, error) {
	l, err := ListenGateway(s)
	if err != nil {
		return nil, err
	}
	return NewPlatformGateway(s, l, out)
}

// NewPlatformGateway returns a gateway that serves on the open sockets l. It uses the wire formats of the users' platform (see
// package platform).
func NewPlatformGateway(s forwarder.Settings, l GatewayListeners, out io.Writer) (*GatewayDaemon, error) {
	store, tables := platform.NewStore(s.StoreAddress, storeTimeout), platform.NewStore(s.StoreAddress, slowLinkTimeout)
	store.SetMaxRowBytes(s.StoreMaxRowBytes)
	return NewGateway(s, l, store, tables, platform.Decoder{}, platform.HeaderCodec{}, masticway.SystemClock{}, out)
}

// serverContent returns a function that decodes a server's row to a value for comparison. If a row is rewritten with an unchanged
// registration, its value stays equal, so that the row isn't passed on to other routers. The value of a row that can't be decoded
// is its text.
func serverContent(decoder masticway.DeploymentDecoder) sharer.Projection {
	return func(key string, value []byte) any {
		s, err := decoder.Server(key, value)
		if err != nil {
			return string(value)
		}
		return s
	}
}

// applySnapshot passes a new snapshot of the configuration and the servers on to the components of the gateway that use it.
func (d *GatewayDaemon) applySnapshot(s follower.Snapshot) {
	d.treasurer.Configure(s.Deployment)
	d.throttler.Prune(s.Incarnations())
	d.versioner.Update(s.Deployment, s.Servers)
	d.coordinator.Update(s.Deployment, s.Servers)
	d.applySharing()
	d.forwarder.Update(s)
}

// Start starts the gateway's background work and its servers and returns.
func (d *GatewayDaemon) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.wg.Go(func() { d.follower.Run(ctx) })
	d.wg.Go(func() { d.treasurer.Run(ctx) })
	d.wg.Go(func() { d.examiner.Run(ctx) })
	d.wg.Go(func() { d.rotator.Run(ctx) })
	d.wg.Go(func() { d.diverter.Run(ctx) })
	d.wg.Go(func() { d.throttler.Run(ctx) })
	d.wg.Go(func() { d.versioner.Run(ctx) })
	d.wg.Go(func() { d.coordinator.Run(ctx) })
	d.wg.Go(func() { d.apportioner.Run(ctx) })
	d.wg.Go(func() { d.tally.Run(ctx) })
	d.wg.Go(func() { d.watchSuspensions(ctx) })
	d.wg.Go(func() { d.stalls.watch(ctx, d.clock) })
	d.wg.Go(func() { d.watchMembers(ctx) })
	d.servers.serveWith(d.callerListener, d.callerServer)
	d.servers.serve(d.listeners.Readiness, http.HandlerFunc(d.readiness))
	d.servers.serve(d.listeners.Peer, d.peerHandler())
	if d.listeners.Metrics != nil {
		d.servers.serve(d.listeners.Metrics, d.metrics)
	}
	d.log.WithFields(logrus.Fields{
		"event": "started", "instance": d.settings.Instance, "incarnation": d.treasurer.Self(), "zone": d.settings.Zone,
		"caller_address": d.settings.CallerAddress, "store_address": d.settings.StoreAddress,
	}).Info("gateway started")
	return nil
}

// watchSuspensions logs suspensions of the machine and updates the gauge metricSuspended until the context ends. It does nothing
// if the clock doesn't measure suspensions.
func (d *GatewayDaemon) watchSuspensions(ctx context.Context) {
	c, ok := d.clock.(interface{ SuspendedTime() time.Duration })
	if !ok {
		return
	}
	for logged := c.SuspendedTime(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-d.clock.After(suspensionCheckInterval):
		}
		if suspended := c.SuspendedTime(); suspended > logged {
			d.metrics.Gauge(metricSuspended, suspended.Milliseconds())
			d.log.WithFields(logrus.Fields{"event": "machine_suspended", "instance": d.settings.Instance, "for_ms": (suspended - logged).Milliseconds()}).Warn("the machine was suspended")
			logged = suspended
		}
	}
}

// peers returns the addresses of the other routers. While none is known, it returns the configured seeds without this router's
// address.
func (d *GatewayDaemon) peers() []string {
	known := d.treasurer.PeerAddresses()
	if len(known) > 0 {
		return known
	}
	return slices.DeleteFunc(slices.Clone(d.settings.PeerSeeds), func(a string) bool { return a == d.settings.PeerAddress })
}

// zonePeers returns the other routers of this router's availability zone.
func (d *GatewayDaemon) zonePeers() []rotator.Neighbour {
	var all []rotator.Neighbour
	for _, p := range d.treasurer.ZonePeers() {
		all = append(all, rotator.Neighbour{Instance: p.Incarnation.Instance(), Address: p.Address})
	}
	return all
}

// allPeers returns the other routers of all availability zones.
func (d *GatewayDaemon) allPeers() []diverter.Router {
	var all []diverter.Router
	for _, p := range d.treasurer.Peers() {
		all = append(all, diverter.Router{Instance: p.Incarnation.Instance(), Address: p.Address, Zone: p.Zone, Processors: p.Processors})
	}
	return all
}

// divertsZones reports whether the routers of this deployment coordinate the load and divert overloaded zones. It is false until the
// number of routers is known, which may be after the last snapshot; so it must be called again from time to time.
func (d *GatewayDaemon) divertsZones() bool {
	return d.settings.Policy.SharedLoad.DivertZones && d.appliesSharing(d.follower.Snapshot().Deployment, d.treasurer.Members())
}

// peerHandler returns the handler for calls from other routers.
func (d *GatewayDaemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	lender.Serve(mux, d.treasurer)
	d.store.Serve(mux)
	d.examiner.Serve(mux)
	d.rotator.Serve(mux)
	d.diverter.Serve(mux)
	d.throttler.Serve(mux)
	d.versioner.Serve(mux)
	d.coordinator.Serve(mux)
	d.apportioner.Serve(mux)
	d.sharedStore.Serve(mux)
	return mux
}

// readiness answers the load balancer's readiness check with status 200 or 503.
func (d *GatewayDaemon) readiness(w http.ResponseWriter, _ *http.Request) {
	if d.forwarder.Ready() && d.rotator.IsReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Reload applies new settings. Only the log level can change while the gateway runs. The log reports whether another setting has
// changed, so that a restart is needed. If the log level is invalid, nothing changes.
func (d *GatewayDaemon) Reload(s forwarder.Settings) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "reload_refused", "error": err}).Error("settings rejected")
		return
	}
	d.log.SetLevel(level)
	withOldLevel := s
	withOldLevel.LogLevel = d.settings.LogLevel
	d.log.WithFields(logrus.Fields{
		"event": "reloaded", "log_level": s.LogLevel, "needs_restart": !reflect.DeepEqual(withOldLevel, d.settings),
	}).Info("settings reloaded")
}

// Drain shuts the gateway down gracefully and returns when it has stopped, at the end of the grace period at the latest. It
// returns false if a request was cut off.
func (d *GatewayDaemon) Drain() bool {
	now := d.clock.Now()
	// The grace period began when SIGTERM was sent, which may have been while this process was stopped.
	began := d.stalls.earliest(now)
	grace := time.Duration(d.settings.GraceSeconds * float64(time.Second))
	d.draining.Store(true)
	d.forwarder.Drain(began, began.Add(grace-exitBefore))
	d.log.WithFields(logrus.Fields{"event": "stopping", "open": d.callerListener.OpenRequests(), "grace": grace, "late_ms": now.Sub(began).Milliseconds()}).Info("gateway stopping")
	d.wait(began.Add(minUnreadyTime), began.Add(minUnreadyTime), d.isIdle)
	// Requests that arrive later on connections that are idle now would be cut off by the shutdown. The callers should connect to
	// another router.
	d.forwarder.StopForwarding()
	d.callerListener.closeIdle()
	d.wait(began, began.Add(grace-closeBudgetsBefore), d.isIdle)
	// If the store is away, it may answer again within the rest of the grace period.
	ctx, cancel := context.WithTimeout(context.Background(), began.Add(grace-exitBefore).Sub(d.clock.Now()))
	defer cancel()
	var closing sync.WaitGroup
	closing.Go(func() { d.treasurer.Close(ctx) })
	d.wait(began, began.Add(grace-exitBefore), d.isIdle)
	// If a request has been read since the last check, its connection stays open until the request is answered.
	d.callerListener.shutdown()
	d.wait(began, began.Add(grace-exitBefore), d.callerListener.isDrained)
	closing.Wait()
	clean := d.callerListener.OpenRequests() == 0
	d.tally.Flush()
	d.log.WithFields(logrus.Fields{"event": "stopped", "cut_off": d.callerListener.OpenRequests(), "ms": d.clock.Now().Sub(began).Milliseconds()}).Info("gateway stopped")
	d.Kill()
	return clean
}

// isIdle reports whether no request is open.
func (d *GatewayDaemon) isIdle() bool { return d.callerListener.OpenRequests() == 0 }

// wait calls done every drainPollInterval from notBefore on, and returns once done has returned true. It also returns when the
// deadline has passed.
func (d *GatewayDaemon) wait(notBefore, deadline time.Time, done func() bool) {
	for {
		now := d.clock.Now()
		if !now.Before(deadline) || !now.Before(notBefore) && done() {
			return
		}
		<-d.clock.After(drainPollInterval)
	}
}

// Kill stops the gateway at once, as a crash would.
func (d *GatewayDaemon) Kill() {
	d.stop()
	d.store.Cancel()
	d.servers.close()
	d.wg.Wait()
	d.store.Close()
	d.logQueue.Close()
}

// Addresses returns the addresses for callers and for the readiness check.
func (d *GatewayDaemon) Addresses() (caller, readiness string) {
	return fmt.Sprint(d.listeners.Caller.Addr()), fmt.Sprint(d.listeners.Readiness.Addr())
}
