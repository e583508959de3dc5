package masticway

import (
	"context"
	"time"
)

// Holding is why requests are kept from a server for a time, by its own word.
type Holding struct {
	For time.Duration
	// Resting tells that the server has asked this router for rest; else it has as many requests as its limit allows.
	Resting bool
	// Reason is for a log.
	Reason string
}

// Throttler keeps to what servers say in their answers of the requests that they take.
type Throttler interface {
	// Heard notes what the head of a server's answer says of the server.
	Heard(server ServerLife, answer ServerAnswer)
	// Available returns the servers that may get a request now as far as this router knows.
	Available(servers []Server) []Server
	// Unlimited returns the servers that name no limit.
	Unlimited(servers []Server) []Server
	// Admit tells whether a server may get one more request from this router now; it may ask other routers.
	Admit(ctx context.Context, server ServerLife) bool
	// GiveBack returns an admission for which nothing was sent.
	GiveBack(server ServerLife)
	// Holding returns why and for how long a server takes no request from this router; false when it may get one.
	Holding(server ServerLife) (Holding, bool)
	// RetryAfter returns when a caller that is refused for a server's sake should come again: callers that are refused one after the
	// other come as far apart as the server takes them.
	RetryAfter(server ServerLife) time.Duration
}
