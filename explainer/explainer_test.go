package explainer_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/explainer"
)

func TestOldTracesAreFoundInTheObjectStore(t *testing.T) {
	store := emulator.NewObjectStore()
	m := explainer.NewTraceCache("r~1")
	ctx := context.Background()
	for i := range 5000 {
		m.Add(explainer.Trace{Request: explainer.RequestID("r~1", fmt.Sprint(i))})
		if i%1000 == 0 {
			// A batch that an outage refuses is written with the next.
			store.SetDown(i == 2000)
			_ = m.Flush(ctx, store)
			store.SetDown(false)
		}
	}
	qt.Assert(t, m.Flush(ctx, store), qt.IsNil)
	_, ok := m.Get("r~1.0")
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = m.Get("r~1.4999")
	qt.Assert(t, ok, qt.IsTrue)
	for _, id := range []string{"r~1.0", "r~1.1500", "r~1.4999"} {
		trace, err := explainer.FindTrace(ctx, store, id)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", id))
		qt.Assert(t, trace.Request, qt.Equals, id)
	}
	var missing *masticway.NotFoundError
	_, err := explainer.FindTrace(ctx, store, "r~1.nope")
	qt.Assert(t, err, qt.ErrorAs, &missing)
}
