package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestFrozenEngine guards against sending runs to an engine that has stopped answering until its failures are noticed.
func TestFrozenEngine(t *testing.T) {
	e := newTestEngines(2)
	frozen := testServers(2)[0].Incarnation()
	// An earlier reservation that was never reported must not hide the frozen engine.
	e.Place(testStart, routerA, plainRun("unreported", 100, 10), allBut(2, "e-00"), nil)
	e.Record(testStart, routerB, sent(plainRun("other", 100, 10), frozen))
	now := testStart.Add(time.Second)
	e.Touch(now, routerB)
	for i := range 20 {
		c := place(e, now, plainRun(fmt.Sprint("r", i), 1000, 10))
		qt.Assert(t, c, qt.Not(qt.Equals), frozen, qt.Commentf("run %d", i))
	}
}

// TestDeadSenderSaysNothingAboutEngines guards against avoiding the engines of a dead router's runs as if they were frozen.
func TestDeadSenderSaysNothingAboutEngines(t *testing.T) {
	e := newTestEngines(2)
	engine := testServers(2)[0].Incarnation()
	e.Record(testStart, routerB, sent(plainRun("other", 100, 10), engine))
	now := testStart.Add(2 * time.Second)
	used := map[masticway.ServerIncarnation]bool{}
	for i := range 4 {
		used[place(e, now, plainRun(fmt.Sprint("r", i), 1000, 10))] = true
	}
	qt.Assert(t, used[engine], qt.IsTrue)
}

// TestFailingEngine guards against an engine that refuses connections, so that it has no load, and gets the next run of each of 31
// routers until each has noticed it. It also guards against never using such an engine again, and against avoiding engines because
// some callers disconnect early.
func TestFailingEngine(t *testing.T) {
	const engines = 4
	cases := map[string]struct {
		// fails reports whether the i-th run at e-00 ends without a first event.
		fails    func(i int) bool
		min, max int
	}{
		"all fail":       {fails: func(int) bool { return true }, min: 4, max: 20},
		"one of 5 fails": {fails: func(i int) bool { return i%5 == 4 }, min: 100, max: 150},
		"none fails":     {fails: func(int) bool { return false }, min: 100, max: 150},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(engines)
			failing := testServers(engines)[0].Incarnation()
			count := 0
			for i := range 400 {
				now := testStart.Add(time.Duration(i) * 10 * time.Millisecond)
				e.Touch(now, routerA)
				r := plainRun(fmt.Sprint("r", i), 500, 10)
				server := e.Place(now, masticway.Incarnation(fmt.Sprint("router", i%31)), r, nil, nil).Server
				took := 30 * time.Millisecond
				if server == failing {
					if tc.fails(count) {
						took = 0
					}
					count++
				}
				e.Record(now, routerA, ended(r, server, took))
			}
			qt.Assert(t, count >= tc.min && count <= tc.max, qt.IsTrue, qt.Commentf("%d of 400 runs at the engine", count))
		})
	}
}

// TestNeutralEnds guards against avoiding a healthy engine because requests were not sent to it after all, or were cancelled by
// their routers or callers.
func TestNeutralEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		end     func(r masticway.EngineRun, engine masticway.ServerIncarnation) masticway.EngineReport
		avoided bool
	}{
		"failed": {end: func(r masticway.EngineRun, engine masticway.ServerIncarnation) masticway.EngineReport {
			return ended(r, engine, 0)
		}, avoided: true},
		"neutral": {end: func(r masticway.EngineRun, engine masticway.ServerIncarnation) masticway.EngineReport {
			report := ended(r, engine, 0)
			report.IsNeutral = true
			return report
		}},
		"not sent": {end: func(r masticway.EngineRun, _ masticway.ServerIncarnation) masticway.EngineReport {
			return masticway.EngineReport{Run: r.ID, State: masticway.EngineRunEnded, IsNeutral: true}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(2)
			engine := testServers(2)[0].Incarnation()
			now := testStart
			for i := range 4 {
				now = now.Add(100 * time.Millisecond)
				r := plainRun(fmt.Sprint("ended", i), 500, 10)
				qt.Assert(t, e.Place(now, routerA, r, allBut(2, "e-00"), nil).Server, qt.Equals, engine)
				e.Record(now, routerA, tc.end(r, engine))
			}
			count := 0
			for i := range 10 {
				if place(e, now, plainRun(fmt.Sprint("r", i), 500, 10)) == engine {
					count++
				}
			}
			t.Logf("%d of 10 runs at the engine", count)
			if tc.avoided {
				qt.Assert(t, count, qt.Equals, 0)
			} else {
				qt.Assert(t, count, qt.Equals, 5)
			}
		})
	}
}
