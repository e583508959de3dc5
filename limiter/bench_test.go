package limiter_test

import (
	"fmt"
	"testing"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/limiter"
)

// BenchmarkQueue pushes and pops one entry while n entries of ten workspaces wait.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := limiter.NewQueue(limiter.QueueSettings{MaxPerClass: 1 << 20, MaxPerWorkspace: 1 << 20, InteractiveBurst: 4})
			for i := range n {
				q.Push(entry(fmt.Sprint(i), fmt.Sprint("w", i%10), masticway.ClassInteractive, 3))
			}
			e := entry("e", "w0", masticway.ClassInteractive, 3)
			b.ReportAllocs()
			for b.Loop() {
				q.Push(e)
				q.Pop("p")
			}
		})
	}
}
