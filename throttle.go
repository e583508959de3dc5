package masticway

import (
	"context"
	"time"
)

// Throttling describes why, and for how long, a server gets no requests from this router, as determined by what it reports.
type Throttling struct {
	Remaining time.Duration
	// BackoffRequested is set if the server asked this router to back off. Otherwise its rate limit is exhausted.
	BackoffRequested bool
	// Reason is a description for logs and for callers whose requests are refused.
	Reason string
}

// Throttler enforces the rate limits and backoff times that servers report in their answers.
type Throttler interface {
	// Observe records what the headers of a server's answer say about the server.
	Observe(server ServerIncarnation, answer ServerAnswer)
	// Available returns the servers that may get a request now, as far as this router knows.
	Available(servers []Server) []Server
	// Unlimited returns the servers that report no rate limit and have not asked this router to back off.
	Unlimited(servers []Server) []Server
	// Admit takes the permit that a request to a server with a rate limit needs. It may block until other routers have answered
	// its call for permits, or ctx ends. It returns false if this router must not send the request now.
	Admit(ctx context.Context, server ServerIncarnation) bool
	// ReturnPermit returns the permit of an admitted request that was not sent.
	ReturnPermit(server ServerIncarnation)
	// Throttling returns why and for how long a server must get no requests from this router. It returns false if the server may
	// get one.
	Throttling(server ServerIncarnation) (Throttling, bool)
	// RetryAfter returns how long a caller that is refused because of a server's limit should wait before it retries: the rest of
	// the backoff if there is one. Otherwise the retries of successive refused callers are spaced according to the server's rate
	// limit.
	RetryAfter(server ServerIncarnation) time.Duration
}
