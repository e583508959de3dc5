package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
	"github.com/masticway/masticway/relayer"
)

// How a way to the store fails.
const (
	works int32 = iota
	busy
	silent
	losing
	// overRate refuses for the store's rate, mostlyOver six calls of seven.
	overRate
	mostlyOver
	// slow answers late.
	slow
)

// slowAnswer is longer than a direct way may usually take alone.
const slowAnswer = 110 * time.Millisecond

// way is one router's way to the store.
type way struct {
	rows *emulator.Rows
	how  atomic.Int32
	used atomic.Int32
	// parts are those that were asked for, by name.
	parts sync.Map
}

func (w *way) pass(ctx context.Context) error {
	used := w.used.Add(1)
	switch how := w.how.Load(); {
	case how == overRate, how == mostlyOver && used%7 != 0:
		return &masticway.UnavailableError{Service: "rows", Reason: "over its rate", RateLimited: true}
	case how == slow:
		time.Sleep(slowAnswer)
	case how == busy:
		return &masticway.UnavailableError{Service: "rows", Reason: "busy"}
	case how == silent:
		select {
		case <-ctx.Done():
		case <-time.After(700 * time.Millisecond):
		}
		return &masticway.OutcomeUnknownError{Service: "rows", Reason: "silent"}
	}
	return nil
}

func (w *way) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	w.parts.Store(part, true)
	if err := w.pass(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	return w.rows.Read(ctx, table, part)
}

func (w *way) Write(ctx context.Context, write masticway.RowWrite) (masticway.RowReading, error) {
	if err := w.pass(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	made, err := w.rows.Write(ctx, write)
	if w.how.Load() == losing {
		return masticway.RowReading{}, &masticway.OutcomeUnknownError{Service: "rows", Reason: "answer lost"}
	}
	return made, err
}

func (w *way) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	if err := w.pass(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	return w.rows.Watch(ctx, f)
}

// fleet is two routers on one store.
type fleet struct {
	rows   *emulator.Rows
	own    *way
	other  *way
	store  *relayer.Store
	helper *relayer.Store
	// address is where the other router is reached.
	address string
	// logs have what each router logs.
	logs map[*relayer.Store]*test.Hook
}

// turnedAway tells that the router has logged that the store turns it away.
func (f *fleet) turnedAway() bool {
	return slices.ContainsFunc(f.logs[f.store].AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == "store_turned_away" })
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{rows: emulator.NewRows(time.Now), logs: map[*relayer.Store]*test.Hook{}}
	f.own, f.other = &way{rows: f.rows}, &way{rows: f.rows}
	f.store, f.helper = f.router(t, f.own), f.router(t, f.other)
	mux := http.NewServeMux()
	f.helper.Serve(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

// router returns a router with a way to the store, which asks the other one.
func (f *fleet) router(t *testing.T, w masticway.RowStore) *relayer.Store {
	log, hook := test.NewNullLogger()
	s := relayer.New(w, messenger.NewClient(), masticway.SystemClock{}, logrus.NewEntry(log), measurer.New())
	t.Cleanup(s.Close)
	f.logs[s] = hook
	s.Ask(func() []string { return []string{f.address} })
	return s
}

// turnAway lets direct calls fail until the router is sure that it is turned away. Before that a slow machine may have it ask the
// other router, as a direct call takes long.
func (f *fleet) turnAway(t *testing.T) {
	for began := time.Now(); time.Since(began) < 5*time.Second; {
		_, err := f.store.Read(t.Context(), "t", "0")
		if f.turnedAway() && f.other.used.Load() > 0 {
			qt.Assert(t, err, qt.IsNil)
			return
		}
	}
	t.Fatal("no other router was ever asked")
}

func TestSingleRefusalsAreNotRelayed(t *testing.T) {
	f := newFleet(t)
	for range 20 {
		f.own.how.Store(busy)
		_, err := f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNotNil)
		f.own.how.Store(works)
		_, err = f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, f.other.used.Load(), qt.Equals, int32(0), qt.Commentf("a store over its rate was asked twice"))
}

// TestStoreOverItsRateIsNoPartition has a store that refuses six calls of seven, as one does that thirty routers ask more
// than it takes: each call made through another router as well would double what is too much already.
func TestStoreOverItsRateIsNoPartition(t *testing.T) {
	f := newFleet(t)
	f.own.how.Store(mostlyOver)
	for range 42 {
		_, _ = f.store.Read(t.Context(), "t", "0")
		time.Sleep(25 * time.Millisecond)
	}
	qt.Assert(t, f.other.used.Load(), qt.Equals, int32(0))
}

// TestRouterThatIsOnlyEverRefusedIsHelped has a store that turns one router away by its rate, without end.
func TestRouterThatIsOnlyEverRefusedIsHelped(t *testing.T) {
	f := newFleet(t)
	f.own.how.Store(overRate)
	f.turnAway(t)
}

// TestSlowStoreIsNotAskedTwice has a store that is slow for everybody: once that is known, calls are made once.
func TestSlowStoreIsNotAskedTwice(t *testing.T) {
	f := newFleet(t)
	f.own.how.Store(slow)
	f.other.how.Store(slow)
	for range 12 {
		_, _ = f.store.Read(t.Context(), "t", "0")
	}
	asked := f.other.used.Load()
	for range 8 {
		_, err := f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, f.other.used.Load(), qt.Equals, asked)
}

var key = masticway.RowKey{Table: "t", Part: "0", Key: "k"}

func put(version int64, value string) masticway.RowWrite {
	return masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: version}}, Puts: []masticway.RowPut{{RowKey: key, Value: []byte(value)}},
	}
}

func TestCallsGoThroughAnotherRouter(t *testing.T) {
	cases := map[string]int32{"the store is there": works, "the store turns one away": busy, "the store is silent to one": silent}
	for name, how := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.own.how.Store(how)
			if how == busy {
				f.turnAway(t)
			}
			soon := func(d time.Duration) func() {
				began := time.Now()
				return func() { qt.Assert(t, time.Since(began) < d, qt.IsTrue, qt.Commentf("the silent way was waited for")) }
			}
			done := soon(250 * time.Millisecond)
			made, err := f.store.Write(t.Context(), put(0, "a"))
			done()
			qt.Assert(t, err, qt.IsNil)
			done = soon(250 * time.Millisecond)
			reading, err := f.store.Read(t.Context(), "t", "0")
			done()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(reading.Rows[0].Value), qt.Equals, "a")
			qt.Assert(t, reading.Rows[0].Version, qt.Equals, made.Version)
			done = soon(600 * time.Millisecond)
			reading, err = f.store.Watch(t.Context(), masticway.WatchRequest{Table: "t", Since: made.Version - 1, MaxWait: 50 * time.Millisecond})
			done()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reading.Rows, qt.HasLen, 1)
			var conflict *masticway.RowConflictError
			_, err = f.store.Write(t.Context(), put(0, "b"))
			qt.Assert(t, err, qt.ErrorAs, &conflict)
			qt.Assert(t, string(conflict.Rows[0].Value), qt.Equals, "a")
			f.rows.Compact()
			var lost *masticway.HistoryLostError
			_, err = f.store.Watch(t.Context(), masticway.WatchRequest{Table: "t", Since: made.Version - 1, MaxWait: 50 * time.Millisecond})
			qt.Assert(t, err, qt.ErrorAs, &lost)
			qt.Assert(t, f.other.used.Load() > 0, qt.Equals, how != works)
		})
	}
}

func TestFailuresOfAllWaysKeepTheirMeaning(t *testing.T) {
	cases := map[string]struct {
		own, other int32
		unknown    bool
	}{
		"both turned away":         {own: busy, other: busy},
		"own silent, other away":   {own: silent, other: busy, unknown: true},
		"own away, other silent":   {own: busy, other: silent, unknown: true},
		"own lost, other silent":   {own: losing, other: silent, unknown: true},
		"nobody can tell anything": {own: silent, other: silent, unknown: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.own.how.Store(tc.own)
			if tc.own == busy {
				f.turnAway(t)
			}
			f.other.how.Store(tc.other)
			_, err := f.store.Write(t.Context(), put(0, "a"))
			_, unknown := errors.AsType[*masticway.OutcomeUnknownError](err)
			_, nothing := errors.AsType[*masticway.UnavailableError](err)
			qt.Assert(t, unknown, qt.Equals, tc.unknown, qt.Commentf("%v", err))
			qt.Assert(t, nothing, qt.Equals, !tc.unknown)
			_, err = f.store.Read(t.Context(), "t", "0")
			_, nothing = errors.AsType[*masticway.UnavailableError](err)
			if tc.own != losing {
				qt.Assert(t, nothing, qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

func TestWriteWhoseAnswerWasLostIsFoundByTheOtherWay(t *testing.T) {
	f := newFleet(t)
	f.own.how.Store(busy)
	f.turnAway(t)
	f.own.how.Store(losing)
	_, err := f.store.Write(t.Context(), put(0, "a"))
	if err == nil {
		// The other way was faster than the one that lost its answer.
		return
	}
	var conflict *masticway.RowConflictError
	qt.Assert(t, err, qt.ErrorAs, &conflict)
	qt.Assert(t, string(conflict.Rows[0].Value), qt.Equals, "a")
}

func TestDirectWayIsTakenAgain(t *testing.T) {
	f := newFleet(t)
	var back atomic.Int32
	f.store.WhenBack(func() { back.Add(1) })
	f.own.how.Store(busy)
	f.turnAway(t)
	qt.Assert(t, back.Load(), qt.Equals, int32(0))
	f.own.how.Store(works)
	f.other.how.Store(busy)
	var err error
	for range 50 {
		if _, err = f.store.Read(t.Context(), "t", "0"); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, err, qt.IsNil)
	for range 100 {
		// Another call may have found it back, and be about to tell.
		if back.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, back.Load(), qt.Equals, int32(1))
	for i := range 5 {
		// Calls that were begun before may still reach the other router, so each has a part of its own.
		part := fmt.Sprintf("straight-%d", i)
		own := f.own.used.Load()
		began := time.Now()
		_, err = f.store.Read(t.Context(), "t", part)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.own.used.Load(), qt.Equals, own+1)
		if time.Since(began) < 50*time.Millisecond {
			// A direct call that takes longer is made on the other way too.
			_, relayed := f.other.parts.Load(part)
			qt.Assert(t, relayed, qt.IsFalse)
		}
	}
}

func TestSilentWayIsNotWaitedForOnceNobodyCouldHelp(t *testing.T) {
	f := newFleet(t)
	f.own.how.Store(silent)
	f.other.how.Store(busy)
	began := time.Now()
	_, err := f.store.Write(t.Context(), put(0, "a"))
	var unknown *masticway.OutcomeUnknownError
	qt.Assert(t, err, qt.ErrorAs, &unknown)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("the silent way takes 700 ms"))
}

func TestOrdersGoNoFurtherThanOneRouter(t *testing.T) {
	f := newFleet(t)
	f.own.how.Store(busy)
	f.other.how.Store(busy)
	for range 40 {
		_, err := f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNotNil)
		time.Sleep(10 * time.Millisecond)
	}
	used := f.other.used.Load()
	_, err := f.store.Read(t.Context(), "t", "0")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, f.other.used.Load() <= used+1, qt.IsTrue, qt.Commentf("a router that is turned away as well still tried"))
}
