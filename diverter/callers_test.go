package diverter_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway/diverter"
	"github.com/masticway/masticway/rotator"
)

// setCallers replaces the callers by others: perSecond requests per second in total, shared among the zones as given.
func (w *world) setCallers(perSecond float64, shares ...float64) {
	w.callers = nil
	for i, share := range shares {
		for range int(perSecond * share / callerRate) {
			interval := time.Duration(float64(time.Second) / callerRate)
			w.callers = append(w.callers, &caller{
				zone: w.zones[i], name: fmt.Sprint(w.random.Uint64()), next: time.Now().Add(time.Duration(w.random.Int64N(int64(interval)))),
			})
		}
	}
}

// advance runs the simulation for a time.
func (w *world) advance(span time.Duration) {
	for at := time.Duration(0); at < span; at += step {
		if w.steps%int(probeInterval/step) == 0 {
			w.probe()
		}
		now := time.Now()
		for _, c := range w.callers {
			if !now.Before(c.next) {
				c.next = c.next.Add(time.Duration(float64(time.Second) / callerRate))
				w.request(now, c)
			}
		}
		for _, m := range w.routers {
			m.process(now)
		}
		w.steps++
		time.Sleep(step)
		w.watch()
	}
}

// advanceUntil runs the simulation until a condition holds, at most for a time. It returns how long that took.
func (w *world) advanceUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < limit {
		if done() {
			return time.Since(began), true
		}
		w.advance(step)
	}
	return limit, done()
}

// probe performs the load balancer's readiness checks.
func (w *world) probe() {
	for _, m := range w.routers {
		if m.down.Load() || m.draining.Load() || m.diverter.IsOut() {
			m.misses++
		} else {
			m.misses = 0
		}
	}
}

// choices returns the routers among which the load balancer selects one for a caller of a zone.
func (w *world) choices(zone string) (all []*simRouter) {
	var members, others []*simRouter
	for _, m := range w.routers {
		switch {
		case m.zone == zone:
			members = append(members, m)
			if m.inRotation() {
				all = append(all, m)
			}
		case m.inRotation():
			others = append(others, m)
		}
	}
	switch {
	case len(all) == 0 && len(others) > 0:
		return others
	case 2*len(all) < len(members):
		return members
	}
	return all
}

// connect connects a caller by the hash of the caller, to another router than the excluded one. A refused connection is tried once
// more, at the next router.
func (w *world) connect(c *caller, excluded *simRouter) *simRouter {
	if len(c.order) != len(w.routers) {
		weight := func(m *simRouter) uint64 { return xxhash.Sum64String(c.name + m.name) }
		c.order = slices.SortedFunc(slices.Values(w.routers), func(x, y *simRouter) int { return cmp.Compare(weight(x), weight(y)) })
	}
	choices := w.choices(c.zone)
	tries := 0
	for _, m := range c.order {
		if m == excluded || !slices.Contains(choices, m) {
			continue
		}
		if !m.down.Load() && !m.paused.Load() {
			m.rotator.MarkConnection()
			return m
		}
		if tries++; tries > 1 {
			break
		}
	}
	return nil
}

// request sends a request of a caller. After a refusal for overload, the caller tries one other router.
func (w *world) request(now time.Time, c *caller) {
	var refused *simRouter
	if now.After(c.reconnectAt) {
		c.conn, c.reconnectAt = nil, now.Add(time.Duration(w.random.Int64N(int64(2*connectionTime))))
	}
	for range 2 {
		if c.conn != nil && c.conn.down.Load() {
			c.conn = nil
		}
		kept := c.conn != nil
		if !kept {
			c.conn = w.connect(c, refused)
		}
		m := c.conn
		if m == nil {
			break
		}
		if m.diverter.IsOut() {
			// The answer closes the connection.
			c.conn = nil
		}
		m.rotator.MarkRequest(kept)
		if m.diverter.Admit(0, 1000) {
			m.queue = append(m.queue, queued{at: now, from: c})
			return
		}
		refused, c.conn = m, nil
	}
	w.count(c).lost++
}

func (w *world) count(c *caller) *tally {
	if w.counts[c.zone] == nil {
		w.counts[c.zone] = &tally{}
	}
	return w.counts[c.zone]
}

// process advances the router's link by one step and makes the router's own calls.
func (m *simRouter) process(now time.Time) {
	if m.down.Load() {
		return
	}
	m.credit = min(m.credit+m.capacity*step.Seconds(), 1+m.capacity*step.Seconds())
	for m.credit >= 1 && len(m.queue) > 0 {
		m.credit--
		m.answer(now.Sub(m.queue[0].at) <= maxWait)
	}
	for float64(len(m.queue)) > m.capacity*maxLinkDelay.Seconds() {
		m.answer(false)
	}
	delay := time.Duration(float64(len(m.queue)) / m.capacity * float64(time.Second))
	m.linkDelay.Store(int64(delay))
	m.recordCalls(usualCallTime + delay)
}

// answer ends the oldest request.
func (m *simRouter) answer(inTime bool) {
	q := m.queue[0]
	m.queue = m.queue[1:]
	m.diverter.MarkAnswered()
	m.diverter.Release(1000)
	if inTime {
		m.w.count(q.from).served++
	} else {
		m.w.count(q.from).lost++
	}
}

// recordCalls records one call of each kind.
func (m *simRouter) recordCalls(took time.Duration) {
	for _, k := range []rotator.Kind{rotator.KindStore, rotator.KindRouter, rotator.KindServer} {
		m.rotator.RecordCall(k, took, true)
	}
}

// watch counts the diverted zones and the changes.
func (w *world) watch() {
	any := 0
	for _, zone := range w.zones {
		diverted, all := w.diverted(zone)
		if diverted > 0 {
			any++
		}
		if now := 2*diverted > all; now != w.wasDiverted[zone] {
			w.wasDiverted[zone] = now
			w.changes[zone]++
		}
	}
	w.maxDiverted = max(w.maxDiverted, any)
}

// diverted returns how many of a zone's running routers are diverted, and how many there are.
func (w *world) diverted(zone string) (diverted, all int) {
	for _, m := range w.routers {
		if m.zone != zone || m.down.Load() {
			continue
		}
		all++
		if m.diverter.IsDiverted() {
			diverted++
		}
	}
	return diverted, all
}

func (w *world) isDiverted(zone string) bool {
	diverted, all := w.diverted(zone)
	return 2*diverted > all
}

// isOverloaded reports whether two routers of a zone are overloaded.
func (w *world) isOverloaded(zone string) bool {
	n := 0
	for _, m := range w.routers {
		if overloaded, _, _ := m.rotator.Pressure(); overloaded && m.zone == zone {
			n++
		}
	}
	return n >= 2
}

// servesOwnCallers reports whether the load balancer sends the callers of a zone to the zone's routers.
func (w *world) servesOwnCallers(zone string) bool { return w.choices(zone)[0].zone == zone }

func (w *world) changeCount() (n int) {
	for _, c := range w.changes {
		n += c
	}
	return n
}

// coordinators returns the coordinator and the backup of a zone, in this order.
func (w *world) coordinators(zone string) (all []*simRouter) {
	var routers []diverter.Router
	for _, m := range w.routers {
		if m.zone != zone {
			continue
		}
		routers = append(routers, diverter.Router{Instance: m.name, Zone: m.zone, Processors: m.processors})
	}
	for _, r := range diverter.Coordinators(routers) {
		for _, m := range w.routers {
			if m.name == r.Instance {
				all = append(all, m)
			}
		}
	}
	return all
}

// close stops the routers and waits for their calls to end.
func (w *world) close(stop context.CancelFunc) {
	stop()
	time.Sleep(5 * time.Second)
}
