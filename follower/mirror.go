package follower

import (
	"context"
	"errors"
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

	// failing is set when a read with the usual timeout fails, until one succeeds.
	failing atomic.Bool
	// gate lets only one large response arrive at a time.
	gate readGate

	mu sync.Mutex
	// version is the store version up to which changes have been applied. It is zero before the first read. It is also zero from
	// when changes were lost until the next full read.
	version int64
	// era is the store's era at the last read.
	era int64
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
	ctx, end := m.gate.begin(ctx, m.sleep)
	defer end()
	full = isRelistDue()
	watch := masticway.WatchRequest{Table: m.table, Since: m.currentVersion(), MaxWait: m.maxWait, MaxBytes: maxWatchBytes}
	m.metrics.Add(metricCalls, 1)
	var reading masticway.RowReading
	if full {
		reading, err = store.Read(ctx, m.table, m.part)
	} else {
		reading, err = store.Watch(ctx, watch)
	}
	if historyLost, ok := errors.AsType[*masticway.HistoryLostError](err); ok {
		m.restart(historyLost)
	}
	if err != nil {
		m.metrics.Add(metricFailures, 1)
		return full, errors.Join(err, context.Cause(ctx))
	}
	m.metrics.Add(metricBytes, reading.Bytes())
	m.accept(full, reading)
	return full, nil
}

// accept applies the result of a read. It drops a full read that is older than the changes that have already been applied,
// because it would undo them.
func (m *tableWatcher) accept(full bool, reading masticway.RowReading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reading.Era != m.era {
		m.log.WithFields(logrus.Fields{"event": "store_era", "table": m.table, "era": reading.Era, "previous": m.era, "version": reading.Version, "known_version": m.version, "full": full}).Info("the store's era has changed")
		m.era = reading.Era
	}
	if full && reading.Version < m.version {
		m.log.WithFields(logrus.Fields{"event": "reading_dropped", "table": m.table, "era": reading.Era, "version": reading.Version, "known_version": m.version}).Info("dropped a full read that is older than the changes applied")
		return
	}
	m.apply(full, reading)
	m.version = max(m.version, reading.Version)
	if full {
		m.listedAt, m.size = m.clock.Now(), reading.Bytes()
	}
}

// restart makes the next read a full one, because the changes since m.version are lost or too large. If another read has changed
// m.version meanwhile, it leaves the next read as it is.
func (m *tableWatcher) restart(historyLost *masticway.HistoryLostError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == historyLost.Since {
		m.version = 0
	}
	m.log.WithFields(logrus.Fields{"event": "history_lost", "table": m.table, "since": historyLost.Since, "large": historyLost.TooLarge}).Info("reading the table in full")
}

// handleFailure records a failed read and waits for retryInterval. It returns at once if the error does not mean that the store
// is unreachable.
func (m *tableWatcher) handleFailure(ctx context.Context, full bool, err error) {
	if _, historyLost := errors.AsType[*masticway.HistoryLostError](err); historyLost || errors.Is(err, errSuperseded) {
		return
	}
	if !m.failing.Swap(true) {
		m.log.WithFields(logrus.Fields{"event": "store_lost", "table": m.table, "error": err}).Warn("store is unreachable")
	}
	m.sleep(ctx, retryInterval)
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
