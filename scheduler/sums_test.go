package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// TestSums applies random queries, reports, resyncs, restarts and expiries. It guards against sums that drift from the runs: a run
// that is subtracted twice or never makes an engine look free or busy for good.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines = 3
		e := scheduler.NewEngines(testPolicy)
		list := testServers(engines)
		pool := testPool
		pool.Slots, pool.TokenCapacity = 8, 60_000
		e.Sync(testStart, pool, list)
		now := testStart
		senders := []masticway.Incarnation{routerA, routerB}
		runs := rapid.Custom(func(t *rapid.T) masticway.EngineRun {
			r := longRun(fmt.Sprint("r", rapid.IntRange(0, 12).Draw(t, "run")), fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "subject")))
			if rapid.Bool().Draw(t, "isRepeated") {
				// A prompt may contain a part twice.
				r.Parts = append(r.Parts, r.Parts[0])
			}
			if rapid.Bool().Draw(t, "isUnpaced") {
				r.EventGap = 0
			}
			return r
		})
		report := func(r masticway.EngineRun) masticway.EngineReport {
			report := masticway.EngineReport{
				Run: r.ID, Server: rapid.SampledFrom(list).Draw(t, "server").Incarnation(),
				State: masticway.EngineRunState(rapid.IntRange(0, 2).Draw(t, "state")),
				Age:   time.Duration(rapid.IntRange(-10, 9000).Draw(t, "age")) * time.Millisecond,
			}
			if rapid.Bool().Draw(t, "hasFirstEvent") {
				report.FirstEventAfter = time.Duration(rapid.IntRange(0, 2000).Draw(t, "firstEventAfter")) * time.Millisecond
			}
			if rapid.Bool().Draw(t, "hasDetails") {
				report.Details = &r
			}
			return report
		}
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				excluded := map[string]bool{rapid.SampledFrom(list).Draw(t, "excluded").ID: true}
				e.Place(now, rapid.SampledFrom(senders).Draw(t, "sender"), runs.Draw(t, "run"), excluded, nil)
			},
			"record": func(t *rapid.T) {
				e.Record(now, rapid.SampledFrom(senders).Draw(t, "sender"), report(runs.Draw(t, "run")))
			},
			"replace": func(t *rapid.T) {
				var open []masticway.EngineReport
				for _, r := range rapid.SliceOfN(runs, 0, 3).Draw(t, "open") {
					open = append(open, report(r))
				}
				e.Replace(now, rapid.SampledFrom(senders).Draw(t, "sender"), open)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, engines-1).Draw(t, "engine")
				list[i].StartedAt = list[i].StartedAt.Add(time.Second)
				e.Sync(now, pool, list)
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "passed")) * time.Millisecond)
				e.Expire(now)
			},
			"": func(t *rapid.T) {
				if err := e.Check(); err != nil {
					t.Fatal(err)
				}
			},
		})
		e.Expire(now.Add(3 * time.Second))
		if err := e.Check(); err != nil || e.TotalLoad() != (scheduler.Load{}) {
			t.Fatalf("%v, %+v", err, e.TotalLoad())
		}
	})
}
