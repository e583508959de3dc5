package soaker

import (
	"context"
	"net/http"
	"time"
)

const (
	// applyWithin and narrowApplyWithin are how long after its acceptance a configuration is in force at routers in touch:
	// as the users' deployments have it, where all links are fast and where some have 10 Mbit/s, which carry the largest
	// configuration in 0.93 s, and twice where it has changed meanwhile. applySlack is what a busy machine adds.
	applyWithin, narrowApplyWithin = 2 * time.Second, 3 * time.Second
	applySlack                     = 500 * time.Millisecond
	stable                         = 3 * time.Second                     // what was undisturbed for so long is in touch
	probePause, probeTimeout       = 100 * time.Millisecond, time.Second // between two probes of a router, and for one
)

// prober asks one router, past its link, for the path of the newest version and of the newest that is due.
type prober struct {
	*caller
	process    *process
	seen, life int64 // the newest version that the present life of the router has served
	missed     int64 // the newest version of which it was noted that the router did not know it in time
}

// probe asks until the soak ends.
func (p *prober) probe(done <-chan struct{}) {
	p.transport.DisableKeepAlives = true
	for {
		p.askFor(p.soak.newest(time.Now().Add(-p.soak.applyBound())))
		p.askFor(p.soak.newest(time.Now()))
		select {
		case <-done:
			return
		case <-time.After(probePause):
		}
	}
}

// applyBound is how long a configuration may take to be in force.
func (s *run) applyBound() time.Duration {
	if s.narrow {
		return narrowApplyWithin + applySlack
	}
	return applyWithin + applySlack
}

func (p *prober) askFor(v version) {
	if life := p.process.life.Load(); life != p.life {
		p.life, p.seen = life, 0
	}
	q := p.askForVersion(v)
	if p.process.life.Load() != p.life {
		return
	}
	if q.status == http.StatusOK {
		p.seen = max(p.seen, v.Number)
	}
	if q.status == http.StatusNotFound && p.seen >= v.Number {
		p.soak.violate(promiseNoReturn, "router-%d served version %d, and does not know version %d now", q.router, p.seen, v.Number)
	}
	age := q.sentAt.Sub(v.ack)
	if q.status != http.StatusNotFound || age <= p.soak.applyBound() || v.Number <= p.missed {
		return
	}
	// A version is due only where router and store were in touch all the while; that they starved is seen after the next look.
	time.Sleep(2 * starvedPause)
	if age <= p.soak.applyBound()+p.soak.heldSince(q.router, v.ack) {
		return
	}
	if p.soak.calm(q.sentAt.Add(-stable), q.endedAt, inTouch(q.router)...) {
		p.soak.violate(promiseInForce, "router-%d does not know version %d %s after it was accepted (newest seen %d)", q.router, v.Number, age, p.seen)
		p.missed = v.Number
	}
}

// askForVersion asks for the path of a version; it sends nothing where there is none.
func (c *caller) askForVersion(v version) *request {
	q := &request{limit: probeTimeout, patience: probeTimeout + answerSlack, route: route{pool: "plain", repeatable: true}}
	if v.Number > 0 {
		c.send(q, versionPath(v.Number))
	}
	return q
}

// awaitVersion asks until a router knows a version's path. Nothing excuses a router that does not know it by then, so that one
// which never takes a configuration is noticed on a machine, too, that holds routers up again and again.
func (c *caller) awaitVersion(ctx context.Context, v version, until time.Time) {
	for ctx.Err() == nil {
		q := c.askForVersion(v)
		switch q.status {
		case 0, http.StatusNotFound, http.StatusServiceUnavailable:
		default:
			// It has the route, even where its servers are slow.
			return
		}
		if time.Now().After(until) {
			c.soak.violate(promiseInForce, "%s: version %d is not in force %s after all faults: %s", c.name, v.Number, recoveryBound, q)
			return
		}
		time.Sleep(probePause)
	}
}
