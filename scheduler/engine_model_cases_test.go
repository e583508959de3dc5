package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// ignoreProgress is a way of choosing that chooses nothing.
type ignoreProgress struct{}

func (ignoreProgress) choose(*request)     {}
func (ignoreProgress) firstEvent(*request) {}
func (ignoreProgress) end(*request)        {}
func (ignoreProgress) routerDied(int)      {}

// newEngineWorld returns a world without arrivals and its engines with the given index.
func newEngineWorld(engine int) (*world, *engineModel) {
	w := newWorld(1)
	w.requests = nil
	w.way = ignoreProgress{}
	return w, w.engines[engine]
}

// engineRequest returns a request from the zone of router 0 with a shared part and own tokens.
func engineRequest(id, shared string, sharedTokens, ownTokens, events int) *request {
	return &request{id: id, engine: 0, tokens: sharedTokens + ownTokens, events: events, parts: []masticway.PromptPart{
		{ID: shared, Tokens: sharedTokens}, {ID: "own-" + id, Tokens: ownTokens},
	}}
}

func (w *world) runUntil(at time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= at {
		w.step()
	}
}

// TestEngineModelStepTimes guards against an engine model whose steps take longer or shorter than specified: a prompt of two
// chunks needs two steps with a chunk, of which the second gives the first token, and two more for the other tokens of the event.
func TestEngineModelStepTimes(t *testing.T) {
	for engine, speed := range map[int]float64{0: slowSpeed, 1: 1} {
		w, e := newEngineWorld(engine)
		qt.Assert(t, e.speed, qt.Equals, speed)
		r := engineRequest("r", "shared", 1024, 1024, 1)
		r.engine = engine
		e.add(r)
		w.runUntil(time.Second)
		ms := (2*(6.35+1024/42.8) + 2*(6.35+stepTimePerRun)) / speed
		took := r.firstEvent - w.delay(0, engine)
		qt.Assert(t, (took-milliseconds(ms)).Abs() < time.Microsecond, qt.IsTrue, qt.Commentf("%v, not %v ms", took, ms))
	}
}

// TestEngineModelCache guards against an engine model that prefills cached parts again, or keeps parts for which it has no memory.
func TestEngineModelCache(t *testing.T) {
	w, e := newEngineWorld(1)
	prefill := func(id, shared string, sharedTokens int) int {
		before := e.prefilled
		e.add(engineRequest(id, shared, sharedTokens, 100, 1))
		w.runUntil(w.now + time.Minute)
		return e.prefilled - before
	}
	qt.Assert(t, prefill("a", "x", 200_000), qt.Equals, 200_100)
	qt.Assert(t, prefill("b", "x", 200_000), qt.Equals, 100)
	qt.Assert(t, prefill("c", "y", 100_000), qt.Equals, 100_100)
	qt.Assert(t, prefill("d", "x", 200_000), qt.Equals, 100)
	qt.Assert(t, prefill("e", "z", 100_000), qt.Equals, 100_100)
	qt.Assert(t, prefill("f", "x", 200_000), qt.Equals, 100, qt.Commentf("the least recently used part must be evicted, not this one"))
	qt.Assert(t, prefill("g", "y", 100_000), qt.Equals, 100_100)
	qt.Assert(t, e.used <= engineMemory, qt.IsTrue)
}

// TestEngineModelSlots guards against an engine model that runs more requests than it has slots or memory for.
func TestEngineModelSlots(t *testing.T) {
	for name, tc := range map[string]struct{ tokens, want int }{
		"slots":  {tokens: 100, want: engineSlots},
		"memory": {tokens: 100_000, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			w, e := newEngineWorld(1)
			for i := range engineSlots + 1 {
				e.add(engineRequest(fmt.Sprint("r", i), fmt.Sprint("s", i), tc.tokens/2, tc.tokens/2, 100))
			}
			w.runUntil(100 * time.Millisecond)
			qt.Assert(t, e.batch, qt.HasLen, tc.want)
			qt.Assert(t, e.queue, qt.HasLen, engineSlots+1-tc.want)
			w.runUntil(time.Hour)
			qt.Assert(t, e.batch, qt.HasLen, 0)
			qt.Assert(t, e.queue, qt.HasLen, 0)
		})
	}
}
