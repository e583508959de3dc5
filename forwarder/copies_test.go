package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/platform"
)

// TestCopyOfRefusalIsNoProof guards against a second run of a request that may run once: its caller sends the ID of a refused request
// again, and the copy of the refusal comes before the answer.
func TestCopyOfRefusalIsNoProof(t *testing.T) {
	kinds := map[string]string{"plain": "/never/x", "stream": "/stream/x", "resumable stream": "/resume/x"}
	for name, tc := range map[string]struct {
		fault  emulator.OpaqueFault
		copies emulator.LateCopies
	}{
		"503":                   {fault: emulator.OpaqueOverloaded, copies: emulator.LateCopies{Count: 1}},
		"429":                   {fault: emulator.OpaqueRateLimited, copies: emulator.LateCopies{Count: 1}},
		"421":                   {fault: emulator.OpaqueWrongServer, copies: emulator.LateCopies{Count: 1}},
		"503, 3 ms late":        {fault: emulator.OpaqueOverloaded, copies: emulator.LateCopies{Count: 1, Delay: 3 * time.Millisecond}},
		"503, two copies":       {fault: emulator.OpaqueOverloaded, copies: emulator.LateCopies{Count: 2}},
		"421, two, 3 ms late":   {fault: emulator.OpaqueWrongServer, copies: emulator.LateCopies{Count: 2, Delay: 3 * time.Millisecond}},
		"503, without its copy": {fault: emulator.OpaqueOverloaded},
	} {
		for kind, path := range kinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				const servers = 3
				f := newFixture(t, servers)
				for _, s := range f.servers {
					s.SendLateCopies(tc.copies)
					s.InjectFaults(tc.fault)
					s.EnableEcho(50 * time.Millisecond)
					s.SetStream(2, 50*time.Millisecond)
				}
				var got answer
				for range 3 {
					if got = f.do(t.Context(), "POST", path); got.status == 200 {
						break
					}
				}
				qt.Assert(t, got.err, qt.IsNil)
				qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
				qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
			})
		}
	}
}

// TestServerUnderTwoIDsRunsRequestOnce guards against a second run of a request that may run once: a server that has started again is
// registered under its old and its new ID at one address, refuses what is for the old one, and sends the refusal again.
func TestServerUnderTwoIDsRunsRequestOnce(t *testing.T) {
	const requests = 20
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.SendLateCopies(emulator.LateCopies{Count: 1})
	}
	for i := range requests {
		var servers []masticway.Server
		for _, s := range f.servers {
			// Old IDs are new in each round, because a server is spared after a 421.
			for _, id := range []string{fmt.Sprintf("old-%d-%s", i, s.ID), s.ID} {
				servers = append(servers, masticway.Server{ID: id, Pool: "p", Address: s.Address(), State: masticway.ServerReady})
			}
		}
		f.setServers("p", servers)
		got := f.do(t.Context(), "POST", "/never/x", "X-Attempt-Id", fmt.Sprintf("a%d", i))
		qt.Check(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	}
	runs, arrivals := map[string]int{}, 0
	for _, r := range f.ledger.Runs() {
		runs[r.ID]++
	}
	for _, s := range f.servers {
		arrivals += len(s.Arrivals())
	}
	for id, n := range runs {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf("runs of %s", id))
	}
	qt.Assert(t, arrivals > requests, qt.IsTrue, qt.Commentf("no request was refused"))
}

// TestAnswerBehindCopiesIsUsed guards against answers that are given up because copies of another request's refusal come first.
func TestAnswerBehindCopiesIsUsed(t *testing.T) {
	for _, copies := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			f := newFixture(t, 1)
			f.servers[0].SendLateCopies(emulator.LateCopies{Count: copies})
			f.servers[0].InjectFaults(emulator.OpaqueOverloaded)
			got := f.do(t.Context(), "POST", "/never/x", "X-Attempt-Id", "refused")
			qt.Assert(t, got.status, qt.Equals, 503)
			got = f.do(t.Context(), "POST", "/never/x", "X-Attempt-Id", "served")
			qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
		})
	}
}

// TestReservationIsNotAnsweredByCopy guards against handovers that never happen because the copy of a request's refusal is taken for the
// answer of an engine that reserves capacity.
func TestReservationIsNotAnsweredByCopy(t *testing.T) {
	for _, copies := range []int{1, 2} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			f := newFixtureWithReservations(t, 2)
			for _, s := range f.servers {
				s.SendLateCopies(emulator.LateCopies{Count: copies})
				s.InjectFaults(emulator.OpaqueOverloaded)
			}
			got := f.do(t.Context(), "POST", "/stream/x", "X-Attempt-Id", "refused")
			qt.Assert(t, got.status, qt.Equals, 503)
			f.setFaults(emulator.OpaqueHang, emulator.OpaqueNoFault)
			got = f.do(t.Context(), "POST", "/resume/x", "X-Attempt-Id", "handed-over")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
			runs := f.ledger.Runs()
			qt.Assert(t, runs[len(runs)-1].Reservation, qt.Not(qt.Equals), "")
		})
	}
}

// TestCopyOfRefusedReservationIsNoAnswer guards against requests that fail although they run because the copy of a refused reservation,
// which names no request, is taken for their answer.
func TestCopyOfRefusedReservationIsNoAnswer(t *testing.T) {
	f := newFixtureWithReservations(t, 2)
	for _, s := range f.servers {
		s.SendLateCopies(emulator.LateCopies{Count: 1})
	}
	f.setFaults(emulator.OpaqueStall, emulator.OpaqueOverloaded)
	f.servers[1].SetStall(time.Second)
	got := f.do(t.Context(), "POST", "/resume/x", "X-Attempt-Id", "stays")
	qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	for i := range 4 {
		got = f.do(t.Context(), "POST", "/resume/x", "X-Attempt-Id", fmt.Sprint("next-", i))
		qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	}
	qt.Assert(t, f.ledger.Runs(), qt.HasLen, 5)
}

// TestCopyOfRefusalAsksForNoRest guards against servers that get nothing because the copy of an earlier refusal, which asked for a rest that
// is over, comes before an answer.
func TestCopyOfRefusalAsksForNoRest(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].SendLateCopies(emulator.LateCopies{Count: 1})
	f.servers[0].SetRetryAfter("1")
	f.servers[0].InjectFaults(emulator.OpaqueOverloaded)
	got := f.do(t.Context(), "POST", "/freely/x", "X-Attempt-Id", "refused")
	qt.Assert(t, got.status, qt.Equals, 503)
	f.clock.advance(1100 * time.Millisecond)
	for i := range 2 {
		got = f.do(t.Context(), "POST", "/freely/x", "X-Attempt-Id", fmt.Sprint("served-", i))
		qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	}
}

// slowCodec takes a while to parse the answers of one server.
type slowCodec struct {
	platform.HeaderCodec
	server string
}

func (c slowCodec) ParseAnswer(status int, h http.Header) masticway.ServerAnswer {
	if strings.Contains(h.Get("X-Server-Signature"), c.server) {
		time.Sleep(80 * time.Millisecond)
	}
	return c.HeaderCodec.ParseAnswer(status, h)
}

// TestAbortedHandoverReadsNoAnswer guards against a data race: the candidate's answer arrives while the handover is being aborted.
func TestAbortedHandoverReadsNoAnswer(t *testing.T) {
	f := newFixtureWith(t, 2, forwarder.Settings{Retries: forwarder.RetriesSettings{Ratio: 1, FixedRetries: 500, WindowSeconds: 10}}, func(d *forwarder.Dependencies) {
		d.Examiner, d.Codec = noSuspects{}, slowCodec{server: "i-0"}
	})
	for i := range 3 {
		f.setFaults(emulator.OpaqueStall, emulator.OpaqueStall)
		f.servers[1].SetStall(245 * time.Millisecond)
		f.servers[0].SetStall(time.Millisecond)
		got := f.do(t.Context(), "POST", "/freely/x", "X-Attempt-Id", fmt.Sprint("a", i))
		qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	}
}

// TestCandidateBehindCopyIsNotTaken guards against a server that is given up, although it works, for a candidate that refuses the request:
// the copy of another request's refusal precedes the candidate's.
func TestCandidateBehindCopyIsNotTaken(t *testing.T) {
	for _, copies := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			f := newFixture(t, 2)
			for _, s := range f.servers {
				s.SendLateCopies(emulator.LateCopies{Count: copies})
				s.InjectFaults(emulator.OpaqueOverloaded)
			}
			got := f.do(t.Context(), "POST", "/freely/x", "X-Attempt-Id", "refused")
			qt.Assert(t, got.status, qt.Equals, 503)
			f.servers[1].SetStall(600 * time.Millisecond)
			f.setFaults(emulator.OpaqueStall, emulator.OpaqueOverloaded)
			got = f.do(t.Context(), "POST", "/freely/x", "X-Attempt-Id", "served")
			qt.Assert(t, got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
			qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
			qt.Assert(t, f.servers[0].Arrivals(), qt.HasLen, 2, qt.Commentf("no handover was tried"))
		})
	}
}
