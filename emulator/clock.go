package emulator

import "time"

// MonotonicClock reads the process's steady clock alone, so that in a test's bubble of time it goes as the bubble does.
type MonotonicClock struct{}

// Now returns the present time.
func (MonotonicClock) Now() time.Time { return time.Now() }

// After waits on the steady clock.
func (MonotonicClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
