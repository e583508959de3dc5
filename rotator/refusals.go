package rotator

import "time"

// demandSpan is the time with an open listener over which the rate of connections is averaged.
const demandSpan = 300 * time.Millisecond

// refusals estimates how many connections are refused while the listener is paused. Such connections never reach the process, so
// callers are assumed to connect as often as while the listener is open.
type refusals struct {
	// rate is the number of connections per second while the listener is open, and total the estimated number of connections that
	// were refused.
	rate, total float64
	// accepted is the number of connections since the last call of update, and pausedTime the total time of the pauses at that call.
	accepted   int
	pausedTime time.Duration
}

// accept counts a connection that was accepted.
func (f *refusals) accept() { f.accepted++ }

// update adds the time since the last call. pausedTime is the total time for which the listener has been paused so far.
func (f *refusals) update(elapsed, pausedTime time.Duration) {
	paused := pausedTime - f.pausedTime
	f.pausedTime = pausedTime
	if open := elapsed - paused; open > 0 {
		rate := float64(f.accepted) / open.Seconds()
		f.rate += (rate - f.rate) * min(1, open.Seconds()/demandSpan.Seconds())
		f.accepted = 0
	}
	f.total += f.rate * paused.Seconds()
}
