package emulator

import (
	"fmt"
	"net"
)

// reservationPath is the path of the call that reserves capacity for a request.
const reservationPath = "/-/hold-take"

// Reservations returns how often the server has reserved capacity for a request.
func (s *OpaqueServer) Reservations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reservations
}

// reserve answers a call that reserves capacity. It refuses if the fault of the next request is OpaqueOverloaded. It returns whether the
// connection stays open.
func (s *OpaqueServer) reserve(c net.Conn) bool {
	s.mu.Lock()
	if len(s.faults) > 0 && s.faults[0] == OpaqueOverloaded {
		s.faults = s.faults[1:]
		s.mu.Unlock()
		return s.refuse(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}
	s.reservations++
	body := fmt.Sprintf(`{"hold":"%s-%d"}`, s.ID, s.reservations)
	s.mu.Unlock()
	s.sendLateCopies(c)
	return s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}
