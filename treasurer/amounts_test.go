package treasurer_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/treasurer"
)

// edgeAmounts are amounts at the edges of their type, and sums of two largest numbers that have overflowed.
var edgeAmounts = []int64{math.MinInt64, math.MinInt64 + 1999, -10_000_000, -1, 0, 1 << 45, 1 << 52, 1 << 60, math.MaxInt64 - 1, math.MaxInt64}

// TestEdgeAmountsLeaveBudgetAsItWas guards against a request, loan, repayment or report with an amount at the edge of its type that
// takes a workspace's budget or gives it more.
func TestEdgeAmountsLeaveBudgetAsItWas(t *testing.T) {
	for _, prepaid := range []int64{300_000, 1 << 60, math.MaxInt64} {
		for _, amount := range edgeAmounts {
			t.Run(fmt.Sprintf("%d of %d", amount, prepaid), func(t *testing.T) {
				b := newHarness(t, prepaid)
				b.run(3 * time.Second)
				first := b.hold(2030)
				b.run(300 * time.Millisecond)
				edge := b.hold(amount)
				b.run(300 * time.Millisecond)
				b.record(b.planner.Settle(b.now, edge, amount))
				request := treasurer.LoanRequest{Number: 1, Borrower: "other~1", Workspace: "w", Need: amount}
				loan, lent := b.planner.Lend(b.now, request)
				qt.Check(t, lent >= 0, qt.IsTrue)
				b.record(b.planner.Settle(b.now, loan, 0))
				b.record(b.planner.AcceptRepayment(b.now, treasurer.Repayment{Number: 2, Borrower: "other~1", Lender: b.self, Workspace: "w", Amount: amount}))
				b.run(3 * time.Second)
				b.record(b.planner.Clear(b.now, first))
				b.record(b.planner.Settle(b.now, first, 2030))
				b.run(300 * time.Millisecond)
				state := b.planner.AccountStates()[0]
				qt.Check(t, state.Taken, qt.Equals, int64(2030))
				qt.Check(t, state.Granted >= state.Taken && state.Granted <= min(prepaid, 1<<52), qt.IsTrue, qt.Commentf("%+v", state))
				qt.Check(t, state.Ungranted+state.Granted, qt.Equals, min(prepaid, 1<<52))
				later := b.hold(2030)
				b.run(300 * time.Millisecond)
				qt.Check(t, b.verdicts[later], qt.DeepEquals, []treasurer.Verdict{treasurer.VerdictHeld})
			})
		}
	}
}

// TestRowDamagedByOverflowIsRepaired guards against a budget that stays lost, or is spent twice, after an earlier build has taken an
// amount that had overflowed.
func TestRowDamagedByOverflowIsRepaired(t *testing.T) {
	const prepaid, prompt, spent = 300_000, 2000, 4060
	const overflowed = math.MinInt64 + prompt - 1
	cases := map[string]struct {
		closed int64
		grants map[masticway.Incarnation]treasurer.Grant
		// left is what is left for all routers.
		left int64
	}{
		"closed after an overflow":     {closed: overflowed + spent, left: prepaid - spent - prompt + 1},
		"closed after an unclear one":  {closed: -10_000_000 + spent, left: 0},
		"taken after an overflow":      {closed: spent, grants: map[masticway.Incarnation]treasurer.Grant{"other~1": {Granted: 1000, Taken: overflowed}}, left: prepaid - spent - 1000},
		"a grant of a negative amount": {grants: map[masticway.Incarnation]treasurer.Grant{"other~1": {Granted: -5}}, left: 0},
		"sound":                        {closed: spent, left: prepaid - spent},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			value, err := json.Marshal(treasurer.Account{Prepaid: prepaid, Version: 1, Closed: tc.closed, Grants: tc.grants})
			qt.Assert(t, err, qt.IsNil)
			a := treasurer.ReadAccount(masticway.StoredRow{Version: 1, Value: value})
			qt.Check(t, max(0, a.Ungranted()), qt.Equals, int64(tc.left))
		})
	}
}

// TestCheckpointDamagedByOverflowIsClosed guards against a predecessor whose spend limit had overflowed, so that closing its grant
// returned more than the whole budget.
func TestCheckpointDamagedByOverflowIsClosed(t *testing.T) {
	const taken, prompt = 2030, 2000
	b := newHarness(t, 300_000)
	damaged := fmt.Sprintf(`{"incarnation":"edge~0","generation":1,"sequence":4,"basis_ns":0,"traced":true,"promises":{"w":{"taken":%d,"burst":9223372036854775807,"rate":0}}}`, int64(math.MinInt64+prompt-1+taken))
	b.rows.Put(masticway.RowKey{Table: "masticway_books", Part: "0", Key: "edge"}, []byte(damaged))
	account, err := json.Marshal(treasurer.Account{Prepaid: 300_000, Version: 1, Grants: map[masticway.Incarnation]treasurer.Grant{"edge~0": {Granted: 290_000}}})
	qt.Assert(t, err, qt.IsNil)
	b.rows.Put(masticway.RowKey{Table: "masticway_accounts", Part: "0", Key: "w"}, account)
	b.start("edge~1", 300_000)
	spent := b.planner.Predecessors()[0].PresumedSpent(treasurer.Testimony{})["w"]
	key := masticway.RowKey{Table: "masticway_accounts", Part: "0", Key: "w"}
	write, _, err := treasurer.CloseGrant(b.rows.Row(key), "edge~0", spent, 0, false)
	qt.Assert(t, err, qt.IsNil)
	closed := treasurer.ReadAccount(masticway.StoredRow{Version: 1, Value: write.Puts[0].Value})
	qt.Check(t, closed.Closed >= taken && closed.Closed <= 290_000, qt.IsTrue, qt.Commentf("%d", closed.Closed))
	qt.Check(t, closed.Ungranted() <= 300_000-taken, qt.IsTrue)
}
