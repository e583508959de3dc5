package starter

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// expired is a time limit that has passed.
var expired = time.Unix(1, 0)

// callers are the connections of a gateway's callers. A request is open from the first of its bytes that is read until the
// server library has written the last of its answer: the library calls a connection idle until the next head is parsed,
// and writes the end of an answer after its handler has returned.
type callers struct {
	net.Listener
	open atomic.Int64
	// ending tells that connections that are idle after an answer are to end, closing that new ones are, too.
	ending, closing atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallers(l net.Listener) *callers {
	return &callers{Listener: l, conns: map[*callerConn]bool{}}
}

// Accept returns the next connection.
func (s *callers) Accept() (net.Conn, error) {
	n, err := s.Listener.Accept()
	switch {
	case err != nil && s.closing.Load():
		return nil, http.ErrServerClosed
	case err != nil:
		return nil, err
	}
	c := &callerConn{Conn: n, callers: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return c, nil
}

// Open returns the number of requests that were read, at least in part, and whose answers are not written in whole.
func (s *callers) Open() int64 { return s.open.Load() }

// changed follows the server library's states of a connection.
func (s *callers) changed(n net.Conn, state http.ConnState) {
	c, ok := n.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.asked()
	case http.StateIdle:
		c.answered(false)
	case http.StateClosed, http.StateHijacked:
		c.answered(true)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// end ends the connections that are idle after an answer, now or later. It does so by their time limit for reading: the
// server library closes a connection on which nothing came in time, and answers a request that was read, which a close
// would cut off.
func (s *callers) end() {
	s.ending.Store(true)
	s.expire()
}

// close takes no more connections and ends in the same way all on which no request is open.
func (s *callers) close() {
	s.closing.Store(true)
	// A listener that is closed already takes no more either.
	_ = s.Listener.Close()
	s.end()
}

// gone tells that no connection is left.
func (s *callers) gone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

func (s *callers) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.expire()
	}
}

// callerConn is one caller's connection.
type callerConn struct {
	net.Conn
	callers *callers

	mu sync.Mutex
	// open tells that a request is open, used that one was answered, closed that no other can come.
	open, used, closed bool
}

// Read reads, and opens a request with its first byte.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.asked()
	}
	return n, err
}

// SetReadDeadline sets the time limit for reading; that of a connection that is to end stays passed.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends() {
		t = expired
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

// asked opens a request, if none is.
func (c *callerConn) asked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open && !c.closed {
		c.open = true
		c.callers.open.Add(1)
	}
}

// answered ends the request that was open; the last one's connection is closed.
func (c *callerConn) answered(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.closed = true, closed
	if c.open {
		c.open = false
		c.callers.open.Add(-1)
	}
}

// ends tells that the connection is to end; the caller holds the lock.
func (c *callerConn) ends() bool {
	return !c.open && (c.callers.closing.Load() || c.used && c.callers.ending.Load())
}

// expire ends the connection if it is to end.
func (c *callerConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends() {
		// A connection that is closed already has no time limits.
		_ = c.Conn.SetReadDeadline(expired)
	}
}
