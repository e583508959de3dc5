package starter_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
)

// TestConnectionsAreDividedByDemand guards against gateways that do not lease connections from each other, and against gateways that
// divide connections by demand, or send messages about them, in a deployment in which they do not share load.
func TestConnectionsAreDividedByDemand(t *testing.T) {
	cases := map[string]struct {
		settings forwarder.SharedLoadSettings
		divided  bool
	}{
		"load is shared":     {settings: forwarder.SharedLoadSettings{TokenGapMS: 70, MinRouters: 2}, divided: true},
		"load is not shared": {settings: forwarder.SharedLoadSettings{TokenGapMS: 70, MinRouters: 3}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlatform(t, 100000)
			p.rows.Put(masticway.RowKey{Table: "op", Key: "config"}, []byte(`{"version":2,"routes":[
				{"name":"r1","host":"h.example","path_prefix":"/draft/","route_kind":"streaming","service":"llm","max_attempts":1,"target_latency_ms":800,"target_tbt_ms":200,"timeout_ms":6000},
				{"name":"r2","host":"h.example","path_prefix":"/book/","route_kind":"non_idempotent","service":"small","max_attempts":1,"target_latency_ms":300}],
				"services":[{"name":"llm","max_conns":50,"engine":{"slots":4,"stride":3}},{"name":"small","max_conns":12}],
				"limits":{"max_body_bytes":4096},"tenants":[{"name":"w","api_keys":["k"],"prepaid":100000}]}`))
			server := p.addServer("i-small", "small", "z")
			server.EnableEcho(300 * time.Millisecond)
			var routers []forwarder.Settings
			for i := range 2 {
				s := p.settings(fmt.Sprintf("edge-%d", i))
				s.Policy.SharedLoad, s.Regions = tc.settings, map[string]string{"z": "north"}
				if i > 0 {
					s.PeerSeeds = []string{routers[0].PeerAddress}
				}
				routers = append(routers, s)
			}
			first := p.start(routers[0])
			defer first.Kill()
			defer p.start(routers[1]).Kill()
			if tc.divided {
				p.waitForLog("connection_owner", "role=owner")
			}
			// Twelve callers at one router, for longer than an owner is silent at first.
			var callers sync.WaitGroup
			until := time.Now().Add(6 * time.Second)
			for i := range 12 {
				callers.Go(func() {
					for n := 0; time.Now().Before(until); n++ {
						response, err := http.DefaultTransport.RoundTrip(p.request(first, fmt.Sprintf("a%d-%d", i, n), "/book/x", ""))
						if err == nil {
							_, _ = io.Copy(io.Discard, response.Body)
							response.Body.Close()
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			lease := p.logLines("connection_lease", "granted=2", "part=3")
			qt.Assert(t, lease != "", qt.Equals, tc.divided, qt.Commentf("%s", p.logLines("event=connection_")))
			if !tc.divided {
				qt.Assert(t, p.logLines("event=connection_"), qt.Equals, "")
			}
		})
	}
}
