package keeper_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/keeper"
)

// BenchmarkMemory reports the memory that a keeper needs for one budget in use.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				k := keeper.New(keeper.Settings{Incarnation: "r~1", IdleTimeout: time.Hour}, start)
				for i := range n {
					id := strconv.Itoa(i)
					for _, e := range k.Hold(start, keeper.HoldRequest{ID: masticway.HoldID(id), Budget: id, MaxAmount: 100, MinAmount: 100, MaxWait: time.Second}) {
						if m, ok := e.(keeper.Move); ok {
							k.ApplyMoveResult(start, keeper.MoveResult{Move: m, Drawn: 1000, Remaining: 1 << 50})
						}
					}
					k.Settle(start, masticway.HoldID(id), []keeper.Charge{{Sidecar: "s~1", Amount: 5}})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(k)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(n), "bytes/budget")
		})
	}
}
