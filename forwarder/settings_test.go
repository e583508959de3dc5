package forwarder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
)

// TestSharesLoad guards against coordinating in deployments whose configuration does not call for it.
func TestSharesLoad(t *testing.T) {
	cases := map[string]struct {
		change  func(s *forwarder.Settings, r *masticway.Route, p *masticway.Pool)
		routers int
		want    bool
	}{
		"streams with short pauses": {routers: 16, want: true},
		"few routers":               {routers: 15},
		"unknown number of routers": {routers: 0},
		"long pauses": {routers: 16, change: func(_ *forwarder.Settings, r *masticway.Route, _ *masticway.Pool) {
			r.MaxEventGap = 211 * time.Millisecond
		}},
		"fewer tokens in each event": {routers: 16, change: func(_ *forwarder.Settings, _ *masticway.Route, p *masticway.Pool) { p.TokensPerEvent = 2 }},
		"no limit on pauses":         {routers: 16, change: func(_ *forwarder.Settings, r *masticway.Route, _ *masticway.Pool) { r.MaxEventGap = 0 }},
		"plain services":             {routers: 16, change: func(_ *forwarder.Settings, _ *masticway.Route, p *masticway.Pool) { p.IsEngine = false }},
		"no traffic to engines":      {routers: 16, change: func(_ *forwarder.Settings, r *masticway.Route, _ *masticway.Pool) { r.Shares[0].Weight = 0 }},
		"turned off":                 {routers: 16, change: func(s *forwarder.Settings, _ *masticway.Route, _ *masticway.Pool) { s.Policy.SharedLoad.TokenGapMS = 0 }},
		"several regions":            {routers: 16, change: func(s *forwarder.Settings, _ *masticway.Route, _ *masticway.Pool) { s.Regions["b"] = "south" }},
		"unknown regions":            {routers: 16, change: func(s *forwarder.Settings, _ *masticway.Route, _ *masticway.Pool) { s.Regions = nil }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := forwarder.Settings{Regions: map[string]string{"a": "north", "b": "north"}}
			s.Policy.SharedLoad = forwarder.SharedLoadSettings{TokenGapMS: 70, MinRouters: 16}
			route := masticway.Route{MaxEventGap: 210 * time.Millisecond, Shares: []masticway.TrafficShare{{Pool: "engines", Weight: 1}}}
			pool := masticway.Pool{IsEngine: true, TokensPerEvent: 3}
			if tc.change != nil {
				tc.change(&s, &route, &pool)
			}
			d := masticway.Deployment{Routes: []masticway.Route{route}, Pools: map[string]masticway.Pool{"engines": pool}}
			qt.Assert(t, s.SharesLoad(d, tc.routers), qt.Equals, tc.want)
		})
	}
}
