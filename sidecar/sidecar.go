package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/sealer"
)

// Settings are the contents of a sidecar's settings file. docs/SETTINGS.md describes the fields.
type Settings struct {
	masticway.ProcessSettings
	LinkAddress         string             `json:"link_address"`
	UpstreamURL         string             `json:"upstream_url"`
	UpstreamIdleTimeout masticway.Duration `json:"silence"`
	AnswerTTL           masticway.Duration `json:"keep_for"`
	MaxAnswerBytes      int                `json:"keep_bytes"`
	OrphanTimeout       masticway.Duration `json:"orphan_after"`
	MaxRuns             int                `json:"max_runs"`
}

// Names of metrics.
const (
	metricRuns       = "runs"
	metricRefused    = "refused"
	metricSealed     = "incarnations_sealed"
	metricTokens     = "tokens"
	metricRunning    = "running"
	metricDrainCut   = "drain_cut_off"
	metricRunSeconds = "run"
)

// changesRequestInterval is the minimum time between two requests of a sidecar for configuration changes, whichever routers
// it asks.
const changesRequestInterval = 200 * time.Millisecond

// Sidecar is the process beside one upstream.
type Sidecar struct {
	settings Settings
	self     masticway.Incarnation
	clock    masticway.Clock
	log      *logrus.Entry
	ledger   *bookkeeper.Ledger
	table    masticway.Table
	upstream masticway.Upstream
	listener *linker.Listener
	metrics  *measurer.Set

	mu      sync.Mutex
	core    *sealer.Sealer
	cancels map[masticway.RunKey]context.CancelFunc
	// load is the upstream's latest load report, or nil before the first.
	load *masticway.LoadReport
	// reportedLoad is the load as of the latest heartbeat to all routers.
	reportedLoad *masticway.LoadReport
	// newestFence is the newest fencing number known for the upstream.
	newestFence int64
	// changesRequestedAt is when the sidecar last asked a router for configuration changes. Many routers announce a new
	// revision at once, and it is enough to ask one of them.
	changesRequestedAt time.Time

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns a sidecar that has not been started.
func New(s Settings, self masticway.Incarnation, key linker.Identity, clock masticway.Clock, log *logrus.Entry, table masticway.Table, upstream masticway.Upstream, metrics *measurer.Set) *Sidecar {
	ctx, stop := context.WithCancel(context.Background())
	c := &Sidecar{
		settings: s, self: self, clock: clock, log: log, ledger: bookkeeper.New(table), table: table,
		upstream: upstream, metrics: metrics,
		core: sealer.New(sealer.Settings{
			Self: self, AnswerTTL: s.AnswerTTL.Std(), MaxAnswerBytes: s.MaxAnswerBytes,
			OrphanTimeout: s.OrphanTimeout.Std(), MaxRuns: s.MaxRuns,
		}),
		cancels: map[masticway.RunKey]context.CancelFunc{},
		ctx:     ctx, stop: stop,
	}
	c.listener = linker.NewListener(key, c.handle, c.handleLinkUp, c.handleLinkDown)
	return c
}

// Handler returns the handler for links, health checks and metrics.
func (c *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(linker.Path, c.listener)
	mux.Handle("GET /debug/vars", c.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if c.IsDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// IsDraining reports whether Drain has been called, so that the sidecar refuses new work.
func (c *Sidecar) IsDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.IsDraining()
}

// Start starts the goroutines that send heartbeats, remove expired answers and poll the upstream's load.
func (c *Sidecar) Start() {
	c.wg.Go(c.heartbeatLoop)
	c.wg.Go(c.pollLoad)
}

// Close cancels all runs and closes all links without a drain. Routers see this as a crash. Close waits for the goroutines
// to end.
func (c *Sidecar) Close() {
	c.stop()
	c.listener.Close()
	c.wg.Wait()
}

func (c *Sidecar) handleLinkUp(conn *linker.Conn) {
	c.log.WithFields(logrus.Fields{"event": "link_up", "peer": conn.Peer().Incarnation}).Debug("link up")
	_ = conn.Send(c.heartbeatMessage())
}

func (c *Sidecar) handleLinkDown(conn *linker.Conn) {
	inc := conn.Peer().Incarnation
	if other := c.listener.Get(inc); other != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Detach(c.clock.Now(), inc)
}

// handle handles one message from a router.
func (c *Sidecar) handle(conn *linker.Conn, m linker.Message) {
	now := c.clock.Now()
	from := conn.Peer().Incarnation
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case m.Dispatch != nil:
		c.apply(c.core.Dispatch(now, *m.Dispatch, from))
	case m.Attach != nil:
		c.apply(c.core.Attach(m.Attach.Run, m.Attach.From, from))
	case m.Cancel != nil:
		c.apply(c.core.Cancel(m.Cancel.Run, from))
	case m.Query != nil:
		status := c.core.Query(now, m.Query.Run)
		_ = conn.Reply(m, linker.Message{Status: &status})
	case m.Find != nil:
		status := c.core.Find(m.Find.Identity)
		_ = conn.Reply(m, linker.Message{Status: &status})
	case m.Seal != nil:
		c.handleSeal(conn, m)
	case m.Heartbeat != nil:
		c.handleHeartbeat(conn, *m.Heartbeat)
	case m.Changes != nil:
		c.core.ApplyChanges(m.Changes.List)
		c.core.AdvanceRevision(m.Changes.Revision)
	case m.ChangesRequest != nil:
		_ = conn.Send(linker.Message{Changes: &linker.Changes{List: c.core.ChangesAfter(m.ChangesRequest.After)}})
	case m.Count != nil:
		c.wg.Go(func() { c.handleCount(conn, m) })
	case m.Order != nil:
		c.wg.Go(func() { c.handleOrder(conn, m) })
	}
}

func (c *Sidecar) handleSeal(conn *linker.Conn, m linker.Message) {
	report, effects := c.core.Seal(c.clock.Now(), m.Seal.Incarnation)
	c.apply(effects)
	c.metrics.Add(metricSealed, 1)
	_ = conn.Reply(m, linker.Message{Sealed: &report})
}

func (c *Sidecar) handleHeartbeat(conn *linker.Conn, b linker.Heartbeat) {
	c.apply(c.core.VerifyAhead(c.clock.Now(), conn.Peer().Incarnation))
	if b.GrantsUpTo > 0 {
		c.core.DropClosedGrants(conn.Peer().Incarnation, b.OpenGrants, b.GrantsUpTo)
	}
	now := c.clock.Now()
	if b.Revision > c.core.Revision() && now.Sub(c.changesRequestedAt) > changesRequestInterval {
		c.changesRequestedAt = now
		_ = conn.Send(linker.Message{ChangesRequest: &linker.ChangesRequest{After: c.core.Revision()}})
	}
}

// verify reads an incarnation's links row from the table and passes its status to the sealer.
func (c *Sidecar) verify(inc masticway.Incarnation) {
	state := sealer.StatusUnknown
	links, version, err := c.ledger.Links(c.ctx, inc)
	switch {
	case err != nil:
		c.log.WithFields(logrus.Fields{"event": "verify_failed", "incarnation": inc, "error": err}).Warn("cannot verify incarnation")
	case version == 0 || links.State == bookkeeper.LinksSealed:
		state = sealer.StatusSealed
	case !links.Has(c.self):
		state = sealer.StatusUnlinked
	default:
		state = sealer.StatusOpen
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.core.ApplyVerification(c.clock.Now(), inc, state))
}

func (c *Sidecar) handleCount(conn *linker.Conn, m linker.Message) {
	tokens, err := c.upstream.Count(c.ctx, m.Count.Prompt)
	if err != nil {
		tokens = -1
	}
	_ = conn.Reply(m, linker.Message{CountReply: &linker.CountReply{Tokens: tokens}})
}
