package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
)

// oneRetry is a retry budget that allows one retry.
var oneRetry = forwarder.RetriesSettings{Ratio: 0, FixedRetries: 2, WindowSeconds: 10}

// arrivals returns how many requests have reached the fixture's servers.
func (f *fixture) arrivals() (n int) {
	for _, s := range f.servers {
		n += len(s.Arrivals())
	}
	return n
}

// TestMisdirectedAttemptTakesRetry guards against repeats beyond the retry budget after answers of other servers (421), which are
// arrivals at servers as well.
func TestMisdirectedAttemptTakesRetry(t *testing.T) {
	f := newFixtureWithRetries(t, 4, oneRetry)
	for _, s := range f.servers {
		s.InjectFaults(emulator.OpaqueWrongServer)
	}
	got := f.do(t.Context(), "POST", "/freely/x")
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.status, qt.Equals, 503)
	qt.Assert(t, f.arrivals(), qt.Equals, 2)
}

// TestDroppedCandidateUsesUpItsRetry guards against repeats beyond the retry budget after a handover that was aborted because the
// silent server's stream broke off: the candidate has got the request already.
func TestDroppedCandidateUsesUpItsRetry(t *testing.T) {
	f := newFixtureWithRetries(t, 3, oneRetry)
	const home = "X-Prefix-Hash"
	f.do(t.Context(), "POST", "/resume/x", home, "aa:50")
	first := f.ledger.Runs()[0].Server
	for _, s := range f.servers {
		if s.ID == first {
			// The second event is due 350 ms after the first, 50 ms after the silence timeout, and breaks off.
			s.SetStream(2, 350*time.Millisecond)
			s.InjectFaults(emulator.OpaqueTruncated)
		} else {
			s.InjectFaults(emulator.OpaqueHang, emulator.OpaqueHang)
		}
	}
	before := f.arrivals()
	f.do(t.Context(), "POST", "/resume/x", home, "aa:50")
	qt.Assert(t, f.arrivals()-before <= 2, qt.IsTrue, qt.Commentf("%d arrivals for one request and one retry", f.arrivals()-before))
}

// TestRequestThatIsNotSentTakesNoRetry guards against using up the retry budget for attempts that no server gets, because all
// connections that this router may have to the server are in use.
func TestRequestThatIsNotSentTakesNoRetry(t *testing.T) {
	f := newFixtureWithRetries(t, 2, forwarder.RetriesSettings{WindowSeconds: 10})
	f.connections.allowed.Store(1)
	f.do(t.Context(), "POST", "/never/x")
	// The connection to the first server is then too old for a request that may run only once, and no other one is allowed.
	time.Sleep(500 * time.Millisecond)
	for i := range 4 {
		qt.Assert(t, f.do(t.Context(), "POST", "/never/x", "X-Attempt-Id", fmt.Sprint("b", i)).status, qt.Equals, 200)
	}
}
