package rotator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"
)

// TestRefusedConnectionsAreEstimated guards against counts that hide starved callers: connections that are refused while the
// listener is paused must be in the log of an overloaded router.
func TestRefusedConnectionsAreEstimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		z := newZone(ctx, 1)
		m := z.routers[0]
		hook := test.NewLocal(z.logger)
		z.advance(2 * time.Second)
		z.addCallers(0, 400)
		z.advance(5 * time.Second)
		logged := 0
		for _, e := range hook.AllEntries() {
			if e.Data["event"] == "load" {
				logged = e.Data["refused_connections"].(int)
			}
		}
		t.Logf("%.0f connections were refused, %d logged", m.refused, logged)
		qt.Assert(t, m.refused > 500, qt.IsTrue)
		qt.Check(t, float64(logged) >= 0.7*m.refused && float64(logged) <= 1.3*m.refused, qt.IsTrue)
		z.close(stop)
	})
}
