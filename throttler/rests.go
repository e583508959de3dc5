package throttler

import (
	"maps"
	"time"

	"github.com/masticway/masticway"
)

// restMost bounds how long a server is left alone that asks for longer: whoever asks for days has mistaken the unit, or will have
// started again by then.
const restMost = 5 * time.Minute

// Rests are the servers that have asked this router to send nothing for a while; it is not safe for concurrent use.
type Rests struct {
	until map[masticway.ServerIncarnation]time.Time
}

// NewRests returns rests of no server.
func NewRests() *Rests { return &Rests{until: map[masticway.ServerIncarnation]time.Time{}} }

// Asked takes a server's word that it wants nothing for a time, and returns how long it gets nothing. An earlier word that lasts
// longer holds.
func (r *Rests) Asked(now time.Time, server masticway.ServerIncarnation, rest time.Duration) time.Duration {
	if until := now.Add(min(rest, restMost)); until.After(r.until[server]) {
		r.until[server] = until
	}
	return r.Left(now, server)
}

// Left is how much longer a server gets nothing.
func (r *Rests) Left(now time.Time, server masticway.ServerIncarnation) time.Duration {
	return max(0, r.until[server].Sub(now))
}

// Len is how many servers are remembered, some of which may have rested.
func (r *Rests) Len() int { return len(r.until) }

// Forget forgets the servers that have rested.
func (r *Rests) Forget(now time.Time) {
	maps.DeleteFunc(r.until, func(_ masticway.ServerIncarnation, until time.Time) bool { return !now.Before(until) })
}
