package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
)

// newFixtureWithDial returns a fixture whose router calls onDial before it connects to a server. If onDial fails, so does connecting.
func newFixtureWithDial(t *testing.T, e masticway.Examiner, servers int, onDial func(ctx context.Context, address string) error) *fixture {
	retries := forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10}
	return newFixtureWith(t, servers, forwarder.Settings{Retries: retries}, func(d *forwarder.Dependencies) {
		d.Examiner = e
		d.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if err := onDial(ctx, address); err != nil {
				return nil, err
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	})
}

// TestDeadlineCountsFromArrival guards against servers that get more time than callers have left because the router read the request
// late.
func TestDeadlineCountsFromArrival(t *testing.T) {
	const limit = time.Second
	for name, age := range map[string]time.Duration{"read at once": 0, "read late": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.callers.age = age
			got := f.do(t.Context(), "POST", "/never/x", "X-Deadline-Ms", "1000")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, 200)
			left := f.ledger.Runs()[0].TimeLeft
			qt.Assert(t, left <= limit-age, qt.IsTrue, qt.Commentf("%s", left))
			qt.Assert(t, left > limit-age-200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", left))
		})
	}
}

// TestNothingIsSentForCallersThatLeft guards against routers that send a request on although the kernel knows that its caller has
// left, because the HTTP server has not read the end of the connection yet. The contexts of the requests never end in this test.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	cases := map[string]struct {
		path string
		// fault is that of the server that is asked first.
		fault emulator.OpaqueFault
		// duringHold and whileConnecting are set if the caller leaves while the request waits for budget or for a connection. It
		// leaves otherwise once a number of servers have got the request.
		duringHold, whileConnecting bool
		arrivals                    int
		// warm is set if the router has idle connections to the servers.
		warm    bool
		settled []int64
	}{
		"before anything":                   {path: "/stream/x"},
		"plain service":                     {path: "/never/x"},
		"during the hold":                   {path: "/stream/x", duringHold: true, settled: []int64{0}},
		"during the hold, connections idle": {path: "/stream/x", duringHold: true, warm: true, settled: []int64{0}},
		"while connecting":                  {path: "/stream/x", whileConnecting: true, settled: []int64{0}},
		"before a retry":                    {path: "/never/x", fault: emulator.OpaqueOverloaded, arrivals: 1},
		"before another run":                {path: "/freely/x", fault: emulator.OpaqueReset, arrivals: 1},
		"before a handover":                 {path: "/freely/x", fault: emulator.OpaqueHang, arrivals: 1},
		"before a resumption":               {path: "/resume/x", fault: emulator.OpaqueTruncated, arrivals: 1, settled: []int64{promptTokens + 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var waiting, connecting atomic.Bool
			f := newFixtureWithDial(t, noSuspects{}, 2, func(context.Context, string) error {
				connecting.Store(true)
				return nil
			})
			arrivals := func() (n int) {
				for _, s := range f.servers {
					n += len(s.Arrivals())
				}
				return n
			}
			if tc.warm {
				for range 4 {
					qt.Assert(t, f.do(t.Context(), "POST", "/stream/x").status, qt.Equals, 200)
				}
				f.budgets.settled = nil
			}
			connecting.Store(false)
			warmArrivals := arrivals()
			f.budgets.onHold = func() { waiting.Store(true) }
			f.setFaults(tc.fault, emulator.OpaqueNoFault)
			f.callers.hasLeft = func() bool {
				switch {
				case tc.duringHold:
					return waiting.Load()
				case tc.whileConnecting:
					return connecting.Load()
				}
				return arrivals() >= warmArrivals+tc.arrivals
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			f.do(ctx, "POST", tc.path)
			time.Sleep(50 * time.Millisecond)
			qt.Check(t, arrivals()-warmArrivals, qt.Equals, tc.arrivals)
			qt.Check(t, f.budgets.settledAmounts(), qt.DeepEquals, tc.settled)
			qt.Check(t, f.rotation.heldBytes.Load(), qt.Equals, int64(0))
		})
	}
}

// TestExpiredRequestIsNotSentAfterConnecting guards against sending a request whose deadline has passed while the router waited for
// a connection, with no time left or, if the timers were late, with more than is left.
func TestExpiredRequestIsNotSentAfterConnecting(t *testing.T) {
	var advance func()
	f := newFixtureWithDial(t, noSuspects{}, 1, func(context.Context, string) error {
		advance()
		return nil
	})
	advance = func() { f.clock.advance(600 * time.Millisecond) }
	got := f.do(t.Context(), "POST", "/never/x", "X-Deadline-Ms", "1000")
	qt.Assert(t, got.status, qt.Equals, 200)
	qt.Assert(t, f.ledger.Runs()[0].TimeLeft <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", f.ledger.Runs()[0].TimeLeft))
	f.servers[0].InjectFaults(emulator.OpaqueReset)
	f.do(t.Context(), "POST", "/never/x")
	got = f.do(t.Context(), "POST", "/never/x", "X-Deadline-Ms", "500")
	qt.Assert(t, got.status, qt.Equals, 503)
	qt.Assert(t, f.ledger.Runs(), qt.HasLen, 2)
}

// TestQuarantinedRunOfCallerThatLeftIsReleased guards against suspects that stay claimed, or are accused, although they were not sent
// to any server.
func TestQuarantinedRunOfCallerThatLeftIsReleased(t *testing.T) {
	e := &recordingExaminer{quarantining: quarantining{claimable: true}}
	var connecting atomic.Bool
	f := newFixtureWithDial(t, e, 1, func(context.Context, string) error {
		connecting.Store(true)
		return nil
	})
	f.callers.hasLeft = connecting.Load
	f.do(t.Context(), "POST", "/stream/x", "X-Token-Count", "100,40", "X-Prefix-Hash", "a:50,own:50")
	e.mu.Lock()
	defer e.mu.Unlock()
	qt.Assert(t, e.released, qt.HasLen, 1)
	qt.Assert(t, e.crashed, qt.HasLen, 0)
	qt.Assert(t, f.servers[0].Arrivals(), qt.HasLen, 0)
}

// TestHalfClosedCallerIsToldWhatHappened guards against callers that close only their sending side and get an empty success, or a broken
// stream that looks complete, for a request that was given up.
func TestHalfClosedCallerIsToldWhatHappened(t *testing.T) {
	cases := map[string]struct {
		path   string
		fault  emulator.OpaqueFault
		status int
		// broken is set if the answer must end without its end being marked.
		broken bool
	}{
		"not run":         {path: "/never/x", fault: emulator.OpaqueOverloaded, status: 503},
		"running":         {path: "/never/x", fault: emulator.OpaqueHang, status: 502},
		"amid the answer": {path: "/stream/x", status: 200, broken: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.servers[0].InjectFaults(tc.fault)
			f.servers[0].SetStream(100, 20*time.Millisecond)
			f.callers.hasLeft = func() bool { return tc.status == 503 }
			c, err := net.Dial("tcp", strings.TrimPrefix(f.frontend.URL, "http://"))
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nAuthorization: Token k\r\nX-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n", tc.path)
			reader := bufio.NewReader(c)
			if tc.broken {
				_, err := reader.Peek(1)
				qt.Assert(t, err, qt.IsNil)
			}
			if tc.status == 502 {
				f.failUnless("the request does not run", func() bool { return len(f.ledger.Runs()) > 0 })
			}
			qt.Assert(t, c.(*net.TCPConn).CloseWrite(), qt.IsNil)
			response, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, tc.status)
			_, err = io.ReadAll(response.Body)
			qt.Assert(t, err != nil, qt.Equals, tc.broken, qt.Commentf("%v", err))
		})
	}
}

// TestGivenUpCandidateIsNotReportedAsNotRun guards against a refusal that says "not run" although a handover candidate, which was given
// up because the attempt at the first server had ended meanwhile, may have run the request.
func TestGivenUpCandidateIsNotReportedAsNotRun(t *testing.T) {
	var first string
	f := newFixtureWithDial(t, noSuspects{}, 2, func(ctx context.Context, address string) error {
		if address == first {
			<-ctx.Done()
		}
		return ctx.Err()
	})
	first = f.servers[1].Address()
	f.servers[0].InjectFaults(emulator.OpaqueHang, emulator.OpaqueOverloaded)
	got := f.do(t.Context(), "POST", "/freely/x")
	qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
	qt.Assert(t, got.status, qt.Equals, 502, qt.Commentf("%s", got.body))
}

// TestNoHandoverBecauseProcessWasStopped guards against giving up a server as silent although its answer waits to be read, because the
// process was stopped while the silence timeout ran.
func TestNoHandoverBecauseProcessWasStopped(t *testing.T) {
	for name, tc := range map[string]struct {
		stop time.Duration
		runs int
	}{
		"stopped":     {stop: time.Second, runs: 1},
		"not stopped": {runs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			for _, s := range f.servers {
				s.EnableEcho(270 * time.Millisecond)
			}
			time.AfterFunc(100*time.Millisecond, func() { f.clock.advance(tc.stop) })
			got := f.do(t.Context(), "POST", "/freely/x")
			qt.Assert(t, got.status, qt.Equals, 200)
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, tc.runs)
		})
	}
}

// TestRejectionWithoutRequestIDIsNoProof guards against a second run of a request that may run once, after an answer that says "not run"
// without naming the request: it may belong to another one.
func TestRejectionWithoutRequestIDIsNoProof(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		fault  emulator.OpaqueFault
		status int
		runs   int
	}{
		"a stray one, plain service":           {path: "/never/x", fault: emulator.OpaqueStrayRejection, status: 502, runs: 1},
		"a stray one, stream":                  {path: "/stream/x", fault: emulator.OpaqueStrayRejection, status: 502, runs: 1},
		"the answer to the request":            {path: "/never/x", fault: emulator.OpaqueAnonymousRejection, status: 502},
		"a stray one, may run again":           {path: "/freely/x", fault: emulator.OpaqueStrayRejection, status: 200, runs: 2},
		"one that names it":                    {path: "/never/x", fault: emulator.OpaqueOverloaded, status: 200, runs: 1},
		"one of another server, that names it": {path: "/stream/x", fault: emulator.OpaqueWrongServer, status: 200, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setFaults(tc.fault, emulator.OpaqueNoFault)
			got := f.do(t.Context(), "POST", tc.path)
			qt.Assert(t, got.status, qt.Equals, tc.status, qt.Commentf("%s", got.body))
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, tc.runs)
		})
	}
}
