package forwarder_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// TestTruncatedAnswersDoNotLookWhole guards against callers that get a success with an empty or short body, framed as whole, because a
// server ended the connection in the middle of the head, the size of a chunk or a trailer.
func TestTruncatedAnswersDoNotLookWhole(t *testing.T) {
	for _, path := range []string{"/never/x", "/freely/x", "/stream/x", "/resume/x"} {
		for framing, text := range emulator.TruncatedAnswers(eventStream(1, 2)) {
			t.Run(path+" "+framing, func(t *testing.T) {
				f := newFixture(t, 1)
				whole := len(strings.ReplaceAll(text, "{attempt}", "a1"))
				for n := range whole {
					l, err := emulator.StartTruncatedServer(emulator.TruncatedAnswer{Text: text, Length: n, Resets: n%3 == 0})
					qt.Assert(t, err, qt.IsNil)
					f.setServers(f.poolOf(path), []masticway.Server{{ID: "s", Address: l.Addr().String(), State: masticway.ServerReady}})
					got := f.do(t.Context(), "POST", path)
					isWhole := got.err == nil && got.status == 200
					qt.Check(t, isWhole, qt.IsFalse, qt.Commentf("%d of %d bytes: %q", n, whole, got.body))
					_ = l.Close()
				}
			})
		}
	}
}

// poolOf returns the pool of the route with a path.
func (f *fixture) poolOf(path string) string {
	route, _ := f.currentSnapshot().Deployment.Route("h.example", path)
	return route.Shares[0].Pool
}
