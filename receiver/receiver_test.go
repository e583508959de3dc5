package receiver_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/receiver"
)

const (
	headerTimeout = 200 * time.Millisecond
	idleTimeout   = 200 * time.Millisecond
	maxBytes      = 1 << 20
	// anyBytes is used where the number of bytes that arrive depends on timing.
	anyBytes = -1
)

// piece is a part of a response that is sent after a delay.
type piece struct {
	delay time.Duration
	bytes int
}

// newRequest returns a request to a server that sends its response in pieces, the header together with the first one.
func newRequest(t *testing.T, status, length int, oneChunk bool, pieces []piece) *http.Request {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if oneChunk {
			sendOneChunk(w, pieces)
			return
		}
		if length > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(length))
		}
		for i, p := range pieces {
			select {
			case <-time.After(p.delay):
			case <-r.Context().Done():
				return
			}
			if i == 0 {
				w.WriteHeader(status)
			}
			_, _ = w.Write([]byte(strings.Repeat("x", p.bytes)))
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	qt.Assert(t, err, qt.IsNil)
	return request
}

// sendOneChunk sends all pieces within one HTTP chunk, as a slow network delivers data that a server has written at once.
func sendOneChunk(w http.ResponseWriter, pieces []piece) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	size := 0
	for _, p := range pieces {
		size += p.bytes
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size)
	for _, p := range pieces {
		time.Sleep(p.delay)
		fmt.Fprint(conn, strings.Repeat("x", p.bytes))
	}
	fmt.Fprint(conn, "\r\n0\r\n\r\n")
}

// TestOnlyStalledResponsesTimeOut guards against timeouts that bound a whole response: a large response on a slow network would
// never be received.
func TestOnlyStalledResponsesTimeOut(t *testing.T) {
	steady := make([]piece, 12)
	for i := range steady {
		steady[i] = piece{delay: 50 * time.Millisecond, bytes: 1000}
	}
	// The transport may collect several of these pieces before it returns them.
	large := make([]piece, 16)
	for i := range large {
		large[i] = piece{delay: 50 * time.Millisecond, bytes: maxBytes / 16}
	}
	// One byte every 50 ms, for much longer than any timeout.
	trickle := make([]piece, 100)
	for i := range trickle {
		trickle[i] = piece{delay: 50 * time.Millisecond, bytes: 1}
	}
	cases := map[string]struct {
		status int
		pieces []piece
		// oneChunk sends all pieces as one chunk. length is the Content-Length; if it is zero, there is none.
		oneChunk bool
		length   int
		// want is the size of the complete response, or zero if the call must fail.
		want     int
		arrived  int
		tooLarge bool
		progress bool
	}{
		"immediate":                         {status: 200, pieces: []piece{{bytes: 5}}, want: 5},
		"longer than any timeout":           {status: 200, pieces: steady, want: 12000},
		"large, longer than any timeout":    {status: 200, pieces: large, want: maxBytes, progress: true},
		"large, in one chunk":               {status: 200, pieces: large, oneChunk: true, want: maxBytes, progress: true},
		"as large as allowed":               {status: 200, pieces: []piece{{bytes: maxBytes}}, want: maxBytes, progress: true},
		"too large":                         {status: 200, pieces: []piece{{bytes: maxBytes + 1}}, tooLarge: true, progress: true, arrived: maxBytes + 1},
		"Content-Length too large":          {status: 200, length: maxBytes + 1, pieces: []piece{{bytes: 1}}, tooLarge: true},
		"header too late":                   {status: 200, pieces: []piece{{delay: 2 * headerTimeout, bytes: 5}}},
		"stalls":                            {status: 200, pieces: []piece{{bytes: 7}, {delay: 2 * idleTimeout, bytes: 5}}, arrived: 7},
		"trickles":                          {status: 200, pieces: trickle, arrived: anyBytes},
		"no progress reports for a failure": {status: 503, pieces: []piece{{bytes: maxBytes}}, want: maxBytes},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			request := newRequest(t, tc.status, tc.length, tc.oneChunk, tc.pieces)
			progress := false
			ctx := receiver.WithProgress(request.Context(), func() { progress = true })
			answer, err := receiver.Do(http.DefaultClient, request.WithContext(ctx), receiver.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxBytes: maxBytes})
			qt.Check(t, progress, qt.Equals, tc.progress)
			if tc.want > 0 {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, answer.Status, qt.Equals, tc.status)
				qt.Check(t, len(answer.Body), qt.Equals, tc.want)
				return
			}
			var failed *receiver.Error
			qt.Assert(t, err, qt.ErrorAs, &failed)
			if tc.arrived != anyBytes {
				qt.Check(t, failed.Bytes, qt.Equals, tc.arrived)
			}
			_, tooLarge := errors.AsType[*receiver.TooLargeError](err)
			qt.Check(t, tooLarge, qt.Equals, tc.tooLarge)
		})
	}
}

func TestCallersContextCancelsReceiving(t *testing.T) {
	request := newRequest(t, 200, 0, false, []piece{{bytes: 5}, {delay: idleTimeout / 2, bytes: 5}, {delay: idleTimeout / 2, bytes: 5}})
	ctx, cancel := context.WithTimeout(request.Context(), idleTimeout*3/4)
	defer cancel()
	_, err := receiver.Do(http.DefaultClient, request.WithContext(ctx), receiver.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxBytes: maxBytes})
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
}
