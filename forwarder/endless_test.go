package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/forwarder"
)

// TestRequestBodiesWithoutEndAreGivenUp guards against callers that don't end the body of a request, with which a router waited, and
// kept their bytes and the capacity reserved for them, long after the time limits of the requests.
func TestRequestBodiesWithoutEndAreGivenUp(t *testing.T) {
	const (
		// maxTime is many times the requests' time limit.
		maxTime = 8 * time.Second
		// maxTaken is the limit of a body, 16 MB at most, and what fits into the sockets' buffers.
		maxTaken = 56 << 20
		chunked  = "Transfer-Encoding: chunked\r\n\r\n"
		key      = "Authorization: Token k\r\n"
	)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("x", 1<<10))
	cases := map[string]struct {
		begin, repeated string
		// pause is the time before each repetition.
		pause time.Duration
		// isLate is set if the answer says that the body did not come in time.
		isLate bool
	}{
		"length, stalls":           {begin: key + "Content-Length: 1000\r\n\r\nbo", isLate: true},
		"length, a byte at a time": {begin: key + "Content-Length: 1000\r\n\r\nbo", repeated: "x", pause: 50 * time.Millisecond},
		"chunk, stalls":            {begin: key + chunked + "400\r\nbo", isLate: true},
		"chunks, one at a time":    {begin: key + chunked, repeated: "1\r\nx\r\n", pause: 50 * time.Millisecond},
		"chunks":                   {begin: key + chunked, repeated: chunk},
		"chunk size":               {begin: key + chunked, repeated: "0"},
		"chunk extension":          {begin: key + chunked + "1;", repeated: "x"},
		"trailer line":             {begin: key + chunked + "0\r\nX-A: ", repeated: "x"},
		"trailers":                 {begin: key + chunked + "0\r\n", repeated: "X-A: b\r\n"},
		"trailers, stall":          {begin: key + chunked + "0\r\n", isLate: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			c, err := net.Dial("tcp", strings.TrimPrefix(f.frontend.URL, "http://"))
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_, err = io.WriteString(c, "POST /never/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 400\r\n"+tc.begin)
			qt.Assert(t, err, qt.IsNil)
			var taken atomic.Int64
			ended := make(chan struct{})
			defer func() { <-ended }()
			defer c.Close()
			go func() {
				defer close(ended)
				for tc.repeated != "" {
					piece := tc.repeated
					if tc.pause == 0 {
						piece = strings.Repeat(piece, 1+32<<10/len(piece))
					}
					n, err := io.WriteString(c, piece)
					if taken.Add(int64(n)); err != nil {
						return
					}
					time.Sleep(tc.pause)
				}
			}()
			began := time.Now()
			qt.Assert(t, c.SetReadDeadline(began.Add(maxTime)), qt.IsNil)
			answer, _ := io.ReadAll(c)
			qt.Check(t, time.Since(began) < maxTime, qt.IsTrue, qt.Commentf("not given up after %s", time.Since(began)))
			if tc.isLate {
				qt.Check(t, string(answer), qt.Contains, " 503 Service Unavailable\r\n")
				qt.Check(t, string(answer), qt.Contains, "\r\nRetry-After: ")
			}
			qt.Check(t, taken.Load() < maxTaken, qt.IsTrue, qt.Commentf("%d bytes were taken", taken.Load()))
			qt.Check(t, f.ledger.Runs(), qt.HasLen, 0)
		})
	}
}

// TestLargeAnswersTogetherStayWithinMemory guards against answers whose buffers were allocated before they were counted, so that many
// large ones at once took far more than a router may keep of unfinished answers.
func TestLargeAnswersTogetherStayWithinMemory(t *testing.T) {
	const (
		answers = 4
		maxTime = 20 * time.Second
	)
	cases := map[string]struct {
		path, begin string
		// buffer is the size of the buffer that each answer fills almost, before the last one needs a larger one.
		buffer int
		// memoryMB is the memory of the machine. A quarter of it has room for all buffers, even while one is copied into the last of
		// them, but not for a buffer of twice the size.
		memoryMB int64
	}{
		"whole answers": {path: "/never/x", buffer: 4 << 20, memoryMB: 84},
		"events":        {path: "/stream/x", begin: "data: ", buffer: 512 << 10, memoryMB: 11},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			retries := forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10}
			f := newFixtureWithSettings(t, 1, forwarder.Settings{MemoryMB: tc.memoryMB, Retries: retries})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			f.setServers(f.poolOf(tc.path), []masticway.Server{{ID: "s", Address: l.Addr().String(), State: masticway.ServerReady}})
			ctx, cancel := context.WithTimeout(t.Context(), maxTime)
			var asking sync.WaitGroup
			defer asking.Wait()
			defer cancel()
			text := bytes.Repeat([]byte("x"), tc.buffer*63/64)
			ended := make(chan answer, answers)
			var last net.Conn
			for i := range answers {
				before := allocatedBytes()
				id := fmt.Sprintf("a%d", i)
				asking.Go(func() { ended <- f.do(ctx, "POST", tc.path, "X-Attempt-Id", id, "X-Deadline-Ms", "20000") })
				last = acceptRequest(t, l)
				defer last.Close()
				fmt.Fprintf(last, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: 8000000\r\n\r\n%s", id, tc.begin)
				_, err := last.Write(text)
				qt.Assert(t, err, qt.IsNil)
				// The buffers before the last one take as much together as the last one.
				for allocatedBytes()-before < int64(tc.buffer)*3/2 {
					qt.Assert(t, ctx.Err(), qt.IsNil)
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
			}
			qt.Assert(t, ended, qt.HasLen, 0)
			before := allocatedBytes()
			_, _ = last.Write(text)
			got := <-ended
			allocated := allocatedBytes() - before
			qt.Check(t, got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%v", got.err))
			qt.Check(t, allocated < int64(tc.buffer)/2, qt.IsTrue, qt.Commentf("%d bytes were allocated for an answer that was given up", allocated))
		})
	}
}

// TestReservationsWithoutEndAreGivenUp guards against an engine that is asked to take over a stream and answers with bytes without end,
// all of which a router would read until the time for that is over.
func TestReservationsWithoutEndAreGivenUp(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		// maxTaken is what fits into the sockets' buffers.
		maxTaken = 24 << 20
	)
	cases := map[string]struct{ begin, repeated string }{
		"status line":           {begin: "HTTP/1.1 200 ", repeated: "x"},
		"headers":               {begin: "HTTP/1.1 200 OK\r\n", repeated: "X-A: b\r\n"},
		"informational answers": {repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk extension":       {begin: chunked + "1;", repeated: "x"},
		"trailers":              {begin: chunked + "0\r\n", repeated: "X-A: b\r\n"},
		"chunks":                {begin: chunked, repeated: "400\r\n" + strings.Repeat(" ", 1<<10) + "\r\n"},
		"body":                  {begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: " "},
		"refusal's body":        {begin: "HTTP/1.1 503 Busy\r\n\r\n", repeated: " "},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithReservations(t, 2)
			var servers []masticway.Server
			var asked, taken atomic.Int64
			for i := range 2 {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				qt.Assert(t, err, qt.IsNil)
				defer l.Close()
				servers = append(servers, masticway.Server{ID: fmt.Sprintf("s-%d", i), Pool: "llm", Address: l.Addr().String(), State: masticway.ServerReady})
				go serveEndlessReservations(l, tc.begin, tc.repeated, &asked, &taken)
			}
			f.setServers("llm", servers)
			got := f.do(t.Context(), "POST", "/resume/x", "X-Deadline-Ms", "1500")
			qt.Check(t, got.status >= 500, qt.IsTrue, qt.Commentf("status %d: %v", got.status, got.err))
			qt.Check(t, asked.Load() > 0, qt.IsTrue)
			qt.Check(t, taken.Load() < maxTaken*asked.Load(), qt.IsTrue, qt.Commentf("%d bytes of %d answers were taken", taken.Load(), asked.Load()))
		})
	}
}

// serveEndlessReservations answers no stream, and each call for a reservation with a text that goes on with another one until the connection
// is closed.
func serveEndlessReservations(l net.Listener, begin, repeated string, asked, taken *atomic.Int64) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if strings.HasPrefix(request.URL.Path, "/resume/") {
				_, _ = io.Copy(io.Discard, c)
				return
			}
			asked.Add(1)
			piece := []byte(strings.Repeat(repeated, 1+32<<10/len(repeated)))
			for _, err = io.WriteString(c, begin); err == nil; {
				var n int
				n, err = c.Write(piece)
				taken.Add(int64(n))
			}
		}()
	}
}

// allocatedBytes returns how many bytes this process has allocated.
func allocatedBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.TotalAlloc)
}

// acceptRequest reads the request on the next connection, which must be closed by the caller.
func acceptRequest(t *testing.T, l net.Listener) net.Conn {
	c, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	request, err := http.ReadRequest(bufio.NewReader(c))
	qt.Assert(t, err, qt.IsNil)
	_, _ = io.Copy(io.Discard, request.Body)
	return c
}
