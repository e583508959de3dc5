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
	// relistInterval is how often a table is read anew at most, should its changes have left something out.
	relistInterval = 2500 * time.Millisecond
	// maxRelistRate bounds what these readings take of a router's link, in bytes a second: half of the 8 KB that control may
	// take at the size to design for. A configuration of 0.8 MB that was read anew every 2.5 s took a third of a link of
	// 10 Mbit/s from callers, and what was given up and begun again all of it.
	maxRelistRate = 4 << 10
	// maxWatchBytes is how large changes may be that are read as such, 16 KB, some tens of servers. Changes have each version
	// of a row: a router that was behind by four versions of a configuration of 0.3 MB took 3 s for them on a link of
	// 10 Mbit/s, in which others came. The table itself has the newest alone, so that of two readings the second brings it.
	maxWatchBytes = 16 << 10
)

// tableWatcher follows one table of the store: it reads the table whole and then its changes.
type tableWatcher struct {
	*Follower
	table, part string
	// interval separates two calls, wait is how long one may wait for changes, relist how often the table is read anew at most.
	interval, maxWait, relistInterval time.Duration
	// rowsExpire tells that rows vanish while the store is away, so that the table is read whole after an outage.
	rowsExpire bool
	// apply is given what was read; whole readings hold all rows of the table.
	apply func(full bool, reading masticway.RowReading)

	// failing tells that the usual readings fail.
	failing atomic.Bool
	// gate lets one large reading arrive at a time.
	gate readGate

	mu sync.Mutex
	// version is the version up to which changes have been taken, zero before the first reading.
	version int64
	// listedAt is when the table was last read whole, and size what it had then, in bytes.
	listedAt time.Time
	size     int64
}

// run follows the table with the usual time limits until the context ends.
func (m *tableWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if full, err := m.read(ctx, m.store, m.isRelistDue); err != nil {
			m.handleFailure(ctx, full, err)
			continue
		}
		if m.failing.Swap(false) {
			m.log.WithFields(logrus.Fields{"event": "store_regained", "table": m.table}).Info("store answers again")
		}
		m.sleep(ctx, m.interval)
	}
}

// runFallback reads with longer time limits while the usual readings fail.
func (m *tableWatcher) runFallback(ctx context.Context) {
	for ctx.Err() == nil {
		m.sleep(ctx, fallbackInterval)
		if !m.failing.Load() {
			continue
		}
		// Failures are logged by the usual readings.
		_, _ = m.read(ctx, m.fallback, func() bool { return m.rowsExpire || m.currentVersion() == 0 })
	}
}

// currentVersion returns the version up to which changes have been taken.
func (m *tableWatcher) currentVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// isRelistDue tells that the table is to be read whole.
func (m *tableWatcher) isRelistDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := max(m.relistInterval, time.Duration(m.size)*time.Second/maxRelistRate)
	return m.version == 0 || m.clock.Now().Sub(m.listedAt) > interval
}

// read reads the table, whole if it is due when its turn comes, or its next changes, and takes them.
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

// accept takes a reading. One that is older than what was taken since it began is left out if it is whole: rows that are
// missing or present in it may have changed since.
func (m *tableWatcher) accept(full bool, reading masticway.RowReading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if full && reading.Version < m.version {
		return
	}
	m.apply(full, reading)
	m.version = max(m.version, reading.Version)
	if full {
		m.listedAt, m.size = m.clock.Now(), reading.Bytes()
	}
}

// restart begins anew, unless another reading has gone on meanwhile.
func (m *tableWatcher) restart(historyLost *masticway.HistoryLostError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == historyLost.Since {
		m.version = 0
	}
	m.log.WithFields(logrus.Fields{"event": "history_lost", "table": m.table, "since": historyLost.Since, "large": historyLost.TooLarge}).Info("reading the table anew")
}

// handleFailure notes that a reading failed and waits for the next.
func (m *tableWatcher) handleFailure(ctx context.Context, full bool, err error) {
	if _, historyLost := errors.AsType[*masticway.HistoryLostError](err); historyLost || errors.Is(err, errSuperseded) {
		// Neither is an outage.
		return
	}
	if !m.failing.Swap(true) {
		m.log.WithFields(logrus.Fields{"event": "store_lost", "table": m.table, "error": err}).Warn("store cannot be reached")
	}
	m.sleep(ctx, retryInterval)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.rowsExpire:
		m.listedAt = time.Time{}
	case full:
		// What is known is followed; a table that is large is not tried again at once.
		m.listedAt = m.clock.Now()
	}
}
