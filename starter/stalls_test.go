package starter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEventsOfStallsCountFromItsStart guards against a router that counts its grace period from when it notices SIGTERM, after it was
// stopped, and is killed before it has answered.
func TestEventsOfStallsCountFromItsStart(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		checks        []int
		noticed, want int
	}{
		"no stall":                       {checks: []int{0, 100, 200}, noticed: 250, want: 250},
		"a short pause":                  {checks: []int{0, 100, 380}, noticed: 390, want: 390},
		"noticed first after a stall":    {checks: []int{0, 100}, noticed: 1700, want: 100},
		"noticed just after a stall":     {checks: []int{0, 100, 1700}, noticed: 1750, want: 100},
		"noticed long after a stall":     {checks: []int{0, 100, 1700, 1800, 1900, 2000}, noticed: 2050, want: 2050},
		"noticed before the first check": {noticed: 50, want: 50},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var s stallRecord
			for _, ms := range tc.checks {
				s.check(at(ms))
			}
			qt.Assert(t, s.earliest(at(tc.noticed)), qt.Equals, at(tc.want))
		})
	}
}
