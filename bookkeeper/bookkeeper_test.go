package bookkeeper_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/keeper"
)

const budget = "b"

func newLedger(t *testing.T, prepaid masticway.Amount) (*bookkeeper.Ledger, *emulator.Table) {
	table := emulator.NewTable()
	ledger := bookkeeper.New(table)
	_, err := ledger.TopUp(context.Background(), budget, "first", prepaid)
	qt.Assert(t, err, qt.IsNil)
	return ledger, table
}

func open(t *testing.T, ledger *bookkeeper.Ledger, inc masticway.Incarnation) int64 {
	version, err := ledger.OpenLinks(context.Background(), inc)
	qt.Assert(t, err, qt.IsNil)
	return version
}

func move(inc masticway.Incarnation, seq int64, need, want masticway.Amount) keeper.Move {
	return keeper.Move{Grant: masticway.GrantKey{Budget: budget, Payer: inc, Number: 1}, Seq: seq, Need: need, Want: want}
}

func TestDrawSize(t *testing.T) {
	cases := map[string]struct {
		remaining, need, want masticway.Amount
		onlyPayer             bool
		size                  masticway.Amount
	}{
		"nothing left":            {remaining: 0, need: 10, want: 20, size: 0},
		"less than the need":      {remaining: 5, need: 10, want: 20, size: 5},
		"alone takes its want":    {remaining: 100, need: 10, want: 100, onlyPayer: true, size: 100},
		"leaves half to others":   {remaining: 110, need: 10, want: 200, size: 60},
		"never more than it asks": {remaining: 1000, need: 10, want: 20, size: 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, bookkeeper.DrawSize(tc.remaining, tc.need, tc.want, tc.onlyPayer), qt.Equals, tc.size)
		})
	}
}

// TestMoveUnderFaults guards against a draw that is made twice or not at all when the table is unavailable or loses the answer.
func TestMoveUnderFaults(t *testing.T) {
	cases := map[string]struct {
		faults  emulator.TableFaults
		stopped bool
		unknown bool
		refused bool
	}{
		"no fault":                         {},
		"answer lost, read back at once":   {faults: emulator.TableFaults{DropAnswers: 1}},
		"answer lost, not read back":       {faults: emulator.TableFaults{DropAnswers: 1}, stopped: true, unknown: true},
		"down before":                      {faults: emulator.TableFaults{Down: true}, refused: true},
		"rate limited, nothing is written": {faults: emulator.TableFaults{MaxWritesPerSecond: -1}, refused: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ledger, table := newLedger(t, 1000)
			version := open(t, ledger, "r~1")
			table.SetFaults(tc.faults)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tc.stopped {
				cancel()
			}
			m := move("r~1", 1, 100, 100)
			result, err := ledger.ApplyMove(ctx, m, version)
			table.SetFaults(emulator.TableFaults{})
			if tc.unknown {
				var unknown *masticway.OutcomeUnknownError
				qt.Assert(t, err, qt.ErrorAs, &unknown)
			}
			if tc.refused {
				var unavailable *masticway.UnavailableError
				qt.Assert(t, err, qt.ErrorAs, &unavailable)
			}
			if tc.unknown || tc.refused {
				// Although the move is repeated, it must draw exactly once.
				result, err = ledger.ApplyMove(context.Background(), m, version)
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, result.Drawn, qt.Equals, masticway.Amount(100))
			row, err := ledger.Budget(context.Background(), budget)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, row.OpenAmount(), qt.Equals, masticway.Amount(100))
		})
	}
}

func TestSealedIncarnationDrawsNothing(t *testing.T) {
	ledger, _ := newLedger(t, 1000)
	version := open(t, ledger, "r~1")
	_, err := ledger.Seal(context.Background(), "r~1")
	qt.Assert(t, err, qt.IsNil)
	_, err = ledger.ApplyMove(context.Background(), move("r~1", 1, 100, 100), version)
	var sealed *masticway.SealedError
	qt.Assert(t, err, qt.ErrorAs, &sealed)
	_, err = ledger.PutLinks(context.Background(), bookkeeper.Links{Incarnation: "r~1", State: bookkeeper.LinksOpen, Sidecars: []masticway.Incarnation{"s~1"}}, version)
	qt.Assert(t, err, qt.ErrorAs, &sealed)
}

func TestTopUpCountsOncePerChange(t *testing.T) {
	ledger, table := newLedger(t, 1000)
	table.SetFaults(emulator.TableFaults{DropAnswers: 1})
	for range 3 {
		row, err := ledger.TopUp(context.Background(), budget, "order-17", 500)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, row.Prepaid, qt.Equals, masticway.Amount(1500))
	}
	_, err := ledger.TopUp(context.Background(), budget, "order-18", -5)
	var amount *bookkeeper.AmountError
	qt.Assert(t, err, qt.ErrorAs, &amount)
}

func TestRecoverIsIdempotent(t *testing.T) {
	cases := map[string]struct {
		closure  bookkeeper.GrantClosure
		settled  masticway.Amount
		presumed masticway.Amount
		open     masticway.Amount
	}{
		"spent is known":                      {closure: bookkeeper.GrantClosure{Spent: 30}, settled: 30},
		"a run goes on":                       {closure: bookkeeper.GrantClosure{Spent: 30, Running: 20}, settled: 30, open: 20},
		"a sidecar is lost":                   {closure: bookkeeper.GrantClosure{Spent: 30, SidecarLost: true}, settled: 100, presumed: 70},
		"a sidecar is lost and a run goes on": {closure: bookkeeper.GrantClosure{Spent: 30, Running: 20, SidecarLost: true}, settled: 0, open: 100},
		"more than was drawn":                 {closure: bookkeeper.GrantClosure{Spent: 300}, settled: 100},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ledger, table := newLedger(t, 1000)
			version := open(t, ledger, "r~1")
			m := move("r~1", 1, 100, 100)
			_, err := ledger.ApplyMove(context.Background(), m, version)
			qt.Assert(t, err, qt.IsNil)
			tc.closure.Grant = m.Grant
			table.SetFaults(emulator.TableFaults{DropAnswers: 1})
			for range 3 {
				_, err := ledger.Recover(context.Background(), tc.closure)
				qt.Assert(t, err, qt.IsNil)
			}
			row, err := ledger.Budget(context.Background(), budget)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, row.Settled, qt.Equals, tc.settled)
			qt.Assert(t, row.Presumed, qt.Equals, tc.presumed)
			qt.Assert(t, row.OpenAmount(), qt.Equals, tc.open)
			qt.Assert(t, row.Check(), qt.IsNil)
		})
	}
}

func TestRefundCountsOncePerHold(t *testing.T) {
	ledger, _ := newLedger(t, 1000)
	version := open(t, ledger, "r~1")
	m := move("r~1", 1, 100, 100)
	_, err := ledger.ApplyMove(context.Background(), m, version)
	qt.Assert(t, err, qt.IsNil)
	_, err = ledger.ApplyMove(context.Background(), keeper.Move{Grant: m.Grant, Seq: 2, Spent: 80, Close: true, Return: 20, DrawnBefore: 100}, version)
	qt.Assert(t, err, qt.IsNil)
	for range 2 {
		qt.Assert(t, ledger.Refund(context.Background(), budget, "hold-1", 30), qt.IsNil)
	}
	row, err := ledger.Budget(context.Background(), budget)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row.Settled, qt.Equals, masticway.Amount(50))
	var invariant *bookkeeper.InvariantError
	qt.Assert(t, ledger.Refund(context.Background(), budget, "hold-2", 60), qt.ErrorAs, &invariant)
}

func TestFencingNumbersRise(t *testing.T) {
	table := emulator.NewTable()
	ledger := bookkeeper.New(table)
	first, err := ledger.AssignFence(context.Background(), "i", "a", masticway.Order{Action: "load_model"})
	qt.Assert(t, err, qt.IsNil)
	table.SetFaults(emulator.TableFaults{DropAnswers: 1})
	second, err := ledger.AssignFence(context.Background(), "i", "b", masticway.Order{Action: "load_model"})
	qt.Assert(t, err, qt.IsNil)
	again, err := ledger.AssignFence(context.Background(), "i", "b", masticway.Order{Action: "load_model"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, []int64{first.Fence, second.Fence, again.Fence}, qt.DeepEquals, []int64{1, 2, 2})
}

// ledgerOp is one operation of a history. Exactly one field is set.
type ledgerOp struct {
	draw    masticway.Amount
	topUp   masticway.Amount
	recover bool
	audit   bool
}

// ledgerResult is the result of an operation. A draw that failed because the payer was fenced may still have been made.
type ledgerResult struct {
	amount masticway.Amount
	fenced bool
}

// ledgerModel models the ledger as a counter of the remaining money. A draw that failed because the payer was fenced may or may
// not have reduced it.
var ledgerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{masticway.Amount(500)} },
	Step: func(state, input, output any) []any {
		remaining := state.(masticway.Amount)
		in := input.(ledgerOp)
		out := output.(ledgerResult)
		drawn := min(in.draw, remaining)
		switch {
		case in.audit && out.amount != remaining:
			return nil
		case in.audit:
			return []any{remaining}
		case in.topUp > 0:
			return []any{remaining + in.topUp}
		case in.recover:
			return []any{remaining + out.amount}
		case out.fenced:
			return []any{remaining, remaining - drawn}
		case out.amount != drawn:
			return nil
		}
		return []any{remaining - drawn}
	},
}

// opHistory records operations of concurrent clients.
type opHistory struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *opHistory) record(client int, in ledgerOp, f func() ledgerResult) ledgerResult {
	call := time.Now().UnixNano()
	out := f()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Now().UnixNano()})
	return out
}

// TestHistoriesAreLinearizable guards against concurrent draws, top-ups and recoveries of sealed payers that lose or double
// money when answers are lost: their results and the remaining money must be those of a single counter. Once a payer has
// been fenced, it must draw nothing more.
func TestHistoriesAreLinearizable(t *testing.T) {
	ledger, table := newLedger(t, 500)
	table.SetFaults(emulator.TableFaults{DropAnswers: 15})
	history := &opHistory{}
	var wg sync.WaitGroup
	for c := range 4 {
		inc := masticway.Incarnation(fmt.Sprintf("r%d~1", c))
		version := open(t, ledger, inc)
		wg.Go(func() {
			fenced := false
			for n := range 6 {
				out := history.record(c, ledgerOp{draw: 60}, func() ledgerResult {
					grant := masticway.GrantKey{Budget: budget, Payer: inc, Number: int64(n + 1)}
					result, err := ledger.ApplyMove(context.Background(), keeper.Move{Grant: grant, Seq: 1, Need: 60}, version)
					var sealed *masticway.SealedError
					if err != nil && !errors.As(err, &sealed) {
						t.Error(err)
					}
					return ledgerResult{amount: result.Drawn, fenced: err != nil}
				})
				if fenced && !out.fenced {
					t.Errorf("%s drew %d after it was fenced", inc, out.amount)
				}
				fenced = out.fenced
				if n%2 == 1 {
					continue
				}
				history.record(c, ledgerOp{topUp: 50}, func() ledgerResult {
					if _, err := ledger.TopUp(context.Background(), budget, fmt.Sprint(c, "-", n), 50); err != nil {
						t.Error(err)
					}
					return ledgerResult{}
				})
			}
		})
		wg.Go(func() {
			// A recovery seals the payer, which is still running, and then closes its first grant.
			if _, err := ledger.Seal(context.Background(), inc); err != nil {
				t.Error(err)
			}
			history.record(10+c, ledgerOp{recover: true}, func() ledgerResult {
				returned, err := ledger.Recover(context.Background(), bookkeeper.GrantClosure{Grant: masticway.GrantKey{Budget: budget, Payer: inc, Number: 1}})
				if err != nil {
					t.Error(err)
				}
				return ledgerResult{amount: returned}
			})
		})
	}
	wg.Wait()
	history.record(20, ledgerOp{audit: true}, func() ledgerResult {
		row, err := ledger.Budget(context.Background(), budget)
		qt.Assert(t, err, qt.IsNil)
		return ledgerResult{amount: row.Remaining()}
	})
	qt.Assert(t, porcupine.CheckOperations(ledgerModel.ToModel(), history.operations), qt.IsTrue)
}
