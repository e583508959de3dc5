package starter

import (
	"context"
	"net"
	"net/http"

	"github.com/masticway/masticway"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// lingerSetter is a connection that can be reset when it is closed, as TCP connections can.
type lingerSetter interface{ SetLinger(seconds int) error }

// defaultLinger makes Close end a connection in order, and resetOnClose makes it reset the connection. The latter also holds if the
// kernel closes the connection of a process that was killed.
const defaultLinger, resetOnClose = -1, 0

// resettingBrokenAnswers returns a handler that resets the connection of a caller of HTTP/1.0 unless the whole answer was written. For
// such a caller, an answer without a length lasts until its connection is closed in order. Callers of later versions see the missing end.
func resettingBrokenAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(lingerSetter)
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

// connContext adds a connection to the context of its requests; it is the ConnContext hook of the HTTP servers.
func connContext(ctx context.Context, n net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, n)
	c, ok := n.(masticway.CallerConnection)
	if !ok {
		c = plainConn{n}
	}
	return masticway.WithCallerConnection(ctx, c)
}
