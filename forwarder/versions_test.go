package forwarder_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// setVersions sets the software versions of the fixture's servers.
func (f *fixture) setVersions(versions ...string) {
	for i, version := range versions {
		f.servers[i].Version = version
		for _, servers := range f.snapshot.Servers {
			servers[i].Version = version
		}
	}
}

// versionOf returns the software version of a server.
func (f *fixture) versionOf(server string) string {
	for _, s := range f.servers {
		if s.ID == server {
			return s.Version
		}
	}
	f.t.Fatalf("there is no server %q", server)
	return ""
}

// TestStreamGoesOnAtItsVersion guards against streams that hold events from servers of two software versions within one answer: after
// a break, and after a pause that is too long. If no other server of the version is left, the answer breaks off.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	const events = 5
	cases := map[string]struct {
		versions []string
		fault    emulator.OpaqueFault
		pause    time.Duration
		// broken is set if the stream cannot go on.
		broken bool
	}{
		"a break":                      {versions: []string{"v1", "v1", "v2", "v2"}, fault: emulator.OpaqueTruncated},
		"a break, one server is left":  {versions: []string{"v1", "v1", "v2", "v2", "v3", "v3"}, fault: emulator.OpaqueTruncated},
		"a break, no server is left":   {versions: []string{"v1", "v2", "v3", "v4"}, fault: emulator.OpaqueTruncated, broken: true},
		"a break, no versions":         {versions: []string{"", "", "", ""}, fault: emulator.OpaqueTruncated},
		"a pause":                      {versions: []string{"v1", "v1", "v2", "v2"}, pause: 2 * time.Second},
		"a pause, no server is left":   {versions: []string{"v1", "v2", "v3", "v4"}, pause: 500 * time.Millisecond},
		"some servers have no version": {versions: []string{"", "", "v2", "v2"}, fault: emulator.OpaqueTruncated},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 4 {
				f := newFixture(t, len(tc.versions))
				f.setVersions(tc.versions...)
				// All servers have the fault, as it is not known which one gets the request first.
				for _, s := range f.servers {
					s.InjectFaults(tc.fault)
				}
				if tc.pause > 0 {
					for _, s := range f.servers {
						s.SetStream(events, 10*time.Millisecond)
					}
					first := f.pauseServerOf("/resume/x", events, tc.pause)
					qt.Assert(t, first != "", qt.IsTrue)
				}
				before := len(f.ledger.Runs())
				got := f.do(t.Context(), "POST", "/resume/x", "X-Prefix-Hash", "aa:50")
				qt.Assert(t, got.status, qt.Equals, 200)
				runs := f.ledger.Runs()[before:]
				for _, r := range runs {
					qt.Assert(t, f.versionOf(r.Server), qt.Equals, f.versionOf(runs[0].Server), qt.Commentf("%d runs, the first at %s", len(runs), runs[0].Server))
				}
				if tc.broken {
					qt.Assert(t, got.err, qt.IsNotNil)
					qt.Assert(t, runs, qt.HasLen, 1)
				}
			}
		})
	}
}

// pauseServerOf makes the server that gets a path's requests pause before each event, and returns its ID.
func (f *fixture) pauseServerOf(path string, events int, pause time.Duration) string {
	f.do(f.t.Context(), "POST", path, "X-Prefix-Hash", "aa:50")
	runs := f.ledger.Runs()
	for _, s := range f.servers {
		if s.ID == runs[len(runs)-1].Server {
			s.SetStream(events, pause)
			return s.ID
		}
	}
	return ""
}

// TestRestartedServerOfAnotherVersionIsNotUsed guards against a stream that goes on at a server which has the ID of one that began
// it, or of another one of that version, and started again at another version.
func TestRestartedServerOfAnotherVersionIsNotUsed(t *testing.T) {
	f := newFixture(t, 2)
	f.setVersions("v1", "v1")
	for _, s := range f.servers {
		s.SetStream(4, 100*time.Millisecond)
		s.InjectFaults(emulator.OpaqueTruncated)
	}
	done := make(chan answer, 1)
	go func() { done <- f.do(t.Context(), "POST", "/resume/x") }()
	for len(f.ledger.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	restarted := []masticway.Server{}
	for i, s := range f.currentSnapshot().Servers["llm"] {
		s.StartedAt, s.Version = time.Unix(int64(1000+i), 0), "v2"
		restarted = append(restarted, s)
	}
	f.setServers("llm", restarted)
	got := <-done
	qt.Assert(t, got.err, qt.IsNotNil)
	qt.Assert(t, f.ledger.Runs(), qt.HasLen, 1)
}

// replaceServer ends a server as if it were killed, and starts another one of another version at its address. The registration stays that
// of the one that ended.
func (f *fixture) replaceServer(i int, id, version string) {
	f.servers[i].Close()
	s, err := emulator.StartOpaqueServerAt(f.servers[i].Address(), id, f.ledger)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(s.Close)
	s.Version = version
	f.servers[i] = s
}

// TestStreamTakesNothingFromSuccessorsOfItsServers guards against streams with events of two software versions, within an answer and over
// a caller's tries, if servers are killed and others of another version start at their addresses before the registrations change.
func TestStreamTakesNothingFromSuccessorsOfItsServers(t *testing.T) {
	const events, own, other = 6, 1, 0 // The chooser begins with the second server.
	cases := map[string]struct {
		fault emulator.OpaqueFault
		// silence is the pause before each event of the server that is asked first.
		silence time.Duration
		// before and after are the servers that are replaced before the first try and after it.
		before, after []int
		// status and isWhole describe the first answer, and resumed is the status of the try that resumes it, if any does.
		status  int
		isWhole bool
		resumed int
	}{
		"beginning, no server is left":           {before: []int{own, other}, status: 503},
		"beginning, one server is left":          {before: []int{own}, status: 200, isWhole: true},
		"continuation after a break":             {fault: emulator.OpaqueTruncated, before: []int{other}, status: 200, resumed: 200},
		"continuation after a connection's end":  {fault: emulator.OpaqueUnframedTruncated, before: []int{other}, status: 200, resumed: 200},
		"continuation after the server's end":    {fault: emulator.OpaqueUnframedEnded, before: []int{other}, status: 200, resumed: 503},
		"handover":                               {silence: 350 * time.Millisecond, before: []int{other}, status: 200},
		"next try, server ended and is replaced": {fault: emulator.OpaqueUnframedEnded, before: []int{other}, after: []int{own}, status: 200, resumed: 503},
		"next try, no server is left":            {fault: emulator.OpaqueTruncated, before: []int{other}, after: []int{own}, status: 200, resumed: 503},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2)
			f.setVersions("v1", "v1")
			f.servers[own].SetStream(events, max(tc.silence, time.Millisecond))
			f.servers[other].SetStream(events, time.Millisecond)
			f.servers[own].InjectFaults(tc.fault)
			replace := func(servers []int) {
				for _, i := range servers {
					f.replaceServer(i, "successor-"+f.servers[i].ID, "v2")
					f.servers[i].SetStream(events, time.Millisecond)
				}
			}
			replace(tc.before)
			got := f.do(t.Context(), "POST", "/resume/x")
			whole := got.body[:strings.LastIndex("\n\n"+got.body, "\n\n")]
			received := strings.Count(whole, "\n\n")
			if tc.silence == 0 {
				// Whether a silent server is kept depends on how soon the other one refuses.
				qt.Check(t, got.status, qt.Equals, tc.status)
				qt.Check(t, tc.status != 200 || received > 0, qt.IsTrue, qt.Commentf("%q", got.body))
				qt.Check(t, tc.status == 200 && got.err == nil, qt.Equals, tc.isWhole)
			}
			if got.status == 200 {
				qt.Check(t, strings.HasPrefix(eventStream(1, events), whole), qt.IsTrue, qt.Commentf("%q", got.body))
			}
			replace(tc.after)
			if tc.resumed > 0 {
				next := f.do(t.Context(), "POST", "/resume/x", "X-Attempt-Id", "a2", "Last-Event-Id", strconv.Itoa(received), "Resumes", "a1")
				qt.Check(t, next.status, qt.Equals, tc.resumed)
				if next.status == 200 {
					qt.Check(t, next.body, qt.Equals, eventStream(received+1, events))
				}
			}
			for _, r := range f.ledger.Runs() {
				qt.Check(t, strings.HasPrefix(r.Server, "successor"), qt.IsFalse, qt.Commentf("%s ran %s", r.Server, r.ID))
			}
			asked := 0
			for _, s := range f.servers {
				if strings.HasPrefix(s.ID, "successor") {
					asked += len(s.Arrivals())
				}
			}
			qt.Check(t, asked > 0, qt.IsTrue, qt.Commentf("no successor was asked"))
		})
	}
}
