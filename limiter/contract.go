package limiter

import (
	"time"

	"github.com/masticway/masticway"
)

// Limit names the contract limit that a request exceeds.
type Limit string

// The limits of a contract.
const (
	LimitNone        Limit = ""
	LimitRate        Limit = "rate"
	LimitConcurrency Limit = "concurrency"
)

// concurrencyRetryAfter is the retry hint for a workspace with too many requests in flight.
const concurrencyRetryAfter = 250 * time.Millisecond

// workspaceUsage holds the token bucket and the open requests of a workspace.
type workspaceUsage struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// ContractLimiter enforces the rate and concurrency limits of workspaces. It is not safe for concurrent use.
type ContractLimiter struct {
	usage map[string]*workspaceUsage
}

// NewContractLimiter returns a Contracts without any requests.
func NewContractLimiter() *ContractLimiter {
	return &ContractLimiter{usage: map[string]*workspaceUsage{}}
}

// Admit counts a request as in flight, or returns the limit that it exceeds and when to retry.
func (l *ContractLimiter) Admit(now time.Time, c masticway.Contract) (Limit, time.Duration) {
	u, ok := l.usage[c.Workspace]
	if !ok {
		u = &workspaceUsage{tokens: burst(c), refilledAt: now}
		l.usage[c.Workspace] = u
	}
	if c.Concurrency > 0 && u.inFlight >= c.Concurrency {
		return LimitConcurrency, concurrencyRetryAfter
	}
	if c.RequestsPerSecond > 0 {
		u.tokens = min(burst(c), u.tokens+now.Sub(u.refilledAt).Seconds()*c.RequestsPerSecond)
		u.refilledAt = now
		if u.tokens < 1 {
			return LimitRate, time.Duration((1 - u.tokens) / c.RequestsPerSecond * float64(time.Second))
		}
		u.tokens--
	}
	u.inFlight++
	return LimitNone, 0
}

func burst(c masticway.Contract) float64 {
	return max(1, float64(c.Burst), c.RequestsPerSecond)
}

// Done records the end of an admitted request.
func (l *ContractLimiter) Done(workspace string) {
	if u, ok := l.usage[workspace]; ok {
		u.inFlight = max(0, u.inFlight-1)
	}
}

// EvictIdle removes workspaces that have nothing in flight and have not used their token bucket for a minute, so that memory does not
// grow without bound.
func (l *ContractLimiter) EvictIdle(now time.Time) {
	for w, u := range l.usage {
		if u.inFlight == 0 && now.Sub(u.refilledAt) > time.Minute {
			delete(l.usage, w)
		}
	}
}
