package forwarder_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// fixedConnections allows a number of connections to the servers of one pool; zero means that the pool is not divided by demand.
type fixedConnections struct{ allowed atomic.Int64 }

func (c *fixedConnections) Allowed(pool string) (int, bool) {
	n := int(c.allowed.Load())
	return n, n > 0 && pool == "p"
}

// TestConnectionsFollowApportioner guards against a limit of connections that ignores the division by demand, or that differs from
// the equal share where connections are not divided by demand.
func TestConnectionsFollowApportioner(t *testing.T) {
	const equalShare = 50 // half of the pool's 100 connections, as there is one router
	cases := map[string]struct {
		allowed  int64
		requests int
		served   int32
	}{
		"divided by demand":     {allowed: 3, requests: 6, served: 3},
		"not divided by demand": {requests: equalShare + 5, served: equalShare},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.connections.allowed.Store(tc.allowed)
			f.servers[0].EnableEcho(1500 * time.Millisecond)
			var served atomic.Int32
			var wg sync.WaitGroup
			for range tc.requests {
				wg.Go(func() {
					if f.do(t.Context(), "POST", "/never/x").status == 200 {
						served.Add(1)
					}
				})
				// The limit is checked before a connection is opened, so that requests at the same time might exceed it.
				time.Sleep(4 * time.Millisecond)
			}
			wg.Wait()
			qt.Assert(t, served.Load(), qt.Equals, tc.served)
			use := f.router.TakeConnectionUse([]string{"p"})
			qt.Assert(t, use, qt.DeepEquals, map[string]masticway.ConnectionUse{"p": {Peak: int(tc.served), Denied: tc.requests - int(tc.served)}})
			f.router.LimitConnections(map[string]int{"p": 2})
			f.servers[0].EnableEcho(0)
			for range 5 {
				f.do(t.Context(), "POST", "/never/x")
			}
			use = f.router.TakeConnectionUse([]string{"p"})
			qt.Assert(t, use["p"].Peak, qt.Equals, 1)
		})
	}
}
