package starter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/platform"
	"github.com/masticway/masticway/starter"
)

// lateCall is a request that callers with open connections send while a router shuts down.
type lateCall struct {
	path, tokens string
	limit        time.Duration
	// after is how long after SIGTERM the request is sent, and pause the time between its head and the rest of its body.
	after, pause time.Duration
}

// send sends the call on a connection, its body in two pieces, and reads the complete answer.
func (l lateCall) send(c net.Conn, id string) (int, error) {
	tokens := ""
	if l.tokens != "" {
		tokens = "X-Token-Count: " + l.tokens + "\r\n"
	}
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token k\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 4\r\n\r\nbo", l.path, id, l.limit.Milliseconds(), tokens)
	if err != nil {
		return 0, err
	}
	time.Sleep(l.pause)
	if _, err = fmt.Fprint(c, "dy"); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(a.Body)
	return a.StatusCode, err
}

// TestLateRequestsAreRefusedOrAnswered sends requests on open connections in the first seconds after SIGTERM. It guards against requests
// that are sent on and then cut at the end of the grace period, although the answers before them lasted longer than what is left.
func TestLateRequestsAreRefusedOrAnswered(t *testing.T) {
	const callers = 8
	cases := map[string]struct {
		lateCall
		work time.Duration
		// status is the one status that the answers may have; zero allows 200 and 503.
		status int
	}{
		"runs once, longer than what is left": {lateCall: lateCall{path: "/book/x", limit: 3600 * time.Millisecond, after: 1900 * time.Millisecond}, work: 2900 * time.Millisecond, status: 503},
		"runs once, deadline in time":         {lateCall: lateCall{path: "/book/x", limit: 3600 * time.Millisecond, after: 300 * time.Millisecond}, work: 2900 * time.Millisecond, status: 200},
		"runs once, short":                    {lateCall: lateCall{path: "/book/x", limit: 3600 * time.Millisecond, after: 1900 * time.Millisecond}, work: 700 * time.Millisecond, status: 200},
		"body in pieces":                      {lateCall: lateCall{path: "/book/x", limit: 5000 * time.Millisecond, after: 900 * time.Millisecond, pause: time.Second}, work: 2900 * time.Millisecond, status: 503},
		"stream, longer than what is left":    {lateCall: lateCall{path: "/draft/x", tokens: "10,15", limit: 5 * time.Second, after: 2 * time.Second}, work: 3 * time.Second, status: 503},
		"stream, short":                       {lateCall: lateCall{path: "/draft/x", tokens: "10,15", limit: 5 * time.Second, after: 1500 * time.Millisecond}, work: time.Second, status: 200},
		"stream that may be resumed":          {lateCall: lateCall{path: "/essay/x", tokens: "10,15", limit: 5 * time.Second, after: 2 * time.Second}, work: 3 * time.Second, status: 503},
		"at the edge":                         {lateCall: lateCall{path: "/book/x", limit: 3600 * time.Millisecond, after: 2 * time.Second}, work: 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1<<40)
			p.engine.SetStream(5, tc.work/5)
			p.plain.EnableEcho(tc.work)
			d := p.gateway("edge-1")
			address, _ := d.Addresses()
			var (
				answered, done sync.WaitGroup
				stopped        = make(chan time.Time)
				mu             sync.Mutex
				answers        = map[int]int{}
			)
			answered.Add(callers)
			for i := range callers {
				done.Go(func() {
					c, err := net.Dial("tcp", address)
					if !qt.Check(t, err, qt.IsNil) {
						answered.Done()
						return
					}
					defer c.Close()
					first := tc.lateCall
					first.pause = 0
					status, err := first.send(c, fmt.Sprintf("before-%d", i))
					answered.Done()
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, status, qt.Equals, http.StatusOK)
					time.Sleep(time.Until((<-stopped).Add(tc.after)))
					status, err = tc.send(c, fmt.Sprintf("late-%d", i))
					qt.Check(t, err, qt.IsNil, qt.Commentf("%s", p.logLines(fmt.Sprintf("request=late-%d ", i))))
					mu.Lock()
					defer mu.Unlock()
					answers[status]++
				})
			}
			answered.Wait()
			drained := make(chan bool, 1)
			go func() { drained <- d.Drain() }()
			assumed := p.assumedStart()
			for range callers {
				stopped <- assumed
			}
			qt.Check(t, <-drained, qt.IsTrue)
			done.Wait()
			for status := range answers {
				qt.Check(t, status == tc.status || tc.status == 0 && (status == 200 || status == 503), qt.IsTrue, qt.Commentf("answers by status: %v\n%s", answers, p.logLines("request=late-")))
			}
		})
	}
}

// leapingClock is the system clock plus an offset that a test advances, as if the process had been stopped for that time.
type leapingClock struct {
	masticway.SystemClock
	offset atomic.Int64
}

// Now returns the time of the system clock plus the offset.
func (c *leapingClock) Now() time.Time {
	return c.SystemClock.Now().Add(time.Duration(c.offset.Load()))
}

// TestNoticeOfStoppedRouterIsNotExtended guards against a router that was stopped while SIGTERM was sent, and counts from its own notice
// of it for how long it accepts requests that may outlast it.
func TestNoticeOfStoppedRouterIsNotExtended(t *testing.T) {
	for name, tc := range map[string]struct {
		stopped time.Duration
		status  int
	}{
		"it ran":                 {status: http.StatusOK},
		"it was stopped shortly": {stopped: time.Second, status: http.StatusOK},
		"it was stopped":         {stopped: 2600 * time.Millisecond, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlatform(t, 1<<40)
			clock := &leapingClock{}
			s := p.settings("edge-1")
			l, err := starter.ListenGateway(s)
			qt.Assert(t, err, qt.IsNil)
			store := platform.NewStore(p.store, time.Second)
			d, err := starter.NewGateway(s, l, store, store, platform.Decoder{}, platform.HeaderCodec{}, clock, p.log)
			qt.Assert(t, err, qt.IsNil)
			p.run(d, s)
			call := lateCall{path: "/draft/x", tokens: "10,15", limit: 5 * time.Second}
			c, err := net.Dial("tcp", l.Caller.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			status, err := call.send(c, "before")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			clock.offset.Add(int64(tc.stopped))
			drained := make(chan bool, 1)
			go func() { drained <- d.Drain() }()
			p.assumedStart()
			status, err = call.send(c, "late")
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, tc.status, qt.Commentf("%s", p.logLines("request=late ")))
			qt.Check(t, <-drained, qt.IsTrue)
		})
	}
}
