package connector_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
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
}

// ending is whether a server ends with its first answer, as one does that is killed, and in which order its sockets are closed.
type ending int

const (
	serves ending = iota
	listenerFirst
	connectionFirst
)

// startUnframedServer starts a server, which listens until the test ends, and returns its base URL.
func startUnframedServer(t *testing.T, s unframedServer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	s.listener = l
	go s.serve()
	return "http://" + l.Addr().String()
}

func (s unframedServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.answer(c)
	}
}

func (s unframedServer) answer(c net.Conn) {
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
		_ = s.listener.Close()
	}
}

// TestServiceAnswerThatEndsWithItsServerIsNotWhole guards against outcomes of service calls that are recorded and billed as complete
// although the service was killed amid its answer: without a length or chunks, the kernel ends it like a whole one.
func TestServiceAnswerThatEndsWithItsServerIsNotWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		head   string
		ending ending
		broken bool
	}{
		"HTTP/1.1, listener first":   {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ending: listenerFirst, broken: true},
		"HTTP/1.1, connection first": {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ending: connectionFirst, broken: true},
		"HTTP/1.0, listener first":   {head: "HTTP/1.0 200 OK\r\n\r\n", ending: listenerFirst, broken: true},
		"HTTP/1.0, connection first": {head: "HTTP/1.0 200 OK\r\n\r\n", ending: connectionFirst, broken: true},
		"HTTP/1.1, server serves":    {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
		"HTTP/1.0, server serves":    {head: "HTTP/1.0 200 OK\r\n\r\n"},
		"length, server ends":        {head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ending: listenerFirst},
	} {
		t.Run(name, func(t *testing.T) {
			for range 24 {
				base := startUnframedServer(t, unframedServer{text: tc.head + "book", ending: tc.ending})
				var got recorder
				_, err := connector.NewUpstream(base, nil, time.Second).Run(t.Context(), masticway.Call{Service: "s", Method: "POST", Path: "/x"}, &got)
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
