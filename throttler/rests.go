package throttler

import (
	"maps"
	"time"

	"github.com/masticway/masticway"
)

// maxBackoff bounds how long a server is left alone that asks for longer: whoever asks for days has mistaken the unit, or will have
// started again by then.
const maxBackoff = 5 * time.Minute

// Backoffs are the servers that have asked this router to send nothing for a while; it is not safe for concurrent use.
type Backoffs struct {
	until map[masticway.ServerIncarnation]time.Time
}

// NewBackoffs returns rests of no server.
func NewBackoffs() *Backoffs { return &Backoffs{until: map[masticway.ServerIncarnation]time.Time{}} }

// Start takes a server's word that it wants nothing for a time, and returns how long it gets nothing. An earlier word that lasts
// longer holds.
func (r *Backoffs) Start(now time.Time, server masticway.ServerIncarnation, requested time.Duration) time.Duration {
	if until := now.Add(min(requested, maxBackoff)); until.After(r.until[server]) {
		r.until[server] = until
	}
	return r.Remaining(now, server)
}

// Remaining is how much longer a server gets nothing.
func (r *Backoffs) Remaining(now time.Time, server masticway.ServerIncarnation) time.Duration {
	return max(0, r.until[server].Sub(now))
}

// Len is how many servers are remembered, some of which may have rested.
func (r *Backoffs) Len() int { return len(r.until) }

// Prune forgets the servers that have rested.
func (r *Backoffs) Prune(now time.Time) {
	maps.DeleteFunc(r.until, func(_ masticway.ServerIncarnation, until time.Time) bool { return !now.Before(until) })
}
