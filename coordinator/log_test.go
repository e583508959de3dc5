package coordinator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestChoicesAreLogged guards against late requests whose choice of an engine cannot be explained, and against a log that grows
// with each request.
func TestChoicesAreLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(n *simRouter)
		took    time.Duration
		logged  int
		source  string
	}{
		"in time":        {took: 300 * time.Millisecond, logged: 2},
		"late":           {took: 700 * time.Millisecond, logged: 100, source: "owner"},
		"not ready":      {prepare: func(n *simRouter) { n.w.owner().start("2"); n.w.update() }, took: 700 * time.Millisecond, logged: 100, source: "local_not_ready"},
		"under pressure": {prepare: func(n *simRouter) { n.isOverloaded = true }, took: 700 * time.Millisecond, logged: 100, source: "local_pressure"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, 8)
			w.advance(settle)
			i := slices.IndexFunc(w.routers, func(n *simRouter) bool { return n != w.owner() && n != w.backup() })
			n := w.routers[i]
			w.perSecond = 0
			w.advance(2 * time.Second)
			if tc.prepare != nil {
				tc.prepare(n)
				// The first query finds out.
				w.begin(n, 100*time.Millisecond)
				w.advance(200 * time.Millisecond)
			}
			n.logged.Reset()
			for i := range 100 {
				run := masticway.EngineRun{ID: fmt.Sprint("x", i), Tokens: 100, TimeLeft: time.Second, Objective: 600 * time.Millisecond}
				n.coordinator.Place(context.Background(), masticway.EngineQuery{Pool: w.pool, Run: run, Candidates: w.engines})
				n.coordinator.Begin("llm", run, w.engines[0])
				n.coordinator.FirstEvent(run.ID, tc.took)
				n.coordinator.FirstEvent(run.ID, tc.took)
				n.coordinator.End(run.ID, 1, 0, false)
			}
			logged, sources := 0, map[string]int{}
			for _, line := range n.logged.AllEntries() {
				if line.Data["event"] == "engine_choice" {
					logged++
					sources[fmt.Sprint(line.Data["source"])]++
				}
			}
			qt.Check(t, logged, qt.Equals, tc.logged)
			if tc.source != "" {
				qt.Check(t, sources[tc.source] >= 99, qt.IsTrue, qt.Commentf("%v", sources))
			}
		})
	}
}

// TestContentionAndLevel guards against a level that does not reach the sender of a run, and against a contention of which the log says
// nothing.
func TestContentionAndLevel(t *testing.T) {
	w := newWorld(4, 8)
	w.advance(settle)
	owner := w.owner()
	owner.logged.Reset()
	g := owner.groups[0]
	g.contended, g.level = true, 2
	w.advance(time.Second)
	for i, n := range w.routers {
		run := masticway.EngineRun{ID: fmt.Sprint("x", i), Tokens: 100, TimeLeft: time.Second}
		choice, ok := n.coordinator.Place(context.Background(), masticway.EngineQuery{Pool: w.pool, Run: run, Candidates: w.engines})
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, choice.Level, qt.Equals, 2)
	}
	g.contended = false
	w.advance(time.Second)
	var logged []any
	for _, line := range owner.logged.AllEntries() {
		if line.Data["event"] == "engine_contention" {
			logged = append(logged, line.Data["contended"])
		}
	}
	qt.Check(t, logged, qt.DeepEquals, []any{true, false})
}
