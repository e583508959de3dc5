package router

import (
	"context"
	"slices"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
)

// reachMissing asks a peer to record the sidecars that its money may be used at and that it is not known to have.
func (p *peers) reachMissing(c *linker.Conn) bool {
	missing := []masticway.Incarnation{}
	for _, s := range p.router.upstreams.linked() {
		if sidecar := s.Peer().Incarnation; !p.covers(c.Peer().Incarnation, sidecar) {
			missing = append(missing, sidecar)
		}
	}
	return p.askReach(c, missing)
}

// reachAll brings all peers up to date; it is repeated, so that a sidecar that came meanwhile is not missed.
func (p *peers) reachAll() {
	sidecars := p.router.upstreams.linked()
	for _, c := range p.lacking(sidecars) {
		p.router.wg.Go(func() { p.reachMissing(c) })
	}
}

// lacking lists the peers that are not known to have recorded every one of the sidecars.
func (p *peers) lacking(sidecars []*linker.Conn) []*linker.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lacking []*linker.Conn
	for inc, c := range p.conns {
		reached := p.reached[inc]
		if slices.ContainsFunc(sidecars, func(s *linker.Conn) bool { return !reached[s.Peer().Incarnation] }) {
			lacking = append(lacking, c)
		}
	}
	return lacking
}

func (p *peers) askReach(c *linker.Conn, sidecars []masticway.Incarnation) bool {
	ctx, cancel := context.WithTimeout(p.router.ctx, reachTimeout)
	defer cancel()
	if _, err := c.Ask(ctx, linker.Message{Reach: &linker.Reach{Sidecars: sidecars}}); err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	set, ok := p.reached[c.Peer().Incarnation]
	if !ok {
		set = map[masticway.Incarnation]bool{}
		p.reached[c.Peer().Incarnation] = set
	}
	for _, s := range sidecars {
		set[s] = true
	}
	return true
}

// covers tells whether a payer's durable set is known to hold a sidecar.
func (p *peers) covers(payer, sidecar masticway.Incarnation) bool {
	if payer == p.router.self {
		return p.router.bank.linked(sidecar)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reached[payer][sidecar]
}

func (p *peers) answerReach(c *linker.Conn, m linker.Message) {
	ctx, cancel := c.Bind(p.router.ctx)
	defer cancel()
	if p.router.bank.link(ctx, m.Reach.Sidecars...) {
		p.recorded(ctx, c)
		_ = c.Answer(m, linker.Message{Reached: &linker.Reached{}})
	}
}

// recorded notes that this router may be counted among the keepers at the other end of a link.
func (p *peers) recorded(ctx context.Context, c *linker.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, again := p.counted[c]; !again && ctx.Err() == nil {
		p.counted[c] = false
	}
}
