package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

// TestReservationIsVisible guards against sending all runs of a burst to the engine that was the cheapest before it.
func TestReservationIsVisible(t *testing.T) {
	e := newTestEngines(8)
	used := map[masticway.ServerIncarnation]int{}
	for i := range 8 {
		used[place(e, testStart, plainRun(fmt.Sprint("r", i), 3000, 50))]++
	}
	qt.Assert(t, used, qt.HasLen, 8)
}

// TestChoice places a run at one of two equal engines, e-00 and e-01, of which one has an advantage.
func TestChoice(t *testing.T) {
	const first, second = masticway.ServerIncarnation("e-00"), masticway.ServerIncarnation("e-01")
	fill := func(e *scheduler.Engines, server masticway.ServerIncarnation, n int, r masticway.EngineRun, state masticway.EngineRunState) {
		for i := range n {
			r.ID = fmt.Sprint(server, "-", i)
			report := masticway.EngineReport{Run: r.ID, Server: server, State: state, FirstEventAfter: 50 * time.Millisecond, Details: &r}
			if state == masticway.EngineRunSent {
				report.FirstEventAfter = 0
			}
			e.Record(testStart, routerB, report)
		}
	}
	longAnswer := plainRun("r", 543, 246)
	paced := plainRun("", 10, 50)
	unpaced := plainRun("", 10, 50)
	unpaced.EventGap = 0
	cases := map[string]struct {
		servers   []masticway.Server
		pool      masticway.Pool
		prepare   func(e *scheduler.Engines)
		run       masticway.EngineRun
		excluded  map[string]bool
		penalties map[string]float64
		want      masticway.ServerIncarnation
		// guards says which failure the case guards against.
		guards string
	}{
		"pending prefill": {
			prepare: func(e *scheduler.Engines) { fill(e, first, 1, plainRun("", 3000, 10), masticway.EngineRunSent) },
			run:     plainRun("r", 1000, 10), want: second,
			guards: "a run queues behind the prefill of another prompt while an engine is free",
		},
		"cached parts outweigh a short queue": {
			prepare: func(e *scheduler.Engines) {
				e.Record(testStart, routerB, streaming(longRun("earlier", "subject"), first, 100*time.Millisecond))
				e.Record(testStart, routerB, streaming(longRun("other", "other"), second, 100*time.Millisecond))
				fill(e, first, 1, plainRun("", 1000, 10), masticway.EngineRunSent)
			},
			run: longRun("r", "subject"), want: first,
			guards: "shared parts are prefilled again at each engine",
		},
		"a long queue outweighs cached parts": {
			prepare: func(e *scheduler.Engines) {
				e.Record(testStart, routerB, streaming(longRun("earlier", "subject"), first, 100*time.Millisecond))
				fill(e, first, 8, plainRun("", 3000, 10), masticway.EngineRunSent)
			},
			run: longRun("r", "subject"), want: second,
			guards: "the runs with one subject queue at its home while other engines are free",
		},
		"zone": {
			servers: []masticway.Server{{ID: "e-00", Zone: "y"}, {ID: "e-01", Zone: "z"}},
			prepare: func(e *scheduler.Engines) { fill(e, second, 3, plainRun("", 1, 10), masticway.EngineRunStreaming) },
			run:     longAnswer, want: second,
			guards: "long answers cross zones to avoid a few streams",
		},
		"prefill outweighs the zone": {
			servers: []masticway.Server{{ID: "e-00", Zone: "y"}, {ID: "e-01", Zone: "z"}},
			prepare: func(e *scheduler.Engines) { fill(e, second, 2, plainRun("", 3000, 10), masticway.EngineRunSent) },
			run:     longAnswer, want: first,
			guards: "a run waits in its zone while an engine in another is free",
		},
		"penalty": {
			penalties: map[string]float64{"e-01": 600}, run: longAnswer, want: first,
			guards: "an engine that fails for the sender is chosen",
		},
		"excluded": {
			excluded: map[string]bool{"e-00": true}, run: longAnswer, want: second,
			guards: "an engine is chosen that the sender may not use",
		},
		"a paced stream avoids pending prefill more than running streams": {
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 1, plainRun("", 1050, 10), masticway.EngineRunSent)
				fill(e, second, 24, paced, masticway.EngineRunStreaming)
			},
			run: plainRun("r", 100, 246), want: second,
			guards: "prefill chunks of other prompts come between the events of a long answer",
		},
		"a run with few events does not": {
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 1, plainRun("", 1050, 10), masticway.EngineRunSent)
				fill(e, second, 24, paced, masticway.EngineRunStreaming)
			},
			run: plainRun("r", 100, 3), want: first,
			guards: "all runs weigh the pending prefill as the long answers do",
		},
		"a long prompt avoids paced streams": {
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 6, paced, masticway.EngineRunStreaming)
				fill(e, second, 9, unpaced, masticway.EngineRunStreaming)
			},
			run: plainRun("r", 9000, 50), want: second,
			guards: "the prefill of a long prompt delays the events of many streams",
		},
		"a short prompt does not": {
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 6, paced, masticway.EngineRunStreaming)
				fill(e, second, 9, unpaced, masticway.EngineRunStreaming)
			},
			run: plainRun("r", 100, 50), want: first,
			guards: "short prompts are spread as if they delayed streams",
		},
		"no slot": {
			pool: masticway.Pool{Slots: 4, TokensPerEvent: 3, TokenCapacity: 354_798},
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 4, plainRun("", 1, 1), masticway.EngineRunStreaming)
				fill(e, second, 3, plainRun("", 9000, 1), masticway.EngineRunSent)
			},
			run: plainRun("r", 100, 10), want: second,
			guards: "a run waits for a slot while another engine has a free one",
		},
		"slots of the server": {
			servers: []masticway.Server{{ID: "e-00", Zone: "z", Slots: 2}, {ID: "e-01", Zone: "z"}},
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 2, plainRun("", 1, 1), masticway.EngineRunStreaming)
				fill(e, second, 3, plainRun("", 9000, 1), masticway.EngineRunSent)
			},
			run: plainRun("r", 100, 10), want: second,
			guards: "the pool's number of slots is used for an engine that has fewer",
		},
		"no memory": {
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 4, plainRun("", 80_000, 2000), masticway.EngineRunStreaming)
				fill(e, second, 2, plainRun("", 9000, 2000), masticway.EngineRunSent)
			},
			run: plainRun("r", 9000, 2000), want: second,
			guards: "a run does not fit into the memory of its engine while another has room",
		},
		"the least loaded of two full engines": {
			pool: masticway.Pool{Slots: 4, TokensPerEvent: 3, TokenCapacity: 354_798},
			prepare: func(e *scheduler.Engines) {
				fill(e, first, 6, plainRun("", 1, 1), masticway.EngineRunStreaming)
				fill(e, second, 4, plainRun("", 1, 1), masticway.EngineRunStreaming)
			},
			run: plainRun("r", 100, 10), want: second,
			guards: "no engine is chosen, or any, when all are full",
		},
		"in time only at the more expensive engine": {
			prepare:   func(e *scheduler.Engines) { fill(e, first, 2, plainRun("", 10_000, 1), masticway.EngineRunSent) },
			run:       masticway.EngineRun{ID: "r", Tokens: 100, Output: 10, Zone: "z", TimeLeft: 400 * time.Millisecond},
			penalties: map[string]float64{"e-01": 2000}, want: second,
			guards: "a run is sent to an engine where it is certainly late",
		},
		"draining": {
			servers: []masticway.Server{{ID: "e-00", Zone: "z", State: masticway.ServerDraining}, {ID: "e-01", Zone: "z"}},
			prepare: func(e *scheduler.Engines) { fill(e, second, 5, plainRun("", 3000, 1), masticway.EngineRunSent) },
			run:     longAnswer, want: second,
			guards: "an engine is chosen that takes no new requests",
		},
		"cold": {
			servers: []masticway.Server{{ID: "e-00", Zone: "z", ColdUntil: testStart.Add(time.Second)}, {ID: "e-01", Zone: "z"}},
			prepare: func(e *scheduler.Engines) { fill(e, second, 5, plainRun("", 3000, 1), masticway.EngineRunSent) },
			run:     longAnswer, want: second,
			guards: "a cold engine is chosen while a warm one can take the run",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.servers == nil {
				tc.servers = []masticway.Server{{ID: "e-00", Zone: "z"}, {ID: "e-01", Zone: "z"}}
			}
			if tc.pool.Slots == 0 {
				tc.pool = testPool
			}
			// The choice must not depend on the engine at which the search starts.
			for placed := range 2 {
				e := scheduler.NewEngines(testPolicy)
				e.Sync(testStart, tc.pool, tc.servers)
				for i := range placed {
					e.Place(testStart, routerB, plainRun(fmt.Sprint("other", i), 1, 1), map[string]bool{"e-00": true, "e-01": true}, nil)
				}
				if tc.prepare != nil {
					tc.prepare(e)
				}
				c := e.Place(testStart, routerA, tc.run, tc.excluded, tc.penalties)
				qt.Assert(t, c.Server, qt.Equals, tc.want, qt.Commentf("failure: %s; %+v", tc.guards, c))
			}
		})
	}
}

// TestBusyGroup guards against prefilling shared parts again while all engines are busy, which makes all runs wait longer, and
// against queueing at the engine that has them while the others are idle.
func TestBusyGroup(t *testing.T) {
	for name, tc := range map[string]struct {
		pendingElsewhere int
		want             string
	}{
		"idle": {want: "e-01"},
		"busy": {pendingElsewhere: 20_000, want: "e-00"},
	} {
		t.Run(name, func(t *testing.T) {
			e := scheduler.NewEngines(scheduler.Policy{})
			servers := testServers(4)
			e.Sync(testStart, testPool, servers)
			cached := longRun("cached", "subject")
			e.Record(testStart, routerB, streaming(cached, servers[0].Incarnation(), 272*time.Millisecond))
			e.Record(testStart, routerB, sent(plainRun("pending", 9000, 10), servers[0].Incarnation()))
			for i, s := range servers[2:] {
				if tc.pendingElsewhere > 0 {
					e.Record(testStart, routerB, sent(plainRun(fmt.Sprint("other", i), tc.pendingElsewhere, 10), s.Incarnation()))
				}
			}
			r := longRun("r", "subject")
			c := e.Place(testStart, routerA, r, map[string]bool{"e-02": true, "e-03": true}, nil)
			qt.Assert(t, string(c.Server[:4]), qt.Equals, tc.want, qt.Commentf("%+v", c))
		})
	}
}

// TestRanks guards against ranks that differ from the order of the weights.
func TestRanks(t *testing.T) {
	cases := map[string]struct {
		weights []uint64
		want    []int
	}{
		"falling":   {weights: []uint64{9, 8, 7, 6, 5, 4, 3, 2}, want: []int{0, 1, 2, 3, 4, 5, 6, 6}},
		"rising":    {weights: []uint64{2, 3, 4, 5, 6, 7, 8, 9}, want: []int{6, 6, 5, 4, 3, 2, 1, 0}},
		"unordered": {weights: []uint64{5, 90, 3, 70, 8, 60, 4, 80}, want: []int{5, 0, 6, 2, 4, 3, 6, 1}},
		"few":       {weights: []uint64{5, 90}, want: []int{1, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { qt.Assert(t, scheduler.Ranks(tc.weights), qt.DeepEquals, tc.want) })
	}
}

// TestNoEngine guards against refusing a request with Full because its sender excluded all engines of the group.
func TestNoEngine(t *testing.T) {
	cases := map[string]struct {
		engines  int
		excluded map[string]bool
	}{
		"no engine":    {},
		"all excluded": {engines: 3, excluded: allBut(3)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newTestEngines(tc.engines)
			qt.Assert(t, e.Place(testStart, routerA, plainRun("r", 100, 10), tc.excluded, nil), qt.Equals, masticway.EngineChoice{})
			qt.Assert(t, e.TotalLoad(), qt.Equals, scheduler.Load{})
		})
	}
}

// TestFull loads two engines with 70,000 pending tokens each, a prefill of 2 s.
func TestFull(t *testing.T) {
	cases := map[string]struct {
		timeLeft time.Duration
		excluded map[string]bool
		wantFull bool
		// guards says which failure the case guards against.
		guards string
	}{
		"the deadline is later": {timeLeft: 3 * time.Second, guards: "a request is refused although it would be answered in time"},
		"the deadline is earlier": {
			timeLeft: 500 * time.Millisecond, wantFull: true, guards: "a request waits for an answer that comes too late",
		},
		"no deadline": {guards: "a request without a deadline is refused"},
		"a free engine is excluded": {
			timeLeft: 500 * time.Millisecond, excluded: map[string]bool{"e-02": true}, wantFull: true,
			guards: "the wait at an engine counts that the sender may not use",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			engines := 2 + len(tc.excluded)
			e := newTestEngines(engines)
			for i, s := range testServers(2) {
				e.Record(testStart, routerB, sent(plainRun(fmt.Sprint("other", i), 70_000, 10), s.Incarnation()))
			}
			before := e.TotalLoad()
			r := plainRun("r", 500, 10)
			r.TimeLeft = tc.timeLeft
			c := e.Place(testStart, routerA, r, tc.excluded, nil)
			qt.Assert(t, c.Full, qt.Equals, tc.wantFull, qt.Commentf("failure: %s; %+v", tc.guards, c))
			if !tc.wantFull {
				qt.Assert(t, c.Wait > 1900*time.Millisecond && c.Wait < 2200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", c.Wait))
				return
			}
			qt.Assert(t, c.Server, qt.Equals, masticway.ServerIncarnation(""))
			qt.Assert(t, c.RetryAfter > 1400*time.Millisecond && c.RetryAfter < 1700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", c.RetryAfter))
			qt.Assert(t, e.TotalLoad(), qt.Equals, before, qt.Commentf("a refused run has a reservation"))
		})
	}
}

// TestFullSlots guards against refusing requests for seconds, or for no time, when all slots are taken.
func TestFullSlots(t *testing.T) {
	e := scheduler.NewEngines(testPolicy)
	p := testPool
	p.Slots = 4
	e.Sync(testStart, p, testServers(1))
	r := plainRun("r", 100, 10)
	for i := range 12 {
		other := plainRun(fmt.Sprint("other", i), 100, 10)
		e.Record(testStart, routerB, streaming(other, testServers(1)[0].Incarnation(), 50*time.Millisecond))
	}
	r.TimeLeft = time.Second
	c := e.Place(testStart, routerA, r, nil, nil)
	qt.Assert(t, c.Full, qt.IsTrue)
	qt.Assert(t, c.RetryAfter >= 500*time.Millisecond && c.RetryAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", c.RetryAfter))
}

// TestLargeDeclaredSizes guards against refusals at nearly idle engines because a caller declares an answer larger than their
// memory, and against sums of declared sizes that overflow.
func TestLargeDeclaredSizes(t *testing.T) {
	for name, tc := range map[string]struct{ tokens, output, capacity int }{
		"output above the memory":    {1000, 400_000, testPool.TokenCapacity},
		"largest output":             {1000, math.MaxInt, testPool.TokenCapacity},
		"largest prompt and output":  {math.MaxInt, math.MaxInt, 0},
		"negative prompt and output": {math.MinInt, math.MinInt, testPool.TokenCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			e := scheduler.NewEngines(testPolicy)
			pool := testPool
			pool.TokenCapacity = tc.capacity
			e.Sync(testStart, pool, testServers(2))
			for i := range 2 {
				place(e, testStart, plainRun(fmt.Sprint("small", i), 100, 10))
			}
			for i := range 3 {
				r := plainRun(fmt.Sprint("large", i), tc.tokens, tc.output)
				r.TimeLeft = time.Hour
				if tc.tokens == 1000 {
					r.TimeLeft = 5 * time.Second
				}
				c := e.Place(testStart, routerA, r, nil, nil)
				qt.Assert(t, c.Full, qt.IsFalse, qt.Commentf("run %d: %+v", i, c))
				qt.Assert(t, c.Wait >= 0 && c.Wait < time.Hour, qt.IsTrue, qt.Commentf("%v", c.Wait))
				e.Record(testStart, routerB, sent(plainRun(fmt.Sprint("reported", i), tc.tokens, tc.output), c.Server))
			}
		})
	}
}
