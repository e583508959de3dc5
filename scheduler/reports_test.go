package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// TestReportOrder sends the three reports of a run in every order, with and without duplicates. Whatever the order, no load may be
// left after the end, and the load after a report must be that of the latest state reported so far.
func TestReportOrder(t *testing.T) {
	engine := testServers(2)[0].Incarnation()
	r := longRun("r", "subject")
	reports := []masticway.EngineReport{sent(r, engine), streaming(r, engine, 100*time.Millisecond), ended(r, engine, 100*time.Millisecond)}
	loads := []scheduler.Load{{Runs: 1, Pending: 9190, Tokens: 9241}, {Runs: 1, Streams: 1, Tokens: 9241}, {}}
	orders := map[string][]int{
		"in order":                   {0, 1, 2},
		"doubled":                    {0, 0, 1, 1, 2, 2},
		"first event before sent":    {1, 0, 2},
		"end first":                  {2, 0, 1},
		"end before first event":     {0, 2, 1},
		"first event lost":           {0, 2},
		"only the end":               {2},
		"sent after the end":         {0, 1, 2, 0},
		"all repeated":               {0, 1, 2, 0, 1, 2},
		"reversed":                   {2, 1, 0},
		"first event before, double": {1, 0, 1, 0, 2, 1},
	}
	for name, order := range orders {
		for _, isReserved := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reserved: ", isReserved), func(t *testing.T) {
				e := newTestEngines(2)
				if isReserved {
					e.Place(testStart, routerA, r, allBut(2, "e-00"), nil)
				}
				latest, now := 0, testStart
				for _, i := range order {
					now = now.Add(10 * time.Millisecond)
					latest = max(latest, i)
					report := reports[i]
					report.Details = &r
					if isReserved {
						report.Details = nil
					}
					e.Record(now, routerA, report)
					qt.Assert(t, e.Load("e-00"), qt.Equals, loads[latest], qt.Commentf("after report %d", i))
					qt.Assert(t, e.TotalLoad(), qt.Equals, loads[latest])
				}
			})
		}
	}
}

// TestLateReportDoesNotRevive guards against counting a run until its deadline because a report arrives after its end.
func TestLateReportDoesNotRevive(t *testing.T) {
	e := newTestEngines(2)
	r := longRun("r", "subject")
	server := place(e, testStart, r)
	e.Record(testStart, routerA, ended(r, server, 100*time.Millisecond))
	late := testStart.Add(4900 * time.Millisecond)
	e.Expire(late)
	e.Record(late, routerA, sent(r, server))
	qt.Assert(t, e.TotalLoad(), qt.Equals, scheduler.Load{})
	qt.Assert(t, e.Place(late, routerA, r, nil, nil), qt.Equals, masticway.EngineChoice{}, qt.Commentf("a late query is answered"))
	e.Expire(late.Add(200 * time.Millisecond))
	_, ended, _, _ := e.Counts()
	qt.Assert(t, ended, qt.Equals, 0)
}

// TestOtherChoiceReplacesReservation guards against counting a run twice if its sender timed out and chose by local estimates.
func TestOtherChoiceReplacesReservation(t *testing.T) {
	r := longRun("r", "subject")
	cases := map[string]struct {
		server  masticway.ServerIncarnation
		details *masticway.EngineRun
		want    map[string]int
	}{
		"another engine":                  {server: testServers(3)[1].Incarnation(), details: &r, want: map[string]int{"e-01": 1}},
		"another engine, without details": {server: testServers(3)[1].Incarnation(), want: map[string]int{"e-01": 1}},
		"an engine of another group":      {server: "e-99@1", details: &r},
		"the chosen engine":               {server: testServers(3)[0].Incarnation(), details: &r, want: map[string]int{"e-00": 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(3)
			e.Place(testStart, routerA, r, allBut(3, "e-00"), nil)
			report := masticway.EngineReport{Run: "r", Server: tc.server, Details: tc.details}
			for range 2 {
				e.Record(testStart.Add(30*time.Millisecond), routerA, report)
				total := 0
				for _, s := range testServers(3) {
					qt.Assert(t, e.Load(s.ID).Runs, qt.Equals, tc.want[s.ID], qt.Commentf("%s", s.ID))
					total += tc.want[s.ID]
				}
				qt.Assert(t, e.TotalLoad().Runs, qt.Equals, total)
			}
		})
	}
}

// TestReplacedReservationLeavesNoParts guards against assuming that an engine has cached the parts of a run that was sent to
// another engine.
func TestReplacedReservationLeavesNoParts(t *testing.T) {
	e := newTestEngines(2)
	r := longRun("r", "subject")
	e.Place(testStart, routerA, r, allBut(2, "e-00"), nil)
	e.Record(testStart, routerA, ended(r, testServers(2)[1].Incarnation(), 100*time.Millisecond))
	waitAt := func(id string) time.Duration {
		next := longRun("next-"+id, "subject")
		defer e.Record(testStart, routerA, ended(next, "e-99", 0))
		return e.Place(testStart, routerA, next, allBut(2, id), nil).Wait
	}
	first, second := waitAt("e-00"), waitAt("e-01")
	qt.Assert(t, first-second > 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v at the reserved engine, %v where the run was", first, second))
}

// TestLateQuery guards against moving a run that its sender has already reported when a query arrives after the report.
func TestLateQuery(t *testing.T) {
	e := newTestEngines(3)
	r := longRun("r", "subject")
	server := testServers(3)[2].Incarnation()
	e.Record(testStart, routerA, sent(r, server))
	qt.Assert(t, e.Place(testStart, routerA, r, allBut(3, "e-00"), nil), qt.Equals, masticway.EngineChoice{Server: server})
	qt.Assert(t, e.Load("e-02").Runs, qt.Equals, 1)
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 1)
}

// TestRepeatedQuery guards against two reservations for a run whose query was sent twice.
func TestRepeatedQuery(t *testing.T) {
	e := newTestEngines(3)
	r := longRun("r", "subject")
	first := place(e, testStart, r)
	qt.Assert(t, place(e, testStart, r), qt.Equals, first)
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 1)
}

// TestDeadSender guards against counting the runs of a router that has died.
func TestDeadSender(t *testing.T) {
	e := newTestEngines(8)
	for i := range 20 {
		r := longRun(fmt.Sprint("r", i), fmt.Sprint("subject", i%3))
		server := place(e, testStart, r)
		switch i % 3 {
		case 1:
			e.Record(testStart, routerA, sent(r, server))
		case 2:
			e.Record(testStart, routerA, streaming(r, server, 100*time.Millisecond))
		}
	}
	alive := longRun("alive", "subject0")
	e.Place(testStart, routerB, alive, allBut(8, "e-03"), nil)
	e.Record(testStart, routerB, sent(alive, testServers(8)[3].Incarnation()))
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 21)
	e.Touch(testStart.Add(2900*time.Millisecond), routerB)
	e.Expire(testStart.Add(2900 * time.Millisecond))
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 14, qt.Commentf("the reported runs must be kept until the sender is silent for 3 s"))
	e.Expire(testStart.Add(3 * time.Second))
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 1)
	qt.Assert(t, e.Load("e-03").Runs, qt.Equals, 1)
	e.Expire(testStart.Add(6 * time.Second))
	qt.Assert(t, e.TotalLoad(), qt.Equals, scheduler.Load{})
	runs, _, senders, _ := e.Counts()
	qt.Assert(t, [2]int{runs, senders}, qt.Equals, [2]int{})
}

// TestExpiry guards against counting runs whose end is never reported, although their sender is heard.
func TestExpiry(t *testing.T) {
	engine := testServers(1)[0].Incarnation()
	r := longRun("r", "subject")
	cases := map[string]struct {
		begin     func(e *scheduler.Engines)
		kept, end time.Duration
	}{
		"a reservation": {
			begin: func(e *scheduler.Engines) { place(e, testStart, r) }, kept: 1900 * time.Millisecond, end: 2 * time.Second,
		},
		"a reported reservation": {
			begin: func(e *scheduler.Engines) {
				place(e, testStart, r)
				e.Record(testStart, routerA, masticway.EngineReport{Run: "r", Server: engine})
			},
			kept: 7900 * time.Millisecond, end: 8 * time.Second,
		},
		"a run reported late": {
			begin: func(e *scheduler.Engines) {
				report := sent(r, engine)
				report.Age = 500 * time.Millisecond
				e.Record(testStart, routerA, report)
			},
			kept: 7400 * time.Millisecond, end: 7500 * time.Millisecond,
		},
		"a stream": {
			begin: func(e *scheduler.Engines) {
				report := streaming(r, engine, time.Second)
				report.Age = time.Second
				e.Record(testStart, routerA, report)
			},
			kept: 5900 * time.Millisecond, end: 6 * time.Second,
		},
		"a run without a deadline": {
			begin: func(e *scheduler.Engines) {
				other := r
				other.TimeLeft = 0
				e.Record(testStart, routerA, sent(other, engine))
			},
			kept: 119 * time.Second, end: 2 * time.Minute,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(1)
			tc.begin(e)
			for at := time.Duration(0); at <= tc.end; at += 100 * time.Millisecond {
				e.Touch(testStart.Add(at), routerA)
				e.Expire(testStart.Add(at))
				if at == tc.kept {
					qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 1)
				}
			}
			qt.Assert(t, e.TotalLoad(), qt.Equals, scheduler.Load{})
		})
	}
}

// TestRunWhoseTimeIsOver guards against adding a run to the load after its deadline, when its report was delayed.
func TestRunWhoseTimeIsOver(t *testing.T) {
	e := newTestEngines(1)
	report := sent(longRun("r", "subject"), testServers(1)[0].Incarnation())
	report.Age = 9 * time.Second
	e.Record(testStart, routerA, report)
	qt.Assert(t, e.TotalLoad(), qt.Equals, scheduler.Load{})
}

// TestInconsistentReport guards against a first event in the future, which would make the engine look idle, when a report of a run
// that was just sent contains the time of a first event.
func TestInconsistentReport(t *testing.T) {
	e := newTestEngines(1)
	report := sent(longRun("r", "subject"), testServers(1)[0].Incarnation())
	report.FirstEventAfter = time.Minute
	e.Record(testStart, routerA, report)
	qt.Assert(t, e.TotalLoad(), qt.Equals, scheduler.Load{Runs: 1, Pending: 9190, Tokens: 9241})
}

// TestStaleReportOfOtherEngine guards against moving a run back to an engine that its sender tried before.
func TestStaleReportOfOtherEngine(t *testing.T) {
	e := newTestEngines(2)
	r := longRun("r", "subject")
	e.Record(testStart, routerA, streaming(r, testServers(2)[1].Incarnation(), 100*time.Millisecond))
	e.Record(testStart, routerA, sent(r, testServers(2)[0].Incarnation()))
	qt.Assert(t, e.Load("e-00"), qt.Equals, scheduler.Load{})
	qt.Assert(t, e.Load("e-01").Streams, qt.Equals, 1)
}
