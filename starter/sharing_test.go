package starter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGatewaySharingHysteresis guards against routers that begin and cease to share load whenever one of them restarts, and against
// ones that continue to although the configuration or the number of routers no longer calls for it.
func TestGatewaySharingHysteresis(t *testing.T) {
	cases := map[string]struct {
		minimum int
		routers []int
		want    []bool
	}{
		"one restarts":         {minimum: 16, routers: []int{15, 16, 15, 16}, want: []bool{false, true, true, true}},
		"two are missing":      {minimum: 16, routers: []int{16, 14, 13, 14, 15, 16}, want: []bool{true, true, false, false, false, true}},
		"number is unknown":    {minimum: 2, routers: []int{2, 0, 1}, want: []bool{true, false, false}},
		"a single router left": {minimum: 2, routers: []int{2, 1}, want: []bool{true, false}},
		"one suffices":         {minimum: 1, routers: []int{1, 1}, want: []bool{true, true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var r sharingRule
			for i, n := range tc.routers {
				qt.Assert(t, r.update(n, func(routers int) bool { return routers >= tc.minimum }), qt.Equals, tc.want[i], qt.Commentf("step %d", i))
			}
			qt.Assert(t, r.update(100, func(int) bool { return false }), qt.IsFalse)
		})
	}
}
