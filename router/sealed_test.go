package router

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/retrier"
)

// TestSealedRouterFailsRequestsAtOnce has a sidecar refuse a request since the router that sends it is sealed, money for which came
// from another router.
//
// Seen: beside load the first request to a fleet was refused as not run after 5.8 s, by a router that had been sealed 0.7 s after
// its start. How: its next incarnation served long before, and the request was sent 17 times as the old one. Cause: every refusal
// for the seal was a free retry, though nothing undoes a seal. Proof: the log's lines of both incarnations around the request.
func TestSealedRouterFailsRequestsAtOnce(t *testing.T) {
	r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: emulator.NewTable()}, nil, measurer.New())
	defer r.Close()
	x := r.newExchange(request{}, nil, nil)
	x.hold = &moneyHold{}
	sealed := attemptResult{fate: masticway.FateNotRun, cause: retrier.CauseFenced, reason: "sealed"}
	qt.Assert(t, x.handleFailure(t.Context(), sealed), qt.IsNil, qt.Commentf("a router that is not sealed goes on"))

	r.markSealed()
	began := time.Now()
	refused, ok := errors.AsType[*masticway.RefusalError](x.handleFailure(t.Context(), sealed))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, refused.Fate, qt.Equals, masticway.FateNotRun)
	qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
}
