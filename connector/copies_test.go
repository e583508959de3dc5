package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
)

// copyingServer rejects its first request and answers the others. It sends copies of the last rejection on a connection when the next
// request has arrived there, before the answer to that.
type copyingServer struct {
	status, copies int
	delay          time.Duration

	listener net.Listener
	requests atomic.Int64
	// connections is the number of accepted connections.
	connections atomic.Int64

	mu   sync.Mutex
	open []net.Conn
}

func (s *copyingServer) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.listener = l
	t.Cleanup(s.end)
	go s.serve()
	return "http://" + l.Addr().String()
}

func (s *copyingServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		s.mu.Lock()
		s.open = append(s.open, c)
		s.mu.Unlock()
		go s.answer(c)
	}
}

func (s *copyingServer) end() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

func (s *copyingServer) answer(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	rejection := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if rejection != "" {
			time.Sleep(s.delay)
			_, _ = io.WriteString(c, strings.Repeat(rejection, s.copies))
		}
		rejection = ""
		status, body := http.StatusOK, answers[r.URL.Path]
		if s.requests.Add(1) == 1 {
			status, body = s.status, "rejected"
		}
		answer := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		if status != http.StatusOK {
			rejection = answer
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// answers are the bodies of answers by the path of the request.
var answers = map[string]string{
	"/v1/chat/completions": "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
	"/service":             "done",
	"/tokenize":            `{"count":7}`,
	"/load":                `{}`,
	"/orders":              `{}`,
}

// upstreamCalls are all calls to an upstream. Each returns an error if the upstream rejects it.
var upstreamCalls = map[string]func(context.Context, connector.Upstream) error{
	"run": func(ctx context.Context, u connector.Upstream) error {
		_, err := u.Run(ctx, masticway.Call{Model: "m", Prompt: []byte("[]")}, discardSink{})
		return err
	},
	"service": func(ctx context.Context, u connector.Upstream) error {
		outcome, err := u.Run(ctx, masticway.Call{Service: "s", Method: http.MethodPost, Path: "/service", Key: "k"}, discardSink{})
		if err == nil && outcome.Status != http.StatusOK {
			err = fmt.Errorf("status %d", outcome.Status)
		}
		return err
	},
	"count": func(ctx context.Context, u connector.Upstream) error {
		tokens, err := u.Count(ctx, []byte("[]"))
		if err == nil && tokens != 7 {
			err = fmt.Errorf("%d tokens", tokens)
		}
		return err
	},
	"load": func(ctx context.Context, u connector.Upstream) error {
		_, err := u.Load(ctx)
		return err
	},
	"order": func(ctx context.Context, u connector.Upstream) error { return u.Order(ctx, masticway.Order{}) },
}

// TestCopyOfRejectionIsNoUpstreamAnswer guards against runs, counts and orders that are reported as rejected although the upstream carried
// them out, because the copy of an earlier rejection is taken for their answer.
func TestCopyOfRejectionIsNoUpstreamAnswer(t *testing.T) {
	for firstName, first := range upstreamCalls {
		for nextName, next := range upstreamCalls {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusPreconditionFailed} {
				t.Run(fmt.Sprintf("%s after rejected %s, %d", nextName, firstName, status), func(t *testing.T) {
					for _, copies := range []int{1, 2} {
						for _, delay := range []time.Duration{0, 3 * time.Millisecond} {
							s := &copyingServer{status: status, copies: copies, delay: delay}
							u := connector.NewUpstream(s.start(t), nil, 2*time.Second)
							qt.Assert(t, first(t.Context(), u), qt.IsNotNil)
							for range 2 {
								qt.Check(t, next(t.Context(), u), qt.IsNil, qt.Commentf("%d copies after %s", copies, delay))
							}
						}
					}
				})
			}
		}
	}
}
