package follower_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/follower"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// countingStore counts the whole readings of each table that succeed.
type countingStore struct {
	masticway.RowStore
	mu        sync.Mutex
	fullReads map[string]int
}

func (c *countingStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	reading, err := c.RowStore.Read(ctx, table, part)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.fullReads[table]++
	}
	return reading, err
}

func (c *countingStore) count(table string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fullReads[table]
}

// TestLargeTablesAreRelistedRarely has a configuration of 100 KB, which at 4 KB a second is not read whole again
// for 25 s, and small registrations, which are every 2.5 s.
func TestLargeTablesAreRelistedRarely(t *testing.T) {
	const large = 100_000
	rows := emulator.NewRows(time.Now)
	store := &countingStore{RowStore: rows, fullReads: map[string]int{}}
	f := follower.New(store, store, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Beliefs) {})
	// The decoder reads JSON, in which blanks say nothing.
	putPadded := func(version int64) {
		row := configurationRow(version, 0)
		value := row.Value
		for len(value) < large {
			value = append(value, ' ')
		}
		rows.Put(row.RowKey, value)
	}
	putPadded(1)
	// A server's row changes with every heartbeat, here more often than any does.
	row := serverRow("i-1", 0, masticway.ServerReady)
	row.Value = append(row.Value, bytes.Repeat([]byte(" "), 1000)...)
	rows.Put(row.RowKey, row.Value)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			rows.Put(row.RowKey, row.Value)
		}
	})
	defer wg.Wait()
	defer stop()
	eventually(t, f, "first beliefs", func(b follower.Beliefs) bool { return b.Ready() })
	qt.Assert(t, store.count("operator"), qt.Equals, 1)

	rows.SetFaults(emulator.RowFaults{Busy: true})
	time.Sleep(500 * time.Millisecond)
	putPadded(2)
	rows.SetFaults(emulator.RowFaults{})
	eventually(t, f, "after an outage", func(b follower.Beliefs) bool { return b.Deployment.Version == 2 })
	time.Sleep(3 * time.Second)
	// Once for each version: a change of this size is read from the table.
	qt.Check(t, store.count("operator"), qt.Equals, 2)
	qt.Check(t, store.count("upstreams") >= 2, qt.IsTrue, qt.Commentf("registrations were read whole %d times", store.count("upstreams")))

	rows.Compact()
	putPadded(3)
	eventually(t, f, "after forgotten history", func(b follower.Beliefs) bool { return b.Deployment.Version == 3 })
}

// blockingStore gives one whole reading of a table only when it is told to.
type blockingStore struct {
	masticway.RowStore
	release chan struct{}
	blocked chan struct{}
	once    sync.Once
}

func (h *blockingStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	reading, err := h.RowStore.Read(ctx, table, part)
	if table == "upstreams" && err == nil && len(reading.Rows) > 0 {
		h.once.Do(func() {
			close(h.blocked)
			<-h.release
		})
	}
	return reading, err
}

// TestDelayedFullReadRestoresNothing has a whole reading that arrives after a newer one, which the other of the two
// readers made: what had gone in between must stay gone, and the configuration must go on.
func TestDelayedFullReadRestoresNothing(t *testing.T) {
	rows := emulator.NewRows(time.Now)
	for _, id := range []string{"i-1", "i-2"} {
		row := serverRow(id, 0, masticway.ServerReady)
		rows.Put(row.RowKey, row.Value)
	}
	putConfiguration(rows, 1)
	slow := &blockingStore{RowStore: rows, release: make(chan struct{}), blocked: make(chan struct{})}
	f := follower.New(slow, rows, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Beliefs) {})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer stop()
	<-slow.blocked
	rows.Delete(masticway.RowKey{Table: "upstreams", Key: "i-2"})
	putConfiguration(rows, 2)
	eventually(t, f, "the other table", func(b follower.Beliefs) bool { return b.Deployment.Version == 2 })
	close(slow.release)
	eventually(t, f, "the servers", func(b follower.Beliefs) bool { return b.Listed && len(b.Servers["p"]) == 1 })
}
