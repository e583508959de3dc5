package rotator

import "time"

const (
	// forewarning is how long a router that asks for a lease already reports that it is not ready. A load balancer takes a router
	// out of rotation after two failed probes, which are a second apart, so the forewarning alone has no effect. With it, the router
	// is out a probe sooner once the lease is granted.
	forewarning = 900 * time.Millisecond
	// forewarningInterval is the minimum time between two forewarnings. They must not fail two probes in a row.
	forewarningInterval = 5 * time.Second
)

// absence is the state of a router's absence from the rotation. out is set while the router is out of rotation, until is when it
// may return.
type absence struct {
	out   bool
	until time.Time
	// span is the planned duration of the current or last absence, and endedAt is when the last one ended.
	span    time.Duration
	endedAt time.Time
	// election identifies the election that allowed the current or last absence.
	election uint64
	// pending delivers the result of the current election. It is nil if there is none.
	pending chan election
	// forewarnedAt is when the router last reported that it was not ready before the election had ended.
	forewarnedAt time.Time
	// retryAt is the earliest time of the next election after the last lost one.
	retryAt time.Time
}

// nextSpan returns the duration of the next absence. It is twice that of the last one, up to maxOutTime, if the router has been
// back in rotation for no longer than the last one took. Otherwise it is minOutTime.
func (s absence) nextSpan(now time.Time) time.Duration {
	if s.span == 0 || now.Sub(s.endedAt) > s.span {
		return minOutTime
	}
	return min(maxOutTime, 2*s.span)
}

// forewarn begins a forewarning unless the last one was recent, and returns when it ends.
func (s *absence) forewarn(now time.Time) (until time.Time, ok bool) {
	if !s.forewarnedAt.IsZero() && now.Sub(s.forewarnedAt) < forewarningInterval {
		return time.Time{}, false
	}
	s.forewarnedAt = now
	return now.Add(forewarning), true
}

// start begins the absence for which an election was won.
func (s *absence) start(e election) {
	s.out, s.span, s.until, s.election = true, e.span, e.began.Add(e.span), e.id
}

func (s *absence) end(now time.Time) { s.out, s.endedAt = false, now }
