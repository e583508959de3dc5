package soaker

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTimeLeftCountsFromDelivery guards against a soak that blames routers for the time that its own callers and proxies take until a
// request reaches the router's kernel.
func TestTimeLeftCountsFromDelivery(t *testing.T) {
	const delay = 300 * time.Millisecond
	cases := map[string]struct {
		isDirect bool
		delay    time.Duration
	}{
		"through a proxy":      {},
		"through a late proxy": {delay: delay},
		"without a proxy":      {isDirect: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			router := listen()
			defer router.Close()
			s := &soakRun{}
			address := router.Addr().String()
			if tc.isDirect {
				p := &process{}
				p.settings.CallerAddress = address
				s.processes = append(s.processes, p)
			} else {
				p := newProxy(address, condition{delay: tc.delay}, &s.deliveries)
				defer p.Close()
				address = p.Addr().String()
			}
			c, err := s.dial(t.Context(), &net.Dialer{}, "tcp", address)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			far, err := router.Accept()
			qt.Assert(t, err, qt.IsNil)
			defer far.Close()
			// Each request counts from its own first byte, the second one of the connection too.
			for range 2 {
				q := &request{conn: newCallerConn(c.LocalAddr(), c.RemoteAddr()), sentAt: time.Now()}
				_, err = c.Write([]byte("request"))
				qt.Assert(t, err, qt.IsNil)
				_, err = far.Read(make([]byte, 100))
				receivedAt := time.Now()
				qt.Assert(t, err, qt.IsNil)
				at := s.deliveredAt(q)
				qt.Assert(t, at.Sub(q.sentAt) >= tc.delay, qt.IsTrue, qt.Commentf("%s after it was sent", at.Sub(q.sentAt)))
				qt.Assert(t, at.After(receivedAt), qt.IsFalse)
			}
			unsent := &request{conn: newCallerConn(c.LocalAddr(), c.RemoteAddr()), sentAt: time.Now()}
			qt.Assert(t, s.deliveredAt(unsent), qt.Equals, unsent.sentAt)
		})
	}
}
