package configurer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/configurer"
)

func newConfiguration(n int) configurer.Configuration {
	f := configurer.Configuration{Revision: 1}
	for i := range n {
		name := fmt.Sprint("workspace-", i)
		c := masticway.Contract{
			Workspace: name, Budget: name, Class: masticway.ClassInteractive,
			KeyHashes: []string{authenticator.HashKey(name), authenticator.HashKey(name + "b")},
			Services:  []masticway.ServiceTerms{{Name: "booking", NonRepeatable: []masticway.CallPattern{{Method: "POST", Path: "/sessions"}}}},
		}
		for m := range 4 {
			c.Models = append(c.Models, masticway.ModelTerms{Name: fmt.Sprint("model-", m), MaxOutput: 512})
		}
		f.Contracts = append(f.Contracts, c)
	}
	return f
}

// BenchmarkApply applies one changed contract to configurations with different numbers of workspaces.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 6500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s configurer.State
			full := newConfiguration(n)
			s.Load(full)
			c := full.Contracts[n/2]
			revision := masticway.Revision(1)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				s.Apply([]masticway.Change{{Revision: revision, Contract: &c}})
			}
		})
	}
}

// BenchmarkMemory reports the memory that one workspace's contract and keys take, in bytes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 6500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := configurer.NewSnapshot(newConfiguration(n))
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(n), "bytes/workspace")
		})
	}
}
