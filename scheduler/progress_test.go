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
