package chooser_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// TestPenalties guards against an owner of engines that does not learn of failures which only this router observes, and against
// penalties for failures long past.
func TestPenalties(t *testing.T) {
	servers := []masticway.Server{{ID: "a"}, {ID: "b"}}
	for name, tc := range map[string]struct {
		results []chooser.Result
		after   time.Duration
		// least and most are the bounds of the penalty of the first server in milliseconds. The second has none.
		least, most float64
	}{
		"nothing":                {},
		"success":                {results: []chooser.Result{chooser.ResultSuccess}},
		"a failure":              {results: []chooser.Result{chooser.ResultFailure}, least: 50, most: 150},
		"unreachable":            {results: []chooser.Result{chooser.ResultUnreachable}, least: 6000, most: 7000},
		"unreachable long ago":   {results: []chooser.Result{chooser.ResultUnreachable}, after: 10 * time.Second, least: 50, most: 150},
		"a failure, then others": {results: append([]chooser.Result{chooser.ResultFailure}, make([]chooser.Result, 40)...)},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := chooser.NewServers(chooser.ServerPolicy{}), time.Unix(1_000_000, 0)
			for _, r := range tc.results {
				s.RecordEnd(now, s.RecordSent(now, chooser.Prompt{Tokens: 100}, "a"), r)
			}
			got := s.Penalties(now.Add(tc.after), servers)
			qt.Check(t, got["a"] >= tc.least && got["a"] <= tc.most, qt.IsTrue, qt.Commentf("%v", got))
			qt.Check(t, got["b"], qt.Equals, 0.0)
			qt.Check(t, len(got) <= 1, qt.IsTrue)
		})
	}
}
