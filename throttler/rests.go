package throttler

import (
	"maps"
	"time"

	"github.com/masticway/masticway"
)

// maxBackoff is the maximum backoff time that a router accepts from a server. A server that asks for days has probably confused
// the unit.
const maxBackoff = 5 * time.Minute

// Backoffs holds the servers that have asked this router to back off, and until when it sends them no requests. It is not safe
// for concurrent use.
type Backoffs struct {
	until map[masticway.ServerIncarnation]time.Time
}

// NewBackoffs returns an empty Backoffs.
func NewBackoffs() *Backoffs { return &Backoffs{until: map[masticway.ServerIncarnation]time.Time{}} }

// Start records that a server has asked for no requests for the requested time. At most maxBackoff of it is accepted. Start
// returns how much longer the server gets none. An earlier backoff that ends later stays in effect.
func (r *Backoffs) Start(now time.Time, server masticway.ServerIncarnation, requested time.Duration) time.Duration {
	if until := now.Add(min(requested, maxBackoff)); until.After(r.until[server]) {
		r.until[server] = until
	}
	return r.Remaining(now, server)
}

// Remaining returns how much longer a server gets no requests.
func (r *Backoffs) Remaining(now time.Time, server masticway.ServerIncarnation) time.Duration {
	return max(0, r.until[server].Sub(now))
}

// Len returns the number of recorded servers, including those whose backoff has ended since the last Prune.
func (r *Backoffs) Len() int { return len(r.until) }

// Prune removes the servers whose backoff has ended.
func (r *Backoffs) Prune(now time.Time) {
	maps.DeleteFunc(r.until, func(_ masticway.ServerIncarnation, until time.Time) bool { return !now.Before(until) })
}
