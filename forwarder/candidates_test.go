package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
)

// TestAllowedRegions restricts routes and workspaces to regions. The servers are in two regions and in a zone whose region is
// unknown.
func TestAllowedRegions(t *testing.T) {
	zones := []string{"z-east", "z-west", "z-nowhere"}
	cases := map[string]struct {
		route, workspace []string
		// runs are the servers that may run the request.
		runs []string
	}{
		"none":                    {runs: []string{"i-0", "i-1", "i-2"}},
		"the route's":             {route: []string{"east"}, runs: []string{"i-0"}},
		"the workspace's":         {workspace: []string{"west"}, runs: []string{"i-1"}},
		"both":                    {route: []string{"east", "west"}, workspace: []string{"west"}, runs: []string{"i-1"}},
		"both, nothing in common": {route: []string{"east"}, workspace: []string{"west"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithSettings(t, len(zones), forwarder.Settings{
				Retries: forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10},
				Regions: map[string]string{"z-east": "east", "z-west": "west"},
			})
			d := f.snapshot.Deployment
			for i := range d.Routes {
				d.Routes[i].Regions = tc.route
			}
			account := d.Accounts["w"]
			account.Regions = tc.workspace
			d.Accounts["w"] = account
			f.snapshot.Deployment = d.WithIndex()
			for i := range f.snapshot.Servers["p"] {
				f.snapshot.Servers["p"][i].Zone = zones[i]
			}
			for i := range 12 {
				began := time.Now()
				got := f.do(t.Context(), "POST", "/never/x", "X-Attempt-Id", fmt.Sprint(i))
				if tc.runs == nil {
					qt.Assert(t, got.status, qt.Equals, 503)
					qt.Assert(t, time.Since(began) < time.Second/4, qt.IsTrue)
					continue
				}
				qt.Assert(t, got.status, qt.Equals, 200)
			}
			ran := map[string]bool{}
			for _, run := range f.ledger.Runs() {
				ran[run.Server] = true
			}
			qt.Assert(t, ran, qt.HasLen, len(tc.runs))
			for _, id := range tc.runs {
				qt.Assert(t, ran[id], qt.IsTrue)
			}
		})
	}
}

// TestColdServersGetNothingWhileWarmOnesServe first has a cold server beside a warm one. Then both are cold and another router is
// the one that sends to them: requests must be refused at once, with the time at which a server is warm as the retry hint.
func TestColdServersGetNothingWhileWarmOnesServe(t *testing.T) {
	const coldFor = 2 * time.Second
	f := newFixture(t, 2)
	chill := func(i int) {
		for _, s := range [][]masticway.Server{f.snapshot.Servers["p"], f.snapshot.Servers["llm"]} {
			s[i].ColdUntil = f.clock.Now().Add(coldFor)
		}
	}
	chill(0)
	for i := range 10 {
		got := f.do(t.Context(), "POST", "/freely/x", "X-Attempt-Id", fmt.Sprint(i))
		qt.Assert(t, got.status, qt.Equals, 200)
	}
	for _, run := range f.ledger.Runs() {
		qt.Assert(t, run.Server, qt.Equals, "i-1")
	}
	chill(1)
	f.budgets.othersOwn = true
	began := time.Now()
	got := f.do(t.Context(), "POST", "/freely/x")
	qt.Assert(t, got.status, qt.Equals, 503)
	qt.Assert(t, time.Since(began) < time.Second/4, qt.IsTrue)
	qt.Assert(t, got.header.Get("Retry-After") > "1.5", qt.IsTrue, qt.Commentf("%s", got.header.Get("Retry-After")))
	f.clock.advance(coldFor)
	qt.Assert(t, f.do(t.Context(), "POST", "/freely/x").status, qt.Equals, 200)
}
