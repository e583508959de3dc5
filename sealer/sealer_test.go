package sealer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/sealer"
)

var start = time.Unix(1_800_000_000, 0)

const router masticway.Incarnation = "r~1"

// harness calls a sealer and records its effects. It answers verifications with StatusOpen.
type harness struct {
	s       *sealer.Sealer
	started []masticway.RunKey
	stopped []masticway.RunKey
	sent    map[masticway.Incarnation][]any
}

func newHarness() *harness {
	return &harness{
		s: sealer.New(sealer.Settings{
			Self: "s~1", AnswerTTL: time.Minute, MaxAnswerBytes: 64, OrphanTimeout: 10 * time.Second, MaxRuns: 4,
		}),
		sent: map[masticway.Incarnation][]any{},
	}
}

func (b *harness) apply(effects []sealer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case sealer.Verify:
			b.apply(b.s.ApplyVerification(start, e.Incarnation, sealer.StatusOpen))
		case sealer.Start:
			b.started = append(b.started, e.Run)
		case sealer.Stop:
			b.stopped = append(b.stopped, e.Run)
		case sealer.Send:
			b.sent[e.To] = append(b.sent[e.To], e.Message)
		}
	}
}

func key(id string, attempt int) masticway.RunKey {
	return masticway.RunKey{Identity: masticway.Identity("w/" + id), Attempt: attempt}
}

func dispatch(id string, attempt int) sealer.Dispatch {
	return sealer.Dispatch{
		Run: key(id, attempt), Sender: router, Hold: masticway.HoldID("h-" + id), Grant: masticway.GrantKey{Budget: "b", Payer: router, Number: 1},
		Bound: 100, PromptWeight: 1, CompletionWeight: 3, Call: masticway.Call{Model: "m", MaxOutput: 20},
	}
}

func (b *harness) run(d sealer.Dispatch) { b.apply(b.s.Dispatch(start, d, router)) }

// last returns the last message sent to the router.
func (b *harness) last() any {
	list := b.sent[router]
	return list[len(list)-1]
}

func TestDispatchIsRefusedAsNotRun(t *testing.T) {
	cases := map[string]struct {
		prepare  func(b *harness)
		dispatch sealer.Dispatch
		reason   sealer.Reason
	}{
		"sealed sender":       {func(b *harness) { b.s.Seal(start, router) }, dispatch("a", 1), sealer.ReasonSealed},
		"draining":            {func(b *harness) { b.s.Drain() }, dispatch("a", 1), sealer.ReasonDraining},
		"queried before":      {func(b *harness) { b.s.Query(start, key("a", 1)) }, dispatch("a", 1), sealer.ReasonCancelled},
		"stale revision":      {func(b *harness) { b.s.ApplyChanges([]masticway.Change{{Revision: 7}}) }, dispatch("a", 1), sealer.ReasonStale},
		"identity is running": {func(b *harness) { b.run(dispatch("a", 1)) }, dispatch("a", 2), sealer.ReasonDuplicate},
		"same attempt, another hold": {func(b *harness) {
			other := dispatch("a", 1)
			other.Hold = "other"
			b.run(other)
		}, dispatch("a", 1), sealer.ReasonDuplicate},
		"full": {func(b *harness) {
			for _, id := range []string{"p", "q", "r", "s"} {
				b.run(dispatch(id, 1))
			}
		}, dispatch("a", 1), sealer.ReasonFull},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness()
			tc.prepare(b)
			before := len(b.started)
			b.run(tc.dispatch)
			refused, ok := b.last().(sealer.Refused)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", b.last()))
			qt.Assert(t, refused.Reason, qt.Equals, tc.reason)
			qt.Assert(t, b.started, qt.HasLen, before)
		})
	}
}

func TestIncarnationStatusDecidesPendingDispatches(t *testing.T) {
	cases := map[string]struct {
		status sealer.IncarnationStatus
		starts int
		reason sealer.Reason
	}{
		"open":          {status: sealer.StatusOpen, starts: 1},
		"sealed":        {status: sealer.StatusSealed, reason: sealer.ReasonSealed},
		"not linked":    {status: sealer.StatusUnlinked, reason: sealer.ReasonUnlinked},
		"table is down": {status: sealer.StatusUnknown, reason: sealer.ReasonUnverified},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness()
			effects := b.s.Dispatch(start, dispatch("a", 1), router)
			qt.Assert(t, effects, qt.DeepEquals, []sealer.Effect{sealer.Verify{Incarnation: router}})
			b.apply(b.s.ApplyVerification(start, router, tc.status))
			qt.Assert(t, b.started, qt.HasLen, tc.starts)
			if tc.starts == 0 {
				qt.Assert(t, b.last().(sealer.Refused).Reason, qt.Equals, tc.reason)
			}
		})
	}
}

func TestSealDuringVerificationWins(t *testing.T) {
	b := newHarness()
	_ = b.s.Dispatch(start, dispatch("a", 1), router)
	_, effects := b.s.Seal(start, router)
	b.apply(effects)
	b.apply(b.s.ApplyVerification(start, router, sealer.StatusOpen))
	b.run(dispatch("b", 1))
	qt.Assert(t, b.started, qt.HasLen, 0)
}

func TestRunResult(t *testing.T) {
	cases := map[string]struct {
		service  bool
		failure  *masticway.UpstreamError
		fate     masticway.Fate
		complete bool
		cost     masticway.Amount
	}{
		"complete answer":             {fate: masticway.FateRan, complete: true, cost: 10 + 3*2},
		"never started":               {failure: &masticway.UpstreamError{}, fate: masticway.FateNotRun},
		"failed in the middle":        {failure: &masticway.UpstreamError{Started: true}, fate: masticway.FateRan, cost: 16},
		"service answered":            {service: true, fate: masticway.FateRan, complete: true, cost: 40},
		"service answer was lost":     {service: true, failure: &masticway.UpstreamError{Started: true}, fate: masticway.FateUnknown, cost: 40},
		"service could not be dialed": {service: true, failure: &masticway.UpstreamError{}, fate: masticway.FateNotRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness()
			d := dispatch("a", 1)
			if tc.service {
				d.Call = masticway.Call{Service: "stock"}
				d.Price = 40
			}
			b.run(d)
			if tc.fate != masticway.FateNotRun && !tc.service {
				b.apply(b.s.RecordPromptCount(d.Run, 10, 0))
				b.apply(b.s.RecordChunk(d.Run, masticway.Chunk{Text: "x", Tokens: 1}))
				b.apply(b.s.RecordChunk(d.Run, masticway.Chunk{Text: "y", Tokens: 1}))
			}
			b.apply(b.s.RecordEnd(start, d.Run, masticway.Outcome{}, tc.failure))
			f := b.last().(sealer.RunResult)
			qt.Assert(t, f.Fate, qt.Equals, tc.fate)
			qt.Assert(t, f.Complete, qt.Equals, tc.complete)
			qt.Assert(t, f.Cost, qt.Equals, tc.cost)
			// A late or repeated report changes nothing.
			qt.Assert(t, b.s.RecordEnd(start, d.Run, masticway.Outcome{}, nil), qt.HasLen, 0)
			report, _ := b.s.Seal(start, router)
			qt.Assert(t, report.Totals[0].Spent, qt.Equals, tc.cost)
		})
	}
}

func TestAttachGetsTheWholeAnswer(t *testing.T) {
	b := newHarness()
	d := dispatch("a", 1)
	b.run(d)
	b.apply(b.s.RecordPromptCount(d.Run, 10, 0))
	for range 3 {
		b.apply(b.s.RecordChunk(d.Run, masticway.Chunk{Text: "x", Tokens: 1}))
	}
	b.s.Detach(start, router)
	b.apply(b.s.Attach(d.Run, 0, "r~2"))
	b.apply(b.s.RecordChunk(d.Run, masticway.Chunk{Text: "y", Tokens: 1}))
	b.apply(b.s.RecordEnd(start, d.Run, masticway.Outcome{}, nil))
	var indexes []int
	for _, m := range b.sent["r~2"] {
		if f, ok := m.(sealer.Frame); ok {
			indexes = append(indexes, f.Chunk.Index)
		}
	}
	qt.Assert(t, indexes, qt.DeepEquals, []int{0, 1, 2, 3})
	qt.Assert(t, b.s.Find("w/a").Result.Complete, qt.IsTrue)
}

func TestRunIsStoppedAtItsBound(t *testing.T) {
	b := newHarness()
	d := dispatch("a", 1)
	d.Bound = 16
	b.run(d)
	b.apply(b.s.RecordPromptCount(d.Run, 10, 0))
	for range 4 {
		b.apply(b.s.RecordChunk(d.Run, masticway.Chunk{Text: "x", Tokens: 1}))
	}
	qt.Assert(t, b.stopped, qt.HasLen, 1)
	b.apply(b.s.RecordEnd(start, d.Run, masticway.Outcome{}, &masticway.UpstreamError{Started: true}))
	f := b.last().(sealer.RunResult)
	qt.Assert(t, f.Cost, qt.Equals, masticway.Amount(16))
	qt.Assert(t, f.Outcome.Reason, qt.Equals, "length")
}

func TestOrphansAreStoppedUnlessNonRepeatable(t *testing.T) {
	for name, nonRepeatable := range map[string]bool{"repeatable": false, "non-repeatable": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness()
			d := dispatch("a", 1)
			d.NonRepeatable = nonRepeatable
			b.run(d)
			b.s.Detach(start, router)
			b.apply(b.s.Tick(start.Add(time.Second)))
			qt.Assert(t, b.stopped, qt.HasLen, 0)
			b.apply(b.s.Tick(start.Add(time.Minute)))
			qt.Assert(t, len(b.stopped) == 1, qt.Equals, !nonRepeatable)
		})
	}
}

func TestMemoryOfAnswersIsBounded(t *testing.T) {
	b := newHarness()
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		d := dispatch(id, 1)
		b.run(d)
		b.apply(b.s.RecordPromptCount(d.Run, 1, 0))
		b.apply(b.s.RecordChunk(d.Run, masticway.Chunk{Text: "0123456789012345678901234567890123456789", Tokens: 1}))
		b.apply(b.s.RecordEnd(start, d.Run, masticway.Outcome{}, nil))
	}
	qt.Assert(t, b.s.Find("w/a").Found, qt.IsFalse)
	qt.Assert(t, b.s.Find("w/f").Found, qt.IsTrue)
	// The cost still counts after the answers have been dropped.
	report, _ := b.s.Seal(start, router)
	qt.Assert(t, report.Totals[0].Spent, qt.Equals, masticway.Amount(6*4))
}

func TestClosedGrantsLeaveMemoryAndNewerOnesStay(t *testing.T) {
	b := newHarness()
	for i, id := range []string{"a", "b", "c"} {
		d := dispatch(id, 1)
		d.Grant.Number = int64(i + 1)
		b.run(d)
		b.apply(b.s.RecordPromptCount(d.Run, 5, 0))
		b.apply(b.s.RecordEnd(start, d.Run, masticway.Outcome{}, nil))
	}
	b.s.DropClosedGrants(router, []int64{2}, 2)
	var numbers []int64
	for _, total := range b.s.Totals(router) {
		numbers = append(numbers, total.Grant.Number)
	}
	qt.Assert(t, numbers, qt.DeepEquals, []int64{2, 3})
}

func TestStaleRouterGetsMissingChanges(t *testing.T) {
	b := newHarness()
	b.s.ApplyChanges([]masticway.Change{{Revision: 5}, {Revision: 6}, {Revision: 7}})
	b.s.ApplyChanges([]masticway.Change{{Revision: 6}})
	qt.Assert(t, b.s.Revision(), qt.Equals, masticway.Revision(7))
	d := dispatch("a", 1)
	d.Revision = 5
	b.run(d)
	changes := b.last().(sealer.Refused).Changes
	qt.Assert(t, changes, qt.HasLen, 2)
	qt.Assert(t, changes[0].Revision, qt.Equals, masticway.Revision(6))
}
