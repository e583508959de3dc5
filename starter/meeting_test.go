package starter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/starter"
)

// TestNewRouterWaitsForPeers starts a router that cannot reach the other one. It must not serve until the two have connected, or
// lost_after has passed: before that, each would regard itself as the only keeper of the budget (the router that grants money
// from it), and a request sent to both with the same idempotency key could run twice.
func TestNewRouterWaitsForPeers(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// lostAfter is how long the new router tries to connect to the other one before it serves without it.
		lostAfter string
		// isReachable is set if the other router becomes reachable.
		isReachable bool
	}{
		"it serves as soon as it has connected":          {lostAfter: "10m", isReachable: true},
		"it serves without a peer that can't be reached": {lostAfter: "500ms"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, func(s *starter.FleetSpec, _ *masticway.Contract) {
				s.Regions[0].Routers = 1
				s.Router = json.RawMessage(fmt.Sprintf(`{"poll":"50ms","lost_after":%q,"lease":"10m"}`, tc.lostAfter))
			})
			// The fleet numbers its processes, so the name of the next one is known.
			second := fmt.Sprintf("router-local-%d", len(b.Sidecars())+len(b.Routers())+1)
			b.Network.Partition(b.Routers()[0].Name, second)
			r, err := b.AddRouter("local", "b")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Name, qt.Equals, second)
			if tc.isReachable {
				book := bookkeeper.New(b.Platform.Table)
				b.eventually("it has its configuration", func() bool {
					row, err := book.Lease(context.Background(), r.Daemon.Incarnation())
					return err == nil && row.AppliedRevision > 0
				})
				qt.Assert(t, r.Daemon.IsReady(), qt.IsFalse)
				b.Network.Heal(b.Routers()[0].Name, second)
			}
			b.eventually("it serves", r.Daemon.IsReady)
			if !tc.isReachable {
				return
			}
			content := "twice [tokens=60]"
			replies := make([]reply, 6)
			var wg sync.WaitGroup
			for i := range replies {
				wg.Go(func() { replies[i] = b.chat(i%2, "same", content, false) })
			}
			wg.Wait()
			for _, r := range replies {
				qt.Assert(t, r.text, qt.Equals, expectedAnswer(content), qt.Commentf("%d %s", r.status, r.body))
			}
			qt.Assert(t, b.totalRuns(), qt.Equals, int64(1))
			qt.Assert(t, b.drainAndReadBudget("b-100000").Settled, qt.Equals, answerCost(content))
		})
	}
}
