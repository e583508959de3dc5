package starter_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/starter"
)

// versionedPlatform is a platform whose engines have two software versions, half of them each.
type versionedPlatform struct {
	*testPlatform
	engines map[string]*emulator.OpaqueServer
}

const (
	versionedEvents = 50
	eventPause      = 40 * time.Millisecond
)

func newVersionedPlatform(t *testing.T) versionedPlatform {
	p := versionedPlatform{testPlatform: newTestPlatform(t, 1<<40), engines: map[string]*emulator.OpaqueServer{}}
	p.removeBudgetLimit()
	p.engine.Deregister(p.rows)
	for i := range 6 {
		s, err := emulator.StartOpaqueServer(fmt.Sprintf("i-engine-%d", i), p.ledger)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
		s.SetStream(versionedEvents, eventPause)
		s.Version = fmt.Sprintf("v%d", i%2+1)
		s.Register(p.rows, "llm", "z", false)
		p.engines[s.ID] = s
	}
	return p
}

// runVersions returns the software versions of the servers that ran a request, in the order of the runs.
func (p versionedPlatform) runVersions(id string) (versions []string) {
	for _, r := range p.ledger.Runs() {
		if r.ID == id {
			versions = append(versions, p.engines[r.Server].Version)
		}
	}
	return versions
}

// resume resumes a stream at a router after an event and returns the status and the number of events.
func (p versionedPlatform) resume(d *starter.GatewayDaemon, id, resumes, after string) (status, events int) {
	request := p.request(d, id, "/essay/x", "100,40")
	request.Header.Set("Last-Event-Id", after)
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
	}
	return p.stream(request, func(string) { events++ }), events
}

// brokenStream is a stream of which its caller has got the first events, the last of them being last.
type brokenStream struct{ id, last string }

// breakStreams begins streams at a router, calls end when all callers have got some events, and closes their connections.
func (p versionedPlatform) breakStreams(d *starter.GatewayDaemon, count int, end func()) (broken []brokenStream) {
	const seen = 3
	ctx, closeConnections := context.WithCancel(p.t.Context())
	defer closeConnections()
	midway, ended := make(chan bool, count), make(chan brokenStream, count)
	for i := range count {
		go func() {
			b := brokenStream{id: fmt.Sprintf("%016x", i+1)}
			p.stream(p.request(d, b.id, "/essay/x", "100,40").WithContext(ctx), func(event string) {
				if b.last = event; event == fmt.Sprint(seen) {
					midway <- true
				}
			})
			ended <- b
		}()
	}
	for range count {
		<-midway
	}
	end()
	closeConnections()
	for range count {
		b := <-ended
		qt.Assert(p.t, b.last != fmt.Sprint(versionedEvents), qt.IsTrue, qt.Commentf("an answer was complete before it was broken off"))
		broken = append(broken, b)
	}
	return broken
}

// TestResumedStreamGoesOnAtItsVersion guards against streams that hold events from servers of two software versions over a caller's
// tries, at whichever router the caller resumes, and against routers that refuse to resume although they could know the version.
func TestResumedStreamGoesOnAtItsVersion(t *testing.T) {
	const streams = 16
	cases := map[string]struct {
		// prepare is called before the streams begin, beforeResumption before they are resumed.
		prepare, beforeResumption func(p versionedPlatform)
		// firstDies is set if the first router ends while the streams run, and firstRestarts if it starts again. lateResumption is set
		// if the router at which the streams are resumed starts after that.
		firstDies, firstRestarts, lateResumption bool
	}{
		"the first router runs":            {},
		"the first router has died":        {firstDies: true},
		"the first router starts again":    {firstDies: true, firstRestarts: true},
		"the store is away, then":          {firstDies: true, beforeResumption: func(p versionedPlatform) { p.rows.SetFaults(emulator.RowFaults{Unresponsive: true}) }},
		"the store is away from the start": {firstDies: true, prepare: func(p versionedPlatform) { p.rows.SetFaults(emulator.RowFaults{Unresponsive: true}) }},
		"at a router that starts later":    {firstDies: true, lateResumption: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newVersionedPlatform(t)
			first := p.gateway("edge-1")
			others := []*starter.GatewayDaemon{p.gateway("edge-2"), p.gateway("edge-3"), p.gateway("edge-4")}
			for _, d := range others {
				t.Cleanup(d.Kill)
			}
			// All routers know each other once they have counted twice.
			time.Sleep(2 * time.Second)
			if tc.prepare != nil {
				tc.prepare(p)
			}
			kill := sync.OnceFunc(first.Kill)
			t.Cleanup(kill)
			broken := p.breakStreams(first, streams, func() {
				if tc.firstDies {
					kill()
				}
			})
			if tc.beforeResumption != nil {
				tc.beforeResumption(p)
			}
			resumer := others[0]
			switch {
			case tc.firstRestarts:
				resumer = p.gateway("edge-1")
				t.Cleanup(resumer.Kill)
			case tc.lateResumption:
				resumer = p.gateway("edge-5")
				t.Cleanup(resumer.Kill)
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			resumed := 0
			for i, b := range broken {
				wg.Go(func() {
					id := fmt.Sprintf("%015xb", i+1)
					status, events := p.resume(resumer, id, b.id, b.last)
					mu.Lock()
					defer mu.Unlock()
					if status == http.StatusOK {
						resumed++
						qt.Check(t, fmt.Sprint(versionedEvents-events), qt.Equals, b.last)
					} else if status == http.StatusServiceUnavailable {
						// Other failures do not say that the request has not run.
						qt.Check(t, p.runVersions(id), qt.HasLen, 0, qt.Commentf("status %d:\n%s", status, p.logLines(id)))
					}
					for _, version := range p.runVersions(id) {
						qt.Check(t, version, qt.Equals, p.runVersions(b.id)[0], qt.Commentf("%s resumes %s", id, b.id))
					}
				})
			}
			wg.Wait()
			qt.Check(t, 2*resumed >= streams, qt.IsTrue, qt.Commentf("%d of %d went on:\n%s", resumed, streams, p.logLines("event=request")))
		})
	}
}

// TestUnknownStreamIsNotResumed guards against guessing the version of a stream that nobody knows. The refusal is true: no server ran
// the request.
func TestUnknownStreamIsNotResumed(t *testing.T) {
	for name, resumes := range map[string]string{"unknown attempt": "00000000000000ff", "no attempt named": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newVersionedPlatform(t)
			d := p.gateway("edge-1")
			t.Cleanup(d.Kill)
			status, _ := p.resume(d, "000000000000000b", resumes, "3")
			qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, p.ledger.Runs(), qt.HasLen, 0)
		})
	}
}

// TestStreamResumedAfterItsLastEventEnds guards against a 502 for a caller that resumes a stream of which it has all events, because
// the server has nothing left to send.
func TestStreamResumedAfterItsLastEventEnds(t *testing.T) {
	p := newVersionedPlatform(t)
	d := p.gateway("edge-1")
	t.Cleanup(d.Kill)
	last := ""
	status := p.stream(p.request(d, "0000000000000001", "/essay/x", "100,40"), func(event string) { last = event })
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, last, qt.Equals, fmt.Sprint(versionedEvents))
	status, events := p.resume(d, "0000000000000002", "0000000000000001", last)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, events, qt.Equals, 0)
	runs := p.ledger.Runs()
	qt.Assert(t, runs, qt.HasLen, 2, qt.Commentf("the server answered the first resumption with the rest of the stream, which is empty"))
}

// TestStreamsAreResumedAfterAllRoutersEnded guards against routers that start after a loss of power and refuse to resume streams, because
// they have not read the servers for long enough to know that there is one version only.
func TestStreamsAreResumedAfterAllRoutersEnded(t *testing.T) {
	const streams = 12
	p := newVersionedPlatform(t)
	for _, s := range p.engines {
		s.Version = "v1"
		s.Register(p.rows, "llm", "z", false)
	}
	first, second := p.gateway("edge-1"), p.gateway("edge-2")
	// By then the routers have recorded the version.
	time.Sleep(3 * time.Second)
	broken := p.breakStreams(first, streams, func() {
		first.Kill()
		second.Kill()
	})
	d := p.gateway("edge-1")
	t.Cleanup(d.Kill)
	time.Sleep(time.Second)
	for i, b := range broken {
		status, _ := p.resume(d, fmt.Sprintf("%016x", 1000+i), b.id, b.last)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}

// TestStreamsOfTwoVersionsAreResumedAfterAllRoutersEnded guards against refusing to resume streams, while two versions serve, because all routers that
// knew by which version they were begun have ended at once.
func TestStreamsOfTwoVersionsAreResumedAfterAllRoutersEnded(t *testing.T) {
	const streams, routers = 16, 3
	for name, tc := range map[string]struct {
		// beforeEnd is called before the routers end. resumed is whether the streams are resumed then.
		beforeEnd func(p versionedPlatform)
		resumed   bool
	}{
		"both versions serve": {resumed: true},
		"one has just left": {resumed: true, beforeEnd: func(p versionedPlatform) {
			for _, s := range p.engines {
				if s.Version == "v1" {
					s.Register(p.rows, "llm", "z", true)
				}
			}
		}},
		"the store has no rows": {beforeEnd: func(p versionedPlatform) {
			p.rows.SetFaults(emulator.RowFaults{Unresponsive: true})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newVersionedPlatform(t)
			var settings []forwarder.Settings
			var all []*starter.GatewayDaemon
			for i := range routers {
				settings = append(settings, p.settings(fmt.Sprintf("edge-%d", i+1)))
				all = append(all, p.start(settings[i]))
			}
			time.Sleep(2 * time.Second)
			if !tc.resumed {
				tc.beforeEnd(p)
			}
			broken := p.breakStreams(all[0], streams, func() {
				// Each router has written its row since then.
				time.Sleep(time.Second)
				if tc.resumed && tc.beforeEnd != nil {
					tc.beforeEnd(p)
				}
				for _, d := range all {
					d.Kill()
				}
			})
			p.rows.SetFaults(emulator.RowFaults{})
			for i := range routers {
				all[i] = p.start(settings[i])
				t.Cleanup(all[i].Kill)
			}
			resumed, refused := 0, 0
			for i, b := range broken {
				id := fmt.Sprintf("resumed-%d", i)
				status, _ := p.resume(all[1], id, b.id, b.last)
				switch status {
				case http.StatusOK:
					resumed++
					qt.Check(t, p.runVersions(id), qt.DeepEquals, p.runVersions(b.id)[:1])
				case http.StatusServiceUnavailable:
					refused++
				}
			}
			t.Logf("%d streams resumed, %d refused", resumed, refused)
			switch {
			case !tc.resumed:
				qt.Check(t, refused, qt.Equals, streams)
			case tc.beforeEnd == nil:
				qt.Check(t, resumed, qt.Equals, streams)
			default:
				// The streams of the version that has left cannot be resumed.
				qt.Check(t, resumed > 0, qt.IsTrue)
			}
		})
	}
}
