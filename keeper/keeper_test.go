package keeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/keeper"
)

var start = time.Unix(1_800_000_000, 0)

// harness calls a keeper and records its effects. The test passes the results of the keeper's moves.
type harness struct {
	k        *keeper.Keeper
	now      time.Time
	moves    []keeper.Move
	replies  map[masticway.HoldID]keeper.Reply
	peerAsks int
}

func newHarness(policy keeper.Policy) *harness {
	return &harness{
		k:   keeper.New(keeper.Settings{Incarnation: "r~1", Policy: policy, Slices: 4, IdleTimeout: time.Second}, start),
		now: start, replies: map[masticway.HoldID]keeper.Reply{},
	}
}

func (b *harness) apply(effects []keeper.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case keeper.Move:
			b.moves = append(b.moves, e)
		case keeper.Reply:
			b.replies[e.ID] = e
		case keeper.AskPeers:
			b.peerAsks++
		}
	}
}

func (b *harness) hold(id string, maxAmount, minAmount masticway.Amount) {
	b.apply(b.k.Hold(b.now, keeper.HoldRequest{
		ID: masticway.HoldID(id), Identity: masticway.Identity("w/" + id), Budget: "b", Sender: "r~1", MaxAmount: maxAmount, MinAmount: minAmount,
		Tracked: true, Horizon: time.Second, MaxWait: 200 * time.Millisecond,
	}))
}

// answerMove passes a result of the oldest move to the keeper.
func (b *harness) answerMove(drawn, remaining, othersOpen masticway.Amount, failed bool) {
	m := b.moves[0]
	b.moves = b.moves[1:]
	b.apply(b.k.ApplyMoveResult(b.now, keeper.MoveResult{Move: m, Drawn: drawn, Remaining: remaining, OthersOpen: othersOpen, Failed: failed, OtherPayers: []masticway.Incarnation{"o~1"}}))
}

func (b *harness) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.apply(b.k.Tick(b.now))
	b.apply(b.k.ReleaseIdle(b.now))
}

func TestHoldResults(t *testing.T) {
	cases := map[string]struct {
		maxAmount, minAmount masticway.Amount
		drawn, remaining     masticway.Amount
		othersOpen           masticway.Amount
		failed, waits        bool
		result               keeper.HoldResult
		amount               masticway.Amount
		asksPeers            bool
	}{
		"enough money":          {maxAmount: 100, minAmount: 100, drawn: 500, remaining: 500, result: keeper.ResultHeld, amount: 100},
		"maximum is reduced":    {maxAmount: 100, minAmount: 10, drawn: 40, result: keeper.ResultHeld, amount: 20},
		"minimum is kept":       {maxAmount: 100, minAmount: 30, drawn: 40, result: keeper.ResultHeld, amount: 30},
		"too little everywhere": {maxAmount: 100, minAmount: 100, drawn: 40, result: keeper.ResultExhausted},
		"peers return nothing":  {maxAmount: 100, minAmount: 100, drawn: 40, othersOpen: 90, waits: true, result: keeper.ResultUnreachable, asksPeers: true},
		"table is unreachable":  {maxAmount: 100, minAmount: 100, failed: true, waits: true, result: keeper.ResultUnreachable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(keeper.PolicyForecast)
			b.hold("h", tc.maxAmount, tc.minAmount)
			b.answerMove(tc.drawn, tc.remaining, tc.othersOpen, tc.failed)
			_, answered := b.replies["h"]
			qt.Assert(t, answered, qt.Equals, !tc.waits)
			for range 10 {
				b.tick(50 * time.Millisecond)
				for len(b.moves) > 0 {
					b.answerMove(0, tc.remaining, tc.othersOpen, tc.failed)
				}
			}
			qt.Assert(t, b.replies["h"].Result, qt.Equals, tc.result)
			qt.Assert(t, b.replies["h"].Amount, qt.Equals, tc.amount)
			qt.Assert(t, b.peerAsks > 0, qt.Equals, tc.asksPeers)
		})
	}
}

func TestTopUpIsSeenBeforeARefusal(t *testing.T) {
	b := newHarness(keeper.PolicyForecast)
	b.hold("first", 100, 100)
	b.answerMove(0, 0, 0, false)
	qt.Assert(t, b.replies["first"].Result, qt.Equals, keeper.ResultExhausted)
	// After a top-up the next request must read the table again and not rely on the earlier result.
	b.now = b.now.Add(time.Second)
	b.hold("second", 100, 100)
	b.answerMove(100, 50, 0, false)
	qt.Assert(t, b.replies["second"].Result, qt.Equals, keeper.ResultHeld)
}

func TestWaitingRequestGetsReleasedMoney(t *testing.T) {
	b := newHarness(keeper.PolicyForecast)
	b.hold("first", 100, 100)
	b.answerMove(100, 0, 0, false)
	b.hold("second", 80, 80)
	for len(b.moves) > 0 {
		b.answerMove(0, 0, 0, false)
	}
	_, answered := b.replies["second"]
	qt.Assert(t, answered, qt.IsFalse)
	b.apply(b.k.Settle(b.now, "first", []keeper.Charge{{Sidecar: "s~1", Amount: 15}}))
	qt.Assert(t, b.replies["second"].Result, qt.Equals, keeper.ResultHeld)
}

func TestRepeatedSettlementCountsOnce(t *testing.T) {
	b := newHarness(keeper.PolicyForecast)
	b.hold("h", 100, 100)
	b.answerMove(300, 0, 0, false)
	for range 3 {
		b.apply(b.k.Settle(b.now, "h", []keeper.Charge{{Sidecar: "s~1", Amount: 60}}))
	}
	p, ok := b.k.Position("b")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, p.Spent, qt.Equals, masticway.Amount(60))
	qt.Assert(t, p.Held, qt.Equals, masticway.Amount(0))
}

func TestSecondRequestWithOneIdentityIsADuplicate(t *testing.T) {
	b := newHarness(keeper.PolicyForecast)
	b.hold("h", 100, 100)
	b.answerMove(300, 0, 0, false)
	again := keeper.HoldRequest{ID: "other", Identity: "w/h", Budget: "b", Sender: "r~2", MaxAmount: 100, MinAmount: 100, Tracked: true, MaxWait: time.Second}
	b.apply(b.k.Hold(b.now, again))
	qt.Assert(t, b.replies["other"].Result, qt.Equals, keeper.ResultDuplicate)
	qt.Assert(t, b.replies["other"].Sender, qt.Equals, masticway.Incarnation("r~1"))
	qt.Assert(t, b.replies["other"].InProgress, qt.IsTrue)
	// The duplicate of a run that has ended does not wait.
	b.hold("paid", 100, 100)
	b.apply(b.k.Settle(b.now, "paid", []keeper.Charge{{Sidecar: "s~1", Amount: 5}}))
	late := keeper.HoldRequest{ID: "late", Identity: "w/paid", Budget: "b", Sender: "r~2", MaxAmount: 100, MinAmount: 100, Tracked: true, MaxWait: time.Second}
	b.apply(b.k.Hold(b.now, late))
	qt.Assert(t, b.replies["late"].Result, qt.Equals, keeper.ResultDuplicate)
	qt.Assert(t, b.replies["late"].InProgress, qt.IsFalse)
	// A hold that was settled at no cost did not run, so the identity can be used again.
	b.apply(b.k.Settle(b.now, "h", nil))
	again.ID = "third"
	b.apply(b.k.Hold(b.now, again))
	qt.Assert(t, b.replies["third"].Result, qt.Equals, keeper.ResultHeld)
}

func TestCancelledRequestHoldsNoMoney(t *testing.T) {
	b := newHarness(keeper.PolicyForecast)
	b.hold("h", 100, 100)
	b.apply(b.k.Settle(b.now, "h", nil))
	b.answerMove(300, 0, 0, false)
	_, answered := b.replies["h"]
	qt.Assert(t, answered, qt.IsFalse)
	p, _ := b.k.Position("b")
	qt.Assert(t, p.Held, qt.Equals, masticway.Amount(0))
}

func TestIdleBudgetLeavesMemory(t *testing.T) {
	b := newHarness(keeper.PolicyForecast)
	b.hold("h", 100, 100)
	b.answerMove(300, 0, 0, false)
	b.apply(b.k.Settle(b.now, "h", []keeper.Charge{{Sidecar: "s~1", Amount: 60}}))
	b.tick(2 * time.Second)
	qt.Assert(t, b.moves, qt.HasLen, 1)
	m := b.moves[0]
	qt.Assert(t, m.Close, qt.IsTrue)
	qt.Assert(t, m.Return, qt.Equals, masticway.Amount(240))
	// Money that is being returned cannot be held.
	b.hold("late", 100, 100)
	_, answered := b.replies["late"]
	qt.Assert(t, answered, qt.IsFalse)
	b.answerMove(0, 240, 0, false)
	qt.Assert(t, b.moves[0].Grant.Number, qt.Equals, int64(2))
	b.answerMove(200, 40, 0, false)
	qt.Assert(t, b.replies["late"].Result, qt.Equals, keeper.ResultHeld)
}

func TestSteadyDemandDrawsRarely(t *testing.T) {
	b := newHarness(keeper.PolicyForecast)
	draws := 0
	for range 600 {
		b.now = b.now.Add(100 * time.Millisecond)
		b.apply(b.k.Hold(b.now, keeper.HoldRequest{
			ID: masticway.HoldID(b.now.String()), Budget: "b", Sender: "r~1", MaxAmount: 100, MinAmount: 100, Horizon: time.Minute, MaxWait: time.Second,
		}))
		for len(b.moves) > 0 {
			draws++
			b.answerMove(b.moves[0].Want, 1_000_000, 0, false)
		}
		b.apply(b.k.Settle(b.now, masticway.HoldID(b.now.String()), []keeper.Charge{{Sidecar: "s~1", Amount: 90}}))
	}
	// The 600 requests take a minute, which is also the horizon.
	qt.Assert(t, draws < 10, qt.IsTrue, qt.Commentf("%d draws", draws))
}
