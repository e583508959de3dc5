package starter_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
)

// counts returns the metrics of the gateway with the given settings.
func (p *testPlatform) counts(s forwarder.Settings) map[string]int64 {
	response, err := http.Get("http://" + s.MetricsAddress + "/")
	qt.Assert(p.t, err, qt.IsNil)
	defer response.Body.Close()
	var all struct {
		Counts map[string]int64 `json:"masticway"`
	}
	qt.Assert(p.t, json.NewDecoder(response.Body).Decode(&all), qt.IsNil)
	return all.Counts
}

// TestGatewaysCoordinateEngines guards against gateways that do not query each other for engines where they must, or that do
// where coordination does not apply.
func TestGatewaysCoordinateEngines(t *testing.T) {
	for name, tc := range map[string]struct {
		minRouters int
		applies    bool
	}{"enough routers": {minRouters: 2, applies: true}, "too few routers": {minRouters: 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1_000_000)
			p.rows.Put(masticway.RowKey{Table: "op", Key: "config"}, []byte(`{"version":2,"routes":[
				{"name":"r1","host":"h.example","path_prefix":"/draft/","route_kind":"streaming","service":"llm","max_attempts":1,"target_latency_ms":800,"target_tbt_ms":200,"timeout_ms":6000}],
				"services":[{"name":"llm","max_conns":50,"engine":{"slots":4,"stride":3}}],
				"limits":{"max_body_bytes":4096},"tenants":[{"name":"w","api_keys":["k"],"prepaid":1000000}]}`))
			first, second := p.settings("edge-1"), p.settings("edge-2")
			for _, s := range []*forwarder.Settings{&first, &second} {
				s.Regions = map[string]string{"z": "here"}
				s.Policy.SharedLoad.MinRouters = tc.minRouters
				// A busy machine must not delay queries by more than their time limit.
				s.Policy.SharedLoad.QueryTimeout = 10 * time.Second
			}
			a, b := p.start(first), p.start(second)
			defer a.Kill()
			defer b.Kill()
			// By then each gateway counts the other as a member.
			time.Sleep(3500 * time.Millisecond)
			serve := func(n int) {
				for i := range n {
					for _, d := range []int{0, 1} {
						gateway := a
						if d == 1 {
							gateway = b
						}
						status, body := p.ask(gateway, fmt.Sprintf("%d-%d-%d", n, i, d), "/draft/x", "100,40")
						qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s\n%s", body, p.log))
					}
				}
			}
			// The owner becomes ready within a second of requests.
			for began := time.Now(); time.Since(began) < 2*time.Second; {
				serve(5)
			}
			local := int64(0)
			before := [2]map[string]int64{p.counts(first), p.counts(second)}
			serve(20)
			after := [2]map[string]int64{p.counts(first), p.counts(second)}
			for i := range after {
				asked := after[i]["engine_asks"] - before[i]["engine_asks"]
				local += after[i]["engine_choices_local"] - before[i]["engine_choices_local"]
				t.Logf("router %d: %d queries, %d local choices of both", i+1, asked, local)
				qt.Check(t, after[i]["requests"]-before[i]["requests"], qt.Equals, int64(20))
				qt.Check(t, asked <= 20, qt.IsTrue, qt.Commentf("%d queries for 20 requests", asked))
				if !tc.applies {
					qt.Check(t, asked+after[i]["engine_reports"]+after[i]["engine_choices_local"], qt.Equals, int64(0))
				} else if local == 0 {
					qt.Check(t, asked, qt.Equals, int64(20))
				}
			}
			qt.Check(t, local <= 5, qt.IsTrue, qt.Commentf("%d local choices\n%s", local, p.log))
		})
	}
}
