package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/scheduler"
)

// workspaceRun returns a run of a workspace without prompt parts, objective and deadline.
func workspaceRun(id, workspace string, tokens int) masticway.EngineRun {
	return masticway.EngineRun{ID: id, Workspace: workspace, Tokens: tokens, Zone: "z"}
}

// placeUses places runs of the workspaces w0, w1 and so on, whose prefill takes the given times in milliseconds together at engines
// of unknown speed. Each use consists of several runs, so that all engines get about the same load.
func placeUses(e *scheduler.Engines, uses []float64) {
	const pieces = 8
	for i, ms := range uses {
		for k := range pieces {
			r := workspaceRun(fmt.Sprint(i, "-", k), fmt.Sprint("w", i), int(ms/pieces*chooser.TokensPerMillisecond))
			e.Place(testStart, routerA, r, nil, nil)
		}
	}
}

// repeat returns n equal uses.
func repeat(n int, ms float64) (uses []float64) {
	for range n {
		uses = append(uses, ms)
	}
	return uses
}

// TestContentionHasHysteresis guards against levels that come and go with each run that begins and ends.
func TestContentionHasHysteresis(t *testing.T) {
	cases := map[string]struct {
		// pending are the mean pending prefill times of the engines, one after the other, in milliseconds.
		pending []float64
		want    []bool
	}{
		"not above the upper limit":  {pending: []float64{140, 140}, want: []bool{false, false}},
		"above the upper limit":      {pending: []float64{160}, want: []bool{true}},
		"between the limits":         {pending: []float64{100, 160, 100, 80, 140}, want: []bool{false, true, true, true, true}},
		"below the lower limit":      {pending: []float64{160, 70, 100, 140}, want: []bool{true, false, false, false}},
		"idle, then contended again": {pending: []float64{160, 0, 160}, want: []bool{true, false, true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const engines = 4
			e := newTestEngines(engines)
			for i, ms := range tc.pending {
				now := testStart.Add(time.Duration(i) * time.Second)
				var open []masticway.EngineReport
				for k, s := range testServers(engines) {
					if tokens := int(ms * chooser.TokensPerMillisecond); tokens > 0 {
						open = append(open, sent(workspaceRun(fmt.Sprint(i, "-", k), "w", tokens), s.Incarnation()))
					}
				}
				e.Replace(now, routerA, open)
				e.Place(now, routerB, workspaceRun(fmt.Sprint("probe", i), "w", 0), allBut(engines), nil)
				qt.Assert(t, e.IsContended(), qt.Equals, tc.want[i], qt.Commentf("phase %d: %g ms", i, ms))
			}
		})
	}
}

// TestFrozenEngineIsNoContention guards against levels because of the runs at one frozen engine, while the other engines are free.
func TestFrozenEngineIsNoContention(t *testing.T) {
	const engines = 8
	e := newTestEngines(engines)
	for i := range 20 {
		e.Record(testStart, routerA, sent(workspaceRun(fmt.Sprint("r", i), "w", 35_000), testServers(engines)[0].Incarnation()))
	}
	e.Place(testStart, routerA, workspaceRun("next", "w", 1), nil, nil)
	qt.Assert(t, e.IsContended(), qt.IsFalse)
}

// TestLevels guards against levels for workspaces that use no more than others, and against a workspace that uses the engines of all
// others at their urgency.
func TestLevels(t *testing.T) {
	cases := map[string]struct {
		// uses are the uses of the workspaces in milliseconds of prefill.
		uses []float64
		want map[int]int
	}{
		"one workspace":                       {uses: []float64{4000}, want: map[int]int{0: 0}},
		"equal":                               {uses: repeat(8, 500), want: map[int]int{0: 0, 7: 0}},
		"two, equal":                          {uses: repeat(2, 2000), want: map[int]int{0: 0, 1: 0}},
		"one at 7.5 times":                    {uses: append(repeat(23, 200), 1500), want: map[int]int{0: 0, 22: 0, 23: 2}},
		"one at 7.5 times beside three":       {uses: append(repeat(3, 500), 3750), want: map[int]int{0: 0, 2: 0, 3: 1}},
		"small ones leave the rest to others": {uses: append(repeat(20, 20), 1000, 1000, 1000, 1000), want: map[int]int{0: 0, 20: 0, 23: 0}},
		"equal, far above the capacity":       {uses: repeat(8, 10_000), want: map[int]int{0: 0, 7: 0}},
		"one above the capacity":              {uses: append(repeat(3, 100), 30_000), want: map[int]int{0: 0, 2: 0, 3: 2}},
		"two above others":                    {uses: append(repeat(20, 100), 900, 320), want: map[int]int{0: 0, 20: 2, 21: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(4)
			placeUses(e, tc.uses)
			now := testStart.Add(100 * time.Millisecond)
			got := map[int]int{}
			for i := range tc.want {
				c := e.Place(now, routerA, workspaceRun(fmt.Sprint("next", i), fmt.Sprint("w", i), 0), nil, nil)
				qt.Assert(t, e.IsContended(), qt.IsTrue)
				got[i] = c.Level
			}
			qt.Assert(t, got, qt.DeepEquals, tc.want)
			unknown := e.Place(now, routerA, workspaceRun("unknown", "unknown", 0), nil, nil)
			qt.Assert(t, unknown.Level, qt.Equals, 0)
		})
	}
}

// TestRefusalOfLevelTwo guards against refusing runs for more reasons than the deadline, and than contention with a workspace over 3
// times its fair share whose objective no engine meets.
func TestRefusalOfLevelTwo(t *testing.T) {
	const objective = 300 * time.Millisecond
	cases := map[string]struct {
		// uses are the uses of the workspaces w0, w1 and so on in milliseconds of prefill at four engines.
		uses      []float64
		workspace string
		objective time.Duration
		timeLeft  time.Duration
		wantFull  bool
		wantLevel int
	}{
		"level 2, no engine meets the objective": {uses: append(repeat(20, 100), 1000), workspace: "w20", objective: objective, timeLeft: time.Minute, wantFull: true, wantLevel: 2},
		"level 2, without a deadline":            {uses: append(repeat(20, 100), 1000), workspace: "w20", objective: objective, wantFull: true, wantLevel: 2},
		"level 2, an engine meets the objective": {uses: append(repeat(20, 100), 1000), workspace: "w20", objective: 2 * time.Second, timeLeft: time.Minute, wantLevel: 2},
		"level 2, no objective":                  {uses: append(repeat(20, 100), 1000), workspace: "w20", timeLeft: time.Minute, wantLevel: 2},
		"level 1":                                {uses: append(repeat(20, 100), 160), workspace: "w20", objective: objective, timeLeft: time.Minute, wantLevel: 1},
		"level 0":                                {uses: append(repeat(20, 100), 1000), workspace: "w1", objective: objective, timeLeft: time.Minute},
		"not contended":                          {uses: append(repeat(20, 10), 100), workspace: "w20", objective: time.Millisecond, timeLeft: time.Minute},
		"deadline":                               {uses: append(repeat(20, 100), 1000), workspace: "w1", objective: objective, timeLeft: 100 * time.Millisecond, wantFull: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(4)
			placeUses(e, tc.uses)
			now := testStart.Add(100 * time.Millisecond)
			r := workspaceRun("next", tc.workspace, 8750)
			r.Objective, r.TimeLeft = tc.objective, tc.timeLeft
			before := e.TotalLoad()
			c := e.Place(now, routerA, r, nil, nil)
			qt.Assert(t, c.Level, qt.Equals, tc.wantLevel, qt.Commentf("%+v", c))
			qt.Assert(t, c.Full, qt.Equals, tc.wantFull, qt.Commentf("%+v", c))
			if tc.wantFull {
				qt.Assert(t, c.RetryAfter >= 50*time.Millisecond && c.RetryAfter <= 5*time.Second, qt.IsTrue, qt.Commentf("%+v", c))
				qt.Assert(t, e.TotalLoad(), qt.Equals, before)
			}
		})
	}
}

// TestUse guards against counting a run twice that is placed again, moved or reported several times, against counting old runs as
// new ones in a resync, and against a use that does not decay.
func TestUse(t *testing.T) {
	const tokens = 1000
	servers := testServers(2)
	cases := map[string]struct {
		change func(e *scheduler.Engines, r masticway.EngineRun)
		want   float64
	}{
		"placed": {change: func(e *scheduler.Engines, r masticway.EngineRun) { place(e, testStart, r) }, want: tokens},
		"placed twice": {change: func(e *scheduler.Engines, r masticway.EngineRun) {
			place(e, testStart, r)
			place(e, testStart, r)
		}, want: tokens},
		"placed and reported": {change: func(e *scheduler.Engines, r masticway.EngineRun) {
			report := sent(r, place(e, testStart, r))
			e.Record(testStart, routerA, report)
			e.Record(testStart, routerA, report)
		}, want: tokens},
		"placed and sent elsewhere": {change: func(e *scheduler.Engines, r masticway.EngineRun) {
			e.Place(testStart, routerA, r, allBut(2, "e-00"), nil)
			e.Record(testStart, routerA, sent(r, servers[1].Incarnation()))
		}, want: tokens},
		"chosen locally": {change: func(e *scheduler.Engines, r masticway.EngineRun) {
			e.Record(testStart, routerA, sent(r, servers[0].Incarnation()))
		}, want: tokens},
		"ended": {change: func(e *scheduler.Engines, r masticway.EngineRun) {
			e.Record(testStart, routerA, ended(r, place(e, testStart, r), 0))
		}, want: tokens},
		"begun 4 s before a resync": {change: func(e *scheduler.Engines, r masticway.EngineRun) {
			report := sent(r, servers[0].Incarnation())
			report.Age = 4 * time.Second
			e.Replace(testStart, routerA, []masticway.EngineReport{report})
		}, want: tokens * math.Exp(-2)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(2)
			r := workspaceRun("r", "w", tokens-10)
			r.Output = 10
			tc.change(e, r)
			_, use := e.Use(testStart, "w")
			qt.Assert(t, math.Abs(use-tc.want) < 0.01, qt.IsTrue, qt.Commentf("%v", use))
			_, use = e.Use(testStart.Add(2*time.Second), "w")
			qt.Assert(t, math.Abs(use-tc.want/math.E) < 0.01, qt.IsTrue, qt.Commentf("%v", use))
			e.Expire(testStart.Add(9 * time.Second))
			n, _ := e.Use(testStart, "w")
			qt.Assert(t, n, qt.Equals, 1)
			e.Expire(testStart.Add(10 * time.Second))
			n, _ = e.Use(testStart, "w")
			qt.Assert(t, n, qt.Equals, 0, qt.Commentf("an idle workspace is kept"))
		})
	}
}
