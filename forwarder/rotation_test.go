package forwarder_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOutOfRotationClosesConnections has a router leave the rotation: it says that it is not ready, serves what comes
// all the same, and ends each connection with its answer, so that callers come back to another router.
func TestOutOfRotationClosesConnections(t *testing.T) {
	for name, out := range map[string]bool{"in rotation": false, "out of rotation": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.rotation.out.Store(out)
			qt.Assert(t, f.router.Ready(), qt.Equals, !out)
			got := f.do(t.Context(), "POST", "/freely/x")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.closesConn, qt.Equals, out)
			f.frontend.Close()
			qt.Assert(t, f.rotation.unanswered.Load(), qt.Equals, int64(0))
			qt.Assert(t, f.rotation.heldBytes.Load(), qt.Equals, int64(0))
		})
	}
}

// TestOverloadedRouterRefusesAtOnce has a router that can carry no more: what comes is refused before its body, reaches no server,
// and the caller is told to come back at once on a new connection, which reaches another router.
func TestOverloadedRouterRefusesAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.rotation.full.Store(true)
	for _, path := range []string{"/freely/x", "/never/x", "/stream/x"} {
		got := f.do(t.Context(), "POST", path)
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, got.header.Get("Retry-After"), qt.Equals, "0.050")
		qt.Assert(t, got.closesConn, qt.IsTrue)
	}
	qt.Assert(t, f.budgets.held, qt.HasLen, 0)
	f.rotation.full.Store(false)
	got := f.do(t.Context(), "POST", "/never/x")
	qt.Assert(t, got.status, qt.Equals, http.StatusOK)
}
