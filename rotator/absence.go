package rotator

import "time"

// absence is a router's time out of rotation.
type absence struct {
	out   bool
	until time.Time
	// span is how long the last one was, endedAt when it ended.
	span    time.Duration
	endedAt time.Time
	// pending brings the lease that was asked for, nil when none was.
	pending chan election
	// retryAt is when a lease is asked for again.
	retryAt time.Time
}

// nextSpan is how long the next one is to be.
func (s absence) nextSpan(now time.Time) time.Duration {
	if s.span == 0 || now.Sub(s.endedAt) > s.span {
		return minOutTime
	}
	return min(maxOutTime, 2*s.span)
}

func (s *absence) start(now time.Time, span time.Duration) {
	s.out, s.span, s.until = true, span, now.Add(span)
}

func (s *absence) end(now time.Time) { s.out, s.endedAt = false, now }
