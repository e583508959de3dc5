package starter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/starter"
)

// zoneDelay is the one-way latency between two zones. With it, a query to a sidecar in the other zone takes longer than most
// queries are allowed to.
const zoneDelay = 300 * time.Millisecond

// TestAnswerIsFoundAtASlowSidecar repeats a request with the same idempotency key. The answer is stored at a sidecar that is slow
// to reach; it must be found there instead of running the request again.
func TestAnswerIsFoundAtASlowSidecar(t *testing.T) {
	t.Parallel()
	for name, killFirst := range map[string]bool{"the first router is up": false, "the first router was killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, func(s *starter.FleetSpec, _ *masticway.Contract) {
				s.Delay = func(from, to string) time.Duration {
					if from == to || from == "" || to == "" {
						return 0
					}
					return zoneDelay
				}
			})
			content := "far [tokens=20]"
			qt.Assert(t, b.chat(0, "far", content, false).text, qt.Equals, expectedAnswer(content))
			qt.Assert(t, b.Sidecars()[0].Runs(), qt.Equals, int64(1))
			if killFirst {
				b.KillRouter(b.Routers()[0].Name)
			}
			r := b.chat(len(b.Routers())-1, "far", content, false)
			qt.Assert(t, r.text, qt.Equals, expectedAnswer(content), qt.Commentf("%d %s", r.status, r.body))
			qt.Assert(t, b.totalRuns(), qt.Equals, int64(1))
		})
	}
}
