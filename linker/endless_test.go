package linker_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/receiver"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// TestHandshakesWithoutEndAreGivenUp guards against a peer that answers the request for a link with bytes without end, with which a
// process filled its memory until the time for the handshake was over.
func TestHandshakesWithoutEndAreGivenUp(t *testing.T) {
	const maxTaken = 256 << 10
	cases := map[string]struct {
		begin, repeated string
		// isRefused is set if the answer has an end at which it is refused.
		isRefused bool
	}{
		"no line":               {repeated: "x"},
		"status line":           {begin: "HTTP/1.1 101 ", repeated: "x"},
		"header line":           {begin: "HTTP/1.1 101 Switching\r\nX-A: ", repeated: "x"},
		"headers":               {begin: "HTTP/1.1 101 Switching\r\n", repeated: "X-A: b\r\n"},
		"informational answers": {repeated: "HTTP/1.1 103 Early Hints\r\n\r\n", isRefused: true},
		"body":                  {begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x", isRefused: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			var serving sync.WaitGroup
			serving.Go(func() { serveEndless(l, tc.begin, tc.repeated) })
			defer serving.Wait()
			defer l.Close()
			var taken atomic.Int64
			d := dialer("0123456789abcdef")
			dial := d.Dial
			d.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return countingConn{Conn: c, read: &taken}, nil
			}
			_, err = d.Connect(t.Context(), l.Addr().String())
			qt.Check(t, err, qt.IsNotNil)
			_, isTooLarge := errors.AsType[*receiver.HeadTooLargeError](err)
			qt.Check(t, isTooLarge, qt.Equals, !tc.isRefused, qt.Commentf("%.200v", err))
			qt.Check(t, taken.Load() < maxTaken, qt.IsTrue, qt.Commentf("%d bytes were taken: %.200v", taken.Load(), err))
		})
	}
}

// serveEndless answers the request on one connection with a text that goes on with another one until the connection is closed.
func serveEndless(l net.Listener, begin, repeated string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	piece := []byte(strings.Repeat(repeated, 1+32<<10/len(repeated)))
	for _, err = io.WriteString(c, begin); err == nil; {
		_, err = c.Write(piece)
	}
}

// TestMessagesOfLinkWithoutEndAreGivenUp guards against a peer that doesn't end a message, all of which the other end of the link would keep.
func TestMessagesOfLinkWithoutEndAreGivenUp(t *testing.T) {
	const (
		// maxTaken is the limit of a message, 16 MB, and what fits into the sockets' buffers.
		maxTaken = 56 << 20
		// maxWritten ends a case that would not end.
		maxWritten = 256 << 20
		isBinary   = "\x02"
		// masked is the second byte of a frame with a length of eight bytes and a mask, noMask the mask that changes nothing.
		masked = "\xff"
		noMask = "\x00\x00\x00\x00"
	)
	text := strings.Repeat("x", 64<<10)
	length := "\x00\x00\x00\x00\x00\x01\x00\x00"
	cases := map[string]struct{ begin, repeated string }{
		"one frame": {begin: isBinary + masked + "\x00\x00\x00\xff\x00\x00\x00\x00" + noMask, repeated: text},
		"frames":    {begin: isBinary + masked + length + noMask + text, repeated: "\x00" + masked + length + noMask + text},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address, _, _ := serve(t, "0123456789abcdef")
			var raw net.Conn
			d := dialer("0123456789abcdef")
			dial := d.Dial
			d.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				var err error
				raw, err = dial(ctx, network, address)
				return raw, err
			}
			// The link isn't served, so that nothing else is written on its connection.
			_, err := d.Connect(t.Context(), address)
			qt.Assert(t, err, qt.IsNil)
			defer raw.Close()
			taken, err := io.WriteString(raw, tc.begin)
			for piece := []byte(tc.repeated); err == nil && taken < maxWritten; {
				var n int
				n, err = raw.Write(piece)
				taken += n
			}
			qt.Check(t, taken < maxTaken, qt.IsTrue, qt.Commentf("%d bytes were taken: %v", taken, err))
		})
	}
}
