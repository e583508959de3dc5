package inspector_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/inspector"
)

// TestServersThatEndAreNotServing guards against a server that is taken for serving since its kernel accepted a connection just before it
// closed the listener.
func TestServersThatEndAreNotServing(t *testing.T) {
	cases := map[string]struct {
		// serve acts as the server after a connection was established, and beforeRead before the connection is read, late if isLate is
		// set.
		serve      func(l net.Listener)
		beforeRead func(l net.Listener)
		isLate     bool
		serves     bool
	}{
		"serves":                              {serve: func(l net.Listener) { _, _ = l.Accept() }, serves: true},
		"does not accept yet":                 {serve: func(net.Listener) {}, serves: true},
		"ended":                               {serve: func(l net.Listener) { _ = l.Close() }},
		"ends a little later":                 {beforeRead: func(l net.Listener) { _ = l.Close() }},
		"ends a little later, found out late": {beforeRead: func(l net.Listener) { _ = l.Close() }, isLate: true},
		"has too many, and serves": {serve: func(l net.Listener) {
			c, err := l.Accept()
			if err == nil {
				_ = c.Close()
			}
		}, serves: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			begun := false
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil || begun {
					return c, err
				}
				begun = true
				if tc.serve != nil {
					go tc.serve(l)
				}
				return &hookedConn{TCPConn: c.(*net.TCPConn), beforeRead: func() {
					if tc.beforeRead != nil {
						tc.beforeRead(l)
					}
					if tc.isLate {
						time.Sleep(50 * time.Millisecond)
					}
				}}, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err = inspector.CheckServing(ctx, dial, l.Addr().String())
			if tc.serves {
				qt.Check(t, err, qt.IsNil)
			} else {
				qt.Check(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
			}
		})
	}
}

// hookedConn is a connection that calls a function before it is read.
type hookedConn struct {
	*net.TCPConn
	beforeRead func()
}

func (c *hookedConn) Read(b []byte) (int, error) {
	c.beforeRead()
	return c.TCPConn.Read(b)
}
