package follower_test

import (
	"context"
	"encoding/json"
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

func putConfiguration(rows *emulator.RowStore, version int64) {
	value, _ := json.Marshal(masticway.Deployment{Version: version})
	rows.Put(decoder{}.ConfigurationKey(), value)
}

// eventually waits until a condition on the newest snapshot is met.
func eventually(t *testing.T, f *follower.Follower, description string, isMet func(follower.Snapshot) bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if isMet(f.Snapshot()) {
			return
		}
	}
	t.Fatalf("%s: still %+v", description, f.Snapshot())
}

func TestWatchSurvivesOutagesAndCompaction(t *testing.T) {
	rows := emulator.NewRowStore(time.Now)
	var mu sync.Mutex
	updates := 0
	f := follower.New(rows, rows, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Snapshot) {
		mu.Lock()
		updates++
		mu.Unlock()
	})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer stop()

	eventually(t, f, "no configuration yet", func(b follower.Snapshot) bool { return b.ServersLoaded && !b.IsReady() })
	putConfiguration(rows, 1)
	eventually(t, f, "first configuration", func(b follower.Snapshot) bool { return b.IsReady() && b.Deployment.Version == 1 })
	putConfiguration(rows, 2)
	rows.Compact()
	putConfiguration(rows, 3)
	eventually(t, f, "after compaction", func(b follower.Snapshot) bool { return b.Deployment.Version == 3 })
	rows.SetFaults(emulator.RowFaults{Unavailable: true})
	putConfiguration(rows, 4)
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, f.Snapshot().Deployment.Version, qt.Equals, int64(3))
	rows.SetFaults(emulator.RowFaults{})
	eventually(t, f, "after an outage", func(b follower.Snapshot) bool { return b.Deployment.Version == 4 })
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, updates > 3, qt.IsTrue)
}

// timeoutStore gives up calls that take longer than its timeout.
type timeoutStore struct {
	masticway.RowStore
	timeout time.Duration
}

func (h timeoutStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.RowStore.Read(ctx, table, part)
}

func (h timeoutStore) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.RowStore.Watch(ctx, f)
}

// TestChangesArriveOverSaturatedLink guards against configuration changes that never arrive while a workspace saturates a
// router's link of 10 Mbit/s. Every call then takes longer than the usual timeout for as long as the load lasts. Within 3 s
// a change must be in force and a draining server out of use.
func TestChangesArriveOverSaturatedLink(t *testing.T) {
	const timeout, latency, maxDelay = 100 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second
	rows := emulator.NewRowStore(time.Now)
	f := follower.New(timeoutStore{rows, timeout}, timeoutStore{rows, 10 * latency}, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Snapshot) {})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer stop()
	register := func(state masticway.ServerState) {
		row := serverRow("i-1", 0, state)
		rows.Put(row.RowKey, row.Value)
	}
	putConfiguration(rows, 1)
	register(masticway.ServerReady)
	eventually(t, f, "first snapshot", func(b follower.Snapshot) bool { return b.Deployment.Version == 1 && len(b.Servers["p"]) == 1 })
	rows.SetFaults(emulator.RowFaults{Delay: latency})
	changed := time.Now()
	putConfiguration(rows, 2)
	register(masticway.ServerDraining)
	eventually(t, f, "changed snapshot", func(b follower.Snapshot) bool { return b.Deployment.Version == 2 && len(b.Servers["p"]) == 0 })
	qt.Assert(t, time.Since(changed) < maxDelay, qt.IsTrue)
}
