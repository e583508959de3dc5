package coordinator

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// transmission is a message of an outbox in flight.
type transmission struct {
	key    groupKey
	outbox *Outbox
	target string
	batch  Batch
	// classVersion is the version of the lists of engines that the message carries.
	classVersion uint64
}

// fill sets the fields of the message that carries the batch. The caller must hold the lock of the outbox.
func (t transmission) fill(m *Message, self masticway.Incarnation) {
	m.Sender, m.Pool, m.Group, m.ClassVersion = self, t.key.pool, t.key.group, t.classVersion
	m.Reports, m.Resync = t.batch.Reports, t.batch.Resync
}

// result is the result of sending a message, and the time that it took.
type result struct {
	reply Reply
	took  time.Duration
	err   error
}

// isTimeout reports whether a call ended because of its time limit.
func isTimeout(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// send sends a message to a router, which may be this one.
func (c *Coordinator) send(ctx context.Context, address string, timeout time.Duration, m Message) result {
	c.Metrics.Add(metricReports, int64(len(m.Reports)))
	if address == c.Address {
		return result{reply: c.Answer(m)}
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := c.Clock.Now()
	reply, err := c.Routers.Send(bounded, address, m)
	return result{reply: reply, took: c.Clock.Now().Sub(began), err: err}
}

// scaled returns a latency in proportion to the query timeout, as if that were the default, for which the limits of latencies are.
func (c *Coordinator) scaled(took time.Duration) time.Duration {
	return time.Duration(float64(took) * float64(queryTimeout) / float64(c.QueryTimeout))
}

// handleResult applies the result of a message to its outbox. It returns false if the target did not accept the message. The
// caller must hold c.mu.
func (c *Coordinator) handleResult(now time.Time, t transmission, r result) bool {
	o := t.outbox
	if r.err != nil || r.reply.NotOwner {
		o.Return(now, t.batch)
		c.Log.WithFields(logrus.Fields{
			"event": "engine_message_failed", "pool": t.key.pool, "group": t.key.group, "address": t.target, "reports": len(t.batch.Reports),
			"took_ms": r.took.Milliseconds(), "not_owner": r.reply.NotOwner, "error": r.err,
		}).Debug("the owner of a group of engines did not accept a message")
		return false
	}
	o.Acknowledge(now, t.batch)
	if o.target != t.target {
		return true
	}
	o.ready = r.reply.Ready
	if r.reply.NeedsResync && o.synced {
		o.RequireResync()
		c.wakeUp()
	}
	c.updateClasses(t, r.reply)
	return true
}

// updateClasses applies the lists of slow and fast engines in the reply to a message. The reply has none if the message carried their
// version, even if the outbox has others since. The caller must hold c.mu.
func (c *Coordinator) updateClasses(t transmission, r Reply) {
	key, o := t.key, t.outbox
	if !r.Ready || r.ClassVersion == o.classVersion || r.ClassVersion == t.classVersion {
		return
	}
	o.classes, o.classVersion = speedClasses{slow: r.Slow, fast: r.Fast}, r.ClassVersion
	weights := map[string]float64{}
	for k, other := range c.outboxes {
		if k.pool == key.pool {
			other.classes.addHomeWeights(weights)
		}
	}
	all := maps.Clone(*c.homeWeights.Load())
	all[key.pool] = weights
	c.homeWeights.Store(&all)
}
