package router

import (
	"context"
	"slices"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
)

// registerMissing asks a peer to register all sidecars to which this router is linked, except those that the peer is known to
// have registered. To register a sidecar is to add it to the peer's links row; only then may the peer's money be used at it.
// registerMissing returns true if the peer has done so.
func (p *peers) registerMissing(c *linker.Conn) bool {
	missing := []masticway.Incarnation{}
	for _, s := range p.router.upstreams.allConns() {
		if sidecar := s.Peer().Incarnation; !p.hasRegistered(c.Peer().Incarnation, sidecar) {
			missing = append(missing, sidecar)
		}
	}
	return p.requestRegistration(c, missing)
}

// registerAll asks all peers in the background to register the sidecars that they lack. It is called in every round of
// heartbeats, so that sidecars linked since the last round are included.
func (p *peers) registerAll() {
	sidecars := p.router.upstreams.allConns()
	for _, c := range p.unregisteredPeers(sidecars) {
		p.router.wg.Go(func() { p.registerMissing(c) })
	}
}

// unregisteredPeers returns the links to the peers that are not known to have registered all of the given sidecars.
func (p *peers) unregisteredPeers(sidecars []*linker.Conn) []*linker.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unregistered []*linker.Conn
	for inc, c := range p.conns {
		registered := p.registered[inc]
		if slices.ContainsFunc(sidecars, func(s *linker.Conn) bool { return !registered[s.Peer().Incarnation] }) {
			unregistered = append(unregistered, c)
		}
	}
	return unregistered
}

// requestRegistration asks a peer to register sidecars. If the peer replies that it has done so, it records this and returns
// true.
func (p *peers) requestRegistration(c *linker.Conn, sidecars []masticway.Incarnation) bool {
	ctx, cancel := context.WithTimeout(p.router.ctx, registerTimeout)
	defer cancel()
	if _, err := c.Call(ctx, linker.Message{RecordSidecars: &linker.RecordSidecars{Sidecars: sidecars}}); err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	set, ok := p.registered[c.Peer().Incarnation]
	if !ok {
		set = map[masticway.Incarnation]bool{}
		p.registered[c.Peer().Incarnation] = set
	}
	for _, s := range sidecars {
		set[s] = true
	}
	return true
}

// hasRegistered reports whether a payer's links row is known to contain a sidecar.
func (p *peers) hasRegistered(payer, sidecar masticway.Incarnation) bool {
	if payer == p.router.self {
		return p.router.budgets.isRegistered(sidecar)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registered[payer][sidecar]
}

// answerRegistration registers the sidecars that a peer asks for, and replies when this is done. It does not reply if the link
// breaks first.
func (p *peers) answerRegistration(c *linker.Conn, m linker.Message) {
	ctx, cancel := c.Bind(p.router.ctx)
	defer cancel()
	if p.router.budgets.register(ctx, m.RecordSidecars.Sidecars...) {
		p.addInbound(ctx, c)
		_ = c.Reply(m, linker.Message{SidecarsRecorded: &linker.SidecarsRecorded{}})
	}
}

// addInbound records that this router has registered the sidecars that the peer at the other end of a link asked for. ctx must
// end with the link; then addInbound does nothing.
func (p *peers) addInbound(ctx context.Context, c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.inbound[c]; !known && ctx.Err() == nil {
		p.inbound[c] = false
	}
}
