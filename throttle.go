package masticway

import (
	"context"
	"time"
)

// Throttling is why, and for how much longer, a server gets no requests from this router.
type Throttling struct {
	Remaining time.Duration
	// BackoffRequested is set if the server asked this router to back off. Otherwise the router cannot get a permit under the
	// rate limit of the server.
	BackoffRequested bool
	// Reason is a description for logs and for callers whose requests are refused.
	Reason string
}

// Throttler enforces the rate limits and backoff times that servers report in their answers. Each request to a server with a rate
// limit needs a permit, which one of the routers grants.
type Throttler interface {
	// Observe records what the headers of a server's answer say about the server.
	Observe(server ServerIncarnation, answer ServerAnswer)
	// Available returns the servers that may get a request now, as far as this router knows.
	Available(servers []Server) []Server
	// Unlimited returns the servers that have no rate limit and from which no requested backoff is in effect.
	Unlimited(servers []Server) []Server
	// Admit takes a permit for one request if the server has a rate limit. It may block until other routers have answered a
	// request for permits, or until ctx ends. It returns false if this router must not send the request now. If Admit returns
	// true but the request is not sent, the caller must call ReturnPermit.
	Admit(ctx context.Context, server ServerIncarnation) bool
	// ReturnPermit gives back the permit of a request that was admitted at a time and not sent.
	ReturnPermit(server ServerIncarnation, admittedAt time.Time)
	// Throttling returns why and for how long a server must get no requests from this router. It returns false if the server may
	// get one.
	Throttling(server ServerIncarnation) (Throttling, bool)
	// RetryAfter returns how long a caller should wait before it retries a request that is refused because of a server's rate
	// limit or backoff. If a backoff is in effect, this is the rest of it. Otherwise the retries of successive refused callers
	// are spaced according to the server's rate limit.
	RetryAfter(server ServerIncarnation) time.Duration
}
