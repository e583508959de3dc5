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
	begin = 200 * time.Millisecond
	pause = 200 * time.Millisecond
	limit = 1 << 20
	// anyBytes stands for a number of bytes that depends on time.
	anyBytes = -1
)

// piece is a part of an answer that is sent after a wait.
type piece struct {
	after time.Duration
	bytes int
}

// answering sends an answer in pieces; its head goes out with the first one.
func answering(t *testing.T, status, length int, oneChunk bool, pieces []piece) *http.Request {
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
			case <-time.After(p.after):
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

// sendOneChunk sends pieces within one chunk, as a slow link carries what a server has written at once.
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
		time.Sleep(p.after)
		fmt.Fprint(conn, strings.Repeat("x", p.bytes))
	}
	fmt.Fprint(conn, "\r\n0\r\n\r\n")
}

func TestAnswersThatArriveAreNotGivenUp(t *testing.T) {
	steady := make([]piece, 12)
	for i := range steady {
		steady[i] = piece{after: 50 * time.Millisecond, bytes: 1000}
	}
	// Pieces that the transport may well collect before it hands them over.
	large := make([]piece, 16)
	for i := range large {
		large[i] = piece{after: 50 * time.Millisecond, bytes: limit / 16}
	}
	// A byte now and then, for much longer than any limit.
	trickle := make([]piece, 100)
	for i := range trickle {
		trickle[i] = piece{after: 50 * time.Millisecond, bytes: 1}
	}
	cases := map[string]struct {
		status int
		pieces []piece
		// oneChunk sends all pieces as one chunk, length says how long the answer is.
		oneChunk bool
		length   int
		// want is the size of the whole answer, zero for one that is given up.
		want     int
		arrived  int
		tooLarge bool
		progress bool
	}{
		"at once":                            {status: 200, pieces: []piece{{bytes: 5}}, want: 5},
		"longer than any limit on it":        {status: 200, pieces: steady, want: 12000},
		"large, longer than any limit on it": {status: 200, pieces: large, want: limit, progress: true},
		"large, in one chunk":                {status: 200, pieces: large, oneChunk: true, want: limit, progress: true},
		"as large as it may be":              {status: 200, pieces: []piece{{bytes: limit}}, want: limit, progress: true},
		"larger":                             {status: 200, pieces: []piece{{bytes: limit + 1}}, tooLarge: true, progress: true, arrived: limit + 1},
		"said to be larger":                  {status: 200, length: limit + 1, pieces: []piece{{bytes: 1}}, tooLarge: true},
		"begins late":                        {status: 200, pieces: []piece{{after: 2 * begin, bytes: 5}}},
		"pauses":                             {status: 200, pieces: []piece{{bytes: 7}, {after: 2 * pause, bytes: 5}}, arrived: 7},
		"trickles":                           {status: 200, pieces: trickle, arrived: anyBytes},
		"a failure is no success coming":     {status: 503, pieces: []piece{{bytes: limit}}, want: limit},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			request := answering(t, tc.status, tc.length, tc.oneChunk, tc.pieces)
			progress := false
			ctx := receiver.WithProgress(request.Context(), func() { progress = true })
			answer, err := receiver.Do(http.DefaultClient, request.WithContext(ctx), receiver.Limits{HeaderTimeout: begin, IdleTimeout: pause, MaxBytes: limit})
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

func TestCallersContextEndsTheReceiving(t *testing.T) {
	request := answering(t, 200, 0, false, []piece{{bytes: 5}, {after: pause / 2, bytes: 5}, {after: pause / 2, bytes: 5}})
	ctx, cancel := context.WithTimeout(request.Context(), pause*3/4)
	defer cancel()
	_, err := receiver.Do(http.DefaultClient, request.WithContext(ctx), receiver.Limits{HeaderTimeout: begin, IdleTimeout: pause, MaxBytes: limit})
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
}
