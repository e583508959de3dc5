package receiver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
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
)

// piece is a part of an answer that is sent after a wait.
type piece struct {
	after time.Duration
	bytes int
}

// answering sends an answer in pieces; its head goes out with the first one.
func answering(t *testing.T, status int, pieces []piece) *http.Request {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	cases := map[string]struct {
		status int
		pieces []piece
		// want is the size of the whole answer, zero for one that is given up.
		want     int
		arrived  int
		tooLarge bool
		begun    bool
	}{
		"at once":                            {status: 200, pieces: []piece{{bytes: 5}}, want: 5, begun: true},
		"longer than any limit on it":        {status: 200, pieces: steady, want: 12000, begun: true},
		"large, longer than any limit on it": {status: 200, pieces: large, want: limit, begun: true},
		"as large as it may be":              {status: 200, pieces: []piece{{bytes: limit}}, want: limit, begun: true},
		"larger":                             {status: 200, pieces: []piece{{bytes: limit + 1}}, tooLarge: true, begun: true, arrived: limit + 1},
		"begins late":                        {status: 200, pieces: []piece{{after: 2 * begin, bytes: 5}}},
		"pauses":                             {status: 200, pieces: []piece{{bytes: 7}, {after: 2 * pause, bytes: 5}}, begun: true, arrived: 7},
		"a failure is no success coming":     {status: 503, pieces: []piece{{bytes: 5}}, want: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			request := answering(t, tc.status, tc.pieces)
			begun := false
			ctx := receiver.WithBegun(request.Context(), func() { begun = true })
			answer, err := receiver.Do(http.DefaultClient, request.WithContext(ctx), receiver.Limits{Begin: begin, Pause: pause, Bytes: limit})
			qt.Check(t, begun, qt.Equals, tc.begun)
			if tc.want > 0 {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, answer.Status, qt.Equals, tc.status)
				qt.Check(t, len(answer.Body), qt.Equals, tc.want)
				return
			}
			var failed *receiver.Error
			qt.Assert(t, err, qt.ErrorAs, &failed)
			qt.Check(t, failed.Bytes, qt.Equals, tc.arrived)
			_, tooLarge := errors.AsType[*receiver.TooLargeError](err)
			qt.Check(t, tooLarge, qt.Equals, tc.tooLarge)
		})
	}
}

func TestCallersContextEndsTheReceiving(t *testing.T) {
	request := answering(t, 200, []piece{{bytes: 5}, {after: pause / 2, bytes: 5}, {after: pause / 2, bytes: 5}})
	ctx, cancel := context.WithTimeout(request.Context(), pause*3/4)
	defer cancel()
	_, err := receiver.Do(http.DefaultClient, request.WithContext(ctx), receiver.Limits{Begin: begin, Pause: pause, Bytes: limit})
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
}
