package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// TestResumedStreamLeavesOutWhatCallerHas guards against event numbers that go back over a caller's tries: a server that is asked to go
// on after an event began anew or earlier, and the router passed everything on.
func TestResumedStreamLeavesOutWhatCallerHas(t *testing.T) {
	for _, fault := range []emulator.OpaqueFault{emulator.OpaqueNoFault, emulator.OpaqueRewind, emulator.OpaqueRestart} {
		t.Run("server "+string(fault), func(t *testing.T) {
			f := newFixture(t, 2)
			f.versions.byAttempt.Store("a0", "")
			f.setFaults(fault, fault)
			got := f.do(t.Context(), "POST", "/resume/x", "Last-Event-Id", "2", "Resumes", "a0")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Check(t, got.body, qt.Equals, eventStream(3, 5))
			qt.Check(t, f.ledger.Runs(), qt.HasLen, 1)
		})
	}
}

// TestContinuationWithGapIsNotPassedOn guards against streams with a piece missing: a server that is asked to go on after an event begins
// later than that.
func TestContinuationWithGapIsNotPassedOn(t *testing.T) {
	const (
		skip, cut = emulator.OpaqueSkip, emulator.OpaqueTruncated
		events    = 9
	)
	cases := map[string]struct {
		header        []string
		first, second emulator.OpaqueFault
		body          string
		broken        bool
		runs          int
	}{
		"after a break":              {first: cut, second: skip, body: eventStream(1, 5), broken: true, runs: 2},
		"over tries, then a server":  {header: []string{"Last-Event-Id", "2", "Resumes", "a0"}, first: skip, body: eventStream(3, events), runs: 2},
		"over tries, no other left":  {header: []string{"Last-Event-Id", "2", "Resumes", "a0"}, first: skip, second: skip, runs: 2},
		"after a break, in sequence": {first: cut, body: eventStream(1, events), runs: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.versions.byAttempt.Store("a0", "")
			for _, s := range f.servers {
				s.SetStream(events, 0)
			}
			for range 6 {
				// The router learns how the servers number events.
				f.do(t.Context(), "POST", "/resume/x")
			}
			before := len(f.ledger.Runs())
			f.setFaults(tc.first, tc.second)
			got := f.do(t.Context(), "POST", "/resume/x", tc.header...)
			qt.Check(t, got.err != nil, qt.Equals, tc.broken, qt.Commentf("%v", got.err))
			if tc.body != "" {
				qt.Check(t, got.body, qt.Equals, tc.body)
			} else {
				qt.Check(t, got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", got.body))
			}
			qt.Check(t, f.ledger.Runs()[before:], qt.HasLen, tc.runs)
		})
	}
}

// streamServer answers the n-th request, counted from zero, with a text that it then breaks off or ends.
type streamServer struct {
	texts []string
	n     int
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text := s.texts[s.n]
	s.n++
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Signature", "s")
	text, isCut := strings.CutSuffix(text, "CUT")
	_, _ = fmt.Fprint(w, text)
	_ = http.NewResponseController(w).Flush()
	if isCut {
		panic(http.ErrAbortHandler)
	}
}

// TestEventsWithoutIDsAreNotRepeated guards against events that come twice after a break since they have no ID of their own.
func TestEventsWithoutIDsAreNotRepeated(t *testing.T) {
	plain := func(text string) string { return "data: " + text + "\n\n" }
	id := func(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }
	cases := map[string]struct{ first, second, want string }{
		"server begins anew":             {id(1) + plain("a") + id(2) + "CUT", id(1) + plain("a") + id(2) + plain("b") + id(3), id(1) + plain("a") + id(2) + plain("b") + id(3)},
		"server begins with the last ID": {id(1) + id(2) + plain("b") + "CUT", id(2) + plain("b") + plain("c") + id(3), id(1) + id(2) + plain("b") + plain("c") + id(3)},
		"server goes on after the ID":    {id(1) + id(2) + plain("b") + "CUT", plain("b") + plain("c") + id(3), id(1) + id(2) + plain("b") + plain("c") + id(3)},
		"nothing was sent after the ID":  {id(1) + id(2) + "CUT", plain("b") + id(3), id(1) + id(2) + plain("b") + id(3)},
		"comments are no events":         {id(1) + ": ping\n\n" + "CUT", plain("a") + id(2), id(1) + ": ping\n\n" + plain("a") + id(2)},
		"same ID twice":                  {id(1) + id(1) + id(2), "", id(1) + id(2)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			h := &streamServer{texts: []string{tc.first, tc.second}}
			var servers []masticway.Server
			for i := range 2 {
				s := httptest.NewServer(h)
				t.Cleanup(s.Close)
				address := s.Listener.Addr().(*net.TCPAddr)
				servers = append(servers, masticway.Server{ID: fmt.Sprintf("i-%d", i), Pool: "llm", Address: address.String(), State: masticway.ServerReady})
			}
			f.setServers("llm", servers)
			got := f.do(t.Context(), "POST", "/resume/x")
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.body, qt.Equals, tc.want)
		})
	}
}
