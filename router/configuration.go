package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
)

// changeRequestInterval separates two questions for changes.
const changeRequestInterval = 200 * time.Millisecond

// loadConfig reads the whole configuration from the table, or from a peer when the table is down.
func (r *Router) loadConfig(ctx context.Context) error {
	readAt := r.clock.Now()
	full, err := r.store.Full(ctx)
	if err == nil {
		r.confirm(readAt)
	} else {
		var ok bool
		if full, ok = r.peers.fetchConfig(ctx); !ok {
			return err
		}
	}
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.config.Load(full)
	r.publish()
	return nil
}

// confirm records that the applied revision was the newest accepted one at a time.
func (r *Router) confirm(at time.Time) {
	for {
		seen := r.confirmedAt.Load()
		if at.UnixNano() <= seen || r.confirmedAt.CompareAndSwap(seen, at.UnixNano()) {
			return
		}
	}
}

// configAge is how long ago the applied revision was certainly the newest.
func (r *Router) configAge() time.Duration {
	return max(0, time.Duration(r.clock.Now().UnixNano()-r.confirmedAt.Load()))
}

// isStale tells whether the setting forbids serving with a configuration unconfirmed for so long.
func (r *Router) isStale() bool {
	limit := r.settings.StaleAfter.Std()
	return limit > 0 && r.configAge() > limit
}

// publish makes the applied configuration visible to readers; the caller holds configMu.
func (r *Router) publish() {
	s := r.config.Snapshot()
	r.snapshot.Store(&s)
	r.metrics.Gauge(metricRevision, int64(s.Revision()))
	select {
	case r.configApplied <- struct{}{}:
	default:
	}
}

// applyChanges applies changes that the table, a peer or a sidecar gave, and makes them known.
func (r *Router) applyChanges(changes []masticway.Change) {
	began := time.Now()
	r.configMu.Lock()
	applied, gap := r.config.Apply(changes)
	if len(applied) > 0 {
		r.publish()
	}
	r.configMu.Unlock()
	if len(applied) > 0 {
		r.metrics.Observe(histogramConfigApply, "change", time.Since(began))
		r.log.WithFields(logrus.Fields{"event": "config_applied", "revision": applied[len(applied)-1].Revision}).Info("configuration applied")
		// Those who lack it see it in the heartbeat and ask one of many for it.
		r.sendHeartbeats()
	}
	if gap {
		r.wg.Go(r.pollConfig)
	}
}

// requestChanges asks a peer for what this router lacks, not more than one in a while, because many know it at once.
func (r *Router) requestChanges(c *linker.Conn, revision masticway.Revision) {
	applied := r.snapshot.Load().Revision()
	now := r.clock.Now().UnixNano()
	last := r.changesRequestedAt.Load()
	if revision <= applied || now-last < int64(changeRequestInterval) || !r.changesRequestedAt.CompareAndSwap(last, now) {
		return
	}
	_ = c.Send(linker.Message{Want: &linker.Want{After: applied}})
}

// sendChanges answers a peer that lacks changes, as far as they are kept here.
func (r *Router) sendChanges(c *linker.Conn, after masticway.Revision) {
	r.configMu.Lock()
	changes := r.config.After(after)
	upto := r.config.Snapshot().Revision()
	r.configMu.Unlock()
	_ = c.Send(linker.Message{Changes: &linker.Changes{List: changes, Upto: upto}})
}

// pollConfig looks at the head revision in the table and applies what is new.
func (r *Router) pollConfig() {
	ctx, cancel := r.platformContext()
	defer cancel()
	readAt := r.clock.Now()
	head, err := r.store.Head(ctx)
	if err != nil {
		return
	}
	current := r.snapshot.Load().Revision()
	if head <= current {
		r.confirm(readAt)
		return
	}
	changes, err := r.store.Changes(ctx, current+1, head)
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "config_not_read", "read": len(changes), "error": err}).Warn("cannot read changes")
	}
	// What came is applied although the rest did not: the next look goes on after it instead of reading it again.
	r.applyChanges(changes)
}
