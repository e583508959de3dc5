package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// TestRunThatSidecarDroppedHasRun guards against a second run of a request that is not repeatable, whose pieces would follow those of
// the first, because the sidecar has dropped the ended run before this router had fetched all of its answer.
func TestRunThatSidecarDroppedHasRun(t *testing.T) {
	for name, tc := range map[string]struct {
		events []charter.Event
		chunks int
		fate   masticway.Fate
	}{
		"not accepted":             {events: []charter.Event{eventAdmitted, eventHeld, eventSent}, fate: masticway.FateNotRun},
		"accepted":                 {events: []charter.Event{eventAdmitted, eventHeld, eventSent, eventAccepted}, fate: masticway.FateUnknown},
		"a part has come":          {events: []charter.Event{eventAdmitted, eventHeld, eventSent, eventAccepted}, chunks: 2, fate: masticway.FateRan},
		"a part of another's run":  {events: []charter.Event{eventAdmitted, eventAttached}, chunks: 1, fate: masticway.FateRan},
		"nothing of another's run": {events: []charter.Event{eventAdmitted, eventAttached}, fate: masticway.FateNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: emulator.NewTable()}, nil, measurer.New())
			defer r.Close()
			var w bufferedWriter
			x := r.newExchange(t.Context(), request{identity: "w/k", hasCallerKey: true, nonRepeatable: true}, &w)
			for _, e := range tc.events {
				x.step(e)
				if e == eventAttached {
					x.found = &foundRun{}
				}
			}
			// The output of an earlier attempt says nothing about this one.
			x.relay(masticway.Chunk{Text: "earlier"})
			f := x.newFeed(masticway.Peer{Instance: "i", Incarnation: "i~1"})
			defer r.upstreams.feeds.remove(f)
			for i := range tc.chunks {
				_, done := x.handleEvent(t.Context(), f, runEvent{chunk: &masticway.Chunk{Index: i, Text: "p"}}, chooser.Request{})
				qt.Assert(t, done, qt.IsFalse)
			}
			end, done := x.handleEvent(t.Context(), f, runEvent{missing: true}, chooser.Request{})
			qt.Assert(t, done, qt.IsTrue)
			qt.Check(t, end.fate, qt.Equals, tc.fate)
		})
	}
}
