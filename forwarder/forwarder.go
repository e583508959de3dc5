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
	"github.com/masticway/masticway/tallier"
	"github.com/masticway/masticway/treasurer"
)

// Budgets holds and charges prepaid tokens of workspaces for requests.
type Budgets interface {
	// Hold reserves tokens for a request. It waits for them no longer than the given time. The reply's verdict says whether they
	// were reserved.
	Hold(ctx context.Context, workspace string, need int64, wait time.Duration) treasurer.Reply
	// Clear waits until the answer that a hold pays for may go to the caller. It returns false if the context ends first.
	Clear(ctx context.Context, id treasurer.HoldID) bool
	// Settle ends a hold and charges what was used.
	Settle(id treasurer.HoldID, used int64)
	// Members returns the estimated number of routers, or zero if it is unknown.
	Members() int
	// RetrySharers returns the number of routers that divide the fixed retries, or zero if this router must not use any now.
	RetrySharers() int
	// OwnsKey reports whether this router is the single owner of a key, such as a server's ID. While the number of routers is
	// unknown, no router owns any key.
	OwnsKey(key string) bool
}

// Forwarder serves the requests of callers.
type Forwarder struct {
	settings Settings
	clock    masticway.Clock
	log      *logrus.Entry
	// answerBytes bounds what is kept of answers that are being read.
	answerBytes *answerMemory
	metrics     *measurer.Set
	// tally counts the ends of requests by workspace.
	tally    *tallier.Tallier
	codec    masticway.HeaderCodec
	budgets  Budgets
	sender   *sender.Sender
	snapshot func() follower.Snapshot
	checks   *checks
	examiner masticway.Examiner
	rotation masticway.Rotation
	// throttler enforces the rate limits and backoff that servers announce.
	throttler masticway.Throttler
	// coordinator chooses engines by the load that all routers cause, and runCount counts the runs that are reported to it.
	coordinator    masticway.EngineCoordinator
	runCount       atomic.Int64
	streamVersions masticway.StreamVersions
	// connections divides the connections to small plain services by demand. It may be nil.
	connections masticway.ConnectionApportioner
	// onDraining is called for each answer with which a server announces that it drains.
	onDraining func(masticway.Server)
	// abandoned holds runs that this router gave up. Their requests may still crash their servers.
	abandoned abandonedRuns

	// startedAt is when this incarnation of the router started.
	startedAt time.Time

	mu      sync.Mutex
	servers *chooser.Servers
	// allowances holds the retry allowance of each pool.
	allowances map[string]*retrier.Allowance
	// numberings holds how the servers of each pool number the events of their streams.
	numberings map[string]*numbering

	// drainState is nil until the router is asked to drain.
	drainState atomic.Pointer[drain]
	// durations tells how long requests may be expected to last.
	durations routeDurations
	// servedCount counts the served requests, to log one of every Settings.LogEvery.
	servedCount atomic.Int64
}

// Dependencies holds the dependencies of a Forwarder.
type Dependencies struct {
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	// Tally counts the ends of requests by workspace.
	Tally    *tallier.Tallier
	Codec    masticway.HeaderCodec
	Budgets  Budgets
	Snapshot func() follower.Snapshot
	// Examiner identifies the requests under which servers crash.
	Examiner masticway.Examiner
	// Rotation admits requests unless this router is overloaded. It also reports whether this router is in the load balancer's
	// rotation.
	Rotation masticway.Rotation
	// Throttler enforces the rate limits and backoff that servers announce.
	Throttler masticway.Throttler
	// StreamVersions keeps by which software version each stream was begun.
	StreamVersions masticway.StreamVersions
	// Coordinator chooses engines by the load that all routers cause. If it is nil, only this router's observations decide.
	Coordinator masticway.EngineCoordinator
	// Connections divides the connections to small plain services by demand. If it is nil, all connections are divided equally.
	Connections masticway.ConnectionApportioner
	// OnDraining is called for each answer with which a server announces that it drains. It is called from several goroutines.
	OnDraining func(masticway.Server)
	// Dial connects to a server.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns a Forwarder.
func New(s Settings, d Dependencies) *Forwarder {
	f := &Forwarder{
		answerBytes: newAnswerMemory(s.MemoryMB << 20),
		settings:    s, clock: d.Clock, log: d.Log, metrics: d.Metrics, tally: d.Tally, codec: d.Codec, budgets: d.Budgets, snapshot: d.Snapshot,
		examiner: d.Examiner, rotation: d.Rotation, throttler: d.Throttler, coordinator: d.Coordinator, connections: d.Connections, streamVersions: d.StreamVersions, onDraining: d.OnDraining,
		checks: &checks{dial: d.Dial, clock: d.Clock, log: d.Log, byServer: map[masticway.ServerIncarnation]*check{}},
		sender: sender.New(d.Dial, d.Clock.Now), servers: chooser.NewServers(s.serverPolicy()), allowances: map[string]*retrier.Allowance{}, numberings: map[string]*numbering{}, startedAt: d.Clock.Now(),
		durations: routeDurations{byRoute: map[string]*seenDurations{}},
	}
	if f.coordinator == nil {
		f.coordinator = uncoordinated{}
	}
	f.checks.onEnded = f.reportAbandoned
	return f
}

// Update applies a new snapshot of the configuration and the servers. It drops what was known about restarted servers, and about
// removed servers without requests in flight. It closes the idle connections to restarted and removed servers.
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
	f.durations.retain(snapshot)
}

// Ready reports whether the load balancer should send new connections to this router: it knows its configuration and the servers,
// does not drain and is not out of rotation. A router that is not ready may still serve the requests that reach it.
func (f *Forwarder) Ready() bool {
	return f.drainState.Load() == nil && f.snapshot().IsReady() && !f.rotation.IsOut()
}

// Drain starts a shutdown that ends at the given time. From then on Ready returns false, and each answer whose head has not been
// written yet closes its connection. The shutdown was asked for at began, which may have been while this process was stopped.
func (f *Forwarder) Drain(began, until time.Time) {
	f.drainState.Store(&drain{since: began, until: until})
}

// StopForwarding makes a draining router refuse all new requests; it has no effect before Drain. Requests in progress continue.
// It must be called before idle connections are closed: a connection on which a request has just arrived looks idle until it is
// read, so the request would be forwarded and its answer lost.
func (f *Forwarder) StopForwarding() {
	if d := f.drainState.Load(); d != nil {
		d.closing.Store(true)
	}
}

// ServeHTTP forwards a request to a server, or refuses it. It panics with http.ErrAbortHandler if an answer that has begun cannot
// be completed.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.metrics.Add(metricRequests, 1)
	x, refused := f.admit(w, r)
	defer x.release()
	if refused != nil {
		f.recordRefused(x, refused)
		f.writeRefusal(x, refused)
		return
	}
	x.run(r.Context())
}

// setConnectionHeader makes the answer close the caller's connection if this router is draining or out of rotation. The caller's
// next connection then reaches another router. It must be called when the head of the answer is written, because the drain may
// start after the request arrived.
func (f *Forwarder) setConnectionHeader(h http.Header) {
	if f.drainState.Load() != nil || f.rotation.IsOut() {
		h.Set("Connection", "close")
	}
}

// allowance returns the retry allowance of a pool and creates it if necessary. The caller must hold f.mu.
func (f *Forwarder) allowance(pool string) *retrier.Allowance {
	a, ok := f.allowances[pool]
	if !ok {
		s := f.settings.Retries
		a = retrier.NewAllowance(retrier.Limit{Ratio: s.Ratio, Fixed: s.FixedRetries, Window: s.Window()}, f.startedAt)
		f.allowances[pool] = a
	}
	return a
}
