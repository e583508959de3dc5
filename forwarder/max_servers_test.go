package forwarder_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
)

// TestNoThirdServerAfterCandidateBroke guards against a request that runs at more servers than its route allows: the server that has it is
// silent, and the candidate of a handover breaks the connection after it was sent the request.
func TestNoThirdServerAfterCandidateBroke(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/freely/x", "/resume/x"} {
		for silent := range 4 {
			f := newFixture(t, 4)
			for range 2 {
				before := len(f.ledger.Runs())
				for i, s := range f.servers {
					if i == silent {
						s.InjectFaults(emulator.OpaqueHang)
					} else {
						s.InjectFaults(emulator.OpaqueReset)
					}
				}
				f.do(t.Context(), "POST", path, "X-Deadline-Ms", "900")
				ranAt := map[string]bool{}
				for _, r := range f.ledger.Runs()[before:] {
					ranAt[r.Server] = true
				}
				qt.Check(t, len(ranAt) <= 2, qt.IsTrue, qt.Commentf("%s, server %d silent: ran at %v", path, silent, ranAt))
				for _, s := range f.servers {
					s.InjectFaults()
				}
			}
		}
	}
}
