package treasurer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/treasurer"
)

// unevenFleet is the load of a deployment with 31 routers in four availability zones: 310 metered requests a second for 24
// workspaces, budgets for 1.3 times what they use in 34 s, and the largest workspace's callers all at one router.
var unevenFleet = fleetLoad{
	routers: 31, zones: 4, workspaces: 24, perSecond: 310, span: 8 * time.Second, budgetFactor: 5.5, pinned: map[string]int{"w0": 17},
}

// TestCrashedHolderLosesLittle kills the router that has taken most of the largest workspace's budget; it is back
// after half a second. What is lost of a budget beyond 3% turns every later refusal into one that callers were owed.
//
// Seen: 1,787 of 2,272 refusals for money of a day were of one workspace, whose holder had been killed at second 4.5 with
// 958,122 tokens written as taken; 1,317,487 were presumed of 4.6 million. How: all that its callers' router borrowed came from
// the holder of its own availability zone, which promised three seconds of that ahead. Cause: witnesses were asked only after
// a silence of three seconds, and the promise did not grow with the silence. Proof: grant_closed has taken, written, silent_ms.
func TestCrashedHolderLosesLittle(t *testing.T) {
	const workspace, mayBeLost = "w0", 0.03
	f := startFleet(unevenFleet)
	f.schedule(4500*time.Millisecond, func() {
		var richest *fleetRouter
		var most int64
		for _, r := range f.routers {
			for _, p := range r.planner.Positions() {
				if p.Workspace == workspace && p.Taken > most {
					richest, most = r, p.Taken
				}
			}
		}
		f.kill(richest, 500*time.Millisecond)
	})
	f.run(f.load.span + 3*time.Second)
	lost := f.lostShareOf(workspace)
	t.Logf("lost: %.4f of the budget", lost)
	qt.Check(t, lost <= mayBeLost, qt.IsTrue)
	qt.Check(t, f.summary(0, len(f.seconds)).refusedShare() <= 0.01, qt.IsTrue)
	f.checkBudgets(t)
}

// TestCrashInShortOutageLosesOnlyItsLimit has a router die soon after its last book. Without witnesses all that its promise allowed
// until then is presumed, which grows with the silence; with them what they have heard of, and what needed none.
func TestCrashInShortOutageLosesOnlyItsLimit(t *testing.T) {
	cases := map[string]struct {
		silence time.Duration
		// witnesses are those that remember, told whether they heard of what was taken.
		witnesses int
		told      bool
	}{
		"at once":                            {silence: 60 * time.Millisecond, witnesses: 3},
		"after half a second":                {silence: 500 * time.Millisecond, witnesses: 3},
		"after half a second, all restarted": {silence: 500 * time.Millisecond},
		"after two seconds":                  {silence: 2 * time.Second, witnesses: 3},
		"after two seconds, told":            {silence: 2 * time.Second, witnesses: 2, told: true},
		"after two seconds, all restarted":   {silence: 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, witnesses := newOutageHarness(t)
			simulateOutage(b, tc.silence)
			var stated int64
			for _, s := range b.planner.DueReports(b.now) {
				if tc.told {
					qt.Assert(t, witnesses[s.Witness.Instance()].AcceptReport(s), qt.IsTrue)
					stated = s.Taken["w"]
				}
			}
			b.start("edge~2", 1_000_000)
			ended := b.planner.Predecessors()
			qt.Assert(t, ended, qt.HasLen, 1)
			var recalled []treasurer.Recollection
			for i, w := range ended[0].Witnesses {
				p := witnesses[w.Incarnation.Instance()]
				if i >= tc.witnesses {
					p = treasurer.NewPlanner(treasurer.Settings{Incarnation: masticway.NewIncarnation(w.Incarnation.Instance(), "2"), Parts: 1})
				}
				recalled = append(recalled, p.FinalReports(w.Incarnation, ended[0].Incarnation))
			}
			known := ended[0].PresumedSpent(recalled)["w"]
			qt.Assert(t, known >= ended[0].Taken["w"], qt.IsTrue)
			qt.Assert(t, ended[0].MaxUnwitnessed["w"] <= ended[0].MaxSpent["w"], qt.IsTrue)
			if tc.witnesses == 0 {
				qt.Assert(t, known, qt.Equals, ended[0].MaxSpent["w"])
				return
			}
			qt.Assert(t, known, qt.Equals, max(stated, ended[0].MaxUnwitnessed["w"]))
		})
	}
}

// TestUnwitnessedSpendingIsPresumed has a router answer as many requests as it may in a silence of which no witness hears: whatever
// has gone out counts as spent although its witnesses remember nothing. Each answer is taken for one that a caller got.
func TestUnwitnessedSpendingIsPresumed(t *testing.T) {
	for _, length := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 2900 * time.Millisecond, 5 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			b := newHarness(t, 1_000_000)
			b.burstShare = 0.5
			b.start("edge~2", 1_000_000)
			var peers []treasurer.Peer
			witnesses := map[masticway.Incarnation]*treasurer.Planner{}
			for _, instance := range []string{"one", "two", "three"} {
				i := masticway.NewIncarnation(instance, "1")
				witnesses[i] = treasurer.NewPlanner(treasurer.Settings{Incarnation: i, Parts: 1})
				peers = append(peers, treasurer.Peer{Witness: treasurer.Witness{Incarnation: i, Address: instance}})
			}
			b.planner.SetPeers(4, peers)
			const need = 100
			var asked []treasurer.HoldID
			// answered are the requests whose answers were ready.
			answered := map[treasurer.HoldID]bool{}
			ask := func() {
				asked = append(asked, b.hold(need))
				for _, r := range b.planner.DueBorrowRounds(b.now) {
					b.record(b.planner.CompleteBorrowRound(b.now, r, nil, len(r.Lenders)))
				}
				for _, id := range asked {
					if slices.Contains(b.answered[id], treasurer.VerdictHeld) && !answered[id] {
						answered[id] = true
						b.record(b.planner.Clear(b.now, id))
					}
				}
			}
			for range 40 {
				ask()
				b.run(90 * time.Millisecond)
			}
			b.run(300 * time.Millisecond)
			before := len(asked)
			for passed := time.Duration(0); passed < length; passed += 30 * time.Millisecond {
				ask()
				for _, s := range b.plan(30 * time.Millisecond) {
					replies, err := b.planner.CompleteStep(b.now, s, masticway.RowReading{}, &masticway.UnavailableError{Service: "rows"})
					qt.Assert(t, err, qt.IsNil)
					b.record(replies)
				}
			}
			var got, alone int64
			for i, id := range asked {
				if slices.Contains(b.answered[id], treasurer.VerdictCleared) {
					got += need
					if i >= before {
						alone += need
					}
				}
			}
			qt.Assert(t, alone > 0, qt.IsTrue, qt.Commentf("nothing went out in the silence"))
			b.start("edge~3", 1_000_000)
			for _, e := range b.planner.Predecessors() {
				if e.Incarnation != "edge~2" {
					continue
				}
				var recalled []treasurer.Recollection
				for _, w := range e.Witnesses {
					recalled = append(recalled, witnesses[w.Incarnation].FinalReports(w.Incarnation, e.Incarnation))
				}
				known := e.PresumedSpent(recalled)["w"]
				t.Logf("%d went out, %d of it in the silence; %d are presumed, %d without witnesses", got, alone, known, e.MaxSpent["w"])
				qt.Assert(t, got <= known, qt.IsTrue)
				qt.Assert(t, known <= e.MaxSpent["w"], qt.IsTrue)
				return
			}
			t.Fatal("nothing was left to close")
		})
	}
}
