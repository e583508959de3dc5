package router

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/sealer"
)

// TestPiecesAreRelayedOnceAndInOrder guards against pieces that are missing, come twice or come in another order after a link was
// replaced: the sidecar then sends pieces again, and those in between and the result may be lost.
func TestPiecesAreRelayedOnceAndInOrder(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: emulator.NewTable()}, nil, measurer.New())
			defer r.Close()
			var w bufferedWriter
			x := r.newExchange(t.Context(), request{identity: "w/k"}, &w)
			var want strings.Builder
			// The second run continues the answer of the first.
			for attempt := range 2 {
				x.attempt = attempt + 1
				f := x.newFeed(masticway.Peer{Instance: "i", Incarnation: "i~1"})
				n := 1 + random.IntN(2*maxFeedEvents)
				for i := range n {
					want.WriteString(piece(attempt, i).Text)
				}
				final := &sealer.RunResult{Run: f.run, Chunks: n, Complete: true, Fate: masticway.FateRan}
				for isDone := false; !isDone; {
					// A router that attaches gets all pieces from the next one on, of which some come twice and some are lost.
					for i := x.nextChunk - f.firstIndex; i < n; i++ {
						for range [...]int{1, 1, 1, 2, 0}[random.IntN(5)] {
							f.push(runEvent{chunk: piece(attempt, i)})
						}
						if i > 0 && random.IntN(10) == 0 {
							f.push(runEvent{chunk: piece(attempt, random.IntN(i))})
						}
					}
					if random.IntN(2) == 0 {
						f.push(runEvent{final: final})
					}
					for {
						e, ok, _ := f.pop()
						if !ok {
							break
						}
						if _, done := x.handleEvent(t.Context(), f, e, chooser.Request{}); done {
							isDone = true
						}
					}
				}
				// What the first run still sends does not reach the second.
				r.upstreams.feeds.remove(f)
				r.upstreams.feeds.deliver(f.run, "i~1", runEvent{chunk: piece(attempt, n)})
			}
			qt.Assert(t, strings.Fields(w.text.String()), qt.DeepEquals, strings.Fields(want.String()))
			qt.Assert(t, x.text.String() == want.String(), qt.IsTrue)
		})
	}
}

// piece returns a piece of a run that names the run and its index there.
func piece(attempt, index int) *masticway.Chunk {
	return &masticway.Chunk{Index: index, Text: fmt.Sprintf("%d:%d ", attempt, index)}
}
