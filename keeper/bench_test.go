package keeper_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/keeper"
)

// BenchmarkHoldAndSettle measures the hold and settlement of one request with 1 to 300,000 budgets in memory.
func BenchmarkHoldAndSettle(b *testing.B) {
	for _, n := range []int{1, 1000, 300_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := keeper.New(keeper.Settings{Incarnation: "r~1", IdleTimeout: time.Hour}, start)
			budgets := make([]string, n)
			for i := range budgets {
				budgets[i] = "budget-" + strconv.Itoa(i)
				effects := k.Hold(start, keeper.HoldRequest{ID: masticway.HoldID(budgets[i]), Budget: budgets[i], MaxAmount: 100, MinAmount: 100, Horizon: time.Minute, MaxWait: time.Second})
				for _, e := range effects {
					if m, ok := e.(keeper.Move); ok {
						k.ApplyMoveResult(start, keeper.MoveResult{Move: m, Drawn: 1 << 50, Remaining: 1 << 50})
					}
				}
				k.Settle(start, masticway.HoldID(budgets[i]), nil)
			}
			charges := []keeper.Charge{{Sidecar: "s~1", Amount: 1}}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				id := masticway.HoldID(strconv.Itoa(i))
				k.Hold(start, keeper.HoldRequest{ID: id, Budget: budgets[i%n], MaxAmount: 100, MinAmount: 100, Horizon: time.Minute, MaxWait: time.Second})
				k.Settle(start, id, charges)
			}
		})
	}
}

// BenchmarkReleaseIdle measures one call of ReleaseIdle with 10 to 1,000 budgets without open holds, which is made once a second.
func BenchmarkReleaseIdle(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := keeper.New(keeper.Settings{Incarnation: "r~1", IdleTimeout: time.Hour}, start)
			for i := range n {
				id := strconv.Itoa(i)
				for _, e := range k.Hold(start, keeper.HoldRequest{ID: masticway.HoldID(id), Budget: id, MaxAmount: 100, MinAmount: 100, Horizon: time.Minute, MaxWait: time.Second}) {
					if m, ok := e.(keeper.Move); ok {
						k.ApplyMoveResult(start, keeper.MoveResult{Move: m, Drawn: 1000, Remaining: 1 << 50})
					}
				}
				k.Settle(start, masticway.HoldID(id), nil)
			}
			b.ReportAllocs()
			for b.Loop() {
				k.ReleaseIdle(start)
			}
		})
	}
}
