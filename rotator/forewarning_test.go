package rotator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestForewarningAloneTakesNoRouterOut guards against routers that are out of rotation without a lease: whenever the load balancer
// probes them and however long elections take, a router that gets no lease must not fail two probes in a row.
func TestForewarningAloneTakesNoRouterOut(t *testing.T) {
	for _, delay := range []int{0, 400, 850, 1500, 5000} {
		t.Run(fmt.Sprintf("votes %d ms late", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				z := newZone(ctx, 7)
				z.isCut, z.voteDelay = true, time.Duration(delay)*time.Millisecond
				m := z.routers[2]
				z.advance(2 * time.Second)
				z.addCallers(2, 400)
				// failed holds the numbers of probes in a row that have failed, by the time of the probes within each second.
				failed, most := [100]int{}, 0
				for i := range 3000 {
					z.advance(step)
					qt.Assert(t, m.rotator.IsOut(), qt.IsFalse)
					n := &failed[i%len(failed)]
					*n++
					if m.rotator.IsReady() {
						*n = 0
					}
					most = max(most, *n)
				}
				qt.Check(t, most <= 1, qt.IsTrue, qt.Commentf("%d probes in a row failed", most))
				z.callerGroups = nil
				z.advance(5 * time.Second)
				z.close(stop)
			})
		})
	}
}

// TestForewarningBeginsWithElection guards against callers that come to an overloaded router for a probe longer than needed: it
// must report that it is not ready while the votes are on their way.
func TestForewarningBeginsWithElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		z := newZone(ctx, 7)
		z.voteDelay = 700 * time.Millisecond
		m := z.routers[2]
		z.advance(2 * time.Second)
		qt.Assert(t, m.rotator.IsReady(), qt.IsTrue)
		z.addCallers(2, 400)
		for m.rotator.IsReady() {
			z.advance(step)
		}
		qt.Check(t, m.rotator.IsOut(), qt.IsFalse)
		for !m.rotator.IsOut() {
			z.advance(step)
			qt.Assert(t, m.rotator.IsReady(), qt.IsFalse)
		}
		z.callerGroups = nil
		z.advance(5 * time.Second)
		z.close(stop)
	})
}
