package follower

import (
	"context"
	"errors"
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
)

// followSlack is how much larger than the table changes may be. Changes have each version of a row: a router that was
// behind by four versions of a configuration of 0.3 MB took 3 s for them on a link of 10 Mbit/s, in which others came. The
// table itself has the newest alone.
const followSlack = 4 << 10

// mirror follows one table of the store: it reads the table whole and then its changes.
type mirror struct {
	*Follower
	table, part string
	// between separates two calls.
	between time.Duration
	// lapses tells that rows vanish while the store is away, so that the table is read whole after an outage.
	lapses bool
	// take is given what was read; whole readings hold all rows of the table.
	take func(whole bool, reading masticway.RowReading)

	// since is the version up to which changes have been taken, zero before the first reading.
	since atomic.Int64
	// size is that of the table's newest rows, as far as it is known.
	size atomic.Int64
	// lost tells that the usual readings fail.
	lost atomic.Bool
	// relistAt is when the table is read anew; it belongs to run.
	relistAt time.Time
}

// run follows the table with the usual time limits until the context ends.
func (m *mirror) run(ctx context.Context) {
	for ctx.Err() == nil {
		whole := m.since.Load() == 0 || m.clock.Now().After(m.relistAt)
		reading, err := m.read(ctx, m.store, whole)
		if err != nil {
			m.fail(ctx, err)
			continue
		}
		if m.lost.Swap(false) {
			m.log.WithFields(logrus.Fields{"event": "store_regained", "table": m.table}).Info("store answers again")
		}
		m.spare(whole, reading)
		m.take(whole, reading)
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
		whole := m.since.Load() == 0 || m.lapses
		reading, err := m.read(ctx, m.patient, whole)
		if err != nil {
			// The usual readings log that the store is lost.
			continue
		}
		m.take(whole, reading)
	}
}

// spare puts the next whole reading off by what this one took of the link.
func (m *mirror) spare(whole bool, reading masticway.RowReading) {
	pause := time.Duration(reading.Bytes() * int64(time.Second) / relistRate)
	if whole {
		pause = max(pause, relistAfter)
	}
	if next := m.clock.Now().Add(pause); next.After(m.relistAt) {
		m.relistAt = next
	}
}

// read reads the table whole or its next changes, and notes up to which version it is known.
func (m *mirror) read(ctx context.Context, store masticway.RowStore, whole bool) (reading masticway.RowReading, err error) {
	m.metrics.Add(metricCalls, 1)
	since := m.since.Load()
	if whole {
		reading, err = store.Read(ctx, m.table, m.part)
	} else {
		reading, err = store.Follow(ctx, masticway.Following{Table: m.table, Since: since, Wait: followWait, AtMost: m.size.Load() + followSlack})
	}
	if _, forgotten := errors.AsType[*masticway.HistoryLostError](err); forgotten {
		m.log.WithFields(logrus.Fields{"event": "history_lost", "table": m.table, "since": since}).Info("reading the table anew")
		m.since.CompareAndSwap(since, 0)
	}
	if err != nil {
		m.metrics.Add(metricFailures, 1)
		return reading, err
	}
	m.metrics.Add(metricBytes, reading.Bytes())
	m.measure(whole, reading)
	m.advance(reading.Version)
	return reading, nil
}

// measure notes how large the table is.
func (m *mirror) measure(whole bool, reading masticway.RowReading) {
	size := reading.Newest().Bytes()
	if whole || size > m.size.Load() {
		m.size.Store(size)
	}
}

// advance notes that changes are known up to a version; an older one takes nothing back.
func (m *mirror) advance(version int64) {
	for {
		since := m.since.Load()
		if version <= since || m.since.CompareAndSwap(since, version) {
			return
		}
	}
}

// fail notes that a reading failed and waits for the next; a forgotten history is no outage.
func (m *mirror) fail(ctx context.Context, err error) {
	if _, forgotten := errors.AsType[*masticway.HistoryLostError](err); forgotten {
		return
	}
	if !m.lost.Swap(true) {
		m.log.WithFields(logrus.Fields{"event": "store_lost", "table": m.table, "error": err}).Warn("store cannot be reached")
	}
	m.pause(ctx, failurePause)
	if m.lapses {
		m.relistAt = time.Time{}
	}
}
