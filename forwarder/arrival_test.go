package forwarder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDeadlineCountsFromArrival guards against servers that get more time than callers have left because the router read the request
// late.
func TestDeadlineCountsFromArrival(t *testing.T) {
	const limit = time.Second
	for name, age := range map[string]time.Duration{"read at once": 0, "read late": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.callers.age = age
			got := f.do(t.Context(), "POST", "/never/x", "X-Deadline-Ms", "1000")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, 200)
			left := f.ledger.Runs()[0].TimeLeft
			qt.Assert(t, left <= limit-age, qt.IsTrue, qt.Commentf("%s", left))
			qt.Assert(t, left > limit-age-200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", left))
		})
	}
}
