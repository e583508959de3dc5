package soaker

import (
	"context"
	"net/http"
	"time"
)

const (
	// applyTimeout and narrowApplyTimeout are the times within which routers in contact with the store must apply an
	// accepted configuration, as in the users' deployments. The first holds if all network links are fast, the second if
	// some have 10 Mbit/s. Such a link carries the largest configuration in 0.93 s, and carries it twice if the
	// configuration changes meanwhile.
	applyTimeout, narrowApplyTimeout = 2 * time.Second, 3 * time.Second
	// applySlack is added to these times for a busy machine.
	applySlack = 500 * time.Millisecond
	// stabilityPeriod is how long a router and the store must have been undisturbed (contactTargets) for the router to count
	// as in contact with the store.
	stabilityPeriod = 3 * time.Second
	// probeInterval is the pause after each pair of probes of a router. probeTimeout limits one probe.
	probeInterval, probeTimeout = 100 * time.Millisecond, time.Second
)

// prober sends probes to one router directly, without its proxy. A probe requests the path of a version of the
// configuration: the newest version, or the newest one that the router must have applied.
type prober struct {
	*caller
	process *process
	// incarnation is the number of the router's incarnation at the last probe, and seen the newest version that it has
	// served.
	seen, incarnation int64
	missed            int64 // the newest version for which a violation was reported because the router did not apply it in time
}

// probe sends probes until done is closed.
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

// maxApplyTime returns how long routers in contact with the store may take to apply a configuration.
func (s *soakRun) maxApplyTime() time.Duration {
	if s.narrow {
		return narrowApplyTimeout + applySlack
	}
	return applyTimeout + applySlack
}

// probeVersion requests the path of a version and checks the answer, unless the router restarted meanwhile.
func (p *prober) probeVersion(v version) {
	if incarnation := p.process.incarnation.Load(); incarnation != p.incarnation {
		p.incarnation, p.seen = incarnation, 0
	}
	q := p.requestVersion(v)
	if p.process.incarnation.Load() != p.incarnation {
		return
	}
	if q.status == http.StatusOK {
		p.seen = max(p.seen, v.Number)
	}
	if q.status == http.StatusNotFound && p.seen >= v.Number {
		p.soak.reportViolation(promiseNoReturn, "router-%d served version %d, but does not know version %d now", q.router, p.seen, v.Number)
	}
	age := q.sentAt.Sub(v.acceptedAt)
	if q.status != http.StatusNotFound || age <= p.soak.maxApplyTime() || v.Number <= p.missed {
		return
	}
	// Only a router that was in contact with the store all the time must know the version. Starvation is recorded at the
	// next poll.
	time.Sleep(2 * starvationPollInterval)
	if age <= p.soak.maxApplyTime()+p.soak.delaySince(q.router, v.acceptedAt) {
		return
	}
	if p.soak.isUndisturbed(q.sentAt.Add(-stabilityPeriod), q.endedAt, contactTargets(q.router)...) {
		p.soak.reportViolation(promiseInForce, "router-%d does not know version %d %s after it was accepted (newest seen %d)", q.router, v.Number, age, p.seen)
		p.missed = v.Number
	}
}

// requestVersion requests the path of a version. It sends nothing if the version's number is zero.
func (c *caller) requestVersion(v version) *request {
	q := &request{timeLimit: probeTimeout, waitTimeout: probeTimeout + answerSlack, route: route{pool: "plain", repeatable: true}}
	if v.Number > 0 {
		c.send(q, versionPath(v.Number))
	}
	return q
}

// awaitVersion sends requests until a router knows a version's path. It reports a violation if the router does not know it
// by the time until, even if the router was starved. This finds a router that never applies a configuration also on a
// machine on which routers often starve.
func (c *caller) awaitVersion(ctx context.Context, v version, until time.Time) {
	for ctx.Err() == nil {
		q := c.requestVersion(v)
		switch q.status {
		case 0, http.StatusNotFound, http.StatusServiceUnavailable:
		default:
			// Any other status shows that the router has the route: with 502 or 504, a server may have got the request but gave
			// no complete answer. A 503 shows nothing: a router without a configuration answers it too.
			return
		}
		if time.Now().After(until) {
			c.soak.reportViolation(promiseInForce, "%s: version %d is not in force %s after all faults: %s", c.name, v.Number, recoveryTimeout, q)
			return
		}
		time.Sleep(probeInterval)
	}
}
