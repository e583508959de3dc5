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
	// registerTimeout bounds one request to a peer to record a sidecar.
	registerTimeout = 5 * time.Second
	// configIdleTimeout is how long a peer that was asked for its configuration may say nothing large; the whole is not bounded,
	// because the next peer would send the same bytes over the same link.
	configIdleTimeout = 5 * time.Second
)

// peers is the set of other routers: who keeps which budget, and the links to them.
type peers struct {
	router   *Router
	listener *linker.Listener

	mu         sync.Mutex
	conns      map[masticway.Incarnation]*linker.Conn
	cancels    map[string]context.CancelFunc
	registered map[masticway.Incarnation]map[masticway.Incarnation]bool
	draining   map[masticway.Incarnation]bool
	// instancesRead tells that the instance list has been read.
	instancesRead bool
	// inbound are the links that peers dialed and on which this router has recorded their sidecars; true ones have
	// brought a heartbeat since, which a peer sends once it counts this router among the keepers.
	inbound map[*linker.Conn]bool
	// lastMessageAt is when each peer last said something, and silent those that have not for too long.
	lastMessageAt map[masticway.Incarnation]time.Time
	silent        map[masticway.Incarnation]bool
	// placement places budgets at the routers that are alive; it is made anew when they change.
	placement *rendezvous.Rendezvous
	// unsettled are settlements that their keeper has not acknowledged.
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

// updateInstances links to the live routers of the region and lets go of those that ended.
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

func (p *peers) dial(i masticway.Instance) {
	ctx, stop := context.WithCancel(p.router.ctx)
	p.cancels[i.ID] = stop
	d := p.router.dialer(p.handle, p.linkUp, p.linkDown)
	p.router.wg.Go(func() { d.Keep(ctx, i.Address) })
}

func (p *peers) linkUp(c *linker.Conn) {
	_ = c.Send(p.heartbeatMessage())
	p.router.wg.Go(func() {
		if !p.registerMissing(c) {
			// Without it nothing of the peer's money could be used; the next dial asks again.
			c.Close()
			return
		}
		p.router.recovery.watchPeer(c.Peer())
		p.addKeeper(c)
		// With this beat the peer knows that it is counted.
		_ = c.Send(p.heartbeatMessage())
	})
}

// addKeeper takes a peer among the keepers.
func (p *peers) addKeeper(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c.Peer().Incarnation] = c
	p.lastMessageAt[c.Peer().Incarnation] = p.router.clock.Now()
	p.placement = nil
}

// removeInbound forgets a link that a peer dialed.
func (p *peers) removeInbound(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, c)
}

// isReady tells whether this router and every listed router of its region count each other among the keepers.
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

// heartbeatMessage is the heartbeat to a peer.
func (p *peers) heartbeatMessage() linker.Message {
	r := p.router
	return linker.Message{Beat: &linker.Beat{Revision: r.snapshot.Load().Revision(), Leaving: r.draining.Load(), Unseen: r.configAge()}}
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

// allConns returns the links to peers that this router dialed.
func (p *peers) allConns() []*linker.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.AppendSeq(make([]*linker.Conn, 0, len(p.conns)), maps.Values(p.conns))
}

// tick marks the peers that have been silent, whose budgets others keep until they speak again.
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

// isResponsive tells whether a peer is linked and not silent.
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

// liveNames lists this router and the peers it can reach, in a fixed order.
func (p *peers) liveNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveNamesLocked()
}

// liveNamesLocked is alive for callers that hold the lock.
func (p *peers) liveNamesLocked() []string {
	alive := []string{string(p.router.self)}
	for inc := range p.conns {
		if !p.draining[inc] && !p.silent[inc] {
			alive = append(alive, string(inc))
		}
	}
	slices.Sort(alive)
	return alive
}

// keeperFor chooses the router of the region that keeps a budget, by rendezvous hash.
func (p *peers) keeperFor(budget string) masticway.Incarnation {
	if !p.router.settings.Money.Keepers && budget != "audit" {
		return p.router.self
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placement == nil {
		p.placement = rendezvous.New(p.liveNamesLocked(), xxhash.Sum64String)
	}
	return masticway.Incarnation(p.placement.Lookup(budget))
}

// rank returns this router's place in the order in which routers take a task; its cost grows with their number.
func (p *peers) rank(task string) int {
	weight := func(name string) uint64 { return xxhash.Sum64String(task + "/" + name) }
	own := weight(string(p.router.self))
	n := 0
	for _, name := range p.liveNames() {
		if weight(name) > own {
			n++
		}
	}
	return n
}

// fetchConfig asks peers for their configuration; a draining or starting peer has none to give.
func (p *peers) fetchConfig(ctx context.Context) (configurer.Full, bool) {
	for _, c := range p.allConns() {
		if full, ok := p.requestConfig(ctx, c); ok {
			return full, true
		}
	}
	return configurer.Full{}, false
}

func (p *peers) requestConfig(ctx context.Context, c *linker.Conn) (configurer.Full, bool) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.router.wg.Go(func() { p.keepAlive(callCtx, c) })
	a, err := c.AskLarge(callCtx, linker.Message{WantConfig: &linker.WantConfig{}}, configIdleTimeout)
	if err != nil || a.Config == nil || a.Config.Revision == 0 {
		return configurer.Full{}, false
	}
	return *a.Config, true
}

// keepAlive sends heartbeats to one peer, which ends a silent link; the usual ones begin once there is a configuration.
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

// handle takes one message from another router, on links of either direction.
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
		_ = c.Answer(m, linker.Message{Settled: &linker.Settled{}})
	case m.Resize != nil:
		r.budgets.resize(m.Resize.Hold, m.Resize.Amount)
	case m.GiveBack != nil:
		r.budgets.returnFree(m.GiveBack.Budget)
		if m.Call != 0 {
			_ = c.Answer(m, linker.Message{Settled: &linker.Settled{}})
		}
	case m.Reach != nil:
		r.wg.Go(func() { p.answerRegistration(c, m) })
	case m.Changes != nil:
		r.applyChanges(m.Changes.List)
	case m.Want != nil:
		r.sendChanges(c, m.Want.After)
	case m.Beat != nil:
		p.handleHeartbeat(c, *m.Beat)
	case m.WantConfig != nil:
		full := r.snapshot.Load().Full()
		_ = c.Answer(m, linker.Message{Config: &full})
	case m.Explain != nil:
		p.answerExplain(c, m)
	}
}

func (p *peers) handleHeartbeat(c *linker.Conn, b linker.Beat) {
	p.mu.Lock()
	if _, recorded := p.inbound[c]; recorded {
		p.inbound[c] = true
	}
	if b.Leaving {
		p.draining[c.Peer().Incarnation] = true
		p.placement = nil
	}
	p.mu.Unlock()
	if b.Revision == p.router.snapshot.Load().Revision() {
		p.router.confirm(p.router.clock.Now().Add(-b.Unseen))
	}
	p.router.requestChanges(c, b.Revision)
}

func (p *peers) answerExplain(c *linker.Conn, m linker.Message) {
	var data []byte
	if t, ok := p.router.traces.Get(m.Explain.Request); ok {
		data, _ = json.Marshal(t)
	}
	_ = c.Answer(m, linker.Message{Explained: &linker.Explained{Trace: data}})
}
