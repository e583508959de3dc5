package chooser_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// The bound of a deployment with cold servers: ten requests a second, half as many again, and five beside.
const coldRate = 10.0

var coldBound = chooser.ColdBound{Overshoot: 1.5, Slack: 5}

// coldPool returns servers of which some are cold.
func coldPool(n int, cold ...int) []masticway.Server {
	servers := pool(n)
	for _, i := range cold {
		servers[i].ColdUntil = testTime.Add(time.Hour)
	}
	return servers
}

func TestEligibleColdServers(t *testing.T) {
	cases := map[string]struct {
		cold       []int
		alone      bool
		warm, last int
	}{
		"all warm":                        {warm: 3},
		"one cold":                        {cold: []int{1}, alone: true, warm: 2, last: 1},
		"one cold, another router's":      {cold: []int{1}, warm: 2},
		"all cold":                        {cold: []int{0, 1, 2}, alone: true, last: 3},
		"all cold, all of another router": {cold: []int{0, 1, 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := chooser.NewServers(chooser.ServerPolicy{Cold: coldBound})
			warm, cold := s.Warm(testTime, coldPool(3, tc.cold...), coldRate, func(string) bool { return tc.alone })
			qt.Assert(t, warm, qt.HasLen, tc.warm)
			qt.Assert(t, cold, qt.HasLen, tc.last)
		})
	}
}

// TestColdServersStayWithinLimit has all servers of a pool cold, as after a loss of power of a place, while callers of many
// routers press: no server may get more than the bound in any second, although routers disagree on who sends to it. Each
// request comes at one of 31 routers; two of them take themselves for the one of each server, as after a restart.
func TestColdServersStayWithinLimit(t *testing.T) {
	const routers, requestsEach, span = 31, 400, 4 * time.Second
	bound := int(coldBound.Overshoot*coldRate + coldBound.Slack)
	servers := coldPool(8, 0, 1, 2, 3, 4, 5, 6, 7)
	arrived := map[string][]time.Time{}
	draw := rand.New(rand.NewPCG(1, 2))
	var views []*chooser.Servers
	for range routers {
		views = append(views, chooser.NewServers(chooser.ServerPolicy{Cold: coldBound}))
	}
	for i := range routers * requestsEach {
		now := testTime.Add(span * time.Duration(i) / (routers * requestsEach))
		r := draw.IntN(routers)
		_, cold := views[r].Warm(now, servers, coldRate, func(server string) bool {
			owner := int(server[len(server)-1] - '0')
			return r == owner || r == owner+1
		})
		if len(cold) == 0 {
			continue
		}
		k, _ := views[r].Choose(now, true, chat("hot"), cold)
		views[r].Sent(now, chat("hot"), cold[k].ID)
		// A link may hold a request up by this much.
		arrived[cold[k].ID] = append(arrived[cold[k].ID], now.Add(time.Duration(draw.IntN(100))*time.Millisecond))
	}
	qt.Assert(t, arrived, qt.HasLen, len(servers), qt.Commentf("what cold servers bear is used"))
	for server, times := range arrived {
		for _, from := range times {
			n := 0
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(time.Second)) {
					n++
				}
			}
			qt.Assert(t, n <= bound, qt.IsTrue, qt.Commentf("%s got %d requests in a second, of %d", server, n, bound))
		}
	}
}
