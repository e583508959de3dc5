package sealer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/sealer"
)

// BenchmarkRun measures a sidecar's decisions for one request whose answer has 50 tokens.
func BenchmarkRun(b *testing.B) {
	s := sealer.New(sealer.Settings{Self: "s~1", AnswerTTL: time.Minute, MaxAnswerBytes: 1 << 20, OrphanTimeout: time.Minute, MaxRuns: 10})
	s.ApplyVerification(start, router, sealer.StatusOpen)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		d := dispatch(strconv.Itoa(i), 1)
		d.Bound = 1 << 40
		s.Dispatch(start, d, router)
		s.RecordPromptCount(d.Run, 10, 0)
		for range 50 {
			s.RecordChunk(d.Run, masticway.Chunk{Text: "lapel ", Tokens: 1})
		}
		s.RecordEnd(start, d.Run, masticway.Outcome{}, nil)
	}
}
