package starter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
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
	"github.com/masticway/masticway/sharer"
	"github.com/masticway/masticway/throttler"
	"github.com/masticway/masticway/treasurer"
)

const (
	// maxGatewayHeaderBytes bounds a request's head; the standard server allows a little more.
	maxGatewayHeaderBytes = 16 << 10
	// callerIdleTimeout is how long a caller's connection may be idle. It is longer than deployments allow, so that the
	// callers, who know their limit, end connections and not the router, whose end could cross a request.
	callerIdleTimeout = 60 * time.Second
	// storeTimeout bounds one call to the row store: twice what a store that is 60 times slower than usual takes, less
	// than a connection that a cut has stalled needs to come back to life.
	storeTimeout = 600 * time.Millisecond
	// slowLinkTimeout bounds a reading of the configuration while shorter ones fail: a full link, on which packets wait for
	// up to half a second each way, beside the store's own time.
	slowLinkTimeout = 2 * time.Second
	// suspectsMaxWait is how long one call may wait for changes of the suspects; a feed that has gone silent is noticed after it,
	// within the least time in which deployments want all routers to know. suspectsRelistInterval is how often they are read anew.
	// Longer ones cost the store fewer calls.
	suspectsMaxWait        = 2500 * time.Millisecond
	suspectsRelistInterval = 30 * time.Second
	// maxReadersPerZone is how many routers of an availability zone follow for the others what is dear to follow.
	maxReadersPerZone = 2
	// suspensionCheckInterval is how often it is looked whether the machine was suspended, for the log only.
	suspensionCheckInterval = time.Second
	// minUnreadyTime is how long a router that ends still takes connections: the balancer asks once a second and
	// takes an instance out after two misses.
	minUnreadyTime = 3200 * time.Millisecond
	// closeBudgetsBefore and exitBefore are how long before the end of the grace money is given back and all is ended.
	closeBudgetsBefore = 1500 * time.Millisecond
	exitBefore         = 300 * time.Millisecond
	// drainPollInterval is how often a router that ends looks whether it may.
	drainPollInterval = 20 * time.Millisecond
)

// metricSuspended is how long the machine has been suspended since the process began, in milliseconds.
const metricSuspended = "suspended_ms"

// GatewayListeners are a gateway's open sockets.
type GatewayListeners struct {
	Caller    net.Listener
	Readiness net.Listener
	Metrics   net.Listener
	Peer      net.Listener
}

// ListenGateway opens a gateway's sockets.
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

// GatewayDaemon is a router that reaches servers directly and keeps everything that must last in the row store.
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
	throttler      *throttler.Throttler
	pausable       *pausableListener
	store          *relayer.Store
	sharedStore    *sharer.Store
	callerServer   *http.Server
	callerListener *callerListener
	servers        serverGroup
	listeners      GatewayListeners
	metrics        *measurer.Set
	stop           context.CancelFunc
	wg             sync.WaitGroup
}

// NewGateway assembles a gateway on a row store; patient is the same store with a longer time limit.
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
		Address: s.PeerAddress, Parts: s.Money.Parts, Reserve: s.Money.Reserve.Std(), BurstShare: s.Policy.BurstShare,
		Zone: s.Zone, Holders: s.Policy.Holders, Processors: s.Processors,
	})
	d.store.Ask(d.peers)
	d.store.WhenBack(d.treasurer.StoreIsBack)
	d.examiner = examiner.New(examiner.Parts{
		Store: d.store, Messages: peerClient, Peers: d.peers, Members: d.treasurer, Clock: clock, Log: entry, Metrics: metrics, Self: d.treasurer.Self(),
	})
	d.sharedStore = sharer.New(sharer.Parts{
		Store: d.store, Readers: sharer.NewClient(peerClient), Clock: clock, Log: entry, Metrics: metrics,
		Choose: func() ([]string, bool) { return d.treasurer.Readers(decoder.ServerTable(), maxReadersPerZone) },
	}, sharer.Table{Name: decoder.ServerTable(), Substance: serverContent(decoder)})
	d.follower = follower.New(d.sharedStore, slowLinkStore, decoder, clock, entry, metrics, d.applySnapshot)
	d.follower.Also(follower.Table{
		Name: examiner.Table, Part: examiner.Part, Wait: suspectsMaxWait, Relist: suspectsRelistInterval, Take: d.examiner.Take,
	})
	d.pausable = newPausableListener(l.Caller, log)
	d.rotator = rotator.New(rotator.Settings{Instance: s.Instance, Zone: s.Zone, Memory: s.MemoryMB << 20}, rotator.Parts{
		Listener: d.pausable, Voters: rotator.NewClient(messenger.NewPatientClient()), Clock: clock, Log: entry, Metrics: metrics, Neighbours: d.zonePeers,
	})
	d.store.Measure(func(took time.Duration, answered bool) { d.rotator.Note(rotator.KindStore, took, answered) })
	peerClient.Measure(func(took time.Duration, answered bool) { d.rotator.Note(rotator.KindRouter, took, answered) })
	d.throttler = throttler.New(throttler.Parts{
		Routers: throttler.NewClient(peerClient), Members: d.treasurer, Peers: d.peers, Clock: clock, Log: entry, Metrics: metrics, Address: s.PeerAddress,
	})
	dialer := &net.Dialer{KeepAlive: -1}
	d.forwarder = forwarder.New(s, forwarder.Parts{
		Clock: clock, Log: entry, Metrics: metrics, Dialect: codec, Bank: d.treasurer, Beliefs: d.follower.Beliefs, Examiner: d.examiner,
		Rotation: d.rotator, Throttler: d.throttler, Leaves: d.follower.Leaves, Dial: d.rotator.Dial(dialer.DialContext),
	})
	d.callerListener = newCallerListener(d.pausable)
	d.callerServer = &http.Server{
		Handler: d.forwarder, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxGatewayHeaderBytes, IdleTimeout: callerIdleTimeout,
		ConnState: d.callerListener.trackState,
	}
	return d, nil
}

// BuildGateway builds a gateway on the users' platform from its settings; it opens the sockets.
func BuildGateway(s forwarder.Settings, out io.Writer) (*GatewayDaemon, error) {
	l, err := ListenGateway(s)
	if err != nil {
		return nil, err
	}
	return NewPlatformGateway(s, l, out)
}

// NewPlatformGateway assembles a gateway on the users' platform that listens on open sockets.
func NewPlatformGateway(s forwarder.Settings, l GatewayListeners, out io.Writer) (*GatewayDaemon, error) {
	return NewGateway(s, l, platform.NewStore(s.StoreAddress, storeTimeout), platform.NewStore(s.StoreAddress, slowLinkTimeout), platform.Decoder{}, platform.Dialect{}, masticway.SystemClock{}, out)
}

// serverContent is what of a server's registration matters: not that it was written once more.
func serverContent(decoder masticway.DeploymentDecoder) sharer.Substance {
	return func(key string, value []byte) any {
		s, err := decoder.Server(key, value)
		if err != nil {
			return string(value)
		}
		return s
	}
}

func (d *GatewayDaemon) applySnapshot(s follower.Beliefs) {
	d.treasurer.Configure(s.Deployment)
	d.throttler.Keep(s.Lives())
	d.forwarder.Changed(s)
}

// Start begins to serve.
func (d *GatewayDaemon) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.wg.Go(func() { d.follower.Run(ctx) })
	d.wg.Go(func() { d.treasurer.Run(ctx) })
	d.wg.Go(func() { d.examiner.Run(ctx) })
	d.wg.Go(func() { d.rotator.Run(ctx) })
	d.wg.Go(func() { d.throttler.Run(ctx) })
	d.wg.Go(func() { d.watchSuspensions(ctx) })
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

// watchSuspensions tells of every time for which the machine was suspended, where its clock knows.
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

// peers names the addresses of other routers: those that are known, before that the seeds.
func (d *GatewayDaemon) peers() []string {
	known := d.treasurer.Peers()
	if len(known) > 0 {
		return known
	}
	return slices.DeleteFunc(slices.Clone(d.settings.PeerSeeds), func(a string) bool { return a == d.settings.PeerAddress })
}

// zonePeers lists the other routers of the availability zone.
func (d *GatewayDaemon) zonePeers() []rotator.Neighbour {
	var all []rotator.Neighbour
	for _, p := range d.treasurer.Neighbours() {
		all = append(all, rotator.Neighbour{Instance: p.Incarnation.Instance(), Address: p.Address})
	}
	return all
}

// peerHandler answers the other routers.
func (d *GatewayDaemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	lender.Serve(mux, d.treasurer)
	d.store.Serve(mux)
	d.examiner.Serve(mux)
	d.rotator.Serve(mux)
	d.throttler.Serve(mux)
	d.sharedStore.Serve(mux)
	return mux
}

func (d *GatewayDaemon) readiness(w http.ResponseWriter, _ *http.Request) {
	if d.forwarder.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Reload takes new settings; only what can change while serving does, the rest is named in the log.
func (d *GatewayDaemon) Reload(s forwarder.Settings) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "reload_refused", "error": err}).Error("settings not taken")
		return
	}
	d.log.SetLevel(level)
	withOldLevel := s
	withOldLevel.LogLevel = d.settings.LogLevel
	d.log.WithFields(logrus.Fields{
		"event": "reloaded", "log_level": s.LogLevel, "needs_restart": !reflect.DeepEqual(withOldLevel, d.settings),
	}).Info("settings read again")
}

// Drain ends the gateway gracefully; it returns false when a request was cut off.
func (d *GatewayDaemon) Drain() bool {
	began := d.clock.Now()
	grace := time.Duration(d.settings.GraceSeconds * float64(time.Second))
	d.forwarder.Drain(began.Add(grace - exitBefore))
	d.log.WithFields(logrus.Fields{"event": "stopping", "open": d.callerListener.OpenRequests(), "grace": grace}).Info("gateway stopping")
	d.wait(began.Add(minUnreadyTime), began.Add(minUnreadyTime), d.isIdle)
	// What is idle now would only carry requests that the end cuts off; their callers connect elsewhere.
	d.forwarder.Refuse()
	d.callerListener.closeIdle()
	d.wait(began, began.Add(grace-closeBudgetsBefore), d.isIdle)
	ctx, cancel := context.WithTimeout(context.Background(), closeBudgetsBefore-exitBefore)
	defer cancel()
	d.treasurer.Close(ctx)
	d.wait(began, began.Add(grace-exitBefore), d.isIdle)
	// A request may be read while nothing seems open; its connection lasts until it is answered.
	d.callerListener.shutdown()
	d.wait(began, began.Add(grace-exitBefore), d.callerListener.isDrained)
	clean := d.callerListener.OpenRequests() == 0
	d.log.WithFields(logrus.Fields{"event": "stopped", "cut_off": d.callerListener.OpenRequests(), "ms": d.clock.Now().Sub(began).Milliseconds()}).Info("gateway stopped")
	d.Kill()
	return clean
}

// isIdle tells that no request is open.
func (d *GatewayDaemon) isIdle() bool { return d.callerListener.OpenRequests() == 0 }

// wait waits until something is done, but not before one time and not after another.
func (d *GatewayDaemon) wait(notBefore, deadline time.Time, done func() bool) {
	for {
		now := d.clock.Now()
		if !now.Before(deadline) || !now.Before(notBefore) && done() {
			return
		}
		<-d.clock.After(drainPollInterval)
	}
}

// Kill ends the gateway at once, as a crash would.
func (d *GatewayDaemon) Kill() {
	d.stop()
	d.servers.close()
	d.wg.Wait()
	d.store.Close()
	d.logQueue.Close()
}

// Addresses returns where callers and the readiness check reach the gateway.
func (d *GatewayDaemon) Addresses() (caller, readiness string) {
	return fmt.Sprint(d.listeners.Caller.Addr()), fmt.Sprint(d.listeners.Readiness.Addr())
}
