package router

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/limiter"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/sealer"
	"github.com/masticway/masticway/tracker"
)

// callTimeout limits one query of a run, one report of a settlement and one count of a prompt's tokens. It is also the minimum
// timeout of findRun.
const callTimeout = 500 * time.Millisecond

// upstreams keeps the links to sidecars and assigns the slots of their upstreams to requests. The tracker decides which upstreams
// are usable, the chooser selects one, and the queue orders the waiting requests.
type upstreams struct {
	router *Router
	feeds  *feeds

	mu      sync.Mutex
	tracker *tracker.Tracker
	chooser *chooser.Chooser
	queue   *limiter.Queue
	// These maps are by instance. conns holds the link to each sidecar, cancels the function that ends its dialing, and addresses
	// the address that is dialed.
	conns     map[string]*linker.Conn
	cancels   map[string]context.CancelFunc
	addresses map[string]string
	// waiting holds the requests in the queue, by the IDs of their entries.
	waiting map[string]*slotRequest
}

func newUpstreams(r *Router) *upstreams {
	s := r.settings
	return &upstreams{
		router:  r,
		feeds:   newFeeds(),
		tracker: tracker.New(tracker.Settings{SilenceTimeout: s.SuspectAfter.Std()}),
		chooser: chooser.New(s.Routing.Policy),
		queue: limiter.NewQueue(limiter.QueueSettings{
			MaxPerClass: s.Queue.PerClass, MaxPerWorkspace: s.Queue.PerWorkspace, InteractiveBurst: s.Queue.InteractiveBurst,
		}),
		conns:     map[string]*linker.Conn{},
		cancels:   map[string]context.CancelFunc{},
		addresses: map[string]string{},
		waiting:   map[string]*slotRequest{},
	}
}

// updateInstances applies a reading of the instance list. It links to the sidecars of the region that are in this router's
// subset, and drops the links that are no longer needed.
func (u *upstreams) updateInstances(instances []masticway.Instance) {
	settings := u.router.settings
	regional := slices.DeleteFunc(slices.Clone(instances), func(i masticway.Instance) bool { return i.Region != settings.Region })
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tracker.UpdateInstances(regional)
	wanted := tracker.Subset(regional, settings.Instance, settings.Zone, settings.LinksPerPool)
	for id, i := range wanted {
		if _, linked := u.cancels[id]; !linked {
			u.dial(i)
			continue
		}
		u.redialIfMoved(i)
	}
	for _, t := range u.tracker.All() {
		u.dropUnneeded(t, wanted)
	}
}

// dropUnneeded closes the link to a sidecar that has ended, and marks the sidecar as gone. It also closes the link if the sidecar
// is no longer wanted, has no requests of this router in flight and is not draining. The caller must hold the lock.
func (u *upstreams) dropUnneeded(t tracker.Upstream, wanted map[string]masticway.Instance) {
	id := t.Instance.ID
	ended := u.tracker.HasEnded(id)
	if ended && t.Incarnation != "" {
		u.router.budgets.markGone(t.Incarnation)
	}
	_, isWanted := wanted[id]
	own, _ := u.chooser.InFlight(id)
	// A draining sidecar keeps its link until the platform reports that it has ended.
	if stop, linked := u.cancels[id]; linked && (ended || (!isWanted && own == 0 && !t.IsLeaving())) {
		stop()
		delete(u.cancels, id)
		delete(u.addresses, id)
		u.chooser.Forget(id)
	}
}

// redialIfMoved dials an instance again if the instance list has a new address for it. The caller must hold the lock.
func (u *upstreams) redialIfMoved(i masticway.Instance) {
	if u.addresses[i.ID] != i.Address {
		u.cancels[i.ID]()
		u.dial(i)
	}
}

// dial starts to keep a link to an instance. The caller must hold the lock.
func (u *upstreams) dial(i masticway.Instance) {
	ctx, stop := context.WithCancel(u.router.ctx)
	u.cancels[i.ID] = stop
	u.addresses[i.ID] = i.Address
	d := u.router.dialer(u.handle, u.linkUp, u.linkDown)
	u.router.wg.Go(func() {
		// A sidecar reads the links row of a router that links to it, and considers the router ended if there is no row.
		select {
		case <-u.router.budgets.linksOpened:
			d.KeepConnected(ctx, i.Address)
		case <-ctx.Done():
		}
	})
}

func (u *upstreams) linkUp(c *linker.Conn) {
	instance := c.Peer().Instance
	u.mu.Lock()
	u.conns[instance] = c
	u.mu.Unlock()
	_ = c.Send(u.router.heartbeatMessage())
	u.router.wg.Go(func() { u.activate(c) })
}

// activate adds a sidecar to this router's links row, and starts to ask the peers to register it too. If the link is still up, it
// then makes the sidecar usable.
func (u *upstreams) activate(c *linker.Conn) {
	inc := c.Peer().Incarnation
	instance := c.Peer().Instance
	u.mu.Lock()
	for _, t := range u.tracker.All() {
		if t.Instance.ID == instance && t.Incarnation != "" && t.Incarnation != inc {
			// An instance runs one process at a time. Therefore the earlier process, which the tracker still knows, has ended.
			u.router.budgets.markGone(t.Incarnation)
		}
	}
	u.mu.Unlock()
	ctx, cancel := c.Bind(u.router.ctx)
	defer cancel()
	if !u.router.budgets.register(ctx, inc) {
		return
	}
	// This heartbeat makes the sidecar verify, before any work is sent, that this router's links row contains it.
	_ = c.Send(u.router.heartbeatMessage())
	u.router.peers.registerAll()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns[instance] != c {
		return
	}
	u.tracker.LinkUp(u.router.clock.Now(), instance, inc)
	u.serveWaiting()
}

func (u *upstreams) linkDown(c *linker.Conn) {
	instance := c.Peer().Instance
	u.mu.Lock()
	if u.conns[instance] == c {
		delete(u.conns, instance)
		u.tracker.LinkDown(u.router.clock.Now(), instance)
	}
	u.mu.Unlock()
	u.feeds.linkDown(instance)
}

// conn returns the link to an instance, or nil.
func (u *upstreams) conn(instance string) *linker.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns[instance]
}

// allConns returns all links to sidecars.
func (u *upstreams) allConns() []*linker.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.AppendSeq(make([]*linker.Conn, 0, len(u.conns)), maps.Values(u.conns))
}

// handle processes one message from a sidecar.
func (u *upstreams) handle(c *linker.Conn, m linker.Message) {
	sidecar := c.Peer().Incarnation
	u.mu.Lock()
	u.tracker.ObserveMessage(u.router.clock.Now(), c.Peer().Instance)
	u.mu.Unlock()
	switch {
	case m.Frame != nil:
		u.feeds.deliver(m.Frame.Run, sidecar, runEvent{chunk: &m.Frame.Chunk})
	case m.Accepted != nil:
		u.feeds.deliver(m.Accepted.Run, sidecar, runEvent{accepted: true})
	case m.Refused != nil:
		u.feeds.deliver(m.Refused.Run, sidecar, runEvent{refused: m.Refused})
	case m.Counted != nil:
		u.feeds.deliver(m.Counted.Run, sidecar, runEvent{counted: m.Counted})
	case m.Final != nil:
		u.feeds.deliver(m.Final.Run, sidecar, runEvent{final: m.Final})
	case m.Status != nil:
		u.feeds.deliver(m.Status.Run, sidecar, runEvent{missing: true})
	case m.Changes != nil:
		u.router.applyChanges(m.Changes.List)
	case m.ChangesRequest != nil:
		u.router.sendChanges(c, m.ChangesRequest.After)
	case m.Heartbeat != nil:
		u.handleHeartbeat(c, *m.Heartbeat)
	}
}

func (u *upstreams) handleHeartbeat(c *linker.Conn, b linker.Heartbeat) {
	instance := c.Peer().Instance
	u.mu.Lock()
	if b.Draining {
		u.tracker.MarkLeaving(instance)
	}
	if b.Load != nil {
		u.chooser.RecordReport(u.router.clock.Now(), instance, *b.Load)
	}
	u.serveWaiting()
	u.mu.Unlock()
	u.router.requestChanges(c, b.Revision)
}

// usable returns the upstreams of a pool that may get new requests. The caller must hold the lock.
func (u *upstreams) usable(pool string) []tracker.Upstream {
	var usable []tracker.Upstream
	for _, t := range u.tracker.Usable(u.router.clock.Now()) {
		for _, p := range tracker.Pools(t.Instance) {
			if p == pool {
				usable = append(usable, t)
			}
		}
	}
	return usable
}

func (u *upstreams) markDraining(instance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tracker.MarkLeaving(instance)
}

// isGone reports whether a sidecar's process is known to have ended.
func (u *upstreams) isGone(instance string, sidecar masticway.Incarnation) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tracker.HasEnded(instance) {
		return true
	}
	c, ok := u.conns[instance]
	return ok && c.Peer().Incarnation != sidecar
}

// tick marks silent upstreams, ends the waits for slots that have timed out, and grants free slots to waiting requests.
func (u *upstreams) tick() {
	now := u.router.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tracker.Tick(now)
	for _, e := range u.queue.Expire(now) {
		if w, ok := u.waiting[e.ID]; ok {
			delete(u.waiting, e.ID)
			close(w.granted)
		}
	}
	u.serveWaiting()
}

// findRun asks all linked sidecars for a run of an identity. It returns the run with the highest attempt number and the link to
// its sidecar. conn is nil if no run was found. complete is set if all sidecars answered.
//
// Its timeout is two thirds of SuspectAfter, or callTimeout if that is longer, because a slow sidecar may have the run. The
// timeout is no longer than this, because the request may next be dispatched to a sidecar that is cut off. The caller then also
// has to wait until the fate of that attempt counts as unknown.
func (u *upstreams) findRun(ctx context.Context, identity masticway.Identity) (status sealer.RunStatus, conn *linker.Conn, complete bool) {
	conns := u.allConns()
	type finding struct {
		status sealer.RunStatus
		conn   *linker.Conn
	}
	found := make(chan finding, len(conns))
	ctx, cancel := context.WithTimeout(ctx, max(callTimeout, u.router.settings.SuspectAfter.Std()*2/3))
	defer cancel()
	for _, c := range conns {
		go func() {
			a, err := c.Call(ctx, linker.Message{Find: &sealer.Find{Identity: identity}})
			if err != nil || a.Status == nil {
				found <- finding{}
				return
			}
			found <- finding{status: *a.Status, conn: c}
		}()
	}
	var best finding
	complete = true
	for range conns {
		f := <-found
		complete = complete && f.conn != nil
		if f.status.Found && (best.conn == nil || f.status.Run.Attempt > best.status.Run.Attempt) {
			best = f
		}
	}
	return best.status, best.conn, complete
}

// countTokens asks the usable upstreams of a pool in turn for a prompt's token count. It returns -1 if none has answered when
// callTimeout has passed.
func (u *upstreams) countTokens(ctx context.Context, pool string, prompt []byte) int {
	u.mu.Lock()
	usable := u.usable(pool)
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, t := range usable {
		c := u.conn(t.Instance.ID)
		if c == nil {
			continue
		}
		a, err := c.Call(ctx, linker.Message{Count: &linker.Count{Prompt: prompt}})
		if err == nil && a.CountReply != nil && a.CountReply.Tokens >= 0 {
			return a.CountReply.Tokens
		}
	}
	return -1
}

// HasUpstreams reports whether at least n sidecars are usable, and all usable sidecars are known to be in the links rows of all
// linked routers. Then the money of any of these routers may be used at them. HasUpstreams returns false until this router and
// the others of the region have each other among their keepers.
func (r *Router) HasUpstreams(n int) bool {
	u := r.upstreams
	u.mu.Lock()
	usable := u.tracker.Usable(r.clock.Now())
	u.mu.Unlock()
	if len(usable) < n || !r.peers.isReady() {
		return false
	}
	for _, c := range r.peers.allConns() {
		for _, t := range usable {
			if !r.peers.hasRegistered(c.Peer().Incarnation, t.Incarnation) {
				return false
			}
		}
	}
	return true
}
