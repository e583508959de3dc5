package messenger_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/messenger"
)

// TestMessagesWithoutEndAreGivenUp guards against routers that begin messages and don't end them, with which another router kept all
// their bytes as long as the connections lasted.
func TestMessagesWithoutEndAreGivenUp(t *testing.T) {
	const (
		head = "POST /peer/length HTTP/1.1\r\nHost: h\r\nContent-Type: application/cbor\r\n"
		// maxTime is many times what a message may pause.
		maxTime = 20 * time.Second
		// maxHeap is the limit of all messages and twice that, since buffers are copied when they grow.
		maxHeap = 96 << 20
	)
	large := strings.Repeat("x", 3<<20)
	cases := map[string]struct {
		begin       string
		connections int
	}{
		"chunk":           {begin: head + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + large, connections: 1},
		"length":          {begin: head + "Content-Length: 4000000\r\n\r\n" + large, connections: 1},
		"nothing":         {begin: head + "Content-Length: 4000000\r\n\r\n", connections: 1},
		"chunk, together": {begin: head + "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + large, connections: 64},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := serve(t)
			before := heapBytes()
			var written, ended sync.WaitGroup
			for range tc.connections {
				c, err := net.Dial("tcp", address)
				qt.Assert(t, err, qt.IsNil)
				defer c.Close()
				qt.Assert(t, c.SetDeadline(time.Now().Add(maxTime)), qt.IsNil)
				written.Add(1)
				ended.Go(func() {
					// A router that refuses the message doesn't read all of it.
					_, _ = io.WriteString(c, tc.begin)
					written.Done()
					_, err := io.Copy(io.Discard, c)
					qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("not given up after %s", maxTime))
				})
			}
			written.Wait()
			taken := heapBytes() - before
			qt.Check(t, taken < maxHeap, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", taken))
			ended.Wait()
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestAnswersOfRoutersWithoutEndAreGivenUp guards against a router that answers with bytes without end.
func TestAnswersOfRoutersWithoutEndAreGivenUp(t *testing.T) {
	const (
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		// maxTaken is the limit of an answer, 16 MB, and what fits into the sockets' buffers.
		maxTaken = 56 << 20
	)
	cases := map[string]struct{ begin, repeated string }{
		"status line":           {begin: "HTTP/1.1 200 ", repeated: "x"},
		"header line":           {begin: "HTTP/1.1 200 OK\r\nX-A: ", repeated: "x"},
		"headers":               {begin: "HTTP/1.1 200 OK\r\n", repeated: "X-A: b\r\n"},
		"informational answers": {repeated: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		"chunk extension":       {begin: "HTTP/1.1 200 OK\r\n" + chunked + "1;", repeated: "x"},
		"trailers":              {begin: "HTTP/1.1 200 OK\r\n" + chunked + "0\r\n", repeated: "X-A: b\r\n"},
		"chunks":                {begin: "HTTP/1.1 200 OK\r\n" + chunked, repeated: "400\r\n" + strings.Repeat(" ", 1<<10) + "\r\n"},
		"body":                  {begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: " "},
		"refusal's body":        {begin: "HTTP/1.1 503 Busy\r\n\r\n", repeated: " "},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			written := make(chan int, 1)
			go func() { written <- serveEndless(l, tc.begin, tc.repeated) }()
			_, err = messenger.Call[answer](t.Context(), messenger.NewClient(), l.Addr().String(), "/peer/length", question{})
			qt.Check(t, err, qt.IsNotNil)
			l.Close()
			taken := <-written
			qt.Check(t, taken < maxTaken, qt.IsTrue, qt.Commentf("%d bytes were taken", taken))
		})
	}
}

// serveEndless answers the request on one connection with a text that goes on with another one until the connection is closed. It
// returns the number of bytes that were taken.
func serveEndless(l net.Listener, begin, repeated string) int {
	c, err := l.Accept()
	if err != nil {
		return 0
	}
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, request.Body)
	piece := []byte(strings.Repeat(repeated, 1+32<<10/len(repeated)))
	taken, err := io.WriteString(c, begin)
	for err == nil {
		n := 0
		n, err = c.Write(piece)
		taken += n
	}
	return taken
}
