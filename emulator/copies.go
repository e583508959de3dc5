package emulator

import (
	"net"
	"strings"
	"time"
)

// LateCopies makes a server send answers that refuse a request, or a call that reserves capacity, again: when the next request has
// arrived on the connection, before the answer to that.
type LateCopies struct {
	// Count is the number of copies of each refusal. Zero means none.
	Count int
	// Delay is the time from the arrival of the next request, which the server begins to run meanwhile.
	Delay time.Duration
}

// SendLateCopies sets which copies of refusals the server sends from now on.
func (s *OpaqueServer) SendLateCopies(copies LateCopies) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateCopies = copies
}

// refuse sends an answer that refuses a request. If the server sends late copies, they follow with sendLateCopies.
func (s *OpaqueServer) refuse(c net.Conn, text string) bool {
	s.sendLateCopies(c)
	s.mu.Lock()
	if s.lateCopies.Count > 0 {
		s.owedCopies[c] = text
	}
	s.mu.Unlock()
	return s.write(c, text)
}

// sendLateCopies sends the copies of the last refusal on a connection, unless they have been sent.
func (s *OpaqueServer) sendLateCopies(c net.Conn) {
	s.mu.Lock()
	text, copies := s.owedCopies[c], s.lateCopies
	delete(s.owedCopies, c)
	s.mu.Unlock()
	if text != "" {
		time.Sleep(copies.Delay)
		s.write(c, strings.Repeat(text, copies.Count))
	}
}
