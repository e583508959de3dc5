package coordinator

import (
	"context"
	"errors"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// Place queries the owner of the run's group of engines for an engine. If the reply is Full and the run has another group, it
// queries its owner too. Place returns false if local estimates must decide, after queryTimeout at the latest.
func (c *Coordinator) Place(ctx context.Context, q masticway.EngineQuery) (masticway.EngineChoice, bool) {
	p := c.poolFleet(q.Pool.Name)
	if p == nil {
		return masticway.EngineChoice{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var full masticway.EngineChoice
	queried := 0
	for _, group := range scheduler.PromptGroups(q.Run, len(p.groups)) {
		excluded, ok := p.excluded(group, q.Candidates)
		if !ok {
			continue
		}
		m := Message{Excluded: excluded, Penalties: p.penalties(group, q.Penalties), Run: &q.Run}
		choice, ok := c.query(bounded, ctx, groupKey{pool: q.Pool.Name, group: group}, m)
		switch {
		case !ok:
			return masticway.EngineChoice{}, false
		case !choice.Full:
			return choice, true
		case !full.Full || choice.RetryAfter < full.RetryAfter:
			full = choice
		}
		if queried++; queried == maxGroupQueries {
			break
		}
	}
	if full.Full {
		c.Metrics.Add(metricFull, 1)
	}
	return full, full.Full
}

// pendingQuery is a query in flight.
type pendingQuery struct {
	outbox *Outbox
	target string
	run    *trackedRun
	batch  Batch
	epoch  int
	// isGated is set if the query counts for the gate.
	isGated bool
}

// query sends a query with the pending reports to the owner of a group. It returns false if the owner makes no choice. parent is
// the context of the request, from which ctx is derived.
func (c *Coordinator) query(ctx, parent context.Context, key groupKey, m Message) (masticway.EngineChoice, bool) {
	q, ok := c.beginQuery(key, &m)
	if !ok {
		return masticway.EngineChoice{}, false
	}
	c.Metrics.Add(metricAsks, 1)
	reply, took, err := c.send(ctx, q.target, queryTimeout, m)
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	answered := err == nil && took <= queryTimeout
	if q.isGated {
		if err != nil && parent.Err() != nil {
			c.gate.Cancel()
		} else {
			c.gate.End(took, answered, c.IsOverloaded())
		}
	}
	if !c.handleReply(now, key, q.outbox, q.target, q.batch, reply, took, err, true, parent.Err() != nil) {
		if q.run.source = sourceNotReady; err != nil {
			q.run.source = sourceTimeout
			c.Metrics.Add(metricUnanswered, 1)
		}
		return masticway.EngineChoice{}, false
	}
	if reply.Choice == nil || !reply.Choice.Full && reply.Choice.Server == "" {
		q.run.source = sourceNotReady
		return masticway.EngineChoice{}, false
	}
	choice := *reply.Choice
	if choice.Full {
		q.outbox.remove(q.run)
		delete(c.outboxOf, q.run.run.ID)
		return choice, true
	}
	q.outbox.Accept(q.run, choice, q.epoch)
	return choice, true
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
	q := pendingQuery{outbox: o, target: o.target, run: r, epoch: o.epoch, isGated: o.target != c.Address}
	if q.isGated && !c.gate.TryBegin(now, c.IsOverloaded()) {
		r.source = sourcePressure
		c.Metrics.Add(metricSkipped, 1)
		return pendingQuery{}, false
	}
	r.asked = true
	q.batch = o.Take(now, maxQueryReports)
	m.Sender, m.Pool, m.Group, m.SlowVersion, m.Reports = c.Self, key.pool, key.group, o.slowVersion, q.batch.Reports
	return q, true
}

// isTimeout reports whether a call ended because of its time limit.
func isTimeout(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
