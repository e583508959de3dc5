package rotator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGoodputOfOverloadedRouter guards against congestion collapse: a router that cannot leave the rotation, and that gets more
// requests than its link carries, must go on serving most of what the link carries, and all requests soon after the overload.
func TestGoodputOfOverloadedRouter(t *testing.T) {
	const seconds = 20
	for _, load := range []float64{0.5, 0.9, 1.5, 2, 3, 4} {
		for name, kept := range map[string]float64{"new connections": 0, "a tenth on kept connections": 0.1} {
			t.Run(fmt.Sprintf("%g times the capacity, %s", load, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					z := newZone(ctx, 1)
					m := z.routers[0]
					// advance offers a load as a multiple of the capacity, and returns what is served of it.
					advance := func(span time.Duration, load float64) float64 {
						before := z.served
						for range int(span / step) {
							requests := load * routerCapacity * step.Seconds()
							if m.isPaused() {
								requests *= kept
							}
							m.receive(requests)
							z.advance(step)
						}
						return (z.served - before) / span.Seconds() / routerCapacity
					}
					advance(2*time.Second, 0.3)
					goodput := advance(seconds*time.Second, load)
					advance(3*time.Second, 0.5)
					after := advance(2*time.Second, 0.5)
					t.Logf("goodput %.2f of the capacity, %.2f after the overload", goodput, after)
					qt.Check(t, goodput >= 0.8*min(1, load), qt.IsTrue)
					qt.Check(t, after >= 0.49, qt.IsTrue)
					z.close(stop)
				})
			})
		}
	}
}
