package connector_test

import (
	"bufio"
	"cmp"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/connector"
)

// unframedServer answers each request with the same text and closes the connection.
type unframedServer struct {
	listener net.Listener
	text     string
	ending   ending

	mu    sync.Mutex
	ended bool
	open  []net.Conn
}

// ending is whether a server ends with its first answer, as one does that is killed, and which of its sockets is closed first.
type ending int

const (
	serves ending = iota
	listenerFirst
	connectionFirst
)

// startUnframedServer starts a server, which listens until the test ends, and returns its address.
func startUnframedServer(t *testing.T, text string, e ending) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &unframedServer{listener: l, text: text, ending: e}
	t.Cleanup(s.end)
	go s.serve()
	return l.Addr().String()
}

func (s *unframedServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open = append(s.open, c)
		if s.ended {
			_ = c.Close()
		}
		s.mu.Unlock()
		go s.answer(c)
	}
}

// end closes all sockets of the server, as the kernel does for a process that is killed.
func (s *unframedServer) end() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, c := range s.open {
		_ = c.Close()
	}
}

func (s *unframedServer) answer(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, s.text)
	if s.ending == connectionFirst {
		_ = c.Close()
	}
	if s.ending != serves {
		s.end()
	}
}

// TestServiceAnswerThatEndsWithItsServerIsNotWhole guards against outcomes of service calls that are recorded and billed as complete
// although the service was killed amid its answer: without a length or chunks, the kernel ends it like a whole one.
func TestServiceAnswerThatEndsWithItsServerIsNotWhole(t *testing.T) {
	var compressed strings.Builder
	z := gzip.NewWriter(&compressed)
	_, err := z.Write([]byte("book"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, z.Close(), qt.IsNil)
	for name, tc := range map[string]struct {
		head, body string
		ending     ending
		broken     bool
	}{
		"HTTP/1.1, listener first":   {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ending: listenerFirst, broken: true},
		"HTTP/1.1, connection first": {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ending: connectionFirst, broken: true},
		"HTTP/1.0, listener first":   {head: "HTTP/1.0 200 OK\r\n\r\n", ending: listenerFirst, broken: true},
		"HTTP/1.0, connection first": {head: "HTTP/1.0 200 OK\r\n\r\n", ending: connectionFirst, broken: true},
		"HTTP/1.1, server serves":    {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
		"HTTP/1.0, server serves":    {head: "HTTP/1.0 200 OK\r\n\r\n"},
		"compressed, server ends":    {head: "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nConnection: close\r\n\r\n", body: compressed.String(), ending: listenerFirst},
		"length, server ends":        {head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ending: listenerFirst},
	} {
		t.Run(name, func(t *testing.T) {
			for range 24 {
				address := startUnframedServer(t, tc.head+cmp.Or(tc.body, "book"), tc.ending)
				dial := func(ctx context.Context, network, to string) (net.Conn, error) {
					qt.Check(t, to, qt.Equals, "service.example:80")
					return new(net.Dialer).DialContext(ctx, network, address)
				}
				var got recorder
				_, err := connector.NewUpstream("http://service.example", dial, time.Second).Run(t.Context(), masticway.Call{Service: "s", Method: "POST", Path: "/x"}, &got)
				qt.Assert(t, err != nil, qt.Equals, tc.broken, qt.Commentf("%v", err))
				if !tc.broken {
					qt.Check(t, got.text, qt.Equals, "book")
					continue
				}
				failure, ok := errors.AsType[*masticway.UpstreamError](err)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, failure.Started, qt.IsTrue)
				qt.Check(t, failure.NotListening, qt.IsTrue)
				qt.Check(t, got.text, qt.Equals, "")
			}
		})
	}
}
