package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// TestProgress places a run at one of two engines with pending prefill, after some of it has been done.
func TestProgress(t *testing.T) {
	const first, second = 0, 1
	type pending struct {
		engine, tokens int
		// age is the time since the run was sent. hasFirstEvent is set if its first event has just arrived.
		age           time.Duration
		hasFirstEvent bool
	}
	cases := map[string]struct {
		pending []pending
		want    int
		guards  string
	}{
		"prefilled for 200 ms": {
			pending: []pending{{engine: first, tokens: 9000, age: 200 * time.Millisecond}, {engine: second, tokens: 6000}},
			want:    first, guards: "an engine that has prefilled most of its prompts seems as busy as before",
		},
		"much more than the oldest prompt": {
			pending: []pending{
				{engine: first, tokens: 200, age: 400 * time.Millisecond}, {engine: first, tokens: 20_000, age: 400 * time.Millisecond},
				{engine: second, tokens: 12_000},
			},
			want: second, guards: "a frozen engine seems to make progress",
		},
		"another prompt during the first event": {
			pending: []pending{
				{engine: first, tokens: 2000, age: 100 * time.Millisecond, hasFirstEvent: true},
				{engine: first, tokens: 3000, age: 90 * time.Millisecond}, {engine: second, tokens: 2500},
			},
			want: first, guards: "chunks that were prefilled before the first event of another run count as pending",
		},
		"no more than is pending": {
			pending: []pending{
				{engine: first, tokens: 2000, age: 100 * time.Millisecond, hasFirstEvent: true},
				{engine: first, tokens: 200, age: 90 * time.Millisecond},
			},
			want: second, guards: "an engine with work seems better than an idle one",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(2)
			servers := testServers(2)
			now := testStart.Add(time.Second)
			for i, p := range tc.pending {
				r := plainRun(fmt.Sprint("pending", i), p.tokens, 10)
				e.Record(now.Add(-p.age), routerB, sent(r, servers[p.engine].Incarnation()))
				if p.hasFirstEvent {
					e.Record(now, routerB, streaming(r, servers[p.engine].Incarnation(), p.age))
				}
			}
			c := e.Place(now, routerA, masticway.EngineRun{ID: "r", Tokens: 100, Output: 10, Zone: "z"}, nil, nil)
			qt.Assert(t, c.Server, qt.Equals, servers[tc.want].Incarnation(), qt.Commentf("%s; %v", tc.guards, c.Wait))
		})
	}
}

// TestProgressWithLateReports guards against taking prompts as pending that have been prefilled while their reports were under way.
func TestProgressWithLateReports(t *testing.T) {
	const runs, delay = 300, time.Second
	wait := func(reportDelay time.Duration) time.Duration {
		e := newTestEngines(1)
		server := testServers(1)[0].Incarnation()
		for i := range runs {
			r, at := plainRun(fmt.Sprint("r", i), 100, 10), testStart.Add(time.Duration(i)*10*time.Millisecond)
			place(e, at, r)
			e.Record(at.Add(reportDelay), routerA, sent(r, server))
			e.Record(at.Add(reportDelay+100*time.Millisecond), routerA, ended(r, server, 20*time.Millisecond))
		}
		now := testStart.Add(runs*10*time.Millisecond + 2*delay)
		r := plainRun("pending", 9000, 10)
		place(e, now.Add(-reportDelay), r)
		e.Record(now, routerA, sent(r, server))
		return e.Place(now, routerA, plainRun("next", 1, 10), nil, nil).Wait
	}
	qt.Assert(t, wait(0) > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait(0)))
	qt.Assert(t, wait(delay) < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait(delay)))
}
