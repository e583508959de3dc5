package sharer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/sharer"
)

// lateStore is a store whose answers arrive late.
type lateStore struct {
	masticway.RowStore
	delay time.Duration
}

func (s lateStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	reading, err := s.RowStore.Read(ctx, table, part)
	time.Sleep(s.delay)
	return reading, err
}

// TestReaderTellsWhenItsCallBegan guards against routers that take what a reader has read for newer than it is, because the store's
// answer reached the reader late.
func TestReaderTellsWhenItsCallBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := emulator.NewRowStore(time.Now)
		rows.Put(key(1), value("ready", 1))
		reader := sharer.New(sharer.Dependencies{
			Store: lateStore{rows, 2 * time.Second}, Choose: func() ([]string, bool) { return nil, true }, Clock: masticway.SystemClock{},
			Log: logger.Discard().WithField("", ""), Metrics: measurer.New(),
		}, sharer.Table{Name: table, Projection: rowState})
		_, err := reader.Read(t.Context(), table, "")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		reply := reader.HandleRequest(t.Context(), sharer.Request{Table: table, Whole: true})
		qt.Assert(t, reply.Status, qt.Equals, sharer.StatusOK)
		qt.Check(t, reply.Age.Round(time.Millisecond), qt.Equals, 500*time.Millisecond)
		qt.Check(t, reply.CallAge.Round(time.Millisecond), qt.Equals, 2500*time.Millisecond)
	})
}
