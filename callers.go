package masticway

import (
	"context"
	"time"
)

// CallerConnection is the connection of a caller on which a request arrived. It reports what the kernel knows, which a process that
// had to wait for a processor has not read yet.
type CallerConnection interface {
	// ArrivedAt returns when the current request arrived, by the router's clock. It is zero if that is unknown.
	ArrivedAt() time.Time
	// HasLeft reports whether the caller has closed the connection or its sending side, or has reset the connection.
	HasLeft() bool
	// HasClosed reports whether the caller has closed the connection or its sending side in order. It returns false if the
	// connection was reset, which a failure of the network may also cause.
	HasClosed() bool
}

// callerConnectionKey is the context key of a CallerConnection.
type callerConnectionKey struct{}

// WithCallerConnection returns a context that carries a caller's connection.
func WithCallerConnection(ctx context.Context, c CallerConnection) context.Context {
	return context.WithValue(ctx, callerConnectionKey{}, c)
}

// CallerConnectionOf returns the caller's connection that a context carries. If there is none, it returns one that knows nothing.
func CallerConnectionOf(ctx context.Context) CallerConnection {
	if c, ok := ctx.Value(callerConnectionKey{}).(CallerConnection); ok {
		return c
	}
	return unknownConnection{}
}

// unknownConnection is a connection of which nothing is known.
type unknownConnection struct{}

func (unknownConnection) ArrivedAt() time.Time { return time.Time{} }

func (unknownConnection) HasLeft() bool { return false }

func (unknownConnection) HasClosed() bool { return false }
