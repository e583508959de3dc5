package throttler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/throttler"
)

// TestNewestWordCounts: a word that comes late, or that routers repeat to each other, outlives what the server has said after it.
func TestNewestWordCounts(t *testing.T) {
	limit := masticway.RateLimit{IsSet: true, Rate: 2}
	less := masticway.RateLimit{IsSet: true, Rate: 1}
	type said struct {
		at, age time.Duration
		limit   masticway.RateLimit
	}
	cases := map[string]struct {
		observations []said
		want         masticway.RateLimit
	}{
		"one":                        {observations: []said{{limit: limit}}, want: limit},
		"another rate":               {observations: []said{{limit: limit}, {at: 1, limit: less}}, want: less},
		"the end":                    {observations: []said{{limit: limit}, {at: 1}}},
		"an older one comes late":    {observations: []said{{limit: limit}, {at: time.Second}, {at: 2 * time.Second, age: 1500 * time.Millisecond, limit: limit}}},
		"a younger one is heard of":  {observations: []said{{limit: limit}, {at: time.Second, age: 100 * time.Millisecond}}},
		"an older end is heard of":   {observations: []said{{at: time.Second, limit: limit}, {at: 2 * time.Second, age: 1500 * time.Millisecond}}, want: limit},
		"one is repeated and ends":   {observations: []said{{limit: limit}, {at: time.Second, age: 10 * time.Millisecond, limit: limit}, {at: time.Second, age: 500 * time.Millisecond}}},
		"the same is said once more": {observations: []said{{limit: limit}, {at: time.Second, limit: limit}, {at: time.Second, age: 500 * time.Millisecond}}, want: limit},
		"the end of an unknown one":  {observations: []said{{}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limits := throttler.NewLimits()
			began := time.Unix(1_000_000, 0)
			for _, s := range tc.observations {
				limits.Heard(began.Add(s.at), server, throttler.Observation{Limit: s.limit, Age: s.age})
			}
			qt.Assert(t, limits.Limit(server), qt.Equals, tc.want)
			named := 0
			if tc.want.IsSet {
				named = 1
			}
			qt.Assert(t, limits.Named(), qt.Equals, named)
		})
	}
}

// TestLimitOutlivesALapsedRow: a server whose row lapses and comes back is overrun until it has named its limit again.
func TestLimitOutlivesALapsedRow(t *testing.T) {
	limits := throttler.NewLimits()
	now := time.Unix(1_000_000, 0)
	limit := masticway.RateLimit{IsSet: true, Rate: 5}
	limits.Heard(now, server, throttler.Observation{Limit: limit})
	now = now.Add(10 * time.Second)
	limits.Keep(now, map[masticway.ServerIncarnation]bool{})
	qt.Assert(t, limits.Limit(server), qt.Equals, limit)
	now = now.Add(time.Hour)
	limits.Keep(now, map[masticway.ServerIncarnation]bool{server: true})
	qt.Assert(t, limits.Limit(server), qt.Equals, limit)
	limits.Keep(now, map[masticway.ServerIncarnation]bool{})
	qt.Assert(t, limits.Limit(server), qt.Equals, limit)
	now = now.Add(time.Hour)
	limits.Keep(now, map[masticway.ServerIncarnation]bool{})
	qt.Assert(t, limits.Named(), qt.Equals, 0)
}

// TestPermitsLapse: permits that routers have saved up are all used at once.
func TestPermitsLapse(t *testing.T) {
	limits := throttler.NewLimits()
	now := time.Unix(1_000_000, 0)
	word := throttler.Observation{Limit: masticway.RateLimit{IsSet: true, Rate: 5}}
	limits.Heard(now, server, word)
	ask := func() throttler.Verdict {
		v, _ := limits.Take(now, server)
		return v
	}
	qt.Assert(t, ask(), qt.Equals, throttler.VerdictAsk)
	qt.Assert(t, ask(), qt.Equals, throttler.VerdictAsked)
	qt.Assert(t, limits.Wanted(server), qt.Equals, 2)
	limits.Answered(now, server, &throttler.Reply{Observed: word, Granted: 3}, 1)
	qt.Assert(t, ask(), qt.Equals, throttler.VerdictAdmitted)
	now = now.Add(time.Second)
	qt.Assert(t, ask(), qt.Equals, throttler.VerdictAsk, qt.Commentf("two permits have lapsed"))
	limits.Answered(now, server, nil, 1)
	qt.Assert(t, ask(), qt.Equals, throttler.VerdictRefused)
	limits.GiveBack(now, server)
	qt.Assert(t, ask(), qt.Equals, throttler.VerdictAdmitted)
	qt.Assert(t, ask(), qt.Equals, throttler.VerdictRefused)
}
