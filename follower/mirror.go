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
	// relistAfter is how often a table is read anew at most, should its changes have left something out.
	relistAfter = 2500 * time.Millisecond
	// relistRate bounds what these readings take of a router's link, in bytes a second: half of the 8 KB that control may
	// take at the size to design for. A configuration of 0.8 MB that was read anew every 2.5 s took a third of a link of
	// 10 Mbit/s from callers, and what was given up and begun again all of it.
	relistRate = 4 << 10
	// followMost is how large changes may be that are read as such, 16 KB, some tens of servers. Changes have each version
	// of a row: a router that was behind by four versions of a configuration of 0.3 MB took 3 s for them on a link of
	// 10 Mbit/s, in which others came. The table itself has the newest alone, so that of two readings the second brings it.
	followMost = 16 << 10
)

// mirror follows one table of the store: it reads the table whole and then its changes.
type mirror struct {
	*Follower
	table, part string
	// between separates two calls, wait is how long one may wait for changes, relist how often the table is read anew at most.
	between, wait, relist time.Duration
	// lapses tells that rows vanish while the store is away, so that the table is read whole after an outage.
	lapses bool
	// take is given what was read; whole readings hold all rows of the table.
	take func(whole bool, reading masticway.RowReading)

	// lost tells that the usual readings fail.
	lost atomic.Bool
	// turns lets one large reading arrive at a time.
	turns turns

	mu sync.Mutex
	// since is the version up to which changes have been taken, zero before the first reading.
	since int64
	// listedAt is when the table was last read whole, and size what it had then, in bytes.
	listedAt time.Time
	size     int64
}

// run follows the table with the usual time limits until the context ends.
func (m *mirror) run(ctx context.Context) {
	for ctx.Err() == nil {
		if whole, err := m.read(ctx, m.store, m.due); err != nil {
			m.fail(ctx, whole, err)
			continue
		}
		if m.lost.Swap(false) {
			m.log.WithFields(logrus.Fields{"event": "store_regained", "table": m.table}).Info("store answers again")
		}
		m.pause(ctx, m.between)
	}
}

// runPatiently reads with longer time limits while the usual readings fail.
func (m *mirror) runPatiently(ctx context.Context) {
	for ctx.Err() == nil {
		m.pause(ctx, patientPause)
		if !m.lost.Load() {
			continue
		}
		// Failures are logged by the usual readings.
		_, _ = m.read(ctx, m.patient, func() bool { return m.lapses || m.known() == 0 })
	}
}

// known returns the version up to which changes have been taken.
func (m *mirror) known() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since
}

// due tells that the table is to be read whole.
func (m *mirror) due() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pause := max(m.relist, time.Duration(m.size)*time.Second/relistRate)
	return m.since == 0 || m.clock.Now().Sub(m.listedAt) > pause
}

// read reads the table, whole if it is due when its turn comes, or its next changes, and takes them.
func (m *mirror) read(ctx context.Context, store masticway.RowStore, due func() bool) (whole bool, err error) {
	ctx, end := m.turns.begin(ctx, m.pause)
	defer end()
	whole = due()
	f := masticway.WatchRequest{Table: m.table, Since: m.known(), MaxWait: m.wait, MaxBytes: followMost}
	m.metrics.Add(metricCalls, 1)
	var reading masticway.RowReading
	if whole {
		reading, err = store.Read(ctx, m.table, m.part)
	} else {
		reading, err = store.Watch(ctx, f)
	}
	if lost, ok := errors.AsType[*masticway.HistoryLostError](err); ok {
		m.forget(lost)
	}
	if err != nil {
		m.metrics.Add(metricFailures, 1)
		return whole, errors.Join(err, context.Cause(ctx))
	}
	m.metrics.Add(metricBytes, reading.Bytes())
	m.accept(whole, reading)
	return whole, nil
}

// accept takes a reading. One that is older than what was taken since it began is left out if it is whole: rows that are
// missing or present in it may have changed since.
func (m *mirror) accept(whole bool, reading masticway.RowReading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if whole && reading.Version < m.since {
		return
	}
	m.take(whole, reading)
	m.since = max(m.since, reading.Version)
	if whole {
		m.listedAt, m.size = m.clock.Now(), reading.Bytes()
	}
}

// forget begins anew, unless another reading has gone on meanwhile.
func (m *mirror) forget(lost *masticway.HistoryLostError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.since == lost.Since {
		m.since = 0
	}
	m.log.WithFields(logrus.Fields{"event": "history_lost", "table": m.table, "since": lost.Since, "large": lost.TooLarge}).Info("reading the table anew")
}

// fail notes that a reading failed and waits for the next.
func (m *mirror) fail(ctx context.Context, whole bool, err error) {
	if _, forgotten := errors.AsType[*masticway.HistoryLostError](err); forgotten || errors.Is(err, errOvertaken) {
		// Neither is an outage.
		return
	}
	if !m.lost.Swap(true) {
		m.log.WithFields(logrus.Fields{"event": "store_lost", "table": m.table, "error": err}).Warn("store cannot be reached")
	}
	m.pause(ctx, failurePause)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.lapses:
		m.listedAt = time.Time{}
	case whole:
		// What is known is followed; a table that is large is not tried again at once.
		m.listedAt = m.clock.Now()
	}
}
