package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// TestTouch guards against an owner that knows only the new runs of a sender, and never learns of the earlier ones.
func TestTouch(t *testing.T) {
	e := newTestEngines(2)
	qt.Assert(t, e.Touch(testStart, routerA), qt.IsFalse)
	place(e, testStart, longRun("r", "subject"))
	e.Record(testStart, routerA, sent(longRun("other", "subject"), testServers(2)[0].Incarnation()))
	qt.Assert(t, e.Touch(testStart, routerA), qt.IsFalse, qt.Commentf("known before a full resync"))
	e.Replace(testStart, routerA, nil)
	qt.Assert(t, e.Touch(testStart, routerA), qt.IsTrue)
	qt.Assert(t, e.Touch(testStart, routerB), qt.IsFalse)
	e.Expire(testStart.Add(2 * time.Second))
	qt.Assert(t, e.Touch(testStart.Add(2*time.Second), routerA), qt.IsTrue)
	e.Expire(testStart.Add(5 * time.Second))
	qt.Assert(t, e.Touch(testStart.Add(5*time.Second), routerA), qt.IsFalse, qt.Commentf("its runs have expired"))
}

// TestReplace guards against runs that stay in the load because the report of their end was lost, and against losing runs that the
// sender had when a new owner took over.
func TestReplace(t *testing.T) {
	engine := testServers(2)[0].Incarnation()
	e := newTestEngines(2)
	lost, open, unknown := longRun("lost", "a"), longRun("open", "b"), longRun("unknown", "c")
	e.Record(testStart, routerA, sent(lost, engine))
	e.Record(testStart, routerA, sent(open, engine))
	e.Record(testStart, routerB, sent(longRun("other", "d"), engine))
	reserved := longRun("reserved", "e")
	place(e, testStart, reserved)
	e.Replace(testStart, routerA, []masticway.EngineReport{streaming(open, engine, 50*time.Millisecond), sent(unknown, engine)})
	var got []string
	for _, r := range []masticway.EngineRun{lost, open, unknown, reserved, longRun("other", "d")} {
		before := e.TotalLoad().Runs
		e.Record(testStart, routerA, masticway.EngineReport{Run: r.ID, State: masticway.EngineRunEnded, Server: engine})
		if e.TotalLoad().Runs < before {
			got = append(got, r.ID)
		}
	}
	qt.Assert(t, got, qt.DeepEquals, []string{"open", "unknown", "reserved", "other"})
	qt.Assert(t, e.TotalLoad(), qt.Equals, scheduler.Load{})
}

// TestSenderWithNewIncarnation guards against losing the runs of a router that goes on under a new incarnation.
func TestSenderWithNewIncarnation(t *testing.T) {
	engine := testServers(1)[0].Incarnation()
	e := newTestEngines(1)
	r := longRun("r", "subject")
	e.Record(testStart, "router-a@1", sent(r, engine))
	e.Replace(testStart.Add(time.Second), "router-a@2", []masticway.EngineReport{sent(r, engine)})
	e.Touch(testStart.Add(3*time.Second), "router-a@2")
	e.Expire(testStart.Add(3500 * time.Millisecond))
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 1)
}

// TestRestartedEngine guards against counting the runs, parts and speed of an engine's earlier incarnation.
func TestRestartedEngine(t *testing.T) {
	e := newTestEngines(3)
	slow := testServers(3)[0].Incarnation()
	learnSpeeds(e, 3, map[string]float64{"e-00": 0.3})
	qt.Assert(t, e.SlowEngines(), qt.DeepEquals, []string{"e-00"})
	now := testStart.Add(learningTime)
	open := longRun("open", "subject")
	e.Record(now, routerA, streaming(open, slow, 100*time.Millisecond))
	pending := longRun("pending", "subject")
	e.Place(now, routerA, pending, allBut(3, "e-00"), nil)
	kept := longRun("kept", "subject")
	e.Place(now, routerA, kept, allBut(3, "e-01"), nil)

	list := testServers(3)
	list[0].StartedAt = testStart.Add(time.Minute)
	e.Sync(now, testPool, list)
	qt.Assert(t, e.Load("e-00"), qt.Equals, scheduler.Load{})
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 1)
	qt.Assert(t, e.Load("e-01").Runs, qt.Equals, 1, qt.Commentf("the other engines keep their runs"))
	e.Record(now, routerA, ended(open, slow, 100*time.Millisecond))
	e.Record(now, routerA, sent(longRun("late", "subject"), slow))
	qt.Assert(t, e.Load("e-00"), qt.Equals, scheduler.Load{}, qt.Commentf("late reports about the earlier incarnation"))
	e.Expire(now.Add(time.Second))
	qt.Assert(t, e.SlowEngines(), qt.HasLen, 0)
	_, known := e.Speeds()[list[0].Incarnation()]
	qt.Assert(t, known, qt.IsFalse)
	c := e.Place(now, routerA, longRun("next", "subject"), allBut(3, "e-00"), nil)
	qt.Assert(t, c.Server, qt.Equals, list[0].Incarnation())
	qt.Assert(t, c.Wait > 180*time.Millisecond, qt.IsTrue, qt.Commentf("%v: the cache must be empty", c.Wait))
}

// TestRemovedEngine guards against choosing an engine that has left the group, and against counting its runs.
func TestRemovedEngine(t *testing.T) {
	e := newTestEngines(2)
	for i := range 6 {
		place(e, testStart, plainRun(fmt.Sprint("r", i), 1000, 10))
	}
	e.Sync(testStart, testPool, testServers(2)[:1])
	qt.Assert(t, e.TotalLoad().Runs, qt.Equals, 3)
	qt.Assert(t, place(e, testStart, plainRun("next", 1000, 10)), qt.Equals, testServers(1)[0].Incarnation())
	e.Sync(testStart, testPool, nil)
	qt.Assert(t, e.Place(testStart, routerA, plainRun("last", 1000, 10), nil, nil), qt.Equals, masticway.EngineChoice{})
	qt.Assert(t, e.SlowEngines(), qt.HasLen, 0)
}

// TestMemoryIsBounded guards against growing without limit under a flood of runs, ends, senders and parts.
func TestMemoryIsBounded(t *testing.T) {
	e := newTestEngines(2)
	for i := range 3 * scheduler.MaxRuns {
		id := fmt.Sprint("r", i)
		r := masticway.EngineRun{ID: id, Workspace: id, Tokens: 10, Zone: "z", Parts: []masticway.PromptPart{{ID: id, Tokens: 10}}}
		place(e, testStart, r)
		e.Record(testStart, routerB, ended(masticway.EngineRun{ID: "ended-" + id}, "e-00", 0))
		e.Touch(testStart, masticway.Incarnation(id))
		e.Record(testStart, routerB, sent(masticway.EngineRun{ID: "open-" + id, Tokens: 10, TimeLeft: time.Minute}, testServers(2)[i%2].Incarnation()))
	}
	runs, ended, senders, parts := e.Counts()
	qt.Assert(t, runs <= scheduler.MaxRuns, qt.IsTrue, qt.Commentf("%d runs", runs))
	qt.Assert(t, ended <= scheduler.MaxEnded, qt.IsTrue, qt.Commentf("%d ended runs", ended))
	qt.Assert(t, senders <= scheduler.MaxSenders, qt.IsTrue, qt.Commentf("%d senders", senders))
	workspaces, _ := e.Use(testStart, "")
	qt.Assert(t, workspaces <= scheduler.MaxWorkspaces, qt.IsTrue, qt.Commentf("%d workspaces", workspaces))
	qt.Assert(t, parts <= scheduler.MaxParts, qt.IsTrue, qt.Commentf("%d parts", parts))
	e.Expire(testStart.Add(time.Hour))
	runs, ended, senders, _ = e.Counts()
	workspaces, _ = e.Use(testStart, "")
	qt.Assert(t, [4]int{runs, ended, senders, workspaces}, qt.Equals, [4]int{})
}
