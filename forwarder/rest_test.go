package forwarder_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
)

// refuseWithBackoff makes a server refuse its next requests and ask for a backoff.
func refuseWithBackoff(s *emulator.OpaqueServer, seconds string, requests int) {
	s.SetRetryAfter(seconds)
	faults := make([]emulator.OpaqueFault, requests)
	for i := range faults {
		faults[i] = emulator.OpaqueOverloaded
	}
	s.InjectFaults(faults...)
}

// TestServerBackoffIsHonored guards against sending to a server that has refused a request and asked for a backoff.
func TestServerBackoffIsHonored(t *testing.T) {
	cases := map[string]struct {
		path, backoff string
		servers       int
		// isValid is set if the header value is a valid duration.
		isValid bool
	}{
		"the only server":             {path: "/freely/x", backoff: "3", servers: 1, isValid: true},
		"one of two":                  {path: "/freely/x", backoff: "3", servers: 2, isValid: true},
		"one of two, for streams":     {path: "/resume/x", backoff: "3", servers: 2, isValid: true},
		"one of two, without retries": {path: "/never/x", backoff: "3", servers: 2, isValid: true},
		"a fraction":                  {path: "/never/x", backoff: "2.5", servers: 2, isValid: true},
		"an excessive duration":       {path: "/never/x", backoff: "1e300", servers: 2, isValid: true},
		"zero":                        {path: "/never/x", backoff: "0", servers: 1},
		"negative":                    {path: "/never/x", backoff: "-3", servers: 1},
		"not a number":                {path: "/never/x", backoff: "NaN", servers: 1},
		"text":                        {path: "/never/x", backoff: "soon", servers: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, tc.servers)
			refuseWithBackoff(f.servers[0], tc.backoff, 1000)
			for len(f.servers[0].Arrivals()) == 0 {
				f.do(t.Context(), "POST", tc.path)
			}
			for range 40 {
				got := f.do(t.Context(), "POST", tc.path)
				if tc.servers > 1 {
					qt.Assert(t, got.status, qt.Equals, 200)
				}
			}
			got := len(f.servers[0].Arrivals())
			qt.Assert(t, got == 1, qt.Equals, tc.isValid, qt.Commentf("%d requests", got))
		})
	}
}

// TestServerBackoffEnds guards against a backoff that lasts longer than the server asked for, or forever.
func TestServerBackoffEnds(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	refuseWithBackoff(f.servers[0], "0.4", 1)
	began := time.Now()
	f.do(t.Context(), "POST", "/never/x")
	refused := 0
	for f.do(t.Context(), "POST", "/never/x").status != 200 {
		refused++
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	qt.Assert(t, took >= 400*time.Millisecond && took < 700*time.Millisecond, qt.IsTrue, qt.Commentf("the backoff lasted %v", took))
	qt.Assert(t, refused > 0, qt.IsTrue)

	refuseWithBackoff(f.servers[0], "1e300", 1)
	f.do(t.Context(), "POST", "/never/x")
	f.clock.advance(5 * time.Minute)
	qt.Assert(t, f.do(t.Context(), "POST", "/never/x").status, qt.Equals, 200, qt.Commentf("an excessive backoff must be capped"))
}

// TestBackoffRefusalRetryAfter guards against a retry hint that ends before the backoff of the only server.
func TestBackoffRefusalRetryAfter(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	refuseWithBackoff(f.servers[0], "3", 1)
	for i := range 3 {
		began := time.Now()
		got := f.do(t.Context(), "POST", "/never/x")
		qt.Assert(t, got.status, qt.Equals, 503)
		qt.Assert(t, time.Since(began) < 200*time.Millisecond, qt.IsTrue)
		qt.Assert(t, strings.Contains(got.body, `"code":"servers_resting"`), qt.IsTrue, qt.Commentf("refusal %d: %s", i, got.body))
		qt.Assert(t, strings.Contains(got.body, `"run":"not_run"`), qt.IsTrue)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, after > 2.5 && after <= 3, qt.IsTrue, qt.Commentf("%v s", after))
	}
}
