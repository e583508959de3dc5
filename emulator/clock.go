package emulator

import "time"

// MonotonicClock is a clock that uses only package time. In a synctest bubble it therefore follows the fake clock.
type MonotonicClock struct{}

// Now returns the current time.
func (MonotonicClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after d has elapsed.
func (MonotonicClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
