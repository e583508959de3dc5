package apportioner_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/apportioner"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed gives the same steps in each run; the flag -rapid.seed chooses others.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

// settleTime is how long a fleet runs until its owner grants leases.
const settleTime = 4 * time.Second

// drawRate draws the rate of a clock, at most 1% from the correct one.
func drawRate(t *rapid.T) float64 { return rapid.Float64Range(0.99, 1.01).Draw(t, "rate") }

func drawRouter(t *rapid.T, w *world) *simRouter {
	return rapid.SampledFrom(w.routers).Draw(t, "router")
}

// TestLimitHoldsUnderFaults guards against routers that together may have more connections than the limit: after leases that the
// granting router counts as ended although they are in use, after a change of the owner, or by an owner and a backup that both grant.
// Routers join, restart and leave, are frozen and partitioned, their clocks have different rates, messages are lost and late.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(20, 300).Draw(t, "limit"), 0)
		for range rapid.IntRange(2, 16).Draw(t, "routers") {
			w.start(fmt.Sprintf("router-%d", w.started), drawRate(t)).demand = rapid.IntRange(0, 60).Draw(t, "demand")
		}
		check := func() {
			if total := w.total(); total > w.bound() {
				t.Fatalf("%d connections allowed, the limit is %d", total, w.bound())
			}
		}
		lossShare, late, cut := 0, 0, map[string]bool{}
		// Losses and delays follow the number of messages, so that they are the same in each run with these steps.
		count := 0
		w.lose = func() bool { count++; return lossShare > 0 && count%10 < lossShare }
		w.delay = func() time.Duration {
			if late > 0 && count%4 == 0 {
				return time.Duration(late) * time.Millisecond
			}
			return usualDelay
		}
		w.isCut = func(from, to *simRouter) bool {
			return cut[from.address+"/"+to.address] || cut[from.address] != cut[to.address]
		}
		w.advance(settleTime, check)
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) { drawRouter(t, w).demand = rapid.IntRange(0, 150).Draw(t, "demand") },
			"join": func(t *rapid.T) {
				if len(w.routers) < 30 {
					w.start(fmt.Sprintf("router-%d", w.started), drawRate(t)).demand = 50
				}
			},
			"restart": func(t *rapid.T) {
				r := drawRouter(t, w)
				w.stop(r)
				w.start(r.address, drawRate(t)).demand = r.demand
			},
			"restart the owner": func(t *rapid.T) {
				r := w.owner()
				w.stop(r)
				w.start(r.address, drawRate(t)).demand = r.demand
			},
			"leave": func(t *rapid.T) {
				if len(w.routers) > 2 {
					w.stop(drawRouter(t, w))
				}
			},
			"the owner leaves": func(t *rapid.T) {
				if len(w.routers) > 2 {
					w.stop(w.owner())
				}
			},
			"freeze": func(t *rapid.T) { drawRouter(t, w).frozen = true },
			"thaw": func(*rapid.T) {
				for _, r := range w.routers {
					r.frozen = false
				}
			},
			"partition a router":    func(t *rapid.T) { cut[drawRouter(t, w).address] = true },
			"partition one way":     func(t *rapid.T) { cut[drawRouter(t, w).address+"/"+w.owner().address] = true },
			"partition the replies": func(t *rapid.T) { cut[w.owner().address+"/"+drawRouter(t, w).address] = true },
			"partition the owner":   func(*rapid.T) { cut[w.owner().address] = true },
			"heal":                  func(*rapid.T) { clear(cut) },
			"lose messages":         func(t *rapid.T) { lossShare = rapid.IntRange(0, 6).Draw(t, "of ten") },
			"delay messages":        func(t *rapid.T) { late = rapid.SampledFrom([]int{0, 40, 110, 400, 2900, 4000}).Draw(t, "ms") },
			"limit":                 func(t *rapid.T) { w.limit = rapid.IntRange(20, 300).Draw(t, "limit") },
			"wait":                  func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "steps"))*step, check) },
			"wait long":             func(t *rapid.T) { w.advance(settleTime, check) },
			"":                      func(*rapid.T) { check() },
		})
	})
}

// TestLimitHoldsWhileARouterIsPartitioned guards against a router that gets leases from the backup, while it is partitioned from the
// owner, which with those of the owner exceed the limit, and against one without an answer that loses its base.
func TestLimitHoldsWhileARouterIsPartitioned(t *testing.T) {
	cases := map[string]struct {
		from      func(w *world) []*simRouter
		hasLeases bool
	}{
		"from the owner":  {func(w *world) []*simRouter { return []*simRouter{w.owner()} }, true},
		"from the backup": {func(w *world) []*simRouter { return []*simRouter{w.backup()} }, true},
		"from both":       {func(w *world) []*simRouter { return []*simRouter{w.owner(), w.backup()} }, false},
	}
	for name, tc := range cases {
		for _, demand := range []int{8, 40} {
			t.Run(fmt.Sprintf("%s, %d wanted", name, demand), func(t *testing.T) {
				w := newWorld(230, 28)
				for _, r := range w.routers {
					r.demand = demand
				}
				check := func() { qt.Assert(t, w.total() <= w.limit, qt.IsTrue, qt.Commentf("%d connections", w.total())) }
				w.advance(settleTime, check)
				alone, unreachable := w.other(3), tc.from(w)
				alone.demand = 100
				w.isCut = func(from, to *simRouter) bool {
					for _, o := range unreachable {
						if from == alone && to == o || from == o && to == alone {
							return true
						}
					}
					return false
				}
				base := apportioner.Base(w.limit, len(w.routers))
				w.advance(10*time.Second, func() {
					check()
					for _, r := range w.routers {
						qt.Assert(t, r.allowed() >= base, qt.IsTrue)
					}
				})
				qt.Assert(t, alone.allowed() > base, qt.Equals, tc.hasLeases, qt.Commentf("%d connections allowed", alone.allowed()))
			})
		}
	}
}

// TestRouterWithoutAnswerKeepsBase guards against a router that loses its base, or keeps a lease that has ended, when nobody answers.
func TestRouterWithoutAnswerKeepsBase(t *testing.T) {
	w := newWorld(230, 28)
	r := w.other(0)
	r.demand = 60
	w.advance(2*settleTime, nil)
	qt.Assert(t, r.allowed() > 40, qt.IsTrue, qt.Commentf("%d connections allowed", r.allowed()))
	w.isCut = func(from, to *simRouter) bool { return true }
	w.advance(settleTime, nil)
	qt.Assert(t, r.allowed(), qt.Equals, apportioner.Base(w.limit, len(w.routers)))
}

// TestDemandIsFollowed guards against leases that stay where they are no longer needed: within a second, a router with half of all
// demand must have at least half of the demand part, also if other routers had all of it. If the others want more than their bases
// too, it must have at least half of the three quarters that the owner leases.
func TestDemandIsFollowed(t *testing.T) {
	const limit, routers = 230, 28
	part := apportioner.DemandPart(limit, routers)
	cases := map[string]struct {
		// before and after are the demands of the fleet in the two phases, for the router with half of it and for each other.
		before func(w *world, busy *simRouter)
		others int
		want   int
	}{
		"nobody had leases": {before: func(*world, *simRouter) {}, others: 4, want: (part + 1) / 2},
		"another had most leases": {before: func(w *world, busy *simRouter) {
			o := w.other(5)
			o.demand = 100
		}, others: 4, want: (part + 1) / 2},
		"the owner had most leases": {before: func(w *world, busy *simRouter) { w.owner().demand = 100 }, others: 4, want: (part + 1) / 2},
		"all had leases": {before: func(w *world, busy *simRouter) {
			for _, r := range w.routers {
				r.demand = 20
			}
		}, others: 4, want: (part + 1) / 2},
		"all others want leases too": {before: func(*world, *simRouter) {}, others: 8, want: part * 3 / 4 / 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(limit, routers)
			busy := w.other(9)
			for _, r := range w.routers {
				r.demand = 2
			}
			tc.before(w, busy)
			check := func() { qt.Assert(t, w.total() <= w.limit, qt.IsTrue, qt.Commentf("%d connections", w.total())) }
			w.advance(2*settleTime, check)
			for _, r := range w.routers {
				r.demand = tc.others
			}
			busy.demand = tc.others * (routers - 1)
			w.advance(time.Second, check)
			leased := busy.allowed() - apportioner.Base(limit, routers)
			t.Logf("%d of the demand part of %d after 1 s", leased, part)
			qt.Assert(t, leased >= tc.want, qt.IsTrue, qt.Commentf("%d of %d", leased, part))
			busy.demand = 2
			w.advance(6*time.Second, check)
			qt.Assert(t, busy.allowed(), qt.Equals, apportioner.Base(limit, routers))
		})
	}
}

// TestOpenConnectionsHold guards against connections that are leased to another router while requests still use them: after a lease
// has become smaller, and after one has ended because replies are lost. A router whose requests do not arrive either cannot report its use.
func TestOpenConnectionsHold(t *testing.T) {
	for _, requestTime := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		for name, cut := range map[string]bool{"smaller lease": false, "ended lease": true} {
			t.Run(fmt.Sprintf("%s, requests of %v", name, requestTime), func(t *testing.T) {
				w := newWorld(230, 28)
				w.requestTime = requestTime
				busy, most := w.other(9), 0
				busy.demand = 100
				check := func() {
					most = max(most, w.open())
					qt.Assert(t, w.total() <= w.limit, qt.IsTrue)
				}
				w.advance(2*settleTime, check)
				qt.Assert(t, len(busy.ends) > 40, qt.IsTrue)
				w.isCut = func(_, to *simRouter) bool { return cut && to == busy }
				for _, r := range w.routers {
					r.demand = 20
				}
				if cut {
					// The router uses its lease until the end.
					busy.demand = 100
				}
				w.advance(10*time.Second, check)
				t.Logf("at most %d connections open, the limit is %d", most, w.limit)
				qt.Assert(t, most <= w.limit, qt.IsTrue)
				// What the owner grants to a router that gets no replies stays unused.
				qt.Assert(t, cut || w.total() > w.limit-apportioner.DemandPart(w.limit, 28)/2, qt.IsTrue)
			})
		}
	}
}

// TestReplyIsClamped guards against a lease of more than the demand part, or of less than nothing, from a faulty reply.
func TestReplyIsClamped(t *testing.T) {
	for granted, want := range map[int]int{-5: 6, 0: 6, 57: 63, 1000: 63} {
		l := apportioner.NewLeases("a~1")
		now := time.Unix(1000, 0)
		l.Observe(now, masticway.ConnectionUse{Peak: 6, Denied: 100})
		_, due := l.Ask(now, pool, 230, 28)
		qt.Assert(t, due, qt.IsTrue)
		l.HandleReply(&apportioner.Reply{Granter: "o~1", Number: 1, Granted: granted, Part: 57})
		qt.Check(t, l.Allowed(now, 230, 28), qt.Equals, want, qt.Commentf("%d granted", granted))
	}
}

// TestBackupGrantsWithoutOwner guards against routers that have only their bases for as long as a dead owner is a member.
func TestBackupGrantsWithoutOwner(t *testing.T) {
	w := newWorld(230, 28)
	r := w.other(0)
	r.demand = 60
	w.owner().frozen = true
	w.advance(2*settleTime, func() { qt.Assert(t, w.total() <= w.limit, qt.IsTrue) })
	qt.Assert(t, r.allowed(), qt.Equals, 6+57/4)
	// A new owner is silent at first, so its backup continues.
	w.stop(w.owner())
	w.advance(2*settleTime, func() { qt.Assert(t, w.total() <= w.limit, qt.IsTrue) })
	qt.Assert(t, r.allowed(), qt.Equals, 6+57*3/4)
}

// TestFrozenOwnerIsSilentAfterItRunsAgain guards against an owner that was frozen, did not notice that another router was the owner
// meanwhile, and grants what the other has leased.
func TestFrozenOwnerIsSilentAfterItRunsAgain(t *testing.T) {
	w := newWorld(230, 28)
	for _, r := range w.routers {
		r.demand = 40
	}
	check := func() { qt.Assert(t, w.total() <= w.limit, qt.IsTrue, qt.Commentf("%d connections", w.total())) }
	w.advance(settleTime, check)
	frozen := w.owner()
	frozen.frozen = true
	var second *simRouter
	for second != w.owner() {
		if second != nil {
			w.stop(second)
		}
		second = w.start(fmt.Sprintf("router-%d", w.started), 1)
	}
	w.advance(2*settleTime, check)
	w.stop(second)
	qt.Assert(t, w.owner(), qt.Equals, frozen)
	frozen.frozen = false
	for i, r := range w.routers {
		// Those without leases of the second owner ask the first.
		r.demand = 10 + 50*(i%2)
	}
	w.advance(2*settleTime, check)
	qt.Assert(t, w.total() > w.limit-2*apportioner.DemandPart(w.limit, len(w.routers))/4, qt.IsTrue, qt.Commentf("the first owner grants again"))
}

// TestTimesOfRequests guards against a second request in flight, and against a smaller lease that is confirmed so late that others wait
// for its connections.
func TestTimesOfRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	l := apportioner.NewLeases("a~1")
	observe := func(d time.Duration, peak, denied int) (due bool) {
		now = now.Add(d)
		l.Observe(now, masticway.ConnectionUse{Peak: peak, Denied: denied})
		_, due = l.Ask(now, pool, 230, 28)
		return due
	}
	qt.Assert(t, observe(0, 4, 0), qt.IsFalse, qt.Commentf("the base suffices"))
	qt.Assert(t, observe(100*time.Millisecond, 5, 0), qt.IsTrue, qt.Commentf("over 0.7 of the base"))
	qt.Assert(t, observe(time.Second, 6, 20), qt.IsFalse, qt.Commentf("a request is in flight"))
	l.HandleReply(nil)
	qt.Assert(t, observe(0, 6, 20), qt.IsTrue)
	l.HandleReply(&apportioner.Reply{Granter: "o~1", Number: 1, Granted: 14, Part: 57})
	qt.Assert(t, l.Allowed(now, 230, 28), qt.Equals, 20)
	qt.Assert(t, observe(100*time.Millisecond, 14, 0), qt.IsFalse, qt.Commentf("it has what it wants"))
	qt.Assert(t, observe(150*time.Millisecond, 14, 0), qt.IsTrue, qt.Commentf("the usual interval"))
	l.HandleReply(&apportioner.Reply{Granter: "o~1", Number: 2, Granted: 5, Part: 57})
	qt.Assert(t, observe(100*time.Millisecond, 10, 0), qt.IsTrue, qt.Commentf("a smaller lease is confirmed"))
	l.HandleReply(&apportioner.Reply{Granter: "o~1", Number: 1, Granted: 14, Part: 57})
	qt.Assert(t, l.Allowed(now, 230, 28), qt.Equals, 11, qt.Commentf("an earlier lease is not used again"))
	qt.Assert(t, l.Allowed(now, 115, 28), qt.Equals, 3+5*28/57, qt.Commentf("the fraction of a smaller demand part"))
	qt.Assert(t, l.Allowed(now.Add(3*time.Second), 230, 28), qt.Equals, 6, qt.Commentf("the lease has ended"))
}

// TestRequestsAreBounded guards against routers that ask with every denied request, or without need.
func TestRequestsAreBounded(t *testing.T) {
	for name, tc := range map[string]struct {
		demand    int
		perSecond float64
	}{"little demand": {demand: 3}, "steady demand": {demand: 8, perSecond: 4}, "too much demand": {demand: 200, perSecond: 4}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(230, 28)
			for _, r := range w.routers {
				r.demand = tc.demand
			}
			w.advance(settleTime, nil)
			before := w.asks
			w.advance(10*time.Second, nil)
			perSecond := float64(w.asks-before) / 10 / float64(len(w.routers))
			t.Logf("%.2f requests per second and router", perSecond)
			qt.Assert(t, perSecond <= tc.perSecond, qt.IsTrue)
		})
	}
}

// TestDifferingViews states by how much the limit may be exceeded while views of the membership differ. Without division by demand,
// a router that counts fewer members uses the equal share of that number; the same holds for its base. In addition, two routers that
// both consider themselves owner may lease three quarters of the demand part each, and their backups a quarter each.
func TestDifferingViews(t *testing.T) {
	const limit, routers = 230, 28
	cases := map[string]struct {
		// split returns the routers that do not know of the others; the others know of all.
		split func(w *world) []*simRouter
	}{
		"one router knows nobody but itself and the owner": {func(w *world) []*simRouter { return []*simRouter{w.other(0), w.owner()} }},
		"half of the routers do not know of the owner": {func(w *world) (half []*simRouter) {
			for i, r := range w.routers {
				if i%2 == 0 && r != w.owner() {
					half = append(half, r)
				}
			}
			return half
		}},
		"a few routers do not know of a new owner": {func(w *world) (few []*simRouter) {
			for _, r := range w.routers {
				if r != w.owner() {
					few = append(few, r)
				}
			}
			return few
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(limit, routers)
			for _, r := range w.routers {
				r.demand = 40
			}
			w.advance(settleTime, nil)
			isolated := tc.split(w)
			for _, r := range isolated {
				r.view = isolated
			}
			bases, parts := 0, apportioner.DemandPart(limit, routers)
			for _, r := range w.routers {
				if !r.isDivided() {
					bases += max(2, limit/max(2, len(r.members())))
					continue
				}
				bases += apportioner.Base(limit, len(r.members()))
			}
			parts += apportioner.DemandPart(limit, len(isolated))
			most := 0
			w.advance(10*time.Second, func() { most = max(most, w.total()) })
			t.Logf("at most %d connections, the limit is %d", most, limit)
			qt.Assert(t, most <= bases+parts, qt.IsTrue, qt.Commentf("%d connections, the bases are %d, the demand parts %d", most, bases, parts))
			for _, r := range isolated {
				r.view = nil
			}
			w.advance(settleTime, nil)
			w.advance(settleTime, func() { qt.Assert(t, w.total() <= w.limit, qt.IsTrue) })
		})
	}
}
