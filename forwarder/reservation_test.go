package forwarder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
)

// newFixtureWithReservations returns a fixture whose engines reserve capacity.
func newFixtureWithReservations(t *testing.T, servers int) *fixture {
	f := newFixtureWithRetries(t, servers, forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10})
	pool := f.snapshot.Deployment.Pools["llm"]
	pool.MaxReservation = 2 * time.Second
	f.snapshot.Deployment.Pools["llm"] = pool
	for _, s := range f.servers {
		s.SetCloseNotice(emulator.CloseNotice{Interval: 5 * time.Millisecond, OnlyReset: true})
	}
	return f
}

// overlap returns how long the first two runs went on at the same time.
func overlap(runs []emulator.OpaqueRun) time.Duration { return runs[0].EndedAt.Sub(runs[1].StartedAt) }

// TestStoppedRouterHasNoTwoEnginesAtWork guards against engines that both work on a request for as long as the router that hands it over
// has to wait for a processor.
func TestStoppedRouterHasNoTwoEnginesAtWork(t *testing.T) {
	const maxOverlap = 400 * time.Millisecond
	for name, tc := range map[string]struct {
		stream int
		fault  emulator.OpaqueFault
		body   string
	}{
		"before the first event": {stream: 5, fault: emulator.OpaqueHang, body: eventStream(1, 5)},
		"between two events":     {stream: 3, fault: emulator.OpaqueNoFault, body: eventStream(1, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithReservations(t, 2)
			f.clock.lateness = 700 * time.Millisecond
			f.setFaults(tc.fault, emulator.OpaqueStall)
			f.servers[0].SetStall(time.Second)
			f.servers[1].SetStream(tc.stream, 2*time.Second)
			f.servers[0].SetStream(tc.stream, time.Millisecond)
			got := f.do(t.Context(), "POST", "/resume/x")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, tc.body)
			runs := f.ledger.Runs()
			qt.Assert(t, runs, qt.HasLen, 2)
			qt.Assert(t, overlap(runs) < maxOverlap, qt.IsTrue, qt.Commentf("%s", overlap(runs)))
			qt.Assert(t, runs[1].Reservation, qt.Not(qt.Equals), "")
		})
	}
}

// TestReservationDecidesHandover guards against engines that are given up for others without capacity or although they go on, and against
// retries that are used up for requests that no server got.
func TestReservationDecidesHandover(t *testing.T) {
	for name, tc := range map[string]struct {
		second       emulator.OpaqueFault
		isClosed     bool
		reservations int
	}{
		"the other engine is full":           {second: emulator.OpaqueOverloaded},
		"the other engine does not listen":   {isClosed: true},
		"the first engine goes on meanwhile": {reservations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithReservations(t, 2)
			// The first engine goes on between its silence timeout and the end of the wait for that.
			f.clock.lateness = 700 * time.Millisecond
			f.setFaults(emulator.OpaqueNoFault, tc.second)
			f.servers[1].SetStream(2, 650*time.Millisecond)
			if tc.isClosed {
				f.servers[0].Close()
			}
			got := f.do(t.Context(), "POST", "/resume/x")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, eventStream(1, 2))
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
			qt.Assert(t, f.servers[0].Reservations() >= tc.reservations, qt.IsTrue)
		})
	}
}
