package starter

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/masticway/masticway"
)

// defaultLinger makes Close end a connection in order, and resetOnClose makes it reset the connection. The latter also holds if the
// kernel closes the connection of a process that was killed.
const defaultLinger, resetOnClose = -1, 0

// brokenResetter is a connection that can be reset if it is closed in the middle of an answer.
type brokenResetter interface{ ResetIfBroken(on bool) }

// resettingBrokenAnswers returns a handler that resets the connection of a caller of HTTP/1.0 unless the whole answer was written. For
// such a caller, an answer without a length lasts until its connection is closed in order. Callers of later versions see the missing end.
func resettingBrokenAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := masticway.CallerConnectionOf(r.Context()).(brokenResetter)
		if !ok || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		c.ResetIfBroken(true)
		h.ServeHTTP(w, r)
		c.ResetIfBroken(false)
	})
}

// resetIfBroken calls ResetIfBroken if the connection has it.
func resetIfBroken(c net.Conn, on bool) {
	if b, ok := c.(brokenResetter); ok {
		b.ResetIfBroken(on)
	}
}

// answerConn is a connection that is reset if it is closed in the middle of an answer, if it is told so. Before the first byte of an
// answer it is closed in order: a caller takes a reset for a sign that its request was not passed on.
type answerConn struct {
	net.Conn
	isAwaitingAnswer atomic.Bool
}

// ResetIfBroken sets whether the connection is reset when it is closed after further bytes have been written.
func (c *answerConn) ResetIfBroken(on bool) {
	c.isAwaitingAnswer.Store(on)
	if !on {
		setLinger(c.Conn, defaultLinger)
	}
}

// Write writes to the connection.
func (c *answerConn) Write(b []byte) (int, error) {
	if c.isAwaitingAnswer.CompareAndSwap(true, false) {
		setLinger(c.Conn, resetOnClose)
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the writing side of the connection. It does nothing if the connection does not support that.
func (c *answerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SyscallConn returns access to the kernel's connection.
func (c *answerConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// answerListener accepts connections as answerConns.
type answerListener struct{ net.Listener }

// Accept waits for the next connection and returns it.
func (l answerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &answerConn{Conn: c}, nil
}

// setLinger sets whether a connection is reset when it is closed. It does nothing if the connection does not support that or has ended.
func setLinger(c net.Conn, seconds int) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(seconds)
	}
}
