package inspector_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/inspector"
)

// newPair returns both ends of a TCP connection.
func newPair(t testing.TB) (local, peer *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = c.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), c.(*net.TCPConn)
}

// eventually fails the test unless a connection is found closed by its peer within 2 s.
func eventually(t *testing.T, c net.Conn) inspector.Inspection {
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if i, ok := inspector.Inspect(c); ok && i.PeerClosed {
			return i
		}
	}
	t.Fatal("the connection does not look closed")
	return inspector.Inspection{}
}

func TestInspectFindsEndOfConnection(t *testing.T) {
	cases := map[string]func(peer *net.TCPConn) error{
		"closed":      func(peer *net.TCPConn) error { return peer.Close() },
		"half-closed": func(peer *net.TCPConn) error { return peer.CloseWrite() },
		"reset": func(peer *net.TCPConn) error {
			if err := peer.SetLinger(0); err != nil {
				return err
			}
			return peer.Close()
		},
	}
	for name, end := range cases {
		for unread, text := range map[string]string{"nothing unread": "", "unread data": "request"} {
			t.Run(name+", "+unread, func(t *testing.T) {
				local, peer := newPair(t)
				_, err := peer.Write([]byte(text))
				qt.Assert(t, err, qt.IsNil)
				i, ok := inspector.Inspect(local)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, i.PeerClosed, qt.IsFalse)
				qt.Assert(t, end(peer), qt.IsNil)
				eventually(t, local)
			})
		}
	}
}

// TestInspectTellsAgeOfUnreadData guards against counting the age of data from when it was read, or from the end of the connection.
func TestInspectTellsAgeOfUnreadData(t *testing.T) {
	const age, tolerance = 150 * time.Millisecond, 20 * time.Millisecond
	local, peer := newPair(t)
	_, err := peer.Write([]byte("request"))
	qt.Assert(t, err, qt.IsNil)
	sent := time.Now()
	time.Sleep(age)
	qt.Assert(t, peer.Close(), qt.IsNil)
	i := eventually(t, local)
	elapsed := time.Since(sent)
	qt.Assert(t, i.SinceData >= age-tolerance && i.SinceData <= elapsed+tolerance, qt.IsTrue, qt.Commentf("%s after %s", i.SinceData, elapsed))
}

func TestInspectKnowsNothingOfOtherConnections(t *testing.T) {
	pipe, _ := net.Pipe()
	_, ok := inspector.Inspect(pipe)
	qt.Assert(t, ok, qt.IsFalse)
	local, _ := newPair(t)
	qt.Assert(t, local.Close(), qt.IsNil)
	_, ok = inspector.Inspect(local)
	qt.Assert(t, ok, qt.IsFalse)
}

func BenchmarkInspect(b *testing.B) {
	local, _ := newPair(b)
	for b.Loop() {
		_, _ = inspector.Inspect(local)
	}
}
