package treasurer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/treasurer"
)

// shiftedFleet is the load of a deployment with 31 routers in four availability zones: 310 metered requests a second for 24
// workspaces, budgets for 1.3 times what they use in 34 s, and the largest workspace's callers all at one router.
var shiftedFleet = fleetLoad{
	routers: 31, zones: 4, workspaces: 24, perSecond: 310, span: 8 * time.Second, prepaid: 5.5, stick: map[string]int{"w0": 17},
}

// TestDeathOfAHolderCostsAWorkspaceLittle kills the router that has taken most of the largest workspace's budget; it is back
// after half a second. What is lost of a budget beyond 3% turns every later refusal into one that callers were owed.
//
// Seen: 1,787 of 2,272 refusals for money of a day were of one workspace, whose holder had been killed at second 4.5 with
// 958,122 tokens written as taken; 1,317,487 were presumed of 4.6 million. How: all that its callers' router borrowed came from
// the holder of its own availability zone, which promised three seconds of that ahead. Cause: witnesses were asked only after
// a silence of three seconds, and the promise did not grow with the silence. Proof: grant_closed has taken, written, silent_ms.
func TestDeathOfAHolderCostsAWorkspaceLittle(t *testing.T) {
	const workspace, mayBeLost = "w0", 0.03
	f := openFleet(shiftedFleet)
	f.after(4500*time.Millisecond, func() {
		var richest *fleetRouter
		var most int64
		for _, r := range f.routers {
			for _, p := range r.purse.Positions() {
				if p.Workspace == workspace && p.Taken > most {
					richest, most = r, p.Taken
				}
			}
		}
		f.kill(richest, 500*time.Millisecond)
	})
	f.run(f.load.span + 3*time.Second)
	lost := f.lostOf(workspace)
	t.Logf("lost: %.4f of the budget", lost)
	qt.Check(t, lost <= mayBeLost, qt.IsTrue)
	qt.Check(t, f.summary(0, len(f.seconds)).refused() <= 0.01, qt.IsTrue)
	f.noneOverspent(t)
}

// TestShortSilenceCostsWhatItAllowed has a router die soon after its last book. Without witnesses all that its promise allowed
// until then is presumed, which grows with the silence; with them what they have heard of, and what needed none.
func TestShortSilenceCostsWhatItAllowed(t *testing.T) {
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
			b, witnesses := silentBench(t)
			silence(b, tc.silence)
			var stated int64
			for _, s := range b.purse.Statements(b.now) {
				if tc.told {
					qt.Assert(t, witnesses[s.Witness.Instance()].Testified(s), qt.IsTrue)
					stated = s.Taken["w"]
				}
			}
			b.start("edge~2", 1_000_000)
			ended := b.purse.Predecessors()
			qt.Assert(t, ended, qt.HasLen, 1)
			var recalled []treasurer.Recollection
			for i, w := range ended[0].Witnesses {
				p := witnesses[w.Incarnation.Instance()]
				if i >= tc.witnesses {
					p = treasurer.NewPurse(treasurer.Settings{Incarnation: masticway.NewIncarnation(w.Incarnation.Instance(), "2"), Parts: 1})
				}
				recalled = append(recalled, p.Recall(w.Incarnation, ended[0].Incarnation))
			}
			known := ended[0].Known(recalled)["w"]
			qt.Assert(t, known >= ended[0].Taken["w"], qt.IsTrue)
			qt.Assert(t, ended[0].Written["w"] <= ended[0].Spent["w"], qt.IsTrue)
			if tc.witnesses == 0 {
				qt.Assert(t, known, qt.Equals, ended[0].Spent["w"])
				return
			}
			qt.Assert(t, known, qt.Equals, max(stated, ended[0].Written["w"]))
		})
	}
}
