package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// relistInterval is the usual time between full reads of the configuration and of the servers. Full reads correct for changes
	// that the watch missed.
	relistInterval = 2500 * time.Millisecond
	// maxRelistRate bounds the bandwidth that regular full reads of a table take on a router's link, in bytes per second: half of
	// the 8 KB per second allowed for control traffic at the target fleet size. Without the bound, reading a configuration of 0.8
	// MB (1.1 MB in base64) every 2.5 s took a third of a 10 Mbit/s link from callers, and reads that timed out and restarted
	// took all of it.
	maxRelistRate = 4 << 10
	// maxWatchBytes is the approximate size of the largest set of changes that is read as changes, 16 KB, enough for some tens of
	// servers. Changes contain every version of a row: a router that was four versions of a 0.3 MB configuration behind took 3 s
	// to read them on a link of 10 Mbit/s, and further versions were written meanwhile. A full read returns only the newest
	// version, so after at most two of them the router is up to date.
	maxWatchBytes = 16 << 10
	// eraSpread is the range of the random time after which a router reads a table in full when an era of the store has ended.
	// It is longer for large tables, by the time that maxSpreadSize or the table's size takes at eraReadRate bytes per second.
	eraSpread     = 400 * time.Millisecond
	eraReadRate   = 2 << 20
	maxSpreadSize = 1 << 20
)

// tableWatcher keeps up with one part of a table of the store: it reads the part in full and then the table's changes.
type tableWatcher struct {
	*Follower
	table, part string
	// interval is the pause between two calls, maxWait is how long one call may wait for changes, and relistInterval is the usual
	// time between full reads.
	interval, maxWait, relistInterval time.Duration
	// rowsExpire is set if rows can expire while the store is unreachable, so that the table is read in full after an outage.
	rowsExpire bool
	// apply is called with the result of each read. If full is set, the reading holds all rows of the part. Otherwise it holds
	// changes of all parts of the table.
	apply func(full bool, reading masticway.RowReading)
	// onRead, if set, is called after apply with a time before which the store has no change that was not read: when the call began, or
	// earlier if the reading came through another router.
	onRead func(began time.Time)

	// failing is set when a read with the usual timeout fails, until one succeeds.
	failing atomic.Bool
	// gate lets only one large response arrive at a time.
	gate readGate

	mu sync.Mutex
	// version is the store version up to which changes have been applied. It is zero before the first read. It is also zero from
	// when changes were lost until the next full read.
	version int64
	// applied is the store version up to which changes have ever been applied.
	applied int64
	// listedAt is the time of the last full read, and size its size in bytes. After failures, listedAt is moved to make the next
	// full read due earlier or later (see handleFailure).
	listedAt time.Time
	size     int64
}

// run reads the table with the usual timeout until the context ends.
func (m *tableWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if full, err := m.read(ctx, m.store, m.isRelistDue); err != nil {
			m.handleFailure(ctx, full, err)
			continue
		}
		if m.failing.Swap(false) {
			m.log.WithFields(logrus.Fields{"event": "store_regained", "table": m.table}).Info("store is reachable again")
		}
		m.sleep(ctx, m.interval)
	}
}

// runFallback reads with the longer timeout while reads with the usual timeout fail, until the context ends.
func (m *tableWatcher) runFallback(ctx context.Context) {
	for ctx.Err() == nil {
		m.sleep(ctx, fallbackInterval)
		if !m.failing.Load() {
			continue
		}
		// Failures are logged by run.
		_, _ = m.read(ctx, m.fallback, func() bool { return m.rowsExpire || m.currentVersion() == 0 })
	}
}

// currentVersion returns the store version up to which changes have been applied.
func (m *tableWatcher) currentVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// listedSize returns the size of the last full read in bytes, at most maxSpreadSize.
func (m *tableWatcher) listedSize() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(m.size, maxSpreadSize)
}

// isRelistDue reports whether the next read must be a full one.
func (m *tableWatcher) isRelistDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := max(m.relistInterval, time.Duration(m.size)*time.Second/maxRelistRate)
	return m.version == 0 || m.clock.Now().Sub(m.listedAt) > interval
}

// read waits for the gate. It then reads the table in full if isRelistDue returns true, or else the next changes of the table,
// and applies the result. It returns full if it tried a full read.
func (m *tableWatcher) read(ctx context.Context, store masticway.RowStore, isRelistDue func() bool) (full bool, err error) {
	ctx, end := m.gate.begin(ctx, m.clock.Now, m.sleep)
	defer end()
	full = isRelistDue()
	watch := masticway.WatchRequest{Table: m.table, Since: m.currentVersion(), MaxWait: m.maxWait, MaxBytes: maxWatchBytes}
	m.metrics.Add(metricCalls, 1)
	began := m.clock.Now()
	var reading masticway.RowReading
	if full {
		reading, err = store.Read(ctx, m.table, m.part)
	} else {
		reading, err = store.Watch(ctx, watch)
	}
	if historyLost, ok := errors.AsType[*masticway.HistoryLostError](err); ok {
		m.restart(ctx, historyLost)
	}
	if err != nil {
		m.metrics.Add(metricFailures, 1)
		return full, errors.Join(err, context.Cause(ctx))
	}
	m.metrics.Add(metricBytes, reading.Bytes())
	m.accept(full, reading, began)
	return full, nil
}

// accept applies the result of a read whose call began at a time. It drops a full read that is older than the changes that have already
// been applied, because it would undo them, and everything that was read in an earlier era.
func (m *tableWatcher) accept(full bool, reading masticway.RowReading, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if full && reading.Version < m.applied || masticway.StoreEra(reading.Version) < masticway.StoreEra(m.applied) {
		m.log.WithFields(m.versionFields("reading_dropped", reading)).Info("dropped a reading that is older than what was applied")
		return
	}
	if masticway.StoreEra(reading.Version) != masticway.StoreEra(m.applied) {
		m.log.WithFields(m.versionFields("store_era", reading)).Info("the store's era has changed")
	}
	m.apply(full, reading)
	if m.onRead != nil {
		m.onRead(began.Add(-reading.Age))
	}
	m.version = max(m.version, reading.Version)
	m.applied = m.version
	if full {
		m.listedAt, m.size = m.clock.Now(), reading.Bytes()
	}
}

// versionFields returns the fields of a log line that compares a reading with what has been applied.
func (m *tableWatcher) versionFields(event string, reading masticway.RowReading) logrus.Fields {
	return logrus.Fields{
		"event": event, "table": m.table, "era": masticway.StoreEra(reading.Version), "version": masticway.StoreNumber(reading.Version),
		"known_era": masticway.StoreEra(m.applied), "known_version": masticway.StoreNumber(m.applied),
	}
}

// restart makes the next read a full one, because the changes since m.version are lost or too large. If another read has changed
// m.version meanwhile, it leaves the next read as it is. After an era has ended, it first waits for a random time, because all
// routers notice that at the same time.
func (m *tableWatcher) restart(ctx context.Context, historyLost *masticway.HistoryLostError) {
	if historyLost.IsEraEnded() {
		m.sleep(ctx, rand.N(eraSpread+time.Duration(m.listedSize())*time.Second/eraReadRate))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == historyLost.Since {
		m.version = 0
	}
	m.log.WithFields(logrus.Fields{"event": "history_lost", "table": m.table, "since": masticway.StoreNumber(historyLost.Since), "era": masticway.StoreEra(historyLost.Since), "large": historyLost.TooLarge, "era_ended": historyLost.IsEraEnded()}).Info("reading the table in full")
}

// handleFailure records a failed read and waits for retryInterval. It returns at once after the first failure, because only the
// connection may have failed, and if the error does not mean that the store is unreachable.
func (m *tableWatcher) handleFailure(ctx context.Context, full bool, err error) {
	if _, historyLost := errors.AsType[*masticway.HistoryLostError](err); historyLost || errors.Is(err, errSuperseded) {
		return
	}
	if m.failing.Swap(true) {
		m.sleep(ctx, retryInterval)
	} else {
		m.log.WithFields(logrus.Fields{"event": "store_lost", "table": m.table, "error": err}).Warn("store is unreachable")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.rowsExpire:
		m.listedAt = time.Time{}
	case full:
		// Continue with changes from the current version; a table that may be large is not read in full again at once.
		m.listedAt = m.clock.Now()
	}
}
