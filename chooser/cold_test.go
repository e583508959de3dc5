package chooser_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// The limit of a deployment with cold servers: 1.5 times ten requests per second, plus five.
const coldRate = 10.0

var coldLimit = chooser.ColdRateLimit{Overshoot: 1.5, Slack: 5}

// coldPool returns n servers, of which some are cold.
func coldPool(n int, cold ...int) []masticway.Server {
	servers := pool(n)
	for _, i := range cold {
		servers[i].ColdUntil = testTime.Add(time.Hour)
	}
	return servers
}

func TestEligibleColdServers(t *testing.T) {
	cases := map[string]struct {
		cold               []int
		ownsAll            bool
		wantWarm, wantCold int
	}{
		"all warm":                          {wantWarm: 3},
		"one cold":                          {cold: []int{1}, ownsAll: true, wantWarm: 2, wantCold: 1},
		"one cold, owned by another router": {cold: []int{1}, wantWarm: 2},
		"all cold":                          {cold: []int{0, 1, 2}, ownsAll: true, wantCold: 3},
		"all cold, owned by other routers":  {cold: []int{0, 1, 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := chooser.NewServers(chooser.ServerPolicy{Cold: coldLimit})
			warm, cold := s.Eligible(testTime, coldPool(3, tc.cold...), coldRate, func(string) bool { return tc.ownsAll })
			qt.Assert(t, warm, qt.HasLen, tc.wantWarm)
			qt.Assert(t, cold, qt.HasLen, tc.wantCold)
		})
	}
}

// TestColdServersStayWithinLimit guards against overloading cold servers. All servers of a pool are cold, as after a power
// failure in a zone, and callers of many routers send more than the servers can take. No server may get more than the limit in
// any second, although two of the 31 routers consider themselves the owner of each server, as may happen after a restart.
func TestColdServersStayWithinLimit(t *testing.T) {
	const routers, requestsEach, span = 31, 400, 4 * time.Second
	limit := int(coldLimit.Overshoot*coldRate + coldLimit.Slack)
	servers := coldPool(8, 0, 1, 2, 3, 4, 5, 6, 7)
	arrived := map[string][]time.Time{}
	random := rand.New(rand.NewPCG(1, 2))
	var choosers []*chooser.Servers
	for range routers {
		choosers = append(choosers, chooser.NewServers(chooser.ServerPolicy{Cold: coldLimit}))
	}
	for i := range routers * requestsEach {
		now := testTime.Add(span * time.Duration(i) / (routers * requestsEach))
		r := random.IntN(routers)
		_, cold := choosers[r].Eligible(now, servers, coldRate, func(server string) bool {
			owner := int(server[len(server)-1] - '0')
			return r == owner || r == owner+1
		})
		if len(cold) == 0 {
			continue
		}
		k, _ := choosers[r].Choose(now, true, chat("hot"), cold)
		choosers[r].RecordSent(now, chat("hot"), cold[k].ID)
		// The network may delay a request by up to this much.
		arrived[cold[k].ID] = append(arrived[cold[k].ID], now.Add(time.Duration(random.IntN(100))*time.Millisecond))
	}
	qt.Assert(t, arrived, qt.HasLen, len(servers), qt.Commentf("every cold server must get some requests"))
	for server, times := range arrived {
		for _, from := range times {
			n := 0
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(time.Second)) {
					n++
				}
			}
			qt.Assert(t, n <= limit, qt.IsTrue, qt.Commentf("%s got %d requests in a second, the limit is %d", server, n, limit))
		}
	}
}
