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

// TestSealedRouterFailsRequestsAtOnce lets a sidecar refuse a request because its router is sealed, although its money comes from
// another router. A seal is permanent, so free retries would only delay the refusal by seconds while the router's next
// incarnation already serves. Until the router is known to be sealed, the request must be retried.
func TestSealedRouterFailsRequestsAtOnce(t *testing.T) {
	r := New(Settings{}, Secrets{}, masticway.SystemClock{}, logger.Discard(), Platform{Table: emulator.NewTable()}, nil, measurer.New())
	defer r.Close()
	x := r.newExchange(t.Context(), request{}, nil)
	x.hold = &moneyHold{}
	sealed := attemptResult{fate: masticway.FateNotRun, cause: retrier.CauseFenced, reason: "sealed"}
	qt.Assert(t, x.handleFailure(t.Context(), sealed), qt.IsNil, qt.Commentf("a router that is not sealed must retry"))

	r.markSealed()
	began := time.Now()
	refused, ok := errors.AsType[*masticway.RefusalError](x.handleFailure(t.Context(), sealed))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, refused.Fate, qt.Equals, masticway.FateNotRun)
	qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
}
