package connector_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/receiver"
)

// TestAnswersOfUpstreamsWithoutEndAreGivenUp guards against an engine or a service that answers a sidecar with bytes without end, all
// of which were kept.
func TestAnswersOfUpstreamsWithoutEndAreGivenUp(t *testing.T) {
	const (
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		event   = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
		// maxHead is far more than the head of any answer has, and maxBody the limit of an answer with what is read ahead.
		maxHead = 256 << 10
		maxBody = 65 << 20
		// maxWritten ends a case that would not end.
		maxWritten = 256 << 20
	)
	long := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", 64<<10) + `"}}]}` + "\n\n"
	model := masticway.Call{Model: "m", Prompt: []byte("[]")}
	service := masticway.Call{Service: "s", Method: "POST", Path: "/x"}
	cases := map[string]struct {
		call            masticway.Call
		begin, repeated string
		limit           int64
		// isTooLarge is set if the error names the limit of the whole answer.
		isTooLarge bool
	}{
		"header line":             {call: model, begin: "HTTP/1.1 200 OK\r\nX-A: ", repeated: "x", limit: maxHead},
		"headers":                 {call: model, begin: "HTTP/1.1 200 OK\r\n", repeated: "X-A: b\r\n", limit: maxHead},
		"informational answers":   {call: model, repeated: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", limit: maxHead},
		"chunk extension":         {call: model, begin: "HTTP/1.1 200 OK\r\n" + chunked + "1;", repeated: "x", limit: maxHead},
		"line of an event":        {call: model, begin: "HTTP/1.1 200 OK\r\n\r\ndata: ", repeated: "x", limit: maxBody},
		"events":                  {call: model, begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: long, limit: maxBody, isTooLarge: true},
		"comments":                {call: model, begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: ":" + strings.Repeat("x", 64<<10) + "\n", limit: maxBody, isTooLarge: true},
		"body of a refusal":       {call: model, begin: "HTTP/1.1 503 Busy\r\n\r\n", repeated: event, limit: maxHead},
		"service's header line":   {call: service, begin: "HTTP/1.1 200 OK\r\nX-A: ", repeated: "x", limit: maxHead},
		"service's body":          {call: service, begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: "body", limit: maxBody, isTooLarge: true},
		"service's trailers":      {call: service, begin: "HTTP/1.1 200 OK\r\n" + chunked + "0\r\n", repeated: "X-A: b\r\n", limit: maxHead},
		"body of a 500 (service)": {call: service, begin: "HTTP/1.1 500 Broken\r\n\r\n", repeated: "body", limit: maxBody, isTooLarge: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			go serveEndless(l, tc.begin, tc.repeated, maxWritten)
			var taken atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{Conn: c, bytes: &taken}, err
			}
			_, err = connector.NewUpstream("http://"+l.Addr().String(), dial, 2*time.Second).Run(t.Context(), tc.call, discardSink{})
			_, isFailure := errors.AsType[*masticway.UpstreamError](err)
			qt.Check(t, isFailure, qt.IsTrue, qt.Commentf("%.200v", err))
			_, isTooLarge := errors.AsType[*receiver.TooLargeError](err)
			qt.Check(t, isTooLarge, qt.Equals, tc.isTooLarge, qt.Commentf("%.200v", err))
			qt.Check(t, taken.Load() < tc.limit, qt.IsTrue, qt.Commentf("%d bytes were taken: %.200v", taken.Load(), err))
		})
	}
}

// serveEndless answers the request on each connection with a text that goes on with another one until the connection is closed or
// most bytes were sent.
func serveEndless(l net.Listener, begin, repeated string, most int) {
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
			piece := []byte(strings.Repeat(repeated, 1+32<<10/len(repeated)))
			sent, err := io.WriteString(c, begin)
			for err == nil && sent < most {
				n := 0
				n, err = c.Write(piece)
				sent += n
			}
		}()
	}
}
