package emulator

import (
	"net"
	"time"

	"github.com/masticway/masticway/inspector"
)

// CloseNotice is how a server notices, while it works on a request, that the caller has closed the connection. The zero value means
// that it notices only when it writes.
type CloseNotice struct {
	// Interval is how often the server looks at the connection.
	Interval time.Duration
	// OnlyReset is set if the server works on when the caller has ended its side of the connection, and stops only if the connection
	// was reset.
	OnlyReset bool
}

// hasEnded reports whether the server takes a connection for ended.
func (n CloseNotice) hasEnded(c net.Conn) bool {
	i, ok := inspector.Inspect(c)
	return !ok || i.IsReset || i.PeerClosed && !n.OnlyReset
}

// SetCloseNotice sets how the server notices that callers have closed connections.
func (s *OpaqueServer) SetCloseNotice(n CloseNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeNotice = n
}

// SetStall sets how long the server works before the answers of requests with OpaqueStall.
func (s *OpaqueServer) SetStall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stall = d
}

// OnArrival makes the server call a function with the ID of each request that arrives, before it does anything for the request. For a
// call that reserves capacity the ID is empty.
func (s *OpaqueServer) OnArrival(f func(id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onArrival = f
}

func (s *OpaqueServer) reportArrival(id string) {
	s.mu.Lock()
	f := s.onArrival
	s.mu.Unlock()
	if f != nil {
		f(id)
	}
}

func (s *OpaqueServer) stallTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stall
}

// work takes a time and returns true, or returns false once the server notices that the connection has ended.
func (s *OpaqueServer) work(c net.Conn, d time.Duration) bool {
	s.mu.Lock()
	notice := s.closeNotice
	s.mu.Unlock()
	if notice.Interval <= 0 {
		time.Sleep(d)
		return true
	}
	for until := time.Now().Add(d); ; {
		left := time.Until(until)
		if left <= 0 {
			return true
		}
		time.Sleep(min(left, notice.Interval))
		if notice.hasEnded(c) {
			return false
		}
	}
}

// awaitClose waits until the server notices that the connection has ended.
func (s *OpaqueServer) awaitClose(c net.Conn) {
	s.mu.Lock()
	notice := s.closeNotice
	s.mu.Unlock()
	if notice.Interval <= 0 {
		_, _ = c.Read(make([]byte, 1))
		return
	}
	for !notice.hasEnded(c) {
		time.Sleep(notice.Interval)
	}
}
