package forwarder_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// TestResumedStreamLeavesOutWhatCallerHas guards against event numbers that go back over a caller's tries: a server that is asked to go
// on after an event began anew or earlier, and the router passed everything on.
func TestResumedStreamLeavesOutWhatCallerHas(t *testing.T) {
	for _, fault := range []emulator.OpaqueFault{emulator.OpaqueNoFault, emulator.OpaqueContinuesEarly, emulator.OpaqueContinuesAnew} {
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
		skip, cut = emulator.OpaqueContinuesLate, emulator.OpaqueTruncated
		events    = 9
	)
	cases := map[string]struct {
		header        []string
		first, second emulator.OpaqueFault
		body          string
		broken        bool
		runs          int
		// learned is the number of streams from which the router has learned how the servers number events.
		learned int
	}{
		"after a break":               {first: cut, second: skip, body: eventStream(1, 5), broken: true, runs: 2, learned: 6},
		"over tries, then a server":   {header: []string{"Last-Event-Id", "2", "Resumes", "a0"}, first: skip, body: eventStream(3, events), runs: 2, learned: 6},
		"over tries, no other left":   {header: []string{"Last-Event-Id", "2", "Resumes", "a0"}, first: skip, second: skip, runs: 2, learned: 6},
		"over tries, nothing learned": {header: []string{"Last-Event-Id", "2", "Resumes", "a0"}, first: skip, body: eventStream(3, events), runs: 2},
		"after a break, in sequence":  {first: cut, body: eventStream(1, events), runs: 2, learned: 6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.versions.byAttempt.Store("a0", "")
			for _, s := range f.servers {
				s.SetStream(events, 0)
			}
			for range tc.learned {
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

// TestGapAfterRepeatedEventIsNotPassedOn guards against a piece that is missing because a server that is asked to go on after an event
// sends that one again and leaves out the next ones.
func TestGapAfterRepeatedEventIsNotPassedOn(t *testing.T) {
	f := newFixture(t, 0)
	f.setStreams(eventStream(1, 3)+"CUT", eventStream(3, 3)+eventStream(6, 9))
	got := f.do(t.Context(), "POST", "/resume/x")
	qt.Check(t, got.err, qt.IsNotNil)
	qt.Check(t, got.body, qt.Equals, eventStream(1, 3))
}

// TestShorterRunDoesNotEndStream guards against a stream that ends as complete since a server that began it anew ended before the last
// event that the caller has.
func TestShorterRunDoesNotEndStream(t *testing.T) {
	cases := map[string]struct{ texts, header []string }{
		"after a break": {texts: []string{eventStream(1, 5) + "CUT", eventStream(1, 3)}},
		"over tries":    {texts: []string{eventStream(1, 3), eventStream(1, 3)}, header: []string{"Last-Event-Id", "5", "Resumes", "a0"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.versions.byAttempt.Store("a0", "")
			f.setStreams(tc.texts...)
			got := f.do(t.Context(), "POST", "/resume/x", tc.header...)
			qt.Assert(t, got.status == http.StatusOK && got.err == nil, qt.IsFalse, qt.Commentf("%q looks complete", got.body))
		})
	}
}

// TestSparseNumbersAreNoGap guards against streams that are broken off although nothing is missing, because their servers leave numbers
// out.
func TestSparseNumbersAreNoGap(t *testing.T) {
	text := func(from, to int) (text string) {
		for i := from; i <= to; i++ {
			text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", 10*i, i)
		}
		return text
	}
	cases := map[string][]string{
		"learned":             {text(1, 20)},
		"nothing learned":     {},
		"one stream of three": {text(1, 3)},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.setStreams(append(before, text(1, 3)+"CUT", text(4, 9))...)
			for range before {
				f.do(t.Context(), "POST", "/resume/x")
			}
			got := f.do(t.Context(), "POST", "/resume/x")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, text(1, 9))
		})
	}
}

// setStreams makes two servers answer the requests in their order with texts of a streamServer.
func (f *fixture) setStreams(texts ...string) {
	h := &streamServer{texts: texts}
	var servers []masticway.Server
	for i := range 2 {
		s := httptest.NewServer(h)
		f.t.Cleanup(s.Close)
		servers = append(servers, masticway.Server{ID: fmt.Sprintf("i-%d", i), Pool: "llm", Address: s.Listener.Addr().String(), State: masticway.ServerReady})
	}
	f.setServers("llm", servers)
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
		"IDs that are no numbers":        {"id: x\ndata: 1\n\nid: y\ndata: 2\n\nCUT", "id: y\ndata: 2\n\nid: z\ndata: 3\n\n", "id: x\ndata: 1\n\nid: y\ndata: 2\n\nid: z\ndata: 3\n\n"},
		"same ID twice":                  {id(1) + id(1) + id(2), "", id(1) + id(2)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.setStreams(tc.first, tc.second)
			got := f.do(t.Context(), "POST", "/resume/x")
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.body, qt.Equals, tc.want)
		})
	}
}

// seeds is the number of seeds with which tests that draw faults are run.
var seeds = flag.Uint64("seeds", 4, "number of seeds of tests that draw faults")

// TestStreamsKeepTheirOrderUnderFaults guards against events that are missing, come twice or go back, and against streams that look
// complete too early, within one answer and over all tries of a caller, while servers break off, end, pause and continue wrongly.
func TestStreamsKeepTheirOrderUnderFaults(t *testing.T) {
	const (
		servers, callers, streams = 8, 12, 10
		events, maxTries          = 12, 8
	)
	faults := []emulator.OpaqueFault{
		emulator.OpaqueNoFault, emulator.OpaqueTruncated, emulator.OpaqueUnframed, emulator.OpaqueUnframedTruncated, emulator.OpaqueReset,
		emulator.OpaqueContinuesAnew, emulator.OpaqueContinuesEarly, emulator.OpaqueContinuesLate, emulator.OpaqueStall, emulator.OpaqueOverloaded,
	}
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 0))
			f := newFixture(t, servers)
			for i, s := range f.servers {
				// A pause between events is at times as long as the router waits before it hands a stream over.
				s.SetStream(events, time.Duration(rng.IntN(3))*time.Millisecond)
				if i == 0 {
					s.SetStream(events, 290*time.Millisecond)
				}
				s.SetStall(time.Duration(500+rng.IntN(200)) * time.Millisecond)
				var drawn []emulator.OpaqueFault
				for range 4 * callers * streams / servers {
					drawn = append(drawn, faults[rng.IntN(len(faults))])
				}
				if i > servers/2 {
					drawn[rng.IntN(len(drawn)/2)] = emulator.OpaqueUnframedEnded
				}
				s.InjectFaults(drawn...)
			}
			for range 4 {
				f.do(t.Context(), "POST", "/resume/x", "X-Attempt-Id", "learn")
			}
			var several, whole atomic.Int64
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					for k := range streams {
						first := fmt.Sprintf("%d-%d-%d", seed, i, k)
						got, tries, complete := f.readStream(t, first, maxTries)
						if tries > 1 && got != "" {
							several.Add(1)
						}
						if complete {
							whole.Add(1)
							qt.Check(t, got, qt.Equals, eventStream(1, events), qt.Commentf("stream %s after %d tries", first, tries))
						} else {
							qt.Check(t, strings.HasPrefix(eventStream(1, events), got), qt.IsTrue, qt.Commentf("stream %s after %d tries: %q", first, tries, got))
						}
					}
				})
			}
			wg.Wait()
			t.Logf("%d of %d streams whole, %d over several tries", whole.Load(), callers*streams, several.Load())
			qt.Check(t, whole.Load() > callers*streams/4, qt.IsTrue, qt.Commentf("%d whole", whole.Load()))
		})
	}
}

// readStream reads a stream as a caller does that resumes it until it is complete, and returns all whole events that it got, the number
// of tries, and whether the stream is complete.
func (f *fixture) readStream(t *testing.T, first string, maxTries int) (got string, tries int, complete bool) {
	last, begun := 0, ""
	for tries = 1; tries <= maxTries; tries++ {
		id := fmt.Sprintf("%s-%d", first, tries)
		header := []string{"X-Attempt-Id", id, "X-Deadline-Ms", "15000"}
		if last > 0 {
			header = append(header, "Last-Event-Id", strconv.Itoa(last), "Resumes", begun)
		}
		a := f.do(t.Context(), "POST", "/resume/x", header...)
		if a.status != http.StatusOK {
			continue
		}
		if end := strings.LastIndex(a.body, "\n\n") + 2; end > 1 {
			got += a.body[:end]
			begun = cmp.Or(begun, id)
			_, _ = fmt.Sscanf(a.body[strings.LastIndex(a.body[:end], "id: "):], "id: %d", &last)
		}
		if a.err == nil {
			return got, tries, true
		}
	}
	return got, maxTries, false
}
