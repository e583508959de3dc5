package scheduler

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the newest run in an engine's failure rate.
	failureWeight = 0.2
	// failureDecay is the time constant of the exponential decay of a failure rate, after which an engine is tried again.
	failureDecay = 2 * time.Second
	// usualFailureRate is the failure rate up to which an engine costs nothing. Callers that disconnect before the first event cause
	// failures at all engines.
	usualFailureRate = 0.4
	// failureCost is the cost in milliseconds of a failure rate of 1.
	failureCost = 2000.0
)

// failureRate is the share of an engine's runs that ended without a first event, as a moving average over runs. An engine that
// refuses connections has no load, and would be the cheapest for each sender until that sender has noticed it.
type failureRate struct {
	rate float64
	at   time.Time
}

// record records a run that had its first event or ended without one.
func (f *failureRate) record(now time.Time, isFailure bool) {
	rate := f.current(now)
	f.rate, f.at = rate*(1-failureWeight), now
	if isFailure {
		f.rate += failureWeight
	}
}

func (f *failureRate) current(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp(-max(0, now.Sub(f.at)).Seconds()/failureDecay.Seconds())
}

// cost returns the cost of the failures in milliseconds.
func (f *failureRate) cost(now time.Time) float64 {
	if f.rate <= usualFailureRate {
		return 0
	}
	return failureCost * max(0, f.current(now)-usualFailureRate) / (1 - usualFailureRate)
}
