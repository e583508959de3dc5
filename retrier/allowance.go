package retrier

import "time"

const (
	// bucketCount is the number of buckets into which an allowance's window is divided.
	bucketCount = 20
	// usableFraction is the part of the allowance that a router uses. The rest is a margin, because the routers' windows are not
	// aligned.
	usableFraction = 0.8
)

// Allowance is a retry budget: it bounds the retries that a router sends to one pool within a sliding window. The bound is a
// ratio of the pool's requests, plus this router's share of a slack that all routers have together. It is not safe for concurrent
// use.
type Allowance struct {
	ratio    float64
	slack    float64
	window   time.Duration
	requests [2 * bucketCount]int
	retries  [2 * bucketCount]int
	slot     int64
}

// NewAllowance returns an allowance over a window. The slack is shared by all routers.
func NewAllowance(ratio, slack float64, window time.Duration) *Allowance {
	return &Allowance{ratio: ratio, slack: slack, window: window}
}

// advance clears the buckets that have become current since the last call and returns the index of the current one.
func (a *Allowance) advance(now time.Time) int {
	slot := now.UnixNano() / int64(a.window/bucketCount)
	for ; a.slot < slot; a.slot++ {
		if slot-a.slot > 2*bucketCount {
			a.slot = slot - 2*bucketCount
		}
		a.requests[int((a.slot+1)%(2*bucketCount))] = 0
		a.retries[int((a.slot+1)%(2*bucketCount))] = 0
	}
	return int(slot % (2 * bucketCount))
}

// RecordRequest counts a request for the pool.
func (a *Allowance) RecordRequest(now time.Time) { a.requests[a.advance(now)]++ }

// TryTake counts one more retry and returns true if the window allows it. The slack is divided by the number of routers; zero
// means that their number is unknown, and then there is no slack.
func (a *Allowance) TryTake(now time.Time, routers int) bool {
	slot := a.advance(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		k := (slot - i + 2*bucketCount) % (2 * bucketCount)
		requests += a.requests[k]
		retries += a.retries[k]
	}
	limit := a.ratio * float64(requests)
	if routers > 0 {
		limit += a.slack / float64(routers)
	}
	if float64(retries+1) > limit*usableFraction {
		return false
	}
	a.retries[slot]++
	return true
}
