package masticway

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time to code that must be testable without waiting.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that delivers the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the machine's own clock. It never steps and, unlike the steady clock, goes on while the machine is suspended:
// leases, silences and promises last no longer for others because this machine slept.
type SystemClock struct{}

// Now returns the machine's time: that of the process's start and what has passed since, suspensions included.
func (SystemClock) Now() time.Time { return machine.now() }

// SuspendedTime returns how long the machine has been suspended since the process began.
func (SystemClock) SuspendedTime() time.Duration {
	machine.now()
	return time.Duration(machine.slept.Load())
}

// After waits on the machine's steady clock: a suspension makes the wait longer, and who waited asks Now.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// machine is the clock of the machine that the process runs on.
var machine = newSleepless(wallAndSteady(time.Now()), bootTime)

// wallAndSteady returns a function that reads the time of day and the steady clock, which begins at a time.
func wallAndSteady(start time.Time) func() (day time.Time, steady time.Duration) {
	return func() (time.Time, time.Duration) {
		t := time.Now()
		return t.Round(0), t.Sub(start)
	}
}

const (
	// sleepNoticed is the least change between the time of day and the steady clock after which the machine is asked for how
	// long it has slept: both go on at the same rate but for corrections of some parts in ten thousand.
	sleepNoticed = 5 * time.Millisecond
	// readingGap is how far apart two readings of the steady clock around one of the other clock may be.
	readingGap = time.Millisecond
	// readingTries bounds the attempts at readings that are close together.
	readingTries = 5
)

// bootTime returns the time since the machine was started, suspensions included; ok is false where it is not to be had.
func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// sleepless is a clock that goes on during suspensions. The machine's own one that does is asked only when the time of day
// has moved against the steady clock, which costs nothing to see.
type sleepless struct {
	// read returns the time of day and the steady clock, boot the time since the machine was started.
	read func() (day time.Time, steady time.Duration)
	boot func() (time.Duration, bool)
	// start is the time of day at the start, when the steady clock was at awake and the boot time ahead of it.
	start time.Time
	awake time.Duration
	ahead time.Duration
	known bool

	// slept is how long the machine has been suspended since the start, drift the difference between the time of day and the
	// steady clock when that was found out, both in nanoseconds.
	slept, drift atomic.Int64
	mu           sync.Mutex
}

func newSleepless(read func() (time.Time, time.Duration), boot func() (time.Duration, bool)) *sleepless {
	s := &sleepless{read: read, boot: boot}
	s.start, s.awake = read()
	s.ahead, s.known = s.measure()
	return s
}

// now returns the time of day at the start and what has passed since.
func (s *sleepless) now() time.Time {
	day, steady := s.read()
	passed := steady - s.awake
	drift := day.Sub(s.start) - passed
	if moved := drift - time.Duration(s.drift.Load()); moved >= sleepNoticed || moved <= -sleepNoticed {
		s.look(drift)
	}
	return s.start.Add(passed + time.Duration(s.slept.Load()))
}

// look finds out for how long the machine has been suspended, once for each change of the drift.
func (s *sleepless) look(drift time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		s.drift.Store(int64(drift))
		return
	}
	ahead, ok := s.measure()
	if !ok {
		// The next call looks again.
		return
	}
	// Where the time of day was set, the machine has not slept any longer.
	if slept := ahead - s.ahead; slept >= time.Duration(s.slept.Load())+sleepNoticed {
		s.slept.Store(int64(slept))
	}
	s.drift.Store(int64(drift))
}

// measure returns how far the boot time is ahead of the steady clock, from readings that are close together.
func (s *sleepless) measure() (time.Duration, bool) {
	for range readingTries {
		_, before := s.read()
		boot, ok := s.boot()
		_, after := s.read()
		if !ok {
			return 0, false
		}
		if after-before <= readingGap {
			return boot - after, true
		}
	}
	return 0, false
}
