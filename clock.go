package masticway

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides the time. Tests replace it, so that they need not wait.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives a value once d has elapsed. The value may differ from Now.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the local machine. It does not jump when the time of day is set. Unlike Go's monotonic clock, it
// also counts the time for which the machine was suspended, if the kernel reports that time. A clock that omitted suspensions
// would extend leases and timeouts on this machine beyond what other machines expect.
type SystemClock struct{}

// Now returns the time of day at the start of the process plus the time elapsed since, including suspensions.
func (SystemClock) Now() time.Time { return systemClock.now() }

// SuspendedTime returns the total time for which the machine has been suspended since the process started.
func (SystemClock) SuspendedTime() time.Duration {
	systemClock.now()
	return time.Duration(systemClock.suspended.Load())
}

// After returns a channel that receives the time of day once d has elapsed on Go's monotonic clock. A suspension of the machine
// therefore prolongs the wait, and the received time may differ from Now.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// systemClock is the clock behind SystemClock.
var systemClock = newSuspendClock(clockReader(time.Now()), uptime)

// clockReader returns a function that reads the time of day and the monotonic time elapsed since start.
func clockReader(start time.Time) func() (day time.Time, steady time.Duration) {
	return func() (time.Time, time.Duration) {
		t := time.Now()
		return t.Round(0), t.Sub(start)
	}
}

const (
	// minDrift is a threshold for the difference between the time of day and the monotonic clock: the uptime is read if this
	// difference has changed by at least minDrift. Unless the machine was suspended or the time of day was set, the two advance
	// at the same rate, except for corrections of some parts in ten thousand.
	minDrift = 5 * time.Millisecond
	// maxReadingGap is the maximum time between the readings of the monotonic clock before and after a reading of the uptime.
	maxReadingGap = time.Millisecond
	// maxReadings is the maximum number of attempts to read the uptime within maxReadingGap.
	maxReadings = 5
)

// uptime returns the time since the machine booted, including suspensions. It returns false if the kernel does not report it.
func uptime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// suspendClock is a clock that includes suspensions of at least minDrift. It reads the uptime, which needs a system call, only if
// the difference between the time of day and the monotonic clock has changed by minDrift, which is cheap to detect.
type suspendClock struct {
	// readClocks returns the time of day and the monotonic clock. readUptime returns the time since the machine booted, including
	// suspensions.
	readClocks func() (day time.Time, steady time.Duration)
	readUptime func() (time.Duration, bool)
	// start and startSteady are the time of day and the monotonic clock when the suspendClock was created. startOffset is the
	// uptime minus the monotonic clock at that time, if hasUptime is set.
	start       time.Time
	startSteady time.Duration
	startOffset time.Duration
	hasUptime   bool

	// suspended is how long the machine has been suspended since the suspendClock was created. drift is the difference between
	// the elapsed time of day and the elapsed monotonic time when suspended was last checked. Both are in nanoseconds.
	suspended, drift atomic.Int64
	mu               sync.Mutex
}

func newSuspendClock(read func() (time.Time, time.Duration), uptime func() (time.Duration, bool)) *suspendClock {
	s := &suspendClock{readClocks: read, readUptime: uptime}
	s.start, s.startSteady = read()
	s.startOffset, s.hasUptime = s.uptimeOffset()
	return s
}

// now returns the time of day at which the suspendClock was created plus the time elapsed since, including suspensions.
func (s *suspendClock) now() time.Time {
	day, steady := s.readClocks()
	elapsed := steady - s.startSteady
	drift := day.Sub(s.start) - elapsed
	if change := drift - time.Duration(s.drift.Load()); change >= minDrift || change <= -minDrift {
		s.updateSuspended(drift)
	}
	return s.start.Add(elapsed + time.Duration(s.suspended.Load()))
}

// updateSuspended records how long the machine has been suspended, if the kernel reports its uptime. drift is the new difference
// between the elapsed time of day and the elapsed monotonic time. The caller must check that the difference has changed by at
// least minDrift.
func (s *suspendClock) updateSuspended(drift time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasUptime {
		s.drift.Store(int64(drift))
		return
	}
	offset, ok := s.uptimeOffset()
	if !ok {
		// s.drift is unchanged, so the next call of now tries again.
		return
	}
	// If only the time of day was set, the suspended time has not grown.
	if suspended := offset - s.startOffset; suspended >= time.Duration(s.suspended.Load())+minDrift {
		s.suspended.Store(int64(suspended))
	}
	s.drift.Store(int64(drift))
}

// uptimeOffset returns the uptime minus the monotonic clock. It returns false if the uptime is not available. It also returns
// false if, in each of maxReadings attempts, more than maxReadingGap passed between the readings of the monotonic clock before
// and after that of the uptime.
func (s *suspendClock) uptimeOffset() (time.Duration, bool) {
	for range maxReadings {
		_, before := s.readClocks()
		uptime, ok := s.readUptime()
		_, after := s.readClocks()
		if !ok {
			return 0, false
		}
		if after-before <= maxReadingGap {
			return uptime - after, true
		}
	}
	return 0, false
}
