package starter

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// pastDeadline is a time limit that has passed.
var pastDeadline = time.Unix(1, 0)

// callerListener are the connections of a gateway's callers. A request is open from the first of its bytes that is read until the
// server library has written the last of its answer: the library calls a connection idle until the next head is parsed,
// and writes the end of an answer after its handler has returned.
type callerListener struct {
	net.Listener
	openRequests atomic.Int64
	// closingIdle tells that connections that are idle after an answer are to end, closing that new ones are, too.
	closingIdle, shuttingDown atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerListener(l net.Listener) *callerListener {
	return &callerListener{Listener: l, conns: map[*callerConn]bool{}}
}

// Accept returns the next connection.
func (s *callerListener) Accept() (net.Conn, error) {
	n, err := s.Listener.Accept()
	switch {
	case err != nil && s.shuttingDown.Load():
		return nil, http.ErrServerClosed
	case err != nil:
		return nil, err
	}
	c := &callerConn{Conn: n, listener: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return c, nil
}

// OpenRequests returns the number of requests that were read, at least in part, and whose answers are not written in whole.
func (s *callerListener) OpenRequests() int64 { return s.openRequests.Load() }

// trackState follows the server library's states of a connection.
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

// closeIdle ends the connections that are idle after an answer, now or later. It does so by their time limit for reading: the
// server library closes a connection on which nothing came in time, and answers a request that was read, which a close
// would cut off.
func (s *callerListener) closeIdle() {
	s.closingIdle.Store(true)
	s.expireDeadlines()
}

// shutdown takes no more connections and ends in the same way all on which no request is open.
func (s *callerListener) shutdown() {
	s.shuttingDown.Store(true)
	// A listener that is closed already takes no more either.
	_ = s.Listener.Close()
	s.closeIdle()
}

// isDrained tells that no connection is left.
func (s *callerListener) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

func (s *callerListener) expireDeadlines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.expireDeadline()
	}
}

// callerConn is one caller's connection.
type callerConn struct {
	net.Conn
	listener *callerListener

	mu sync.Mutex
	// hasRequest tells that a request is open, used that one was answered, closed that no other can come.
	hasRequest, hasAnswered, closed bool
}

// Read reads, and opens a request with its first byte.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// SetReadDeadline sets the time limit for reading; that of a connection that is to end stays passed.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldClose() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the writing alone, where the connection can.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// beginRequest opens a request, if none is.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRequest && !c.closed {
		c.hasRequest = true
		c.listener.openRequests.Add(1)
	}
}

// endRequest ends the request that was open; the last one's connection is closed.
func (c *callerConn) endRequest(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasAnswered, c.closed = true, closed
	if c.hasRequest {
		c.hasRequest = false
		c.listener.openRequests.Add(-1)
	}
}

// shouldClose tells that the connection is to end; the caller holds the lock.
func (c *callerConn) shouldClose() bool {
	return !c.hasRequest && (c.listener.shuttingDown.Load() || c.hasAnswered && c.listener.closingIdle.Load())
}

// expireDeadline ends the connection if it is to end.
func (c *callerConn) expireDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldClose() {
		// A connection that is closed already has no time limits.
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}
