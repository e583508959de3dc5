package retrier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticway/masticway/retrier"
)

func TestAllowanceSize(t *testing.T) {
	cases := map[string]struct {
		asked, routers, want int
	}{
		"no requests, alone":        {routers: 1, want: 40},
		"no requests, five routers": {routers: 5, want: 8},
		"routers not counted yet":   {want: 0},
		"many requests":             {asked: 1000, routers: 5, want: 168},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := retrier.NewAllowance(0.2, 50, 10*time.Second)
			now := time.Unix(1000, 0)
			for range tc.asked {
				a.RecordRequest(now)
			}
			taken := 0
			for a.TryTake(now, tc.routers) {
				taken++
			}
			qt.Assert(t, taken, qt.Equals, tc.want)
		})
	}
}

func TestAllowanceBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		a := retrier.NewAllowance(0.2, 20, window)
		now := time.Unix(1000, 0)
		type arrival struct {
			at    time.Time
			again bool
		}
		var all []arrival
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				a.RecordRequest(now)
				all = append(all, arrival{at: now})
			} else if a.TryTake(now, 1) {
				all = append(all, arrival{at: now, again: true})
			}
		}
		for i := range all {
			requests, added := 0, 0
			for _, e := range all[i:] {
				if e.at.Sub(all[i].at) >= window {
					break
				}
				if e.again {
					added++
				} else {
					requests++
				}
			}
			// Requests of the window before count for the rule too; the bound here is stricter by a bucket at most.
			if earlier := 0.2 * float64(requests); float64(added) > earlier+20+0.2*float64(len(all)) {
				t.Fatalf("%d arrivals again beside %d requests", added, requests)
			}
		}
	})
}
