package limiter

import (
	"time"

	"github.com/masticway/masticway"
)

// Limit names the limit of a contract that a request ran into.
type Limit string

// The limits of a contract.
const (
	LimitNone        Limit = ""
	LimitRate        Limit = "rate"
	LimitConcurrency Limit = "concurrency"
)

// concurrencyRetryAfter is the hint to a caller whose workspace has too many open requests.
const concurrencyRetryAfter = 250 * time.Millisecond

type workspaceUsage struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// Contracts counts rate and concurrency by workspace; it is not safe for concurrent use.
type Contracts struct {
	usage map[string]*workspaceUsage
}

// NewContracts returns counters at zero.
func NewContracts() *Contracts { return &Contracts{usage: map[string]*workspaceUsage{}} }

// Admit counts a request in, or names the limit and when to come back.
func (l *Contracts) Admit(now time.Time, c masticway.Contract) (Limit, time.Duration) {
	m, ok := l.usage[c.Workspace]
	if !ok {
		m = &workspaceUsage{tokens: burst(c), refilledAt: now}
		l.usage[c.Workspace] = m
	}
	if c.Concurrency > 0 && m.inFlight >= c.Concurrency {
		return LimitConcurrency, concurrencyRetryAfter
	}
	if c.RequestsPerSecond > 0 {
		m.tokens = min(burst(c), m.tokens+now.Sub(m.refilledAt).Seconds()*c.RequestsPerSecond)
		m.refilledAt = now
		if m.tokens < 1 {
			return LimitRate, time.Duration((1 - m.tokens) / c.RequestsPerSecond * float64(time.Second))
		}
		m.tokens--
	}
	m.inFlight++
	return LimitNone, 0
}

func burst(c masticway.Contract) float64 {
	return max(1, float64(c.Burst), c.RequestsPerSecond)
}

// Done counts a request out.
func (l *Contracts) Done(workspace string) {
	if m, ok := l.usage[workspace]; ok {
		m.inFlight = max(0, m.inFlight-1)
	}
}

// Tick forgets workspaces that have been quiet, so that memory follows use.
func (l *Contracts) Tick(now time.Time) {
	for w, m := range l.usage {
		if m.inFlight == 0 && now.Sub(m.refilledAt) > time.Minute {
			delete(l.usage, w)
		}
	}
}
