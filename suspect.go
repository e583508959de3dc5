package masticway

import "strconv"

// RequestDigest identifies a request by all that its caller sends again with it: who it is, method, host, target and body.
type RequestDigest string

// ServerLife names one life of one server: two lives of one id are told apart by when they began.
type ServerLife string

// Life names the server's life.
func (s Server) Life() ServerLife {
	if s.Born.IsZero() {
		return ServerLife(s.ID)
	}
	return ServerLife(s.ID + "@" + strconv.FormatInt(s.Born.UnixMilli(), 10))
}
