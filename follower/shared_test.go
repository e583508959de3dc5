package follower_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/follower"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/sharer"
)

// agedReader is a router whose last reading of the store is some time old when it replies, and has nothing new.
type agedReader struct {
	age   time.Duration
	asked atomic.Int64
}

func (r *agedReader) Ask(_ context.Context, _ string, req sharer.Request) (sharer.Reply, error) {
	r.asked.Add(1)
	return sharer.Reply{Status: sharer.StatusOK, Reading: masticway.RowReading{Version: req.Since}, Age: r.age, Rate: 1 << 20}, nil
}

// TestSharedReadingCountsFromReadersReading guards against streams that go on at another version because a router that reads the servers
// through another one takes an older reading for one that began with its own call.
func TestSharedReadingCountsFromReadersReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &agedReader{age: 800 * time.Millisecond}
		rows := emulator.NewRowStore(time.Now)
		log := logger.Discard().WithField("", "")
		store := sharer.New(sharer.Dependencies{
			Store: rows, Readers: reader, Choose: func() ([]string, bool) { return []string{"reader"}, false }, Clock: masticway.SystemClock{}, Log: log, Metrics: measurer.New(),
		}, sharer.Table{Name: decoder{}.ServerTable(), Projection: func(_ string, value []byte) any { return string(value) }})
		f := follower.New(store, store, decoder{}, masticway.SystemClock{}, log, measurer.New(), func(follower.Snapshot) {})
		readings := 0
		f.OnServersRead(func(began time.Time) {
			if reader.asked.Load() < 3 {
				return
			}
			readings++
			qt.Check(t, time.Since(began) >= reader.age-time.Millisecond, qt.IsTrue, qt.Commentf("a reading counts as %v old", time.Since(began)))
		})
		configuration, server := configurationRow(1, 0), serverRow("i-1", 0, masticway.ServerReady)
		rows.Put(configuration.RowKey, configuration.Value)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		// The traffic of a large table makes the router ask a reader.
		for range 150 {
			rows.Put(server.RowKey, append(bytes.Clone(server.Value), bytes.Repeat([]byte(" "), 5_000)...))
			time.Sleep(75 * time.Millisecond)
		}
		stop()
		<-done
		qt.Check(t, readings > 0, qt.IsTrue, qt.Commentf("%d asked", reader.asked.Load()))
	})
}
