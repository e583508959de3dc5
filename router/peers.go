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
	// reachTimeout bounds one request to a peer to record a sidecar.
	reachTimeout = 5 * time.Second
	// configPause is how long a peer that was asked for its configuration may say nothing large; the whole is not bounded,
	// because the next peer would send the same bytes over the same link.
	configPause = 5 * time.Second
)

// peers is the set of other routers: who keeps which budget, and the links to them.
type peers struct {
	router   *Router
	listener *linker.Listener

	mu      sync.Mutex
	conns   map[masticway.Incarnation]*linker.Conn
	stops   map[string]context.CancelFunc
	reached map[masticway.Incarnation]map[masticway.Incarnation]bool
	leaving map[masticway.Incarnation]bool
	// listed tells that the instance list has been read.
	listed bool
	// counted are the links that peers dialed and on which this router has recorded their sidecars; true ones have
	// brought a heartbeat since, which a peer sends once it counts this router among the keepers.
	counted map[*linker.Conn]bool
	// heard is when each peer last said something, and silent those that have not for too long.
	heard  map[masticway.Incarnation]time.Time
	silent map[masticway.Incarnation]bool
	// ring places budgets at the routers that are alive; it is made anew when they change.
	ring *rendezvous.Rendezvous
	// unsettled are settlements that their keeper has not acknowledged.
	unsettled map[masticway.HoldID]pendingSettle
}

func newPeers(r *Router) *peers {
	p := &peers{
		router: r, conns: map[masticway.Incarnation]*linker.Conn{}, stops: map[string]context.CancelFunc{},
		reached:   map[masticway.Incarnation]map[masticway.Incarnation]bool{},
		leaving:   map[masticway.Incarnation]bool{},
		counted:   map[*linker.Conn]bool{},
		heard:     map[masticway.Incarnation]time.Time{},
		silent:    map[masticway.Incarnation]bool{},
		unsettled: map[masticway.HoldID]pendingSettle{},
	}
	p.listener = linker.NewListener(r.identity(), p.handle, func(*linker.Conn) {}, p.discount)
	return p
}

func (p *peers) close() { p.listener.Close() }

// list links to the live routers of the region and lets go of those that ended.
func (p *peers) list(instances []masticway.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = true
	for _, i := range instances {
		own := i.ID == p.router.settings.Instance || i.Region != p.router.settings.Region
		if i.Role != masticway.RoleRouter || own {
			continue
		}
		stop, linked := p.stops[i.ID]
		switch {
		case i.State == masticway.InstanceEnded && linked:
			stop()
			delete(p.stops, i.ID)
		case i.State != masticway.InstanceEnded && !linked:
			p.dial(i)
		}
	}
}

func (p *peers) dial(i masticway.Instance) {
	ctx, stop := context.WithCancel(p.router.ctx)
	p.stops[i.ID] = stop
	d := p.router.dialer(p.handle, p.up, p.down)
	p.router.wg.Go(func() { d.Keep(ctx, i.Address) })
}

func (p *peers) up(c *linker.Conn) {
	_ = c.Send(p.beatMessage())
	p.router.wg.Go(func() {
		if !p.reachMissing(c) {
			// Without it nothing of the peer's money could be used; the next dial asks again.
			c.Close()
			return
		}
		p.router.recovery.note(c.Peer())
		p.count(c)
		// With this beat the peer knows that it is counted.
		_ = c.Send(p.beatMessage())
	})
}

// count takes a peer among the keepers.
func (p *peers) count(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c.Peer().Incarnation] = c
	p.heard[c.Peer().Incarnation] = p.router.clock.Now()
	p.ring = nil
}

// discount forgets a link that a peer dialed.
func (p *peers) discount(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.counted, c)
}

// met tells whether this router and every listed router of its region count each other among the keepers.
func (p *peers) met() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	both := map[string]bool{}
	for c, counted := range p.counted {
		if counted && p.conns[c.Peer().Incarnation] != nil {
			both[c.Peer().Instance] = true
		}
	}
	for instance := range p.stops {
		if !both[instance] {
			return false
		}
	}
	return p.listed
}

// beatMessage is the heartbeat to a peer.
func (p *peers) beatMessage() linker.Message {
	r := p.router
	return linker.Message{Beat: &linker.Beat{Revision: r.snapshot.Load().Revision(), Leaving: r.draining.Load(), Unseen: r.unseen()}}
}

func (p *peers) down(c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.Peer().Incarnation] == c {
		delete(p.conns, c.Peer().Incarnation)
		delete(p.leaving, c.Peer().Incarnation)
		delete(p.heard, c.Peer().Incarnation)
		delete(p.silent, c.Peer().Incarnation)
		p.ring = nil
	}
}

// linked returns the links to peers that this router dialed.
func (p *peers) linked() []*linker.Conn {
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
		silent := now.Sub(p.heard[inc]) > p.router.settings.SuspectAfter.Std()
		if silent != p.silent[inc] {
			p.silent[inc] = silent
			p.ring = nil
		}
	}
}

// hears tells whether a peer is linked and not silent.
func (p *peers) hears(inc masticway.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[inc] != nil && !p.silent[inc]
}

func (p *peers) conn(inc masticway.Incarnation) *linker.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[inc]
}

// alive lists this router and the peers it can reach, in a fixed order.
func (p *peers) alive() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aliveLocked()
}

// aliveLocked is alive for callers that hold the lock.
func (p *peers) aliveLocked() []string {
	alive := []string{string(p.router.self)}
	for inc := range p.conns {
		if !p.leaving[inc] && !p.silent[inc] {
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
	if p.ring == nil {
		p.ring = rendezvous.New(p.aliveLocked(), xxhash.Sum64String)
	}
	return masticway.Incarnation(p.ring.Lookup(budget))
}

// rank returns this router's place in the order in which routers take a task; its cost grows with their number.
func (p *peers) rank(task string) int {
	weight := func(name string) uint64 { return xxhash.Sum64String(task + "/" + name) }
	own := weight(string(p.router.self))
	n := 0
	for _, name := range p.alive() {
		if weight(name) > own {
			n++
		}
	}
	return n
}

// config asks peers for their configuration; a draining or starting peer has none to give.
func (p *peers) config(ctx context.Context) (configurer.Full, bool) {
	for _, c := range p.linked() {
		if full, ok := p.askConfig(ctx, c); ok {
			return full, true
		}
	}
	return configurer.Full{}, false
}

func (p *peers) askConfig(ctx context.Context, c *linker.Conn) (configurer.Full, bool) {
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	p.router.wg.Go(func() { p.keepUp(asking, c) })
	a, err := c.AskLarge(asking, linker.Message{WantConfig: &linker.WantConfig{}}, configPause)
	if err != nil || a.Config == nil || a.Config.Revision == 0 {
		return configurer.Full{}, false
	}
	return *a.Config, true
}

// keepUp sends heartbeats to one peer, which ends a silent link; the usual ones begin once there is a configuration.
func (p *peers) keepUp(ctx context.Context, c *linker.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.router.clock.After(p.router.settings.HeartbeatInterval.Std()):
			_ = c.Send(p.beatMessage())
		}
	}
}

// handle takes one message from another router, on links of either direction.
func (p *peers) handle(c *linker.Conn, m linker.Message) {
	r := p.router
	p.mu.Lock()
	if p.conns[c.Peer().Incarnation] != nil {
		p.heard[c.Peer().Incarnation] = r.clock.Now()
	}
	p.mu.Unlock()
	switch {
	case m.Hold != nil:
		p.answerHold(c, m)
	case m.Settle != nil:
		r.bank.settle(*m.Settle)
		_ = c.Answer(m, linker.Message{Settled: &linker.Settled{}})
	case m.Resize != nil:
		r.bank.resize(m.Resize.Hold, m.Resize.Amount)
	case m.GiveBack != nil:
		r.bank.giveBack(m.GiveBack.Budget)
		if m.Call != 0 {
			_ = c.Answer(m, linker.Message{Settled: &linker.Settled{}})
		}
	case m.Reach != nil:
		r.wg.Go(func() { p.answerReach(c, m) })
	case m.Changes != nil:
		r.learn(m.Changes.List)
	case m.Want != nil:
		r.passOn(c, m.Want.After)
	case m.Beat != nil:
		p.beat(c, *m.Beat)
	case m.WantConfig != nil:
		full := r.snapshot.Load().Full()
		_ = c.Answer(m, linker.Message{Config: &full})
	case m.Explain != nil:
		p.answerExplain(c, m)
	}
}

func (p *peers) beat(c *linker.Conn, b linker.Beat) {
	p.mu.Lock()
	if _, recorded := p.counted[c]; recorded {
		p.counted[c] = true
	}
	if b.Leaving {
		p.leaving[c.Peer().Incarnation] = true
		p.ring = nil
	}
	p.mu.Unlock()
	if b.Revision == p.router.snapshot.Load().Revision() {
		p.router.confirm(p.router.clock.Now().Add(-b.Unseen))
	}
	p.router.wantFrom(c, b.Revision)
}

func (p *peers) answerExplain(c *linker.Conn, m linker.Message) {
	var data []byte
	if t, ok := p.router.traces.Get(m.Explain.Request); ok {
		data, _ = json.Marshal(t)
	}
	_ = c.Answer(m, linker.Message{Explained: &linker.Explained{Trace: data}})
}
