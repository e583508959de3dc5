package rotator

import (
	"math"
	"time"
)

const (
	// targetDelay is the delay of the router's own calls up to which its link counts as busy but not congested. Beyond it, the rate
	// falls below what the router has carried, by the more the longer the delay is: to minDrainShare at drainDelay.
	targetDelay   = overloadDelay
	drainDelay    = 300 * time.Millisecond
	maxDrainShare = 0.9
	minDrainShare = 0.4
	// growFactor is the growth of the rate with each check without congestion, and probeFactor the growth beyond probeShare of what
	// the router carried when its link was last congested. Delays are noticed late, so the rate must exceed that slowly.
	growFactor  = 1.05
	probeFactor = 1.01
	probeShare  = 1.1
	// fullRateDecay is by how much fullRate falls with each check with congestion: the link may have come to carry less.
	fullRateDecay = 0.99
	// minRate is the minimum rate in requests per second. Some requests must arrive to find out how much the router can carry.
	minRate = 10
	// maxBurst limits the requests that may arrive at once after a pause, as a time at the current rate.
	maxBurst = 50 * time.Millisecond
	// minPause is the shortest time for which the listener is paused.
	minPause = 5 * time.Millisecond
	// rateSamples and newestSamples are the numbers of checks over which the rate of requests is averaged.
	rateSamples   = 10
	newestSamples = 3
)

// connLimiter is a token bucket that limits the rate at which an overloaded router accepts connections. A request takes capacity
// of the link when it arrives, even if it is then refused. So a router must refuse the connections of the requests that it can't
// carry. The limiter counts connections and requests, and tells when to pause the listener.
type connLimiter struct {
	// rate is the limit in requests per second; zero is no limit.
	rate float64
	// tokens is the number of requests that may arrive before the listener is paused, as of updatedAt.
	tokens    float64
	updatedAt time.Time
	// capacity is the rate that the router carried when its link was last congested. fullRate is the rate at which the requests of
	// its callers filled the link; it is zero if they did not in this overload.
	capacity, fullRate float64
	// counts holds the numbers of requests that were read between the last checks, and count the number since the last one.
	counts [rateSamples]int
	checks int
	count  int
}

// arrive takes a token for a request that has arrived, or that is about to arrive on a new connection. It reports whether the
// listener must be paused.
func (l *connLimiter) arrive() (mustPause bool) {
	l.tokens--
	return l.rate > 0 && l.tokens < 1
}

// read counts a request that the link has carried.
func (l *connLimiter) read() { l.count++ }

// carried returns the rate at which requests were read during the last checks. It is the higher of the rates during all of them
// and during the newest few, because the traffic may have begun in between.
func (l *connLimiter) carried() float64 { return max(l.average(rateSamples), l.average(newestSamples)) }

// average returns the rate at which requests were read during the last n checks.
func (l *connLimiter) average(n int) float64 {
	sum := 0
	for i := range min(n, l.checks) {
		sum += l.counts[(l.checks-1-i)%rateSamples]
	}
	return float64(sum) / (float64(n) * checkInterval.Seconds())
}

// adjust updates the rate. It must be called at each check of the load with the current delay of the router's own calls and with
// the result of linkUse.fullRate. It removes the limit if the router is not overloaded.
func (l *connLimiter) adjust(overloaded bool, delay time.Duration, fullRate float64) {
	l.counts[l.checks%rateSamples] = l.count
	l.checks++
	l.count = 0
	if fullRate > 0 {
		l.fullRate = fullRate
	}
	switch {
	case !overloaded:
		l.rate, l.capacity, l.fullRate = 0, 0, 0
	case delay >= targetDelay:
		// While packets wait for the link, requests are read at the rate that it carries, unless it carries what is never read.
		l.capacity = max(l.carried(), l.fullRate)
		l.fullRate *= fullRateDecay
		excess := min(1, float64(delay-targetDelay)/float64(drainDelay-targetDelay))
		l.rate = math.Max(minRate, l.capacity*(maxDrainShare-excess*(maxDrainShare-minDrainShare)))
	case l.rate == 0:
		l.capacity = l.fullRate
		l.rate = math.Max(minRate, maxDrainShare*l.capacity)
	case l.rate*growFactor <= l.capacity*probeShare:
		l.rate *= growFactor
	default:
		l.rate *= probeFactor
	}
}

// refill adds the tokens for the time since the last call. It returns whether connections may be accepted, and if not, for how
// long the listener must be paused.
func (l *connLimiter) refill(now time.Time, paused bool) (open bool, wait time.Duration) {
	elapsed := now.Sub(l.updatedAt).Seconds()
	l.updatedAt = now
	if l.rate == 0 {
		l.tokens = 0
		return true, 0
	}
	burst := math.Max(1, l.rate*maxBurst.Seconds())
	l.tokens = math.Min(burst, l.tokens+l.rate*elapsed)
	if l.tokens >= burst || !paused && l.tokens >= 1 {
		return true, 0
	}
	return false, max(minPause, time.Duration((burst-l.tokens)/l.rate*float64(time.Second)))
}
