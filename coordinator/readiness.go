package coordinator

import "time"

const (
	// readyAfter is how long an owner must have received messages about a group until it chooses engines. By then most routers
	// have reported their open runs.
	readyAfter = time.Second
	// maxGap is the longest pause between two messages after which an owner must start again to collect reports. Runs of silent
	// senders expire after this time.
	maxGap = 3 * time.Second
)

// Readiness decides whether the owner of a group knows enough of the group's load to choose engines. It is not safe for
// concurrent use.
type Readiness struct {
	since, last time.Time
}

// Record records that a message about the group arrived.
func (r *Readiness) Record(now time.Time) {
	if r.last.IsZero() || now.Sub(r.last) > maxGap {
		r.since = now
	}
	r.last = now
}

// IsReady reports whether the owner may choose engines.
func (r *Readiness) IsReady(now time.Time) bool {
	return !r.last.IsZero() && now.Sub(r.last) <= maxGap && now.Sub(r.since) >= readyAfter
}
