package starter

import (
	"net"
	"net/http"

	"github.com/masticway/masticway"
)

// lingerSetter is a connection that can be reset when it is closed, as TCP connections can.
type lingerSetter interface{ SetLinger(seconds int) error }

// defaultLinger makes Close end a connection in order, and resetOnClose makes it reset the connection. The latter also holds if the
// kernel closes the connection of a process that was killed.
const defaultLinger, resetOnClose = -1, 0

// resettingBrokenAnswers returns a handler that resets the connection of a caller of HTTP/1.0 unless the whole answer was written. For
// such a caller, an answer without a length lasts until its connection is closed in order. Callers of later versions see the missing end.
func resettingBrokenAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := masticway.CallerConnectionOf(r.Context()).(lingerSetter)
		if !ok || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		// An error means that the connection has ended.
		_ = c.SetLinger(resetOnClose)
		h.ServeHTTP(w, r)
		_ = c.SetLinger(defaultLinger)
	})
}

// setLinger sets whether a connection is reset when it is closed. It does nothing if the connection does not support that.
func setLinger(c net.Conn, seconds int) error {
	if tcp, ok := c.(lingerSetter); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
