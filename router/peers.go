package router

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/linker"
)

const (
	// registerTimeout limits one request to a peer to register sidecars.
	registerTimeout = 5 * time.Second
	// configIdleTimeout is how long a peer that was asked for its configuration may send no data of it. The whole transfer has no
	// timeout: it may be slow, and a transfer from another peer would take as long.
	configIdleTimeout = 5 * time.Second
)

// peers holds the links to the other routers of the region, and determines the keeper of each budget. The keeper of a budget
// draws and holds its money for all routers of the region. The routers that can be chosen are called the keepers. They are this
// router and all peers in conns except those that are draining or silent.
type peers struct {
	router   *Router
	listener *linker.Listener

	mu sync.Mutex
	// conns holds the links that this router dialed and whose peers have registered its sidecars. cancels holds, by instance, the
	// functions that stop the dialing of each listed router.
	conns   map[masticway.Incarnation]*linker.Conn
	cancels map[string]context.CancelFunc
	// registered holds the sidecars that each peer is known to have in its links row.
	registered map[masticway.Incarnation]map[masticway.Incarnation]bool
	// draining holds the peers whose heartbeats have reported that they are draining.
	draining map[masticway.Incarnation]bool
	// instancesRead is set once the instance list has been read.
	instancesRead bool
	// inbound holds the links that peers dialed and for which this router has registered the peer's sidecars. The value is true
	// if a heartbeat has arrived since the registration. A peer sends one after it has added this router to its keepers.
	inbound map[*linker.Conn]bool
	// lastMessageAt is when the last message of each peer arrived. silent marks the peers whose last message arrived more than
	// SuspectAfter ago.
	lastMessageAt map[masticway.Incarnation]time.Time
	silent        map[masticway.Incarnation]bool
	// placement assigns budgets to the keepers. It is nil from a change of the keepers until the next lookup.
	placement *rendezvous.Rendezvous
	// unsettled holds the settlements that their payer has not acknowledged.
	unsettled map[masticway.HoldID]pendingSettlement
}

func newPeers(r *Router) *peers {
	p := &peers{
		router: r, conns: map[masticway.Incarnation]*linker.Conn{}, cancels: map[string]context.CancelFunc{},
		registered:    map[masticway.Incarnation]map[masticway.Incarnation]bool{},
		draining:      map[masticway.Incarnation]bool{},
		inbound:       map[*linker.Conn]bool{},
		lastMessageAt: map[masticway.Incarnation]time.Time{},
		silent:        map[masticway.Incarnation]bool{},
		unsettled:     map[masticway.HoldID]pendingSettlement{},
	}
	p.listener = linker.NewListener(r.identity(), p.handle, func(*linker.Conn) {}, p.removeInbound)
	return p
}

func (p *peers) close() { p.listener.Close() }

// updateInstances applies a reading of the instance list. It links to the other routers of the region that have not ended, and
// drops the links to those that have.
func (p *peers) updateInstances(instances []masticway.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instancesRead = true
	for _, i := range instances {
		excluded := i.ID == p.router.settings.Instance || i.Region != p.router.settings.Region
		if i.Role != masticway.RoleRouter || excluded {
			continue
		}
		stop, linked := p.cancels[i.ID]
		switch {
		case i.State == masticway.InstanceEnded && linked:
			stop()
			delete(p.cancels, i.ID)
		case i.State != masticway.InstanceEnded && !linked:
			p.dial(i)
		}
	}
}

// dial starts to keep a link to an instance. The caller must hold the lock.
func (p *peers) dial(i masticway.Instance) {
	ctx, stop := context.WithCancel(p.router.ctx)
	p.cancels[i.ID] = stop
	d := p.router.dialer(p.handle, p.linkUp, p.linkDown)
	p.router.wg.Go(func() { d.KeepConnected(ctx, i.Address) })
}

func (p *peers) linkUp(c *linker.Conn) {
	_ = c.Send(p.heartbeatMessage())
	p.router.wg.Go(func() {
		if !p.registerMissing(c) {
			// The peer's money can only be used at sidecars that the peer has registered. After Close, the link is dialed again
			// and the peer is asked again.
			c.Close()
			return
		}
		p.router.recovery.watchPeer(c.Peer())
		p.addKeeper(c)
		// A heartbeat after the registration tells the peer that this router now counts it among the keepers (see inbound).
		_ = c.Send(p.heartbeatMessage())
	})
}

// addKeeper adds a peer to the keepers, until its link is down, it is draining or it is silent.
func (p *peers) addKeeper(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c.Peer().Incarnation] = c
	p.lastMessageAt[c.Peer().Incarnation] = p.router.clock.Now()
	p.placement = nil
}

// removeInbound forgets a link that a peer dialed. It is called when the link is down.
func (p *peers) removeInbound(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, c)
}

// isReady reports whether this router and every listed router of its region have each other among their keepers. It returns false
// until the instance list has been read.
func (p *peers) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mutual := map[string]bool{}
	for c, acknowledged := range p.inbound {
		if acknowledged && p.conns[c.Peer().Incarnation] != nil {
			mutual[c.Peer().Instance] = true
		}
	}
	for instance := range p.cancels {
		if !mutual[instance] {
			return false
		}
	}
	return p.instancesRead
}

// heartbeatMessage returns this router's current heartbeat for its peers.
func (p *peers) heartbeatMessage() linker.Message {
	r := p.router
	return linker.Message{Heartbeat: &linker.Heartbeat{Revision: r.snapshot.Load().Revision(), Draining: r.draining.Load(), Staleness: r.configAge()}}
}

func (p *peers) linkDown(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.Peer().Incarnation] == c {
		delete(p.conns, c.Peer().Incarnation)
		delete(p.draining, c.Peer().Incarnation)
		delete(p.lastMessageAt, c.Peer().Incarnation)
		delete(p.silent, c.Peer().Incarnation)
		p.placement = nil
	}
}

// allConns returns the links in conns.
func (p *peers) allConns() []*linker.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.AppendSeq(make([]*linker.Conn, 0, len(p.conns)), maps.Values(p.conns))
}

// tick marks the peers that are silent. Until a message of a silent peer arrives, other routers are the keepers of its budgets.
func (p *peers) tick() {
	now := p.router.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for inc := range p.conns {
		silent := now.Sub(p.lastMessageAt[inc]) > p.router.settings.SuspectAfter.Std()
		if silent != p.silent[inc] {
			p.silent[inc] = silent
			p.placement = nil
		}
	}
}

// isResponsive reports whether a peer is linked and not silent.
func (p *peers) isResponsive(inc masticway.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[inc] != nil && !p.silent[inc]
}

func (p *peers) conn(inc masticway.Incarnation) *linker.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[inc]
}

// keeperNames returns the sorted incarnations of the keepers. See peers for which routers these are.
func (p *peers) keeperNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeperNamesLocked()
}

// keeperNamesLocked is keeperNames for callers that hold the lock.
func (p *peers) keeperNamesLocked() []string {
	names := []string{string(p.router.self)}
	for inc := range p.conns {
		if !p.draining[inc] && !p.silent[inc] {
			names = append(names, string(inc))
		}
	}
	slices.Sort(names)
	return names
}

// keeperFor returns the router of the region that is the keeper of a budget, by rendezvous hashing. Without the setting Keepers,
// each router is the keeper of all budgets for itself. The name "audit" is not a budget: its keeper is the router that audits
// bills.
func (p *peers) keeperFor(budget string) masticway.Incarnation {
	if !p.router.settings.Money.Keepers && budget != "audit" {
		return p.router.self
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placement == nil {
		p.placement = rendezvous.New(p.keeperNamesLocked(), xxhash.Sum64String)
	}
	return masticway.Incarnation(p.placement.Lookup(budget))
}

// rank returns this router's position, from zero, among the keepers in the order of their rendezvous weights for a task. Its
// running time grows with the number of keepers.
func (p *peers) rank(task string) int {
	weight := func(name string) uint64 { return xxhash.Sum64String(task + "/" + name) }
	own := weight(string(p.router.self))
	n := 0
	for _, name := range p.keeperNames() {
		if weight(name) > own {
			n++
		}
	}
	return n
}

// fetchConfig asks the linked peers in turn for the whole configuration, until one sends it. It returns false if none does, for
// example because all are starting.
func (p *peers) fetchConfig(ctx context.Context) (configurer.Configuration, bool) {
	for _, c := range p.allConns() {
		if full, ok := p.requestConfig(ctx, c); ok {
			return full, true
		}
	}
	return configurer.Configuration{}, false
}

func (p *peers) requestConfig(ctx context.Context, c *linker.Conn) (configurer.Configuration, bool) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.router.wg.Go(func() { p.keepAlive(callCtx, c) })
	a, err := c.CallLarge(callCtx, linker.Message{ConfigRequest: &linker.ConfigRequest{}}, configIdleTimeout)
	if err != nil || a.Config == nil || a.Config.Revision == 0 {
		return configurer.Configuration{}, false
	}
	return *a.Config, true
}

// keepAlive sends heartbeats to one peer until ctx ends, because the peer closes a silent link. It is needed while a router
// starts, because the regular heartbeats begin only after the configuration is loaded.
func (p *peers) keepAlive(ctx context.Context, c *linker.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.router.clock.After(p.router.settings.HeartbeatInterval.Std()):
			_ = c.Send(p.heartbeatMessage())
		}
	}
}

// handle processes one message from another router, on links that either side dialed.
func (p *peers) handle(c *linker.Conn, m linker.Message) {
	r := p.router
	p.mu.Lock()
	if p.conns[c.Peer().Incarnation] != nil {
		p.lastMessageAt[c.Peer().Incarnation] = r.clock.Now()
	}
	p.mu.Unlock()
	switch {
	case m.Hold != nil:
		p.answerHold(c, m)
	case m.Settle != nil:
		r.budgets.settle(*m.Settle)
		_ = c.Reply(m, linker.Message{Settled: &linker.Settled{}})
	case m.Resize != nil:
		r.budgets.resize(m.Resize.Hold, m.Resize.Amount)
	case m.ReturnFree != nil:
		r.budgets.returnFree(m.ReturnFree.Budget)
		if m.CallID != 0 {
			_ = c.Reply(m, linker.Message{Settled: &linker.Settled{}})
		}
	case m.RecordSidecars != nil:
		r.wg.Go(func() { p.answerRegistration(c, m) })
	case m.Changes != nil:
		r.applyChanges(m.Changes.List)
	case m.ChangesRequest != nil:
		r.sendChanges(c, m.ChangesRequest.After)
	case m.Heartbeat != nil:
		p.handleHeartbeat(c, *m.Heartbeat)
	case m.ConfigRequest != nil:
		full := r.snapshot.Load().Configuration()
		_ = c.Reply(m, linker.Message{Config: &full})
	case m.Explain != nil:
		p.answerExplain(c, m)
	}
}

func (p *peers) handleHeartbeat(c *linker.Conn, b linker.Heartbeat) {
	p.mu.Lock()
	if _, known := p.inbound[c]; known {
		p.inbound[c] = true
	}
	if b.Draining {
		p.draining[c.Peer().Incarnation] = true
		p.placement = nil
	}
	p.mu.Unlock()
	if b.Revision == p.router.snapshot.Load().Revision() {
		p.router.confirm(p.router.clock.Now().Add(-b.Staleness))
	}
	p.router.requestChanges(c, b.Revision)
}

func (p *peers) answerExplain(c *linker.Conn, m linker.Message) {
	var data []byte
	if t, ok := p.router.traces.Get(m.Explain.Request); ok {
		data, _ = json.Marshal(t)
	}
	_ = c.Reply(m, linker.Message{Explained: &linker.Explained{Trace: data}})
}
