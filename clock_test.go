package masticway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeMachine is a machine whose clocks are advanced by the test.
type fakeMachine struct {
	// steady does not advance while the machine is suspended; day and uptime do. day can also be set.
	steady, day, uptime time.Duration
	uptimeReads         int
	// noUptime is set if the machine does not report its uptime.
	noUptime bool
	base     time.Time
}

func newTestClock(l *fakeMachine) *suspendClock {
	return newSuspendClock(func() (time.Time, time.Duration) { return l.base.Add(l.day), l.steady }, func() (time.Duration, bool) {
		l.uptimeReads++
		return time.Hour + l.uptime, !l.noUptime
	})
}

func (l *fakeMachine) advance(d time.Duration) {
	l.steady, l.day, l.uptime = l.steady+d, l.day+d, l.uptime+d
}

func (l *fakeMachine) suspend(d time.Duration) { l.day, l.uptime = l.day+d, l.uptime+d }

// TestClockCountsSuspensions checks that the clock includes suspensions but not changes of the time of day.
//
// If it used the monotonic clock, which excludes suspensions, a router would extend its leases and timeouts by the time for
// which its machine was suspended.
func TestClockCountsSuspensions(t *testing.T) {
	for name, tc := range map[string]struct {
		do   func(l *fakeMachine)
		want time.Duration
	}{
		"time passes":                  {do: func(l *fakeMachine) { l.advance(2 * time.Second) }, want: 2 * time.Second},
		"suspended":                    {do: func(l *fakeMachine) { l.suspend(5 * time.Second) }, want: 5 * time.Second},
		"suspended twice":              {do: func(l *fakeMachine) { l.suspend(5 * time.Second); l.advance(time.Second); l.suspend(time.Second) }, want: 7 * time.Second},
		"the time of day is set ahead": {do: func(l *fakeMachine) { l.day += time.Hour; l.advance(time.Second) }, want: time.Second},
		"the time of day is set back":  {do: func(l *fakeMachine) { l.day -= time.Hour; l.advance(time.Second) }, want: time.Second},
		"suspended and set back":       {do: func(l *fakeMachine) { l.suspend(5 * time.Second); l.day -= time.Minute }, want: 5 * time.Second},
		"no uptime":                    {do: func(l *fakeMachine) { l.noUptime = true; l.suspend(5 * time.Second); l.advance(time.Second) }, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l := &fakeMachine{base: time.Unix(1_800_000_000, 0)}
			s := newTestClock(l)
			started := s.now()
			tc.do(l)
			qt.Assert(t, s.now().Sub(started), qt.Equals, tc.want)
		})
	}
}

func TestClockRarelyReadsUptime(t *testing.T) {
	l := &fakeMachine{base: time.Unix(1_800_000_000, 0)}
	s := newTestClock(l)
	reads := l.uptimeReads
	for range 1000 {
		l.advance(time.Second)
		s.now()
	}
	qt.Assert(t, l.uptimeReads, qt.Equals, reads)
	l.suspend(time.Second)
	for range 1000 {
		s.now()
	}
	qt.Assert(t, l.uptimeReads, qt.Equals, reads+1)
}
