package coordinator_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/coordinator"
)

// settle is how long the routers run before a fault, so that the owner is ready.
const settle = 4 * time.Second

// TestOwnerChoosesEngines guards against owners that are not queried, queries that are not needed, and reports that are sent one
// by one.
func TestOwnerChoosesEngines(t *testing.T) {
	w := newWorld(8, 8)
	w.advance(settle)
	w.share()
	messages, asks, begun := w.messages, w.count("engine_asks"), w.begun
	w.advance(10 * time.Second)
	runs := w.begun - begun
	t.Logf("%d runs, %d messages, %d queries", runs, w.messages-messages, w.count("engine_asks")-asks)
	qt.Check(t, w.share(), qt.Equals, 1.0)
	qt.Check(t, w.count("engine_asks")-asks, qt.Equals, int64(runs))
	// Without batches, each run would need at least two more messages.
	qt.Check(t, w.messages-messages < 2*runs, qt.IsTrue)
	w.perSecond = 0
	w.advance(200 * time.Millisecond)
	w.checkKnown(t, 50*time.Millisecond)
	w.advance(time.Second)
	qt.Check(t, w.owner().knownRuns(), qt.HasLen, 0)
}

// TestFaults guards against requests that are delayed for long or placed by guesses for long because of a fault of the owner, of a
// sender or of the network, and against an owner that counts runs which have ended.
func TestFaults(t *testing.T) {
	cut := func(isCut func(from, to *simRouter) bool) func(from, to *simRouter) link {
		return func(from, to *simRouter) link { return link{lost: isCut(from, to)} }
	}
	for name, tc := range map[string]struct {
		fault func(w *world)
		// during and after are the least shares of runs that an owner places from 3 s after the beginning of the fault to its
		// end 8 s later, and from 3 s after its end.
		during, after float64
		end           func(w *world)
	}{
		"nothing": {during: 1, after: 1},
		"the owner dies and its address refuses connections": {
			fault: func(w *world) { w.owner().isDown = true }, during: 0.95, after: 0.95,
		},
		"the owner freezes": {
			fault:  func(w *world) { o := w.owner(); w.link = cut(func(_, to *simRouter) bool { return to == o }) },
			during: 0.9, after: 0.95, end: func(w *world) { w.link = func(_, _ *simRouter) link { return link{} } },
		},
		"the owner takes 30 ms": {
			fault: func(w *world) {
				o := w.owner()
				w.link = func(_, to *simRouter) link {
					if to == o {
						return link{delay: 30 * time.Millisecond}
					}
					return link{}
				}
			},
			during: 0.85, after: 0.95, end: func(w *world) { w.link = func(_, _ *simRouter) link { return link{} } },
		},
		"the owner restarts": {
			fault: func(w *world) { w.owner().start("2"); w.update() }, during: 0.95, after: 1,
		},
		"the owner is overloaded": {
			fault: func(w *world) { w.owner().isOverloaded = true }, during: 0.8, after: 0.95, end: func(w *world) { w.owner().isOverloaded = false },
		},
		"half of the routers cannot reach the owner": {
			fault: func(w *world) {
				o := w.owner()
				w.link = cut(func(from, to *simRouter) bool {
					return (from == o || to == o) && (from.isEven() || to.isEven()) && from.isEven() != to.isEven()
				})
			},
			during: 0.9, after: 0.95, end: func(w *world) { w.link = func(_, _ *simRouter) link { return link{} } },
		},
		"two routers consider themselves owners": {
			fault: func(w *world) {
				o := w.owner()
				for _, n := range w.routers {
					for _, m := range w.routers {
						if m != o || n == o || !n.isEven() {
							n.members = append(n.members, m)
						}
					}
				}
			},
			during: 0.95, after: 1,
			end: func(w *world) {
				for _, n := range w.routers {
					n.members = nil
				}
			},
		},
		"a fifth of the messages and replies are lost, and a fifth arrives twice": {
			fault: func(w *world) {
				w.link = func(_, _ *simRouter) link {
					return link{lost: w.random.IntN(10) == 0, replyLost: w.random.IntN(10) == 0, doubled: w.random.IntN(5) == 0}
				}
			},
			during: 0, after: 0.95, end: func(w *world) { w.link = func(_, _ *simRouter) link { return link{} } },
		},
		"a sender dies": {
			fault: func(w *world) {
				for _, n := range w.routers {
					if n != w.owner() {
						n.isDown = true
						for id, r := range w.runs {
							if r.router == n {
								delete(w.runs, id)
							}
						}
						return
					}
				}
			},
			during: 1, after: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(8, 8)
			w.advance(settle)
			if tc.fault != nil {
				tc.fault(w)
			}
			w.advance(3 * time.Second)
			w.share()
			w.advance(5 * time.Second)
			during := w.share()
			if tc.end != nil {
				tc.end(w)
			}
			w.advance(3 * time.Second)
			if tc.end != nil {
				// A router that was skipped for 8 s is noticed again after this time.
				w.advance(8 * time.Second)
			}
			w.share()
			w.advance(5 * time.Second)
			after := w.share()
			t.Logf("placed by owners: %.2f during the fault, %.2f after it; longest wait %v", during, after, w.longestWait)
			qt.Check(t, during >= tc.during, qt.IsTrue, qt.Commentf("%v of the runs during the fault", during))
			qt.Check(t, after >= tc.after, qt.IsTrue, qt.Commentf("%v of the runs after the fault", after))
			qt.Check(t, w.longestWait <= 20*time.Millisecond, qt.IsTrue, qt.Commentf("a request waited for %v", w.longestWait))
			w.perSecond = 0
			w.advance(300 * time.Millisecond)
			if !w.owner().isDown {
				// All routers have returned to the owner.
				w.checkKnown(t, 250*time.Millisecond)
			}
			w.advance(5 * time.Second)
			for _, n := range w.routers {
				if !n.isDown {
					qt.Check(t, n.knownRuns(), qt.HasLen, 0, qt.Commentf("at %s", n.address))
				}
			}
		})
	}
}

// checkKnown checks that the owner knows all open runs and their engines, and no run that ended longer ago than a time.
func (w *world) checkKnown(t *testing.T, delay time.Duration) {
	known := w.owner().knownRuns()
	for id := range known {
		if at, ok := w.endedAt[id]; ok && w.now.Sub(at) <= delay+2*tick {
			delete(known, id)
		}
	}
	qt.Check(t, known, qt.DeepEquals, w.open())
}

func (n *simRouter) isEven() bool { return (n.address[len(n.address)-1]-'0')%2 == 0 }

// TestSlowLinkStopsQueries guards against a router that delays its requests by queries over a saturated link, and against one whose
// runs the owner then does not see.
func TestSlowLinkStopsQueries(t *testing.T) {
	w := newWorld(4, 8)
	w.advance(settle)
	var slowed *simRouter
	for _, n := range w.routers {
		if n != w.owner() && n != w.backup() {
			slowed = n
		}
	}
	w.link = func(from, to *simRouter) link {
		if from == slowed || to == slowed {
			return link{delay: 15 * time.Millisecond}
		}
		return link{}
	}
	w.advance(2 * time.Second)
	asks := slowed.metrics.Count("engine_asks")
	w.advance(10 * time.Second)
	n := slowed.metrics.Count("engine_asks") - asks
	t.Logf("%d queries in 10 s", n)
	qt.Check(t, n >= 20 && n <= 41, qt.IsTrue)
	qt.Check(t, slowed.metrics.Count("engine_asks_skipped") > 0, qt.IsTrue)
	w.perSecond = 0
	w.advance(300 * time.Millisecond)
	w.checkKnown(t, 250*time.Millisecond)
	w.perSecond = 200
	w.link = func(_, _ *simRouter) link { return link{} }
	w.advance(5 * time.Second)
	w.share()
	w.advance(time.Second)
	qt.Check(t, w.share(), qt.Equals, 1.0)
}

// TestOverloadedRouterSendsNoQueries guards against queries that add to the load of an overloaded router.
func TestOverloadedRouterSendsNoQueries(t *testing.T) {
	w := newWorld(4, 8)
	w.advance(settle)
	for _, n := range w.routers {
		n.isOverloaded = n != w.owner() && n != w.backup()
	}
	asks := map[*simRouter]int64{}
	for _, n := range w.routers {
		asks[n] = n.metrics.Count("engine_asks")
	}
	w.advance(10 * time.Second)
	for _, n := range w.routers {
		if n.isOverloaded {
			sent := n.metrics.Count("engine_asks") - asks[n]
			qt.Check(t, sent <= 41, qt.IsTrue, qt.Commentf("%d queries of an overloaded router in 10 s", sent))
		}
	}
}

// TestNothingIsSentWhereItDoesNotApply guards against messages and records in deployments that do not need coordination.
func TestNothingIsSentWhereItDoesNotApply(t *testing.T) {
	w := newWorld(4, 8)
	w.applies = false
	w.update()
	w.advance(10 * time.Second)
	qt.Check(t, w.messages, qt.Equals, 0)
	qt.Check(t, w.share(), qt.Equals, 0.0)
	n := w.routers[0]
	qt.Check(t, n.coordinator.AppliesTo("llm"), qt.IsFalse)
	qt.Check(t, n.coordinator.Answer(coordinator.Message{Sender: "x~1", Pool: "llm"}), qt.DeepEquals, coordinator.Reply{NotOwner: true})
	qt.Check(t, n.groups, qt.HasLen, 0)

	// The coordination begins when the number of routers suffices, without another snapshot.
	w.applies = true
	w.advance(settle)
	w.share()
	w.advance(time.Second)
	qt.Check(t, w.share(), qt.Equals, 1.0)
	qt.Check(t, n.coordinator.AppliesTo("llm"), qt.IsTrue)
	qt.Check(t, n.coordinator.AppliesTo("plain"), qt.IsFalse)
}

// TestKeepalive guards against an owner that drops a long run because its router has nothing to report.
func TestKeepalive(t *testing.T) {
	w := newWorld(4, 8)
	w.advance(settle)
	w.perSecond = 0
	w.advance(6 * time.Second)
	for _, n := range w.routers {
		w.begin(n, 10*time.Second)
	}
	messages := w.messages
	w.advance(9 * time.Second)
	w.checkKnown(t, 0)
	qt.Check(t, len(w.open()), qt.Equals, 4)
	// Three other routers send a message each second.
	qt.Check(t, w.messages-messages <= 3*13, qt.IsTrue, qt.Commentf("%d messages", w.messages-messages))
	w.advance(2 * time.Second)
	messages = w.messages
	w.advance(3 * time.Second)
	qt.Check(t, w.messages, qt.Equals, messages, qt.Commentf("messages of idle routers"))
}

// TestSecondGroupIsQueriedOnce guards against a refusal while another group has free engines, and against queries to all groups.
func TestSecondGroupIsQueriedOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		engines, fullGroups int
		// wantFull is set if the run must be refused, and wantLocal if local estimates must decide.
		wantFull, wantLocal bool
		queries             int64
	}{
		"the first group is full": {engines: 192, fullGroups: 1, queries: 2},
		"both groups are full":    {engines: 128, fullGroups: 3, wantFull: true, queries: 2},
		"a group was not queried": {engines: 192, fullGroups: 3, wantLocal: true, queries: 2},
		"no group is full":        {engines: 192, queries: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, tc.engines)
			w.perSecond = 400
			w.advance(settle)
			run := masticway.EngineRun{ID: "x", Tokens: 100, TimeLeft: time.Second}
			q := masticway.EngineQuery{Pool: w.pool, Run: run, Candidates: w.engines}
			first, ok := w.routers[0].coordinator.Place(context.Background(), q)
			qt.Assert(t, ok, qt.IsTrue)
			w.routers[0].coordinator.End("x", 0, 0, false)
			for _, n := range w.routers {
				for _, g := range n.groups {
					for _, s := range g.servers {
						g.full = g.full || tc.fullGroups == 3 || tc.fullGroups == 1 && s.Incarnation() == first.Server
					}
				}
			}
			asks := w.routers[0].metrics.Count("engine_asks")
			q.Run.ID = "x"
			choice, ok := w.routers[0].coordinator.Place(context.Background(), q)
			qt.Check(t, ok, qt.Equals, !tc.wantLocal)
			qt.Check(t, choice.Full, qt.Equals, tc.wantFull)
			qt.Check(t, choice.Server == "", qt.Equals, tc.wantFull || tc.wantLocal)
			qt.Check(t, w.routers[0].metrics.Count("engine_asks")-asks, qt.Equals, tc.queries)
		})
	}
}

// TestExcludedEnginesAreNotChosen guards against choices that the forwarder must reject.
func TestExcludedEnginesAreNotChosen(t *testing.T) {
	w := newWorld(4, 8)
	w.advance(settle)
	for i := range 20 {
		run := masticway.EngineRun{ID: string(rune('a' + i)), Tokens: 100, TimeLeft: time.Second}
		q := masticway.EngineQuery{Pool: w.pool, Run: run, Candidates: w.engines[2:4], Penalties: map[string]float64{w.engines[2].ID: 1e6}}
		choice, ok := w.routers[0].coordinator.Place(context.Background(), q)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, choice.Server, qt.Equals, w.engines[3].Incarnation())
	}
}

// TestSpeedClassesAndSpeeds guards against local choices that use other homes than the owner, and a backup that must learn the
// speeds again.
func TestSpeedClassesAndSpeeds(t *testing.T) {
	w := newWorld(4, 8)
	w.advance(settle)
	g := w.owner().groups[0]
	g.slow, g.fast = []string{"e-1", "e-5"}, []string{"e-2"}
	g.speeds = map[masticway.ServerIncarnation]masticway.EngineSpeed{"e-1": {TokensPerMS: 10, Tokens: 1000}}
	w.advance(3 * time.Second)
	for _, n := range w.routers {
		qt.Check(t, n.coordinator.HomeWeights("llm"), qt.DeepEquals, map[string]float64{"e-1": 0.5, "e-5": 0.5, "e-2": 2})
	}
	qt.Check(t, w.backup().groups[0].speeds, qt.DeepEquals, g.speeds)
	// The version must differ if an engine changes from one list to the other.
	g.slow, g.fast = []string{"e-1"}, []string{"e-2", "e-5"}
	w.advance(time.Second)
	for _, n := range w.routers {
		qt.Check(t, n.coordinator.HomeWeights("llm"), qt.DeepEquals, map[string]float64{"e-1": 0.5, "e-5": 2, "e-2": 2})
	}
	g.slow, g.fast = nil, nil
	w.advance(time.Second)
	for _, n := range w.routers {
		qt.Check(t, n.coordinator.HomeWeights("llm"), qt.HasLen, 0)
	}
}
