package starter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
	"github.com/masticway/masticway/platform"
	"github.com/masticway/masticway/starter"
)

// stallListener accepts connections on which reads and writes are delayed, and counts the requests read from each of them.
type stallListener struct {
	net.Listener
	afterRead, beforeWrite time.Duration
	mu                     sync.Mutex
	read                   map[string]int
}

func (l *stallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: c, l: l}, nil
}

// readCount returns the number of requests read from a caller's address.
func (l *stallListener) readCount(caller string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read[caller]
}

// stallConn is a connection that sleeps after each read of a request and before each write.
type stallConn struct {
	net.Conn
	l *stallListener
}

func (c *stallConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	// During an answer, net/http also reads a single byte in the background to detect that the caller disconnects. That isn't a
	// request.
	if n > 1 {
		c.l.mu.Lock()
		c.l.read[c.RemoteAddr().String()]++
		c.l.mu.Unlock()
		time.Sleep(c.l.afterRead)
	}
	return n, err
}

func (c *stallConn) Write(b []byte) (int, error) {
	time.Sleep(c.l.beforeWrite)
	return c.Conn.Write(b)
}

// exchangeResult is the outcome of one request during a shutdown.
type exchangeResult struct {
	id     string
	caller string
	// number is the request's number on its connection, from 1.
	number int
	sentAt time.Duration
	took   time.Duration
	status int
	err    error
}

// exchange sends a request with a single write and reads the complete answer.
func exchange(c net.Conn, e exchangeResult, path, extra string, began time.Time) exchangeResult {
	at := time.Now()
	e.sentAt, e.caller = at.Sub(began), c.LocalAddr().String()
	_, e.err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token k\r\nX-Deadline-Ms: 900\r\n%sContent-Length: 4\r\n\r\nbody", path, e.id, extra)
	if e.err == nil {
		var a *http.Response
		if a, e.err = http.ReadResponse(bufio.NewReader(c), nil); e.err == nil {
			e.status = a.StatusCode
			_, e.err = io.ReadAll(a.Body)
		}
	}
	e.took = time.Since(at)
	return e
}

// TestShutdownAnswersEveryRequestRead sends requests at all moments around the closing of idle connections, on connections that
// have been idle since before the shutdown and on new ones, while the gateway's reads or writes are delayed. It guards against
// streams without their end and requests closed without an answer. These occur if the gateway closes all connections as soon as
// no handler runs: net/http writes the end of an answer after the handler has returned, and treats a connection as idle until the
// next request's header is parsed, even if its bytes have been read. A delay of 100 ms before each write or after each read makes
// that failure certain.
func TestShutdownAnswersEveryRequestRead(t *testing.T) {
	const (
		interval = 6 * time.Millisecond
		from     = 2400 * time.Millisecond
		until    = 4200 * time.Millisecond
		// maxCrossing is how long after it was sent the connection of a request may be closed without an answer, if the request
		// wasn't sent to a server: it may have crossed with the closing.
		maxCrossing = 200 * time.Millisecond
	)
	cases := map[string]struct{ reading, writing time.Duration }{
		"no delay":              {},
		"after each read":       {reading: 100 * time.Millisecond},
		"after each read, long": {reading: 300 * time.Millisecond},
		"before each write":     {writing: 100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 1<<40)
			stall := &stallListener{afterRead: tc.reading, beforeWrite: tc.writing, read: map[string]int{}}
			d := p.startStalling(p.settings("edge-1"), stall)
			address, _ := d.Addresses()
			began := time.Now().Add(time.Second)
			var (
				// assumed is when the router assumes that its shutdown began. On a busy machine that is earlier.
				assumed  time.Time
				draining = make(chan struct{})

				mu  sync.Mutex
				all []exchangeResult
				wg  sync.WaitGroup
			)
			record := func(e exchangeResult) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, e)
			}
			for i := range int((until - from) / interval) {
				path, extra := "/book/x", ""
				if i%2 == 0 {
					path, extra = "/draft/x", "X-Token-Count: 10,10\r\n"
				}
				after := from + time.Duration(i)*interval
				wg.Go(func() {
					c, err := net.Dial("tcp", address)
					if !qt.Check(t, err, qt.IsNil) {
						return
					}
					defer c.Close()
					first := exchange(c, exchangeResult{id: fmt.Sprintf("before-%d", i), number: 1}, "/book/x", "", began)
					qt.Check(t, first.err, qt.IsNil)
					<-draining
					time.Sleep(time.Until(assumed.Add(after)))
					record(exchange(c, exchangeResult{id: fmt.Sprintf("kept-%d", i), number: 2}, path, extra, began))
				})
				wg.Go(func() {
					<-draining
					time.Sleep(time.Until(assumed.Add(after)))
					c, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					defer c.Close()
					record(exchange(c, exchangeResult{id: fmt.Sprintf("new-%d", i), number: 1}, path, extra, began))
				})
			}
			time.Sleep(time.Until(began))
			drained := make(chan bool, 1)
			go func() { drained <- d.Drain() }()
			assumed = p.assumedStart()
			t.Logf("the router assumes that its shutdown began %s early", began.Sub(assumed).Round(time.Millisecond))
			close(draining)
			qt.Check(t, <-drained, qt.IsTrue)
			wg.Wait()
			ran := map[string]bool{}
			for _, r := range p.ledger.Runs() {
				ran[r.ID] = true
			}
			answers := map[int]int{}
			for _, e := range all {
				answers[e.status]++
				if e.err == nil {
					continue
				}
				read := stall.readCount(e.caller) >= e.number
				if p.timedOut(e.id) {
					// The request's own deadline cut it off, not the shutdown.
					continue
				}
				if ran[e.id] || read && e.took > maxCrossing {
					t.Errorf("%s, sent at %s, ended without a complete answer after %s: %v (reached a server: %t)\n%s", e.id, e.sentAt, e.took, e.err, ran[e.id], p.logLines("request="+e.id+" "))
				}
			}
			qt.Check(t, answers[http.StatusOK] > 0, qt.IsTrue, qt.Commentf("answers by status: %v\n%s", answers, p.logLines("event=stop")))
		})
	}
}

// assumedStart waits until a router shuts down and returns when it assumes that it was told to.
func (p *testPlatform) assumedStart() time.Time {
	p.waitForLog("event=stopping ")
	line := p.logLines("event=stopping ")
	found := lateness.FindStringSubmatch(line)
	qt.Assert(p.t, found, qt.HasLen, 3, qt.Commentf("%s", line))
	at, err := time.Parse(time.RFC3339Nano, found[1])
	qt.Assert(p.t, err, qt.IsNil)
	late, err := strconv.Atoi(found[2])
	qt.Assert(p.t, err, qt.IsNil)
	return at.Add(-time.Duration(late) * time.Millisecond)
}

// lateness finds when a router logged that it stops, and how many milliseconds earlier it assumes that it was told to.
var lateness = regexp.MustCompile(`time="([^"]*)".* late_ms=(\d+)`)

// timedOut reports whether a router cut a request's answer off because the request's deadline had passed.
func (p *testPlatform) timedOut(id string) bool {
	return p.logLines("request="+id+" ", "outcome=broken_off", `cause="context deadline exceeded`) != ""
}

// startStalling starts a gateway whose connections with callers are delayed, and waits until it is ready.
func (p *testPlatform) startStalling(s forwarder.Settings, stall *stallListener) *starter.GatewayDaemon {
	l, err := starter.ListenGateway(s)
	qt.Assert(p.t, err, qt.IsNil)
	stall.Listener = l.Caller
	l.Caller = stall
	store := platform.NewStore(p.store, time.Second)
	d, err := starter.NewGateway(s, l, store, store, platform.Decoder{}, platform.HeaderCodec{}, masticway.SystemClock{}, p.log)
	qt.Assert(p.t, err, qt.IsNil)
	qt.Assert(p.t, d.Start(), qt.IsNil)
	p.waitReady(s)
	return d
}

// waitReady waits until a gateway is ready.
func (p *testPlatform) waitReady(s forwarder.Settings) {
	for range 400 {
		if a, err := http.Get("http://" + s.ReadinessAddress + "/"); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatalf("%s did not become ready:\n%s", s.Instance, p.log)
}
