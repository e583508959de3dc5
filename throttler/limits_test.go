package throttler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/throttler"
)

// TestNewestObservationWins guards against an old observation, which arrives late or is repeated among routers, replacing what
// the server has reported since.
func TestNewestObservationWins(t *testing.T) {
	limit := masticway.RateLimit{IsSet: true, Rate: 2}
	less := masticway.RateLimit{IsSet: true, Rate: 1}
	type observed struct {
		at, age time.Duration
		limit   masticway.RateLimit
	}
	cases := map[string]struct {
		observations []observed
		want         masticway.RateLimit
	}{
		"one observation":             {observations: []observed{{limit: limit}}, want: limit},
		"another rate":                {observations: []observed{{limit: limit}, {at: 1, limit: less}}, want: less},
		"the limit ends":              {observations: []observed{{limit: limit}, {at: 1}}},
		"an older limit arrives late": {observations: []observed{{limit: limit}, {at: time.Second}, {at: 2 * time.Second, age: 1500 * time.Millisecond, limit: limit}}},
		"a newer end is passed on":    {observations: []observed{{limit: limit}, {at: time.Second, age: 100 * time.Millisecond}}},
		"an older end is passed on":   {observations: []observed{{at: time.Second, limit: limit}, {at: 2 * time.Second, age: 1500 * time.Millisecond}}, want: limit},
		"a repeated limit ends":       {observations: []observed{{limit: limit}, {at: time.Second, age: 10 * time.Millisecond, limit: limit}, {at: time.Second, age: 500 * time.Millisecond}}},
		"the server reports it again": {observations: []observed{{limit: limit}, {at: time.Second, limit: limit}, {at: time.Second, age: 500 * time.Millisecond}}, want: limit},
		"the end of an unknown limit": {observations: []observed{{}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limits := throttler.NewLimits()
			start := time.Unix(1_000_000, 0)
			for _, s := range tc.observations {
				limits.Observe(start.Add(s.at), limitedServer, throttler.Observation{Limit: s.limit, Age: s.age})
			}
			qt.Assert(t, limits.Limit(limitedServer), qt.Equals, tc.want)
			limitedCount := 0
			if tc.want.IsSet {
				limitedCount = 1
			}
			qt.Assert(t, limits.LimitedCount(), qt.Equals, limitedCount)
		})
	}
}

// TestLimitSurvivesExpiredRow guards against overloading a server whose registration expires and is renewed: its limit would be
// unknown until it reports it again.
func TestLimitSurvivesExpiredRow(t *testing.T) {
	limits := throttler.NewLimits()
	now := time.Unix(1_000_000, 0)
	limit := masticway.RateLimit{IsSet: true, Rate: 5}
	limits.Observe(now, limitedServer, throttler.Observation{Limit: limit})
	now = now.Add(10 * time.Second)
	limits.Prune(now, map[masticway.ServerIncarnation]bool{})
	qt.Assert(t, limits.Limit(limitedServer), qt.Equals, limit)
	now = now.Add(time.Hour)
	limits.Prune(now, map[masticway.ServerIncarnation]bool{limitedServer: true})
	qt.Assert(t, limits.Limit(limitedServer), qt.Equals, limit)
	limits.Prune(now, map[masticway.ServerIncarnation]bool{})
	qt.Assert(t, limits.Limit(limitedServer), qt.Equals, limit)
	now = now.Add(time.Hour)
	limits.Prune(now, map[masticway.ServerIncarnation]bool{})
	qt.Assert(t, limits.LimitedCount(), qt.Equals, 0)
}

// TestPermitsExpire guards against bursts of permits that routers have accumulated.
func TestPermitsExpire(t *testing.T) {
	limits := throttler.NewLimits()
	now := time.Unix(1_000_000, 0)
	observation := throttler.Observation{Limit: masticway.RateLimit{IsSet: true, Rate: 5}}
	limits.Observe(now, limitedServer, observation)
	acquire := func() throttler.Decision {
		v, _ := limits.Acquire(now, limitedServer)
		return v
	}
	qt.Assert(t, acquire(), qt.Equals, throttler.DecisionAsk)
	qt.Assert(t, acquire(), qt.Equals, throttler.DecisionWait)
	qt.Assert(t, limits.PermitsWanted(limitedServer), qt.Equals, 2)
	limits.HandleReply(now, now, limitedServer, &throttler.PermitReply{Observed: observation, Granted: 3}, 1)
	qt.Assert(t, acquire(), qt.Equals, throttler.DecisionAdmitted)
	now = now.Add(time.Second)
	qt.Assert(t, acquire(), qt.Equals, throttler.DecisionAsk, qt.Commentf("two permits have expired"))
	limits.HandleReply(now, now, limitedServer, nil, 1)
	qt.Assert(t, acquire(), qt.Equals, throttler.DecisionRefused)
	limits.ReturnPermit(now, limitedServer, now)
	qt.Assert(t, acquire(), qt.Equals, throttler.DecisionAdmitted)
	qt.Assert(t, acquire(), qt.Equals, throttler.DecisionRefused)
}

// TestPermitsOfStoppedRouterExpire guards against a router that was stopped and then uses permits which it got or took long ago: their
// time would count from when it noticed.
func TestPermitsOfStoppedRouterExpire(t *testing.T) {
	asked := time.Unix(1_000_000, 0)
	observation := throttler.Observation{Limit: masticway.RateLimit{IsSet: true, Rate: 5}}
	for name, tc := range map[string]struct {
		replyDelay, returnDelay time.Duration
		permits, returned       int
	}{
		"running":                    {replyDelay: 10 * time.Millisecond, permits: 3, returned: 1},
		"stopped before the reply":   {replyDelay: time.Second, returned: 1},
		"stopped before the sending": {replyDelay: 10 * time.Millisecond, returnDelay: time.Second, permits: 3},
	} {
		t.Run(name, func(t *testing.T) {
			limits := throttler.NewLimits()
			limits.Observe(asked, limitedServer, observation)
			admitted := func(now time.Time) (n int) {
				for {
					if d, _ := limits.Acquire(now, limitedServer); d != throttler.DecisionAdmitted {
						return n
					}
					n++
				}
			}
			qt.Assert(t, admitted(asked), qt.Equals, 0)
			now := asked.Add(tc.replyDelay)
			limits.HandleReply(now, asked, limitedServer, &throttler.PermitReply{Observed: observation, Granted: 3}, 1)
			qt.Assert(t, admitted(now), qt.Equals, tc.permits)
			limits.HandleReply(now, now, limitedServer, nil, 1)
			later := now.Add(tc.returnDelay)
			limits.ReturnPermit(later, limitedServer, now)
			qt.Assert(t, admitted(later), qt.Equals, tc.returned)
		})
	}
}
