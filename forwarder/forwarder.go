package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/follower"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/retrier"
	"github.com/masticway/masticway/sender"
	"github.com/masticway/masticway/treasurer"
)

// Budgets holds prepaid tokens for requests.
type Budgets interface {
	// Hold reserves tokens for a request. It waits for them no longer than the given time.
	Hold(ctx context.Context, workspace string, need int64, wait time.Duration) treasurer.Reply
	// Clear waits until the answer that a hold pays for may go to the caller. It returns false if the context ends first.
	Clear(ctx context.Context, id treasurer.HoldID) bool
	// Settle ends a hold and charges what was used.
	Settle(id treasurer.HoldID, used int64)
	// Members returns the estimated number of routers, or zero if it is unknown.
	Members() int
	// OwnsKey reports whether this router is the single owner of a key. No router owns any key until the number of routers is known.
	OwnsKey(key string) bool
}

// drainNotice is how long a draining router still accepts any request. The load balancer needs two failed checks, a second apart,
// to send new connections elsewhere.
const drainNotice = 2500 * time.Millisecond

// Forwarder serves the requests of callers.
type Forwarder struct {
	settings Settings
	clock    masticway.Clock
	log      *logrus.Entry
	metrics  *measurer.Set
	codec    masticway.HeaderCodec
	budgets  Budgets
	sender   *sender.Sender
	snapshot func() follower.Snapshot
	checks   *checks
	examiner masticway.Examiner
	rotation masticway.Rotation
	// throttler enforces the rate limits and backoff that servers announce.
	throttler masticway.Throttler
	// onLeaving is called for servers that announce that they drain.
	onLeaving func(masticway.Server)
	// abandoned are runs without a connection that would break if their server crashed.
	abandoned abandonedRuns

	mu         sync.Mutex
	servers    *chooser.Servers
	allowances map[string]*retrier.Allowance

	// drainState is nil until the router is asked to drain.
	drainState  atomic.Pointer[drain]
	servedCount atomic.Int64
}

// Dependencies holds the dependencies of a Forwarder.
type Dependencies struct {
	Clock    masticway.Clock
	Log      *logrus.Entry
	Metrics  *measurer.Set
	Codec    masticway.HeaderCodec
	Budgets  Budgets
	Snapshot func() follower.Snapshot
	// Examiner identifies the requests under which servers crash.
	Examiner masticway.Examiner
	// Rotation reports whether the router is in the load balancer's rotation, and admits load.
	Rotation masticway.Rotation
	// Throttler enforces the rate limits and backoff that servers announce.
	Throttler masticway.Throttler
	// OnDraining is called for servers that announce that they drain.
	OnDraining func(masticway.Server)
	// Dial connects to servers.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns a Forwarder.
func New(s Settings, p Dependencies) *Forwarder {
	f := &Forwarder{
		settings: s, clock: p.Clock, log: p.Log, metrics: p.Metrics, codec: p.Codec, budgets: p.Budgets, snapshot: p.Snapshot,
		examiner: p.Examiner, rotation: p.Rotation, throttler: p.Throttler, onLeaving: p.OnDraining,
		checks: &checks{dial: p.Dial, clock: p.Clock, log: p.Log, byServer: map[masticway.ServerIncarnation]*check{}},
		sender: sender.New(p.Dial, p.Clock.Now), servers: chooser.NewServers(s.serverPolicy()), allowances: map[string]*retrier.Allowance{},
	}
	f.checks.onEnded = f.reportAbandoned
	return f
}

// Update applies a new snapshot of the configuration and the servers. It drops the state of servers that are gone or restarted.
func (f *Forwarder) Update(snapshot follower.Snapshot) {
	startedAt, addresses := map[string]time.Time{}, map[string]bool{}
	addressOf := map[string]string{}
	for _, servers := range snapshot.Servers {
		for _, s := range servers {
			startedAt[s.ID] = s.StartedAt
			addresses[s.Address] = true
			addressOf[s.ID] = s.Address
		}
	}
	f.mu.Lock()
	restarted := f.servers.SyncIncarnations(startedAt)
	f.mu.Unlock()
	for _, id := range restarted {
		// Idle connections belong to the previous incarnation, so they are closed.
		delete(addresses, addressOf[id])
		f.log.WithFields(logrus.Fields{"event": "server_reborn", "server": id, "born": startedAt[id]}).Info("server restarted")
	}
	f.sender.Retain(addresses)
	f.checks.retain(snapshot)
}

// Ready reports whether the router accepts new connections.
func (f *Forwarder) Ready() bool {
	return f.drainState.Load() == nil && f.snapshot().IsReady() && !f.rotation.IsOut()
}

// drain is the state of a router that shuts down.
type drain struct {
	since time.Time
	until time.Time
	// closing is set once connections are being closed.
	closing atomic.Bool
}

// wouldCutOff reports whether the request is likely to be cut off by the shutdown: connections are being closed, or the request
// may last longer than the router and its caller had time to go elsewhere.
func (d *drain) wouldCutOff(now, deadline time.Time) bool {
	return d != nil && (d.closing.Load() || now.Sub(d.since) > drainNotice && deadline.After(d.until))
}

// Drain starts a shutdown that ends at the given time. From now on every answer closes its connection and Ready returns false.
func (f *Forwarder) Drain(until time.Time) {
	f.drainState.Store(&drain{since: f.clock.Now(), until: until})
}

// StopForwarding stops the forwarding of requests. It must be called before idle connections are closed: a connection on which a request
// has just arrived looks idle until it is read, so the request would be forwarded and its answer lost.
func (f *Forwarder) StopForwarding() {
	if d := f.drainState.Load(); d != nil {
		d.closing.Store(true)
	}
}

// ServeHTTP serves a request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.metrics.Add(metricRequests, 1)
	x, refused := f.admit(w, r)
	defer x.release()
	if refused != nil {
		f.writeRefusal(w, x, refused)
		return
	}
	x.run(r.Context())
}

// setConnectionHeader makes the caller reconnect, and so reach another router, if this one is draining or out of rotation. It
// must be called when the head of the answer is written, because the drain may start after the request arrived.
func (f *Forwarder) setConnectionHeader(h http.Header) {
	if f.drainState.Load() != nil || f.rotation.IsOut() {
		h.Set("Connection", "close")
	}
}

// allowance returns the retry allowance of a pool. The caller must hold f.mu.
func (f *Forwarder) allowance(pool string) *retrier.Allowance {
	a, ok := f.allowances[pool]
	if !ok {
		s := f.settings.Retries
		a = retrier.NewAllowance(s.Ratio, s.FixedRetries, time.Duration(s.WindowSeconds*float64(time.Second)))
		f.allowances[pool] = a
	}
	return a
}
