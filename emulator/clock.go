package emulator

import "time"

// MonotonicClock reads only the time package, so that it follows the fake clock inside a synctest bubble.
type MonotonicClock struct{}

// Now returns the current time.
func (MonotonicClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after d has elapsed.
func (MonotonicClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
