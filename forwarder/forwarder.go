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

// Budgets holds prepaid money for requests.
type Budgets interface {
	// Hold takes money for a request, and waits for it at most so long.
	Hold(ctx context.Context, workspace string, need int64, wait time.Duration) treasurer.Reply
	// Clear waits until a hold's answer may go to the caller, and returns false when the context ended first.
	Clear(ctx context.Context, id treasurer.HoldID) bool
	// Settle ends a hold with what was used of it.
	Settle(id treasurer.HoldID, used int64)
	// Members returns how many routers there seem to be, zero when that is not known.
	Members() int
	// Owns tells whether this router is the one of all to which a key falls; nobody is before the routers are counted.
	Owns(key string) bool
}

// drainNotice is how long a router that ends takes any request: the balancer needs two misses, a second apart, to send new
// connections elsewhere.
const drainNotice = 2500 * time.Millisecond

// Forwarder serves callers.
type Forwarder struct {
	settings Settings
	clock    masticway.Clock
	log      *logrus.Entry
	metrics  *measurer.Set
	codec    masticway.HeaderCodec
	budgets  Budgets
	sender   *sender.Sender
	snapshot func() follower.Beliefs
	checks   *checks
	examiner masticway.Examiner
	rotation masticway.Rotation
	// throttler keeps to what servers say of the requests that they take.
	throttler masticway.Throttler
	// onLeaving is told of servers that say that they leave.
	onLeaving func(masticway.Server)
	// abandoned are the runs whose servers no connection tells of any more.
	abandoned abandonedRuns

	mu         sync.Mutex
	servers    *chooser.Servers
	allowances map[string]*retrier.Allowance

	// drainState is when the router was told to end, and until when it serves; nothing before.
	drainState  atomic.Pointer[drain]
	servedCount atomic.Int64
}

// Parts are what a forwarder is made of.
type Parts struct {
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	Dialect masticway.HeaderCodec
	Bank    Budgets
	Beliefs func() follower.Beliefs
	// Examiner knows the requests under which servers end.
	Examiner masticway.Examiner
	// Rotation tells whether new callers are wanted.
	Rotation masticway.Rotation
	// Throttler keeps to what servers say of the requests that they take.
	Throttler masticway.Throttler
	// Leaves is told of servers that say themselves that they leave.
	Leaves func(masticway.Server)
	// Dial makes connections to servers.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns a forwarder.
func New(s Settings, p Parts) *Forwarder {
	f := &Forwarder{
		settings: s, clock: p.Clock, log: p.Log, metrics: p.Metrics, codec: p.Dialect, budgets: p.Bank, snapshot: p.Beliefs,
		examiner: p.Examiner, rotation: p.Rotation, throttler: p.Throttler, onLeaving: p.Leaves,
		checks: &checks{dial: p.Dial, clock: p.Clock, log: p.Log, byServer: map[masticway.ServerIncarnation]*check{}},
		sender: sender.New(p.Dial, p.Clock.Now), servers: chooser.NewServers(s.serverPolicy()), allowances: map[string]*retrier.Allowance{},
	}
	f.checks.onEnded = f.reportAbandoned
	return f
}

// Changed takes a new belief: what is known of servers that are gone is dropped.
func (f *Forwarder) Changed(snapshot follower.Beliefs) {
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
	restarted := f.servers.Keep(startedAt)
	f.mu.Unlock()
	for _, id := range restarted {
		// Connections that rest are those of the life before.
		delete(addresses, addressOf[id])
		f.log.WithFields(logrus.Fields{"event": "server_reborn", "server": id, "born": startedAt[id]}).Info("server began a new life")
	}
	f.sender.Forget(addresses)
	f.checks.retain(snapshot)
}

// Ready tells whether new connections are wanted.
func (f *Forwarder) Ready() bool {
	return f.drainState.Load() == nil && f.snapshot().Ready() && !f.rotation.IsOut()
}

// drain is an end that was asked for.
type drain struct {
	since time.Time
	until time.Time
	// closing tells that connections are being closed.
	closing atomic.Bool
}

// wouldCutOff tells that a request would probably be cut off: it may last longer than the router, and its caller has had
// time to go elsewhere.
func (d *drain) wouldCutOff(now, deadline time.Time) bool {
	return d != nil && (d.closing.Load() || now.Sub(d.since) > drainNotice && deadline.After(d.until))
}

// Drain makes every answer end its connection, and Ready say no; at the given time the router will be gone.
func (f *Forwarder) Drain(until time.Time) {
	f.drainState.Store(&drain{since: f.clock.Now(), until: until})
}

// Refuse lets no request be passed on from now on. It goes before the closing of idle connections: one on which a request
// has just come looks idle until it is read, and the request would be passed on and lose its answer.
func (f *Forwarder) Refuse() {
	if d := f.drainState.Load(); d != nil {
		d.closing.Store(true)
	}
}

// ServeHTTP serves one request.
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

// setConnectionHeader tells an answer's caller whether its connection can be used again; the next one of a router that ends or is out of
// rotation reaches another. It is asked when the head is written: a request that came before the end was asked for may be
// answered after it.
func (f *Forwarder) setConnectionHeader(h http.Header) {
	if f.drainState.Load() != nil || f.rotation.IsOut() {
		h.Set("Connection", "close")
	}
}

// allowance returns the retry allowance of a pool; the caller holds the lock.
func (f *Forwarder) allowance(pool string) *retrier.Allowance {
	a, ok := f.allowances[pool]
	if !ok {
		s := f.settings.Retries
		a = retrier.NewAllowance(s.Ratio, s.Slack, time.Duration(s.WindowSeconds*float64(time.Second)))
		f.allowances[pool] = a
	}
	return a
}
