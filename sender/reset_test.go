package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/inspector"
	"github.com/masticway/masticway/sender"
)

// accept starts a server that leaves each connection to a function, and returns its address.
func accept(t *testing.T, serve func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// awaitReset waits until the kernel has got a reset of a connection, and returns false if none comes within 2 s.
func awaitReset(c net.Conn) bool {
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if i, ok := inspector.Inspect(c); ok && i.IsReset {
			return true
		}
	}
	return false
}

// TestRequestThatIsGivenUpIsReset guards against servers that work on because they take the end of the connection for that of the sending
// side, or do not get it because it queues behind the rest of the body.
func TestRequestThatIsGivenUpIsReset(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nevent\r\n"
	for name, tc := range map[string]struct {
		body, answer string
		readsBody    bool
	}{
		"before the answer":          {body: "small", readsBody: true},
		"in the middle of an answer": {body: "small", readsBody: true, answer: part},
		"while the body is sent":     {body: strings.Repeat("x", 8<<20)},
		"answered before the body":   {body: strings.Repeat("x", 8<<20), answer: part},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, giveUp := context.WithCancel(t.Context())
			wasReset := make(chan bool, 1)
			address := accept(t, func(c *net.TCPConn) {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil && tc.readsBody {
					_, err = io.Copy(io.Discard, r.Body)
				}
				if err == nil {
					_, err = io.WriteString(c, tc.answer)
				}
				time.AfterFunc(50*time.Millisecond, giveUp)
				wasReset <- err == nil && awaitReset(c)
			})
			s := sender.New((&net.Dialer{}).DialContext, time.Now)
			a, err := s.Send(ctx, address, 0, sender.Request{ID: nextID(), Method: "POST", Target: "/", Host: "h", Body: []byte(tc.body), ConnectTimeout: time.Second})
			if err == nil {
				_, err = io.Copy(io.Discard, a)
				a.Close()
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, <-wasReset, qt.IsTrue)
		})
	}
}

// TestAbandonedAnswerIsReset guards against servers that work on at an answer that is closed before its end.
func TestAbandonedAnswerIsReset(t *testing.T) {
	wasReset := make(chan bool, 1)
	address := accept(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
		wasReset <- awaitReset(c)
	})
	s := sender.New((&net.Dialer{}).DialContext, time.Now)
	a, err := s.Send(t.Context(), address, 0, sender.Request{ID: nextID(), Method: "GET", Target: "/", Host: "h", ConnectTimeout: time.Second})
	qt.Assert(t, err, qt.IsNil)
	a.Close()
	qt.Assert(t, <-wasReset, qt.IsTrue)
}
