package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/linker"
)

// changeRequestInterval is the minimum interval between two requests of this router to other processes for configuration changes.
const changeRequestInterval = 200 * time.Millisecond

// loadConfig reads the whole configuration from the table, or from a peer if this fails, and applies it.
func (r *Router) loadConfig(ctx context.Context) error {
	readAt := r.clock.Now()
	full, err := r.store.Configuration(ctx)
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

// confirm records that the applied revision was the newest accepted one at the given time. It ignores a time that is not later
// than the recorded one.
func (r *Router) confirm(at time.Time) {
	for {
		seen := r.confirmedAt.Load()
		if at.UnixNano() <= seen || r.confirmedAt.CompareAndSwap(seen, at.UnixNano()) {
			return
		}
	}
}

// configAge returns the time since the applied revision was last known to be the newest.
func (r *Router) configAge() time.Duration {
	return max(0, time.Duration(r.clock.Now().UnixNano()-r.confirmedAt.Load()))
}

// isStale reports whether the applied revision was last known to be the newest longer than StaleAfter ago. It returns false if
// StaleAfter is zero.
func (r *Router) isStale() bool {
	limit := r.settings.StaleAfter.Std()
	return limit > 0 && r.configAge() > limit
}

// publish makes the applied configuration visible to readers of r.snapshot. It also wakes keepLease, which writes the revision to
// the lease row. The caller must hold configMu.
func (r *Router) publish() {
	s := r.config.Snapshot()
	r.snapshot.Store(&s)
	r.metrics.Gauge(metricRevision, int64(s.Revision()))
	select {
	case r.configApplied <- struct{}{}:
	default:
	}
}

// applyChanges applies changes that came from the table, a peer or a sidecar, and announces the new revision in heartbeats. If
// there is a gap between the applied revision and the given changes, it starts to read the missing ones from the table.
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
		// A process that lacks the changes sees the revision in the heartbeat, and asks its sender or another process for them.
		r.sendHeartbeats()
	}
	if gap {
		r.wg.Go(r.pollConfig)
	}
}

// requestChanges asks a peer or sidecar that has announced a revision for the changes after the applied one. It does nothing if
// the announced revision is not newer. It asks at most once per changeRequestInterval, because many peers announce a revision at
// the same time.
func (r *Router) requestChanges(c *linker.Conn, revision masticway.Revision) {
	applied := r.snapshot.Load().Revision()
	now := r.clock.Now().UnixNano()
	last := r.changesRequestedAt.Load()
	if revision <= applied || now-last < int64(changeRequestInterval) || !r.changesRequestedAt.CompareAndSwap(last, now) {
		return
	}
	_ = c.Send(linker.Message{ChangesRequest: &linker.ChangesRequest{After: applied}})
}

// sendChanges sends a peer or sidecar the configuration changes after a revision. Changes that this router no longer stores are
// missing.
func (r *Router) sendChanges(c *linker.Conn, after masticway.Revision) {
	r.configMu.Lock()
	changes := r.config.ChangesAfter(after)
	upto := r.config.Snapshot().Revision()
	r.configMu.Unlock()
	_ = c.Send(linker.Message{Changes: &linker.Changes{List: changes, Revision: upto}})
}

// pollConfig reads the newest revision from the table and applies the changes up to it. If the revision cannot be read, it does
// nothing.
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
		r.log.WithFields(logrus.Fields{"event": "config_not_read", "read": len(changes), "error": err}).Warn("cannot read all configuration changes")
	}
	// The changes that were read are applied even if reading the others failed, so that the next poll starts after them.
	r.applyChanges(changes)
}
