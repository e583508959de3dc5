package starter

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
)

// acceptCaller returns a caller's connection and the caller's end of it.
func acceptCaller(t *testing.T) (*callerConn, *net.TCPConn) {
	l, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := newCallerListener(l, masticway.SystemClock{}, noLoad{})
	t.Cleanup(listener.shutdown)
	caller, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*callerConn), caller.(*net.TCPConn)
}

// TestArrivalOfRequestsThatAreReadLate guards against counting the age of a request from when the process reads it, on new
// connections and on those that have carried a request.
func TestArrivalOfRequestsThatAreReadLate(t *testing.T) {
	const delay, tolerance = 150 * time.Millisecond, 20 * time.Millisecond
	conn, caller := acceptCaller(t)
	buffer := make([]byte, 100)
	for _, name := range []string{"new connection", "connection used before", "connection used twice"} {
		_, err := caller.Write([]byte("request"))
		qt.Assert(t, err, qt.IsNil)
		sent := masticway.SystemClock{}.Now()
		time.Sleep(delay)
		_, err = conn.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		late := conn.ArrivedAt().Sub(sent)
		qt.Assert(t, late > -tolerance && late < tolerance, qt.IsTrue, qt.Commentf("%s: %s", name, late))
		// Bytes that arrive while the request is open belong to it, or to a later one.
		_, err = caller.Write([]byte("more"))
		qt.Assert(t, err, qt.IsNil)
		arrived := conn.ArrivedAt()
		_, err = conn.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.ArrivedAt(), qt.Equals, arrived)
		conn.endRequest(false)
		time.Sleep(delay)
	}
}

// TestCallerThatHasLeftIsKnownBeforeReading guards against routers that learn only by reading that a caller has left.
func TestCallerThatHasLeftIsKnownBeforeReading(t *testing.T) {
	cases := map[string]func(caller *net.TCPConn) error{
		"closed":      func(caller *net.TCPConn) error { return caller.Close() },
		"half-closed": func(caller *net.TCPConn) error { return caller.CloseWrite() },
		"reset": func(caller *net.TCPConn) error {
			_ = caller.SetLinger(0)
			return caller.Close()
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			conn, caller := acceptCaller(t)
			_, err := caller.Write([]byte("request"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.HasLeft(), qt.IsFalse)
			qt.Assert(t, leave(caller), qt.IsNil)
			for deadline := time.Now().Add(time.Second); !conn.HasLeft(); time.Sleep(time.Millisecond) {
				qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
			}
		})
	}
}

// TestArrivalIsNotBeforeSending guards against answers that are broken off before the caller's time is over, because the kernel's timer
// is coarse and the request seems to have arrived before it was sent.
func TestArrivalIsNotBeforeSending(t *testing.T) {
	conn, caller := acceptCaller(t)
	buffer := make([]byte, 100)
	for i := range 300 {
		time.Sleep(time.Duration(i%9) * 370 * time.Microsecond)
		sent := masticway.SystemClock{}.Now()
		_, err := caller.Write([]byte("request"))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Duration(i%7) * 510 * time.Microsecond)
		_, err = conn.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.ArrivedAt().Before(sent), qt.IsFalse, qt.Commentf("%s", sent.Sub(conn.ArrivedAt())))
		conn.endRequest(false)
	}
}

// TestClosedConnectionIsToldFromReset guards against taking a connection that the network reset for one whose caller has given up.
func TestClosedConnectionIsToldFromReset(t *testing.T) {
	cases := map[string]struct {
		end       func(c *net.TCPConn) error
		hasClosed bool
	}{
		"closed":      {(*net.TCPConn).Close, true},
		"half-closed": {(*net.TCPConn).CloseWrite, true},
		"reset": {func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			callers := newCallerListener(l, masticway.SystemClock{}, noLoad{})
			defer callers.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			accepted, err := callers.Accept()
			qt.Assert(t, err, qt.IsNil)
			defer accepted.Close()
			qt.Assert(t, accepted.(masticway.CallerConnection).HasClosed(), qt.IsFalse)
			qt.Assert(t, tc.end(caller.(*net.TCPConn)), qt.IsNil)
			_, err = accepted.Read(make([]byte, 1))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, accepted.(masticway.CallerConnection).HasClosed(), qt.Equals, tc.hasClosed)
		})
	}
}

// noLoad measures nothing.
type noLoad struct{}

func (noLoad) MarkConnection()  {}
func (noLoad) MarkRequest(bool) {}
func (noLoad) MarkUnread()      {}
func (noLoad) MarkBytes(int)    {}

// countedLoad counts the bytes and unread connections of callers.
type countedLoad struct {
	noLoad
	bytes, unread atomic.Int64
}

func (l *countedLoad) MarkBytes(n int) { l.bytes.Add(int64(n)) }
func (l *countedLoad) MarkUnread()     { l.unread.Add(1) }

// TestBytesAndUnreadConnectionsAreCounted guards against a router that does not know what its callers take of its link, or how many
// of them gave up before anything was read.
func TestBytesAndUnreadConnectionsAreCounted(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	load := &countedLoad{}
	callers := newCallerListener(l, masticway.SystemClock{}, load)
	server := &http.Server{ConnState: callers.trackState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(callers) })
	for _, sent := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", ""} {
		before := load.bytes.Load()
		caller, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		_, err = io.WriteString(caller, sent)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, caller.(*net.TCPConn).CloseWrite(), qt.IsNil)
		answer, err := io.ReadAll(caller)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, load.bytes.Load()-before, qt.Equals, int64(len(sent)+len(answer)))
		_ = caller.Close()
	}
	callers.shutdown()
	wg.Wait()
	// The server closes a connection before it tells the listener that it is closed.
	for until := time.Now().Add(2 * time.Second); load.unread.Load() < 2 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	_ = server.Close()
	qt.Check(t, load.unread.Load(), qt.Equals, int64(2))
}
