package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
