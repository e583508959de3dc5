package masticway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// laptop is a machine whose clocks a test moves.
type laptop struct {
	// steady stands still while the machine is suspended, day and boot do not; day may also be set.
	steady, day, boot time.Duration
	asked             int
	// without tells that there is no boot time.
	without bool
	base    time.Time
}

func newTestClock(l *laptop) *sleepless {
	return newSleepless(func() (time.Time, time.Duration) { return l.base.Add(l.day), l.steady }, func() (time.Duration, bool) {
		l.asked++
		return time.Hour + l.boot, !l.without
	})
}

func (l *laptop) pass(d time.Duration) { l.steady, l.day, l.boot = l.steady+d, l.day+d, l.boot+d }

func (l *laptop) sleep(d time.Duration) { l.day, l.boot = l.day+d, l.boot+d }

// TestClockCountsSuspensions has a machine suspended for seconds, and its time of day set.
//
// Seen: a lease, a silence or a promise lasted longer for a router by what its machine had been suspended. Cause: all were judged
// by the steady clock, which does not count that time.
func TestClockCountsSuspensions(t *testing.T) {
	for name, tc := range map[string]struct {
		do   func(l *laptop)
		want time.Duration
	}{
		"time passes":                  {do: func(l *laptop) { l.pass(2 * time.Second) }, want: 2 * time.Second},
		"suspended":                    {do: func(l *laptop) { l.sleep(5 * time.Second) }, want: 5 * time.Second},
		"suspended twice":              {do: func(l *laptop) { l.sleep(5 * time.Second); l.pass(time.Second); l.sleep(time.Second) }, want: 7 * time.Second},
		"the time of day is set ahead": {do: func(l *laptop) { l.day += time.Hour; l.pass(time.Second) }, want: time.Second},
		"the time of day is set back":  {do: func(l *laptop) { l.day -= time.Hour; l.pass(time.Second) }, want: time.Second},
		"suspended and set back":       {do: func(l *laptop) { l.sleep(5 * time.Second); l.day -= time.Minute }, want: 5 * time.Second},
		"no boot time":                 {do: func(l *laptop) { l.without = true; l.sleep(5 * time.Second); l.pass(time.Second) }, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l := &laptop{base: time.Unix(1_800_000_000, 0)}
			s := newTestClock(l)
			began := s.now()
			tc.do(l)
			qt.Assert(t, s.now().Sub(began), qt.Equals, tc.want)
		})
	}
}

func TestClockAsksForSuspensionsSeldom(t *testing.T) {
	l := &laptop{base: time.Unix(1_800_000_000, 0)}
	s := newTestClock(l)
	asked := l.asked
	for range 1000 {
		l.pass(time.Second)
		s.now()
	}
	qt.Assert(t, l.asked, qt.Equals, asked)
	l.sleep(time.Second)
	for range 1000 {
		s.now()
	}
	qt.Assert(t, l.asked, qt.Equals, asked+1)
}
