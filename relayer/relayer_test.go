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

// Modes of a path to the store.
const (
	pathWorks int32 = iota
	// pathUnavailable fails at once and makes no call.
	pathUnavailable
	// pathSilent fails with an unknown outcome after 700 ms and makes no call.
	pathSilent
	// pathLosesAnswers makes a write and then reports an unknown outcome.
	pathLosesAnswers
	// pathRateLimited rejects every call for the store's rate, pathMostlyRateLimited six calls of seven.
	pathRateLimited
	pathMostlyRateLimited
	// pathSlow answers after slowAnswerTime.
	pathSlow
)

// slowAnswerTime is longer than the minimum hedge delay.
const slowAnswerTime = 110 * time.Millisecond

// storePath is a router's path to the store.
type storePath struct {
	rows  *emulator.RowStore
	mode  atomic.Int32
	calls atomic.Int32
	// requestedParts are the names of the parts that were read.
	requestedParts sync.Map
}

func (p *storePath) begin(ctx context.Context) error {
	used := p.calls.Add(1)
	switch mode := p.mode.Load(); {
	case mode == pathRateLimited, mode == pathMostlyRateLimited && used%7 != 0:
		return &masticway.UnavailableError{Service: "rows", Reason: "over its rate", RateLimited: true}
	case mode == pathSlow:
		time.Sleep(slowAnswerTime)
	case mode == pathUnavailable:
		return &masticway.UnavailableError{Service: "rows", Reason: "busy"}
	case mode == pathSilent:
		select {
		case <-ctx.Done():
		case <-time.After(700 * time.Millisecond):
		}
		return &masticway.OutcomeUnknownError{Service: "rows", Reason: "silent"}
	}
	return nil
}

func (p *storePath) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	p.requestedParts.Store(part, true)
	if err := p.begin(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	return p.rows.Read(ctx, table, part)
}

func (p *storePath) Write(ctx context.Context, write masticway.RowWrite) (masticway.RowReading, error) {
	if err := p.begin(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	made, err := p.rows.Write(ctx, write)
	if p.mode.Load() == pathLosesAnswers {
		return masticway.RowReading{}, &masticway.OutcomeUnknownError{Service: "rows", Reason: "answer lost"}
	}
	return made, err
}

func (p *storePath) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	if err := p.begin(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	return p.rows.Watch(ctx, f)
}

// routerPair is two routers with one store. The router of interest is store, the other one is helper.
type routerPair struct {
	rows      *emulator.RowStore
	ownPath   *storePath
	otherPath *storePath
	store     *relayer.Store
	helper    *relayer.Store
	// address is the address of the other router.
	address string
	// logs are the log entries of each router.
	logs map[*relayer.Store]*test.Hook
}

// isDirectDown reports whether the router has logged that its direct path is down.
func (f *routerPair) isDirectDown() bool {
	return slices.ContainsFunc(f.logs[f.store].AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == "store_turned_away" })
}

func newRouterPair(t *testing.T) *routerPair {
	f := &routerPair{rows: emulator.NewRowStore(time.Now), logs: map[*relayer.Store]*test.Hook{}}
	f.ownPath, f.otherPath = &storePath{rows: f.rows}, &storePath{rows: f.rows}
	f.store, f.helper = f.newRouter(t, f.ownPath), f.newRouter(t, f.otherPath)
	mux := http.NewServeMux()
	f.helper.Serve(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

// newRouter returns a router with a path to the store. It relays calls to the other router.
func (f *routerPair) newRouter(t *testing.T, path masticway.RowStore) *relayer.Store {
	return f.newRouterWithClock(t, path, masticway.SystemClock{})
}

// newRouterWithClock is like newRouter, but the router measures its delays with the given clock.
func (f *routerPair) newRouterWithClock(t *testing.T, path masticway.RowStore, clock masticway.Clock) *relayer.Store {
	log, hook := test.NewNullLogger()
	s := relayer.New(path, messenger.NewClient(), clock, logrus.NewEntry(log), measurer.New())
	t.Cleanup(s.Close)
	f.logs[s] = hook
	s.SetPeers(func() []string { return []string{f.address} })
	return s
}

// takeDirectDown makes direct calls fail until the router has marked its direct path as down. On a slow machine, the router may
// relay calls before that, because a direct call takes long.
func (f *routerPair) takeDirectDown(t *testing.T) {
	for began := time.Now(); time.Since(began) < 5*time.Second; {
		_, err := f.store.Read(t.Context(), "t", "0")
		if f.isDirectDown() && f.otherPath.calls.Load() > 0 {
			qt.Assert(t, err, qt.IsNil)
			return
		}
	}
	t.Fatal("the direct path was not marked as down, or no call was relayed")
}

func TestSingleFailuresAreNotRelayed(t *testing.T) {
	f := newRouterPair(t)
	for range 20 {
		f.ownPath.mode.Store(pathUnavailable)
		_, err := f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNotNil)
		f.ownPath.mode.Store(pathWorks)
		_, err = f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, f.otherPath.calls.Load(), qt.Equals, int32(0), qt.Commentf("a call was relayed"))
}

// TestRateLimitedStoreIsNotRelayed has a store that rejects six calls of seven, as it does if thirty routers exceed its rate.
// Relaying each call would double a load that is already too high.
func TestRateLimitedStoreIsNotRelayed(t *testing.T) {
	f := newRouterPair(t)
	f.ownPath.mode.Store(pathMostlyRateLimited)
	for range 42 {
		_, _ = f.store.Read(t.Context(), "t", "0")
		time.Sleep(25 * time.Millisecond)
	}
	qt.Assert(t, f.otherPath.calls.Load(), qt.Equals, int32(0))
}

// TestAlwaysRateLimitedRouterIsRelayed has a store that rejects all calls of one router for its rate.
func TestAlwaysRateLimitedRouterIsRelayed(t *testing.T) {
	f := newRouterPair(t)
	f.ownPath.mode.Store(pathRateLimited)
	f.takeDirectDown(t)
}

// TestSlowStoreIsNotHedged has a store that is slow for all routers. Once the routers have measured that, each call is made only
// once.
func TestSlowStoreIsNotHedged(t *testing.T) {
	f := newRouterPair(t)
	f.ownPath.mode.Store(pathSlow)
	f.otherPath.mode.Store(pathSlow)
	for range 12 {
		_, _ = f.store.Read(t.Context(), "t", "0")
	}
	relayedBefore := f.otherPath.calls.Load()
	for range 8 {
		_, err := f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, f.otherPath.calls.Load(), qt.Equals, relayedBefore)
}

var key = masticway.RowKey{Table: "t", Part: "0", Key: "k"}

func newPut(version int64, value string) masticway.RowWrite {
	return masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: version}}, Puts: []masticway.RowPut{{RowKey: key, Value: []byte(value)}},
	}
}

func TestCallsAreRelayed(t *testing.T) {
	cases := map[string]int32{"the store answers": pathWorks, "the store rejects one router": pathUnavailable, "the store is silent to one router": pathSilent}
	for name, mode := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRouterPair(t)
			f.ownPath.mode.Store(mode)
			if mode == pathUnavailable {
				f.takeDirectDown(t)
			}
			expectWithin := func(d time.Duration) func() {
				began := time.Now()
				return func() {
					qt.Assert(t, time.Since(began) < d, qt.IsTrue, qt.Commentf("the call waited for the silent path"))
				}
			}
			done := expectWithin(250 * time.Millisecond)
			made, err := f.store.Write(t.Context(), newPut(0, "a"))
			done()
			qt.Assert(t, err, qt.IsNil)
			done = expectWithin(250 * time.Millisecond)
			reading, err := f.store.Read(t.Context(), "t", "0")
			done()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(reading.Rows[0].Value), qt.Equals, "a")
			qt.Assert(t, reading.Rows[0].Version, qt.Equals, made.Version)
			done = expectWithin(600 * time.Millisecond)
			reading, err = f.store.Watch(t.Context(), masticway.WatchRequest{Table: "t", Since: made.Version - 1, MaxWait: 50 * time.Millisecond})
			done()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reading.Rows, qt.HasLen, 1)
			var conflict *masticway.RowConflictError
			_, err = f.store.Write(t.Context(), newPut(0, "b"))
			qt.Assert(t, err, qt.ErrorAs, &conflict)
			qt.Assert(t, string(conflict.Rows[0].Value), qt.Equals, "a")
			f.rows.Compact()
			var lost *masticway.HistoryLostError
			_, err = f.store.Watch(t.Context(), masticway.WatchRequest{Table: "t", Since: made.Version - 1, MaxWait: 50 * time.Millisecond})
			qt.Assert(t, err, qt.ErrorAs, &lost)
			qt.Assert(t, f.otherPath.calls.Load() > 0, qt.Equals, mode != pathWorks)
		})
	}
}

func TestFailuresOfBothPathsKeepTheirOutcome(t *testing.T) {
	cases := map[string]struct {
		own, other int32
		unknown    bool
	}{
		"both unavailable":              {own: pathUnavailable, other: pathUnavailable},
		"own silent, other unavailable": {own: pathSilent, other: pathUnavailable, unknown: true},
		"own unavailable, other silent": {own: pathUnavailable, other: pathSilent, unknown: true},
		"own answer lost, other silent": {own: pathLosesAnswers, other: pathSilent, unknown: true},
		"both silent":                   {own: pathSilent, other: pathSilent, unknown: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRouterPair(t)
			f.ownPath.mode.Store(tc.own)
			if tc.own == pathUnavailable {
				f.takeDirectDown(t)
			}
			f.otherPath.mode.Store(tc.other)
			_, err := f.store.Write(t.Context(), newPut(0, "a"))
			_, unknown := errors.AsType[*masticway.OutcomeUnknownError](err)
			_, unavailable := errors.AsType[*masticway.UnavailableError](err)
			qt.Assert(t, unknown, qt.Equals, tc.unknown, qt.Commentf("%v", err))
			qt.Assert(t, unavailable, qt.Equals, !tc.unknown)
			_, err = f.store.Read(t.Context(), "t", "0")
			_, unavailable = errors.AsType[*masticway.UnavailableError](err)
			if tc.own != pathLosesAnswers {
				qt.Assert(t, unavailable, qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

func TestRelayedWriteDetectsLostAnswer(t *testing.T) {
	f := newRouterPair(t)
	f.ownPath.mode.Store(pathUnavailable)
	f.takeDirectDown(t)
	f.ownPath.mode.Store(pathLosesAnswers)
	_, err := f.store.Write(t.Context(), newPut(0, "a"))
	if err == nil {
		// The relayed write was faster than the direct one whose answer was lost.
		return
	}
	var conflict *masticway.RowConflictError
	qt.Assert(t, err, qt.ErrorAs, &conflict)
	qt.Assert(t, string(conflict.Rows[0].Value), qt.Equals, "a")
}

func TestDirectPathIsRestored(t *testing.T) {
	f := newRouterPair(t)
	var restored atomic.Int32
	f.store.OnRestored(func() { restored.Add(1) })
	f.ownPath.mode.Store(pathUnavailable)
	f.takeDirectDown(t)
	qt.Assert(t, restored.Load(), qt.Equals, int32(0))
	f.ownPath.mode.Store(pathWorks)
	f.otherPath.mode.Store(pathUnavailable)
	var err error
	for range 50 {
		if _, err = f.store.Read(t.Context(), "t", "0"); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, err, qt.IsNil)
	for range 100 {
		// Another call may have found that the path is restored and be about to call the function.
		if restored.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, restored.Load(), qt.Equals, int32(1))
	for i := range 5 {
		// Earlier calls may still reach the other router, so each call reads a part of its own.
		part := fmt.Sprintf("direct-%d", i)
		own := f.ownPath.calls.Load()
		began := time.Now()
		_, err = f.store.Read(t.Context(), "t", part)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.ownPath.calls.Load(), qt.Equals, own+1)
		if time.Since(began) < 50*time.Millisecond {
			// A direct call that takes longer may be hedged.
			_, relayed := f.otherPath.requestedParts.Load(part)
			qt.Assert(t, relayed, qt.IsFalse)
		}
	}
}

func TestSilentDirectPathEndsAfterGrace(t *testing.T) {
	f := newRouterPair(t)
	f.ownPath.mode.Store(pathSilent)
	f.otherPath.mode.Store(pathUnavailable)
	began := time.Now()
	_, err := f.store.Write(t.Context(), newPut(0, "a"))
	var unknown *masticway.OutcomeUnknownError
	qt.Assert(t, err, qt.ErrorAs, &unknown)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("the silent path takes 700 ms"))
}

func TestRelayedCallsAreNotRelayedAgain(t *testing.T) {
	f := newRouterPair(t)
	f.ownPath.mode.Store(pathUnavailable)
	f.otherPath.mode.Store(pathUnavailable)
	for range 40 {
		_, err := f.store.Read(t.Context(), "t", "0")
		qt.Assert(t, err, qt.IsNotNil)
		time.Sleep(10 * time.Millisecond)
	}
	used := f.otherPath.calls.Load()
	_, err := f.store.Read(t.Context(), "t", "0")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, f.otherPath.calls.Load() <= used+1, qt.IsTrue, qt.Commentf("a router whose direct path is down still called the store"))
}

// TestRejectedWriteIsToldAndNotRelayed guards against a write that is too large for the store, for which the router takes its path to the
// store for down, or of which nobody learns.
func TestRejectedWriteIsToldAndNotRelayed(t *testing.T) {
	f := newRouterPair(t)
	for began := time.Now(); time.Since(began) < 300*time.Millisecond; {
		_, err := f.store.Write(t.Context(), masticway.RowWrite{Puts: []masticway.RowPut{{RowKey: masticway.RowKey{Table: "t", Part: "0", Key: "row"}, Value: make([]byte, 70_000)}}})
		rejected, ok := errors.AsType[*masticway.WriteRejectedError](err)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, rejected.Bytes, qt.Equals, 70_000)
	}
	qt.Check(t, f.isDirectDown(), qt.IsFalse)
	qt.Check(t, f.otherPath.calls.Load(), qt.Equals, int32(0))
	told := slices.ContainsFunc(f.logs[f.store].AllEntries(), func(e *logrus.Entry) bool {
		return e.Data["event"] == "store_write_rejected" && e.Data["row"] == "row" && e.Data["row_bytes"] == 70_000
	})
	qt.Check(t, told, qt.IsTrue)
}
