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

// countingStore counts the successful full reads of each table.
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

// TestLargeTablesAreRelistedRarely uses a configuration of 100 KB, which at 4 KB per second must not be read in full again
// for 25 s, and small registrations, which are read in full every 2.5 s.
func TestLargeTablesAreRelistedRarely(t *testing.T) {
	const large = 100_000
	rows := emulator.NewRowStore(time.Now)
	store := &countingStore{RowStore: rows, fullReads: map[string]int{}}
	f := follower.New(store, store, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Snapshot) {})
	// The decoder reads JSON, which ignores trailing spaces.
	putPadded := func(version int64) {
		row := configurationRow(version, 0)
		value := row.Value
		for len(value) < large {
			value = append(value, ' ')
		}
		rows.Put(row.RowKey, value)
	}
	putPadded(1)
	// A server's row changes with every heartbeat, and here more often than that.
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
	eventually(t, f, "first snapshot", func(b follower.Snapshot) bool { return b.IsReady() })
	qt.Assert(t, store.count("operator"), qt.Equals, 1)

	rows.SetFaults(emulator.RowFaults{Unavailable: true})
	time.Sleep(500 * time.Millisecond)
	putPadded(2)
	rows.SetFaults(emulator.RowFaults{})
	eventually(t, f, "after an outage", func(b follower.Snapshot) bool { return b.Deployment.Version == 2 })
	time.Sleep(3 * time.Second)
	// The table is read in full once per version, because changes of this size are not read as changes.
	qt.Check(t, store.count("operator"), qt.Equals, 2)
	qt.Check(t, store.count("upstreams") >= 2, qt.IsTrue, qt.Commentf("registrations were read in full %d times", store.count("upstreams")))

	rows.Compact()
	putPadded(3)
	eventually(t, f, "after compaction", func(b follower.Snapshot) bool { return b.Deployment.Version == 3 })
}

// blockingStore blocks one full read of the server table until it is released.
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

// TestDelayedFullReadRestoresNothing delays a full read of the servers until one of its rows has been deleted. The deleted
// server must not stay in use, and the configuration must keep up meanwhile.
func TestDelayedFullReadRestoresNothing(t *testing.T) {
	rows := emulator.NewRowStore(time.Now)
	for _, id := range []string{"i-1", "i-2"} {
		row := serverRow(id, 0, masticway.ServerReady)
		rows.Put(row.RowKey, row.Value)
	}
	putConfiguration(rows, 1)
	slow := &blockingStore{RowStore: rows, release: make(chan struct{}), blocked: make(chan struct{})}
	f := follower.New(slow, rows, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Snapshot) {})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer stop()
	<-slow.blocked
	rows.Delete(masticway.RowKey{Table: "upstreams", Key: "i-2"})
	putConfiguration(rows, 2)
	eventually(t, f, "the other table", func(b follower.Snapshot) bool { return b.Deployment.Version == 2 })
	close(slow.release)
	eventually(t, f, "the servers", func(b follower.Snapshot) bool { return b.ServersLoaded && len(b.Servers["p"]) == 1 })
}
