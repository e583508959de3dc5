package soaker

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// applyBound is how long after its acceptance a configuration is in force at routers in touch (config_apply_ms of the
	// sheets), with half a second for what a busy machine adds.
	applyBound = 2*time.Second + 500*time.Millisecond
	// stable is for how long a router and the store must have been undisturbed to count as in touch (stable_ms).
	stable = 3 * time.Second
	// probePause separates two probes of a router.
	probePause   = 100 * time.Millisecond
	probeTimeout = time.Second
)

// prober asks one router, past its link, for the path of the newest version and of the newest that is due.
type prober struct {
	caller
	// seen is the newest version that the present life of the router has served.
	seen, life int64
}

// probe asks until the soak ends.
func (p *prober) probe(done <-chan struct{}) {
	for {
		for _, age := range []time.Duration{applyBound, 0} {
			if v := p.soak.operator.newest(time.Now().Add(-age)); v.number > 0 {
				p.ask(v)
			}
		}
		select {
		case <-done:
			return
		case <-time.After(probePause):
		}
	}
}

func (p *prober) ask(v version) {
	router := p.soak.processes[p.router]
	if life := router.life.Load(); life != p.life {
		p.life, p.seen = life, 0
	}
	if !p.connect(p.router, router.settings.CallerAddress) {
		return
	}
	defer p.drop()
	p.sent++
	q := &request{id: fmt.Sprintf("%s-%d", p.name, p.sent), route: route{kind: "idempotent"}, limit: probeTimeout}
	q.path, q.whole = versionPath(v.number)+q.id, "ok "+q.id+" "
	p.send(q)
	if router.life.Load() != p.life {
		return
	}
	switch q.status {
	case http.StatusOK:
		p.seen = max(p.seen, v.number)
	case http.StatusNotFound:
		if p.seen >= v.number {
			p.soak.record.violate(promiseNoReturn, "router-%d served version %d, and does not know version %d now", p.router, p.seen, v.number)
		}
		// A version is due only where router and store were in touch all the while.
		age := q.sentAt.Sub(v.ack)
		if age > applyBound && p.soak.record.calm(q.sentAt.Add(-stable), q.endedAt, p.soak.inTouch(p.router)...) {
			p.soak.record.violate(promiseInForce, "router-%d does not know version %d %s after it was accepted (newest seen %d)", p.router, v.number, age.Round(time.Millisecond), p.seen)
		}
	}
}
