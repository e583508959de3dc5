package rotator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPressure guards against a report that a router is idle while it refuses connections or has unanswered requests.
func TestPressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		z := newZone(ctx, 1)
		r := z.routers[0].rotator
		z.advance(2 * time.Second)
		r.Admit(0, 1)
		overloaded, unanswered, paused := r.Pressure()
		qt.Assert(t, overloaded, qt.IsFalse)
		qt.Assert(t, unanswered, qt.Equals, 1)
		qt.Assert(t, paused, qt.Equals, time.Duration(0))

		z.addCallers(0, 400)
		z.advance(3 * time.Second)
		pausedFor := z.routers[0].totalPause()
		overloaded, _, paused = r.Pressure()
		qt.Assert(t, overloaded, qt.IsTrue)
		qt.Assert(t, pausedFor > 500*time.Millisecond, qt.IsTrue)
		qt.Assert(t, (paused-pausedFor).Abs() <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v, seen %v", paused, pausedFor))
		z.close(stop)
	})
}
