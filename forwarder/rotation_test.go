package forwarder_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOutOfRotationClosesConnections takes a router out of rotation. The router must not be ready. It must still serve requests,
// but close each connection after its answer, so that callers reach another router.
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

// TestOverloadedRouterRefusesAtOnce overloads a router. It must refuse requests before it reads their bodies and send none to a
// server. Callers must be told to retry soon on a new connection, which reaches another router.
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
