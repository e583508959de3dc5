package limiter

import (
	"time"

	"github.com/masticway/masticway"
)

// Limit names the contract limit that a request exceeds. It is LimitNone if the request exceeds none.
type Limit string

// The limits of a contract.
const (
	LimitNone        Limit = ""
	LimitRate        Limit = "rate"
	LimitConcurrency Limit = "concurrency"
)

// concurrencyRetryAfter is how long a caller should wait before a retry if its workspace has too many requests in flight.
const concurrencyRetryAfter = 250 * time.Millisecond

// workspaceUsage holds the token bucket of a workspace and the number of its requests in flight. refilledAt is when the bucket
// was last refilled. Without a rate limit, it is when the workspaceUsage was created.
type workspaceUsage struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// ContractLimiter enforces the rate and concurrency limits of the workspaces' contracts. It is not safe for concurrent use.
type ContractLimiter struct {
	usage map[string]*workspaceUsage
}

// NewContractLimiter returns a ContractLimiter without any requests in flight.
func NewContractLimiter() *ContractLimiter {
	return &ContractLimiter{usage: map[string]*workspaceUsage{}}
}

// Admit counts a request of the contract's workspace as in flight and, if there is a rate limit, takes a token from the bucket.
// If the request exceeds a limit, Admit does neither. It then returns the limit and how long to wait before a retry. The caller
// must call Done when an admitted request has ended.
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

// burst returns the size of a workspace's token bucket: at least one token, and at least the tokens of one second.
func burst(c masticway.Contract) float64 {
	return max(1, float64(c.Burst), c.RequestsPerSecond)
}

// Done records the end of an admitted request.
func (l *ContractLimiter) Done(workspace string) {
	if u, ok := l.usage[workspace]; ok {
		u.inFlight = max(0, u.inFlight-1)
	}
}

// EvictIdle removes the workspaces that have nothing in flight and whose token bucket was last refilled more than a minute ago,
// so that memory does not grow without bound. It must be called periodically.
func (l *ContractLimiter) EvictIdle(now time.Time) {
	for w, u := range l.usage {
		if u.inFlight == 0 && now.Sub(u.refilledAt) > time.Minute {
			delete(l.usage, w)
		}
	}
}
