package forwarder_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
)

// TestAnswerThatEndsWithItsServerIsNotWhole guards against answers that look complete to the caller although their server was killed
// before it had sent them: without a length or chunks, the kernel ends them like whole ones.
func TestAnswerThatEndsWithItsServerIsNotWhole(t *testing.T) {
	cases := map[string]struct {
		path, body string
		fault      emulator.OpaqueFault
		broken     bool
		status     int
		runs       int
	}{
		"stream, server ends":           {path: "/stream/x", fault: emulator.OpaqueUnframedEnded, status: 200, body: eventStream(1, 3), broken: true, runs: 1},
		"resumable stream, server ends": {path: "/resume/x", fault: emulator.OpaqueUnframedEnded, status: 200, body: eventStream(1, 5), runs: 2},
		"repeatable call, server ends":  {path: "/freely/x", fault: emulator.OpaqueUnframedEnded, status: 200, body: "ok", runs: 2},
		"call, server ends":             {path: "/never/x", fault: emulator.OpaqueUnframedEnded, status: 502, runs: 1},
		"stream, server serves":         {path: "/stream/x", fault: emulator.OpaqueUnframed, status: 200, body: eventStream(1, 5), runs: 1},
		"resumable, server serves":      {path: "/resume/x", fault: emulator.OpaqueUnframed, status: 200, body: eventStream(1, 5), runs: 1},
		"repeatable, server serves":     {path: "/freely/x", fault: emulator.OpaqueUnframed, status: 200, body: "ok", runs: 1},
		"call, server serves":           {path: "/never/x", fault: emulator.OpaqueUnframed, status: 200, body: "ok", runs: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for range 24 {
				f := newFixture(t, 2)
				f.setFaults(tc.fault, emulator.OpaqueNoFault)
				got := f.do(t.Context(), "POST", tc.path)
				qt.Assert(t, got.err != nil, qt.Equals, tc.broken, qt.Commentf("%v, %q", got.err, got.body))
				qt.Check(t, got.status, qt.Equals, tc.status)
				if tc.body != "" {
					qt.Check(t, got.body, qt.Equals, tc.body)
				}
				qt.Check(t, f.ledger.Runs(), qt.HasLen, tc.runs)
			}
		})
	}
}

// TestAnswerOfUnreachableServerIsNotWhole guards against answers without a length that look complete although nobody can tell whether
// their server still serves.
func TestAnswerOfUnreachableServerIsNotWhole(t *testing.T) {
	var dials atomic.Int64
	f := newFixtureWith(t, 1, forwarder.Settings{Retries: forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10}}, func(d *forwarder.Dependencies) {
		d.Examiner = noSuspects{}
		dial := d.Dial
		d.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return dial(ctx, network, address)
		}
	})
	f.servers[0].InjectFaults(emulator.OpaqueUnframed)
	got := f.do(t.Context(), "POST", "/stream/x")
	qt.Check(t, got.err, qt.IsNotNil)
	qt.Check(t, got.body, qt.Equals, eventStream(1, 5), qt.Commentf("status %d, %v, %d dials", got.status, got.err, dials.Load()))
}
