package starter

import (
	"context"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

const (
	// stallCheckInterval is how often the process checks that it runs. A longer pause than minStall between two checks is a stall.
	stallCheckInterval = 100 * time.Millisecond
	minStall           = 300 * time.Millisecond
	// stallNoticeTime is how long after a stall an event may be noticed that happened in it.
	stallNoticeTime = 200 * time.Millisecond
)

// stallRecord records the latest time in which the process did not run, because it was stopped or waited for a processor. What
// happened meanwhile is noticed only after that.
type stallRecord struct {
	mu sync.Mutex
	// checkedAt is the time of the last check. from and to are the bounds of the last stall.
	checkedAt, from, to time.Time
}

// check records that the process runs now.
func (s *stallRecord) check(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(now)
}

func (s *stallRecord) record(now time.Time) {
	if !s.checkedAt.IsZero() && now.Sub(s.checkedAt) > minStall {
		s.from, s.to = s.checkedAt, now
	}
	s.checkedAt = now
}

// earliest returns the earliest time at which an event that is noticed now may have happened.
func (s *stallRecord) earliest(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(now)
	if now.Sub(s.to) < stallNoticeTime {
		return s.from
	}
	return now
}

// watch checks that the process runs until the context ends.
func (s *stallRecord) watch(ctx context.Context, clock masticway.Clock) {
	for ctx.Err() == nil {
		s.check(clock.Now())
		select {
		case <-ctx.Done():
		case <-clock.After(stallCheckInterval):
		}
	}
}
