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

// refusedReservations has the statuses of refused calls that reserve capacity, by the fault of the next request.
var refusedReservations = map[OpaqueFault]string{OpaqueOverloaded: statusOverloaded, OpaqueRateLimited: statusRateLimited, OpaqueWrongServer: statusMisdirected}

// reserve answers a call that reserves capacity. It refuses if the fault of the next request is one that refuses requests. It returns
// whether the connection stays open.
func (s *OpaqueServer) reserve(c net.Conn) bool {
	s.mu.Lock()
	if len(s.faults) > 0 {
		if status := refusedReservations[s.faults[0]]; status != "" {
			s.faults = s.faults[1:]
			s.mu.Unlock()
			return s.refuse(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		}
	}
	s.reservations++
	body := fmt.Sprintf(`{"hold":"%s-%d"}`, s.ID, s.reservations)
	s.mu.Unlock()
	s.sendLateCopies(c)
	return s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}
