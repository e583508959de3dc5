package emulator

import "time"

// SteadyClock reads only the time package, so that it follows the fake clock inside a synctest bubble.
type SteadyClock struct{}

// Now returns the current time.
func (SteadyClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after d has elapsed.
func (SteadyClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
