package masticway

import (
	"context"
	"time"
)

// Throttling is why requests are kept from a server for a time, by its own word.
type Throttling struct {
	Remaining time.Duration
	// BackoffRequested tells that the server has asked this router for rest; else it has as many requests as its limit allows.
	BackoffRequested bool
	// Reason is for a log.
	Reason string
}

// Throttler keeps to what servers say in their answers of the requests that they take.
type Throttler interface {
	// Observe notes what the head of a server's answer says of the server.
	Observe(server ServerIncarnation, answer ServerAnswer)
	// Available returns the servers that may get a request now as far as this router knows.
	Available(servers []Server) []Server
	// Unlimited returns the servers that name no limit.
	Unlimited(servers []Server) []Server
	// Admit tells whether a server may get one more request from this router now; it may ask other routers.
	Admit(ctx context.Context, server ServerIncarnation) bool
	// ReturnPermit returns an admission for which nothing was sent.
	ReturnPermit(server ServerIncarnation)
	// Throttling returns why and for how long a server takes no request from this router; false when it may get one.
	Throttling(server ServerIncarnation) (Throttling, bool)
	// RetryAfter returns when a caller that is refused for a server's sake should come again: callers that are refused one after the
	// other come as far apart as the server takes them.
	RetryAfter(server ServerIncarnation) time.Duration
}
