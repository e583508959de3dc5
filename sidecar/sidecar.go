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

// Settings are a sidecar's settings file.
type Settings struct {
	masticway.ProcessSettings
	LinkAddress         string             `json:"link_address"`
	UpstreamURL         string             `json:"upstream_url"`
	UpstreamIdleTimeout masticway.Duration `json:"silence"`
	KeepFor             masticway.Duration `json:"keep_for"`
	KeepBytes           int                `json:"keep_bytes"`
	OrphanAfter         masticway.Duration `json:"orphan_after"`
	MaxRuns             int                `json:"max_runs"`
}

// Names of the metrics.
const (
	metricRuns       = "runs"
	metricRefused    = "refused"
	metricSealed     = "incarnations_sealed"
	metricTokens     = "tokens"
	metricRunning    = "running"
	metricDrainCut   = "drain_cut_off"
	metricRunSeconds = "run"
)

// wantPause separates two questions for configuration changes.
const wantPause = 200 * time.Millisecond

// Sidecar is one running sidecar.
type Sidecar struct {
	settings Settings
	self     masticway.Incarnation
	clock    masticway.Clock
	log      *logrus.Entry
	book     *bookkeeper.Ledger
	fences   masticway.Table
	upstream masticway.Upstream
	listener *linker.Listener
	metrics  *measurer.Set

	mu     sync.Mutex
	core   *sealer.Sealer
	cancel map[masticway.RunKey]context.CancelFunc
	load   *masticway.LoadReport
	// told is the load that the last heartbeat reported.
	told  *masticway.LoadReport
	fence int64
	// wanted is when a router was last asked for changes; many know a new one at once.
	wanted time.Time

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns a sidecar that is not yet running.
func New(s Settings, self masticway.Incarnation, key linker.Identity, clock masticway.Clock, log *logrus.Entry, table masticway.Table, upstream masticway.Upstream, metrics *measurer.Set) *Sidecar {
	ctx, stop := context.WithCancel(context.Background())
	c := &Sidecar{
		settings: s, self: self, clock: clock, log: log, book: bookkeeper.New(table), fences: table,
		upstream: upstream, metrics: metrics,
		core: sealer.New(sealer.Settings{
			Self: self, AnswerTTL: s.KeepFor.Std(), MaxAnswerBytes: s.KeepBytes,
			OrphanTimeout: s.OrphanAfter.Std(), MaxRuns: s.MaxRuns,
		}),
		cancel: map[masticway.RunKey]context.CancelFunc{},
		ctx:    ctx, stop: stop,
	}
	c.listener = linker.NewListener(key, c.handle, c.linkUp, c.linkDown)
	return c
}

// Handler serves links, health and metrics.
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

// IsDraining tells whether new work is refused.
func (c *Sidecar) IsDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.IsDraining()
}

// Start begins heartbeats and clean-up.
func (c *Sidecar) Start() {
	c.wg.Go(c.beat)
	c.wg.Go(c.watchLoad)
}

// Close ends everything at once, as a crash would.
func (c *Sidecar) Close() {
	c.stop()
	c.listener.Close()
	c.wg.Wait()
}

func (c *Sidecar) linkUp(conn *linker.Conn) {
	c.log.WithFields(logrus.Fields{"event": "link_up", "peer": conn.Peer().Incarnation}).Debug("link up")
	_ = conn.Send(c.beatMessage())
}

func (c *Sidecar) linkDown(conn *linker.Conn) {
	inc := conn.Peer().Incarnation
	if other := c.listener.Get(inc); other != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Detach(c.clock.Now(), inc)
}

// handle takes one message from a router.
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
		c.seal(conn, m)
	case m.Heartbeat != nil:
		c.takeBeat(conn, *m.Heartbeat)
	case m.Changes != nil:
		c.core.ApplyChanges(m.Changes.List)
		c.core.AdvanceRevision(m.Changes.Revision)
	case m.ChangesRequest != nil:
		_ = conn.Send(linker.Message{Changes: &linker.Changes{List: c.core.ChangesAfter(m.ChangesRequest.After)}})
	case m.Count != nil:
		c.wg.Go(func() { c.count(conn, m) })
	case m.Order != nil:
		c.wg.Go(func() { c.order(conn, m) })
	}
}

func (c *Sidecar) seal(conn *linker.Conn, m linker.Message) {
	report, effects := c.core.Seal(c.clock.Now(), m.Seal.Incarnation)
	c.apply(effects)
	c.metrics.Add(metricSealed, 1)
	_ = conn.Reply(m, linker.Message{Sealed: &report})
}

func (c *Sidecar) takeBeat(conn *linker.Conn, b linker.Heartbeat) {
	c.apply(c.core.VerifyAhead(c.clock.Now(), conn.Peer().Incarnation))
	if b.GrantsUpTo > 0 {
		c.core.DropClosedGrants(conn.Peer().Incarnation, b.OpenGrants, b.GrantsUpTo)
	}
	now := c.clock.Now()
	if b.Revision > c.core.Revision() && now.Sub(c.wanted) > wantPause {
		c.wanted = now
		_ = conn.Send(linker.Message{ChangesRequest: &linker.ChangesRequest{After: c.core.Revision()}})
	}
}

// verify reads what the table says of an incarnation.
func (c *Sidecar) verify(inc masticway.Incarnation) {
	standing := sealer.StatusUnknown
	links, version, err := c.book.Links(c.ctx, inc)
	switch {
	case err != nil:
		c.log.WithFields(logrus.Fields{"event": "verify_failed", "incarnation": inc, "error": err}).Warn("cannot verify")
	case version == 0 || links.State == bookkeeper.LinksSealed:
		standing = sealer.StatusSealed
	case !links.Has(c.self):
		standing = sealer.StatusUnlinked
	default:
		standing = sealer.StatusOpen
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.core.ApplyVerification(c.clock.Now(), inc, standing))
}

func (c *Sidecar) count(conn *linker.Conn, m linker.Message) {
	tokens, err := c.upstream.Count(c.ctx, m.Count.Prompt)
	if err != nil {
		tokens = -1
	}
	_ = conn.Reply(m, linker.Message{CountReply: &linker.CountReply{Tokens: tokens}})
}
