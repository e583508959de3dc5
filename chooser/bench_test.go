package chooser_test

import (
	"fmt"
	"testing"

	"github.com/masticway/masticway/chooser"
)

// BenchmarkChoose chooses an upstream for a request with a prompt of 12 KB.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := chooser.New(chooser.PolicyForecast)
			var candidates []chooser.Candidate
			work := prompt('x', 12_000)
			for i := range n {
				name := fmt.Sprint("upstream-", i)
				candidates = append(candidates, chooser.Candidate{Instance: name, Zone: "z"})
				c.RecordReport(start, name, loadReport(i%4, 0))
				c.RecordSent(start, name, work)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(start, work, candidates)
			}
		})
	}
}

// BenchmarkPrefixes computes the prefix hashes of one prompt.
func BenchmarkPrefixes(b *testing.B) {
	data := make([]byte, 12_000)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		chooser.Prefixes(data)
	}
}
