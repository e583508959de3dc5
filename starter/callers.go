package starter

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/inspector"
)

// pastDeadline is a deadline in the past, which makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// callerLoad measures the load of a gateway's callers.
type callerLoad interface {
	// MarkConnection is called for each connection that is accepted.
	MarkConnection()
	// MarkRequest is called when the first byte of a request has been read. kept is set if the connection had carried a request
	// before.
	MarkRequest(kept bool)
	// MarkUnread is called for each connection that ends before a byte has been read.
	MarkUnread()
	// MarkBytes is called when n bytes have been read from a caller or written to one.
	MarkBytes(n int)
}

// callerListener accepts the connections of a gateway's callers and counts their open requests. A request is open from when its
// first byte is read until net/http has written the end of its response. The connection states of net/http do not show this,
// because a connection stays idle there until the next request's header has been parsed. The running handlers do not show it
// either, because net/http writes the end of a response after the handler has returned.
type callerListener struct {
	net.Listener
	clock        masticway.Clock
	load         callerLoad
	openRequests atomic.Int64
	// closingIdle is set if connections that have answered a request and have no open one must be closed. shuttingDown is set if
	// connections on which no request has arrived yet must be closed too.
	closingIdle, shuttingDown atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerListener(l net.Listener, clock masticway.Clock, load callerLoad) *callerListener {
	return &callerListener{Listener: l, clock: clock, load: load, conns: map[*callerConn]bool{}}
}

// Accept waits for the next connection and returns it. After shutdown it returns http.ErrServerClosed.
func (s *callerListener) Accept() (net.Conn, error) {
	n, err := s.Listener.Accept()
	switch {
	case err != nil && s.shuttingDown.Load():
		return nil, http.ErrServerClosed
	case err != nil:
		return nil, err
	}
	s.load.MarkConnection()
	c := &callerConn{Conn: &answerConn{Conn: n}, listener: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return c, nil
}

// connContext adds a caller's connection to the context of its requests; it is the ConnContext hook of the HTTP server.
func connContext(ctx context.Context, n net.Conn) context.Context {
	c, ok := n.(masticway.CallerConnection)
	if !ok {
		c = plainConn{n}
	}
	return masticway.WithCallerConnection(ctx, c)
}

// plainConn is a connection whose requests are not tracked.
type plainConn struct{ net.Conn }

// ArrivedAt returns zero, because the arrival of requests is not tracked.
func (plainConn) ArrivedAt() time.Time { return time.Time{} }

// HasLeft reports whether the caller has closed the connection or its sending side, or has reset the connection.
func (c plainConn) HasLeft() bool { return isClosedByPeer(c.Conn) }

// HasClosed returns false, because reads are not tracked.
func (plainConn) HasClosed() bool { return false }

// ResetIfBroken sets whether the connection is reset when it is closed in the middle of an answer, if it supports that.
func (c plainConn) ResetIfBroken(on bool) { resetIfBroken(c.Conn, on) }

// isClosedByPeer reports whether the kernel knows that the peer has closed a connection or its sending side, or has reset it.
func isClosedByPeer(c net.Conn) bool {
	i, ok := inspector.Inspect(c)
	return ok && i.PeerClosed
}

// OpenRequests returns the number of requests that have been read at least in part and whose responses are not completely
// written.
func (s *callerListener) OpenRequests() int64 { return s.openRequests.Load() }

// trackState updates a connection's bookkeeping; it is the ConnState hook of the HTTP server.
func (s *callerListener) trackState(n net.Conn, state http.ConnState) {
	c, ok := n.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest(false)
	case http.StateClosed, http.StateHijacked:
		c.endRequest(true)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// closeIdle closes the connections that have answered a request and have no open one, now or later. It sets their read deadlines
// to the past, so that net/http closes them when its next read times out. Close would cut off a request that has just been read;
// with the deadline, net/http still answers it.
func (s *callerListener) closeIdle() {
	s.closingIdle.Store(true)
	s.expireDeadlines()
}

// shutdown stops accepting connections. It also closes each connection as soon as it has no open request, in the way in which
// closeIdle does.
func (s *callerListener) shutdown() {
	s.shuttingDown.Store(true)
	// An error means that the listener is closed already.
	_ = s.Listener.Close()
	s.closeIdle()
}

// isDrained reports whether no accepted connection is left.
func (s *callerListener) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// expireDeadlines calls expireDeadline for all connections.
func (s *callerListener) expireDeadlines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.expireDeadline()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *callerListener
	// hasClosed is set once a read has returned io.EOF.
	hasClosed atomic.Bool

	mu sync.Mutex
	// hasRequest is set while a request is open. hasAnswered is set once a request has been answered. closed is set once the
	// connection has been closed or hijacked.
	hasRequest, hasAnswered, closed bool
	// arrivedAt is when the open request arrived.
	arrivedAt time.Time
}

var _ masticway.CallerConnection = (*callerConn)(nil)

// ArrivedAt returns when the open request arrived. If it came in several packets of which more than one had arrived before the
// first was read, it is when the last of these arrived.
func (c *callerConn) ArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivedAt
}

// HasLeft reports whether the caller has closed the connection or its sending side, or has reset the connection.
func (c *callerConn) HasLeft() bool { return isClosedByPeer(c.Conn) }

// HasClosed reports whether a read has met the end of what the caller sends. The kernel does not tell it later: if the router
// writes to a caller that has closed, the connection is reset.
func (c *callerConn) HasClosed() bool { return c.hasClosed.Load() }

// Read reads from the connection; a request is open as soon as its first byte has been read.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		c.hasClosed.Store(true)
	}
	if n > 0 {
		c.listener.load.MarkBytes(n)
		c.beginRequest()
	}
	return n, err
}

// Write writes to the connection.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.load.MarkBytes(n)
	return n, err
}

// SetReadDeadline sets the read deadline. If the connection must be closed, it sets a deadline in the past instead.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldClose() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side of the connection. It does nothing if the connection does not support that.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// ResetIfBroken sets whether the connection is reset when it is closed in the middle of an answer, if it supports that.
func (c *callerConn) ResetIfBroken(on bool) { resetIfBroken(c.Conn, on) }

// beginRequest marks a request as open, unless one is already.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRequest || c.closed {
		return
	}
	c.hasRequest = true
	c.listener.openRequests.Add(1)
	c.listener.load.MarkRequest(c.hasAnswered)
	c.arrivedAt = c.listener.clock.Now()
	if i, ok := inspector.Inspect(c.Conn); ok {
		c.arrivedAt = c.arrivedAt.Add(-i.SinceData)
	}
}

// endRequest marks the open request, if any, as no longer open; closed is set if the connection has been closed or hijacked.
func (c *callerConn) endRequest(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closed && !c.hasRequest && !c.hasAnswered {
		c.listener.load.MarkUnread()
	}
	c.hasAnswered, c.closed = true, closed
	if c.hasRequest {
		c.hasRequest = false
		c.listener.openRequests.Add(-1)
	}
}

// shouldClose reports whether the connection must be closed now. The caller must hold c.mu.
func (c *callerConn) shouldClose() bool {
	return !c.hasRequest && (c.listener.shuttingDown.Load() || c.hasAnswered && c.listener.closingIdle.Load())
}

// expireDeadline sets the read deadline to the past if the connection must be closed, so that net/http closes it.
func (c *callerConn) expireDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldClose() {
		// An error means that the connection is closed already.
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}
