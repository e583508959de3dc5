package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// flushTimeout is the timeout of a message without a query. It allows for a congested link.
	flushTimeout = 250 * time.Millisecond
	// maintainInterval is the interval at which expired runs and groups are removed, and it is determined again whether
	// coordination applies.
	maintainInterval = time.Second
	// speedsInterval is the interval at which an owner sends the speeds that it has learned to the backup.
	speedsInterval = 2 * time.Second
)

// Run sends the reports that no query has carried, until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Step(ctx)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-c.Clock.After(c.timeToNext()):
		}
	}
}

// Step sends the messages that are due. It blocks until they were acknowledged or have failed.
func (c *Coordinator) Step(ctx context.Context) {
	now := c.Clock.Now()
	if now.Sub(c.maintainedAt) >= maintainInterval {
		c.maintainedAt = now
		c.maintain(now)
	}
	if !c.active.Load() {
		return
	}
	for _, key := range c.dueGroups(now) {
		c.flush(ctx, key)
	}
	c.probe(ctx)
	if now.Sub(c.speedsSentAt) >= speedsInterval {
		c.speedsSentAt = now
		c.sendSpeeds(ctx)
	}
}

// reportDelay returns how long reports are collected. The caller must hold c.mu.
func (c *Coordinator) reportDelay() time.Duration {
	if c.gate.IsClosed() {
		return quietDelay
	}
	return queryDelay
}

// dueGroups returns the groups about which a message is due.
func (c *Coordinator) dueGroups(now time.Time) (due []groupKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, o := range c.outboxes {
		if !o.IsEmpty() {
			c.chooseTarget(now, key, o)
		}
		if at, ok := o.DueAt(c.reportDelay()); ok && !now.Before(at) {
			due = append(due, key)
		}
	}
	return due
}

// timeToNext returns the time until Run has to do something, at most maintainInterval.
func (c *Coordinator) timeToNext() time.Duration {
	now := c.Clock.Now()
	wait := maintainInterval
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outboxes {
		if at, ok := o.DueAt(c.reportDelay()); ok {
			wait = min(wait, at.Sub(now))
		}
	}
	return max(minPause, wait)
}

// minPause is the minimum pause of Run, so that it does not run continuously if a message is due that cannot be sent.
const minPause = 5 * time.Millisecond

// flush sends the pending reports about a group to its owner, or a full resync if the owner needs one.
func (c *Coordinator) flush(ctx context.Context, key groupKey) {
	now := c.Clock.Now()
	c.mu.Lock()
	o, ok := c.outboxes[key]
	if ok {
		// A message about another group may just have shown that the target does not reply.
		c.chooseTarget(now, key, o)
	}
	if !ok || o.target == "" {
		c.mu.Unlock()
		return
	}
	t := transmission{key: key, outbox: o, target: o.target, classVersion: o.classVersion}
	if o.synced {
		t.batch = o.Take(now, maxReports)
	} else {
		t.batch = o.TakeAll(now)
	}
	var m Message
	t.fill(&m, c.Self)
	c.mu.Unlock()
	r := c.send(ctx, t.target, max(flushTimeout, c.QueryTimeout), m)
	now = c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handleResult(now, t, r); r.err == nil && !r.reply.NotOwner {
		c.owners.RecordSuccess(now, t.target, c.scaled(r.took), false)
	} else if ctx.Err() == nil {
		c.owners.RecordFailure(now, t.target)
	}
	c.chooseTarget(now, key, o)
}

// probe sends an empty message to each owner and backup that was skipped for as long as it must be.
func (c *Coordinator) probe(ctx context.Context) {
	for address, key := range c.dueProbes() {
		r := c.send(ctx, address, c.QueryTimeout, Message{Sender: c.Self, Pool: key.pool, Group: key.group})
		now := c.Clock.Now()
		c.mu.Lock()
		switch {
		case isTimeout(r.err):
			c.owners.RecordProbeTimeout(now, address)
		case r.err != nil || r.reply.NotOwner:
			c.owners.RecordFailure(now, address)
		default:
			c.owners.RecordSuccess(now, address, c.scaled(r.took), true)
		}
		c.mu.Unlock()
	}
}

// dueProbes returns the routers that must be probed, each with one of the groups that it may own. Routers that get reports need
// no probe.
func (c *Coordinator) dueProbes() map[string]groupKey {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var due map[string]groupKey
	for key, o := range c.outboxes {
		if o.IsEmpty() {
			continue
		}
		for _, address := range c.ranked(now, key) {
			if address == o.target || !c.owners.DueForProbe(now, address) {
				continue
			}
			if due == nil {
				due = map[string]groupKey{}
			}
			due[address] = key
		}
	}
	return due
}

// maintain removes what has expired, and determines again whether coordination applies.
func (c *Coordinator) maintain(now time.Time) {
	c.refresh()
	f := c.fleet.Load()
	c.mu.Lock()
	c.owners.Prune(now)
	for key, o := range c.outboxes {
		if o.Expire(now); o.IsEmpty() && !f.has(key) {
			delete(c.outboxes, key)
		}
	}
	for id, o := range c.outboxOf {
		if !o.Has(id) {
			delete(c.outboxOf, id)
		}
	}
	c.mu.Unlock()
	c.rankings.mu.Lock()
	for key, r := range c.rankings.known {
		if now.Sub(r.at) > forgetAfter {
			delete(c.rankings.known, key)
		}
	}
	c.rankings.mu.Unlock()
	c.owned.retain(func(key groupKey, g *ownedGroup) bool {
		return f.has(key) && c.isRanked(now, key) && c.maintainGroup(now, key, g)
	})
}

// sendSpeeds sends the speeds of the groups that this router owns to their backups.
func (c *Coordinator) sendSpeeds(ctx context.Context) {
	now := c.Clock.Now()
	for key, g := range c.owned.all() {
		ranked := c.ranked(now, key)
		if len(ranked) < maxOwners || ranked[0] != c.Address {
			continue
		}
		speeds := g.speeds(now)
		c.mu.Lock()
		skipped := !c.owners.MayQuery(now, ranked[1]) && !c.owners.DueForProbe(now, ranked[1])
		c.mu.Unlock()
		if len(speeds) == 0 || skipped {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, max(flushTimeout, c.QueryTimeout))
		began := c.Clock.Now()
		err := c.Routers.SendSpeeds(bounded, ranked[1], Speeds{Pool: key.pool, Group: key.group, Speeds: speeds})
		cancel()
		now = c.Clock.Now()
		c.mu.Lock()
		if err == nil {
			c.owners.RecordSuccess(now, ranked[1], c.scaled(now.Sub(began)), false)
		} else if ctx.Err() == nil {
			c.owners.RecordFailure(now, ranked[1])
		}
		c.mu.Unlock()
		if err != nil {
			c.Log.WithFields(logrus.Fields{"event": "engine_speeds_unsent", "pool": key.pool, "group": key.group, "address": ranked[1], "error": err}).Debug("the backup of a group of engines did not accept speeds")
		}
	}
}
