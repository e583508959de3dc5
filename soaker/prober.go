package soaker

import (
	"context"
	"net/http"
	"time"
)

const (
	// applyTimeout and narrowApplyTimeout are how long after its acceptance a configuration is in force at routers in touch:
	// as the users' deployments have it, where all links are fast and where some have 10 Mbit/s, which carry the largest
	// configuration in 0.93 s, and twice where it has changed meanwhile. applySlack is what a busy machine adds.
	applyTimeout, narrowApplyTimeout = 2 * time.Second, 3 * time.Second
	applySlack                       = 500 * time.Millisecond
	stabilityPeriod                  = 3 * time.Second                     // what was undisturbed for so long is in touch
	probeInterval, probeTimeout      = 100 * time.Millisecond, time.Second // between two probes of a router, and for one
)

// prober asks one router, past its link, for the path of the newest version and of the newest that is due.
type prober struct {
	*caller
	process           *process
	seen, incarnation int64 // the newest version that the present life of the router has served
	missed            int64 // the newest version of which it was noted that the router did not know it in time
}

// probe asks until the soak ends.
func (p *prober) probe(done <-chan struct{}) {
	p.transport.DisableKeepAlives = true
	for {
		p.probeVersion(p.soak.newestVersion(time.Now().Add(-p.soak.maxApplyTime())))
		p.probeVersion(p.soak.newestVersion(time.Now()))
		select {
		case <-done:
			return
		case <-time.After(probeInterval):
		}
	}
}

// maxApplyTime is how long a configuration may take to be in force.
func (s *soakRun) maxApplyTime() time.Duration {
	if s.narrow {
		return narrowApplyTimeout + applySlack
	}
	return applyTimeout + applySlack
}

func (p *prober) probeVersion(v version) {
	if life := p.process.incarnation.Load(); life != p.incarnation {
		p.incarnation, p.seen = life, 0
	}
	q := p.requestVersion(v)
	if p.process.incarnation.Load() != p.incarnation {
		return
	}
	if q.status == http.StatusOK {
		p.seen = max(p.seen, v.Number)
	}
	if q.status == http.StatusNotFound && p.seen >= v.Number {
		p.soak.reportViolation(promiseNoReturn, "router-%d served version %d, and does not know version %d now", q.router, p.seen, v.Number)
	}
	age := q.sentAt.Sub(v.acceptedAt)
	if q.status != http.StatusNotFound || age <= p.soak.maxApplyTime() || v.Number <= p.missed {
		return
	}
	// A version is due only where router and store were in touch all the while; that they starved is seen after the next look.
	time.Sleep(2 * starvationPollInterval)
	if age <= p.soak.maxApplyTime()+p.soak.delaySince(q.router, v.acceptedAt) {
		return
	}
	if p.soak.isUndisturbed(q.sentAt.Add(-stabilityPeriod), q.endedAt, contactTargets(q.router)...) {
		p.soak.reportViolation(promiseInForce, "router-%d does not know version %d %s after it was accepted (newest seen %d)", q.router, v.Number, age, p.seen)
		p.missed = v.Number
	}
}

// requestVersion asks for the path of a version; it sends nothing where there is none.
func (c *caller) requestVersion(v version) *request {
	q := &request{timeLimit: probeTimeout, waitTimeout: probeTimeout + answerSlack, route: route{pool: "plain", repeatable: true}}
	if v.Number > 0 {
		c.send(q, versionPath(v.Number))
	}
	return q
}

// awaitVersion asks until a router knows a version's path. Nothing excuses a router that does not know it by then, so that one
// which never takes a configuration is noticed on a machine, too, that holds routers up again and again.
func (c *caller) awaitVersion(ctx context.Context, v version, until time.Time) {
	for ctx.Err() == nil {
		q := c.requestVersion(v)
		switch q.status {
		case 0, http.StatusNotFound, http.StatusServiceUnavailable:
		default:
			// It has the route, even where its servers are slow.
			return
		}
		if time.Now().After(until) {
			c.soak.reportViolation(promiseInForce, "%s: version %d is not in force %s after all faults: %s", c.name, v.Number, recoveryTimeout, q)
			return
		}
		time.Sleep(probeInterval)
	}
}
