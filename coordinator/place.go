package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// Place queries the owner of the run's group of engines for an engine. If the reply is Full and the run has another group, it
// queries its owner too. The choice is Full only if no candidate is in another group. Place returns false if local estimates must
// decide, after QueryTimeout at the latest.
func (c *Coordinator) Place(ctx context.Context, q masticway.EngineQuery) (masticway.EngineChoice, bool) {
	p := c.poolFleet(q.Pool.Name)
	if p == nil {
		return masticway.EngineChoice{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, c.QueryTimeout)
	defer cancel()
	began := c.Clock.Now()
	var full masticway.EngineChoice
	var queried []int
	for _, group := range scheduler.PromptGroups(q.Run, len(p.groups)) {
		excluded, ok := p.excluded(group, q.Candidates)
		if !ok {
			continue
		}
		m := Message{Excluded: excluded, Penalties: p.penalties(group, q.Penalties), Run: &q.Run}
		choice, ok := c.query(bounded, ctx, groupKey{pool: q.Pool.Name, group: group}, m, began)
		switch {
		case !ok:
			return masticway.EngineChoice{}, false
		case !choice.Full:
			return choice, true
		case !full.Full || choice.RetryAfter < full.RetryAfter:
			full = choice
		}
		if queried = append(queried, group); len(queried) == maxGroupQueries {
			break
		}
	}
	isInOther := func(s masticway.Server) bool { return !slices.Contains(queried, p.group(s.ID)) }
	if !full.Full || slices.ContainsFunc(q.Candidates, isInOther) {
		return masticway.EngineChoice{}, false
	}
	c.Metrics.Add(metricFull, 1)
	return full, true
}

// pendingQuery is a query in flight.
type pendingQuery struct {
	transmission
	run *trackedRun
	// isGated is set if the query counts for the gate.
	isGated bool
	// isShort is set if less than half of the query timeout was left when the query began, so that a timeout says nothing about its
	// target.
	isShort bool
}

// query sends a query with the pending reports to the owner of a group. It returns false if the owner makes no choice. parent is
// the context of the request, from which ctx is derived. placedAt is when the request began to wait for a choice.
func (c *Coordinator) query(ctx, parent context.Context, key groupKey, m Message, placedAt time.Time) (masticway.EngineChoice, bool) {
	q, ok := c.beginQuery(key, &m)
	if !ok {
		return masticway.EngineChoice{}, false
	}
	q.isShort = c.Clock.Now().Sub(placedAt) > c.QueryTimeout/2
	c.Metrics.Add(metricAsks, 1)
	r := c.send(ctx, q.target, c.QueryTimeout, m)
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordQuery(now, q, r, parent.Err() != nil)
	if !c.handleResult(now, q.transmission, r) || r.reply.Choice == nil {
		return masticway.EngineChoice{}, false
	}
	choice := *r.reply.Choice
	switch {
	case choice.Full:
		q.outbox.remove(q.run)
		delete(c.outboxOf, q.run.run.ID)
	case choice.Server == "":
		return masticway.EngineChoice{}, false
	default:
		q.outbox.Accept(q.run, choice, q.batch.epoch)
	}
	return choice, true
}

// recordQuery records what the result of a query shows about its target and about the latency of queries. isCanceled is set if
// the request has ended. The caller must hold c.mu.
func (c *Coordinator) recordQuery(now time.Time, q pendingQuery, r result, isCanceled bool) {
	q.run.source = sourceNotReady
	isCounted := true
	switch {
	case r.err != nil && isCanceled, isTimeout(r.err) && q.isShort:
		isCounted = false
	case isTimeout(r.err):
		isCounted = c.owners.RecordQueryTimeout(now, q.target)
	case r.err != nil || r.reply.NotOwner:
		c.owners.RecordFailure(now, q.target)
	default:
		c.owners.RecordSuccess(now, q.target, c.scaled(r.took), true)
	}
	if r.err != nil {
		q.run.source = sourceTimeout
		c.Metrics.Add(metricUnanswered, 1)
	}
	switch {
	case !q.isGated:
	case isCounted:
		c.gate.End(c.scaled(r.took), r.err == nil, c.IsOverloaded())
	default:
		c.gate.Cancel()
	}
}

// beginQuery tracks the run of a query and completes the message. It returns false if no query may be sent.
func (c *Coordinator) beginQuery(key groupKey, m *Message) (pendingQuery, bool) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.outbox(now, key)
	r := o.Track(now, *m.Run)
	if r == nil {
		return pendingQuery{}, false
	}
	c.outboxOf[m.Run.ID] = o
	if !o.CanQuery() {
		r.source = sourceNotReady
		c.wakeUp()
		return pendingQuery{}, false
	}
	if !c.owners.MayQuery(now, o.target) {
		r.source = sourceTimeout
		return pendingQuery{}, false
	}
	q := pendingQuery{transmission: transmission{key: key, outbox: o, target: o.target, classVersion: o.classVersion}, run: r, isGated: o.target != c.Address}
	if q.isGated && !c.gate.TryBegin(now, c.IsOverloaded()) {
		r.source = sourcePressure
		c.Metrics.Add(metricSkipped, 1)
		return pendingQuery{}, false
	}
	r.asked = true
	q.batch = o.Take(now, maxQueryReports)
	q.fill(m, c.Self)
	return q, true
}
