package retrier

import "time"

const (
	// bucketCount divide the window of an allowance.
	bucketCount = 20
	// usableFraction is the part of the share that a router uses, because others count at other moments.
	usableFraction = 0.8
)

// Allowance bounds how many arrivals beyond the first of each request a router adds at one pool within a sliding
// window: a part of the requests for it, and a share of what all routers may add together. It is not safe for
// concurrent use.
type Allowance struct {
	ratio    float64
	slack    float64
	window   time.Duration
	requests [2 * bucketCount]int
	retries  [2 * bucketCount]int
	slot     int64
}

// NewAllowance returns an allowance over a window; slack is for all routers together.
func NewAllowance(ratio, slack float64, window time.Duration) *Allowance {
	return &Allowance{ratio: ratio, slack: slack, window: window}
}

// advance empties the buckets that have come round again.
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

// TryTake counts one more arrival, if the window has room for it; routers is how many share the slack, zero for unknown.
func (a *Allowance) TryTake(now time.Time, routers int) bool {
	slot := a.advance(now)
	asked, added := 0, 0
	for i := range bucketCount {
		k := (slot - i + 2*bucketCount) % (2 * bucketCount)
		asked += a.requests[k]
		added += a.retries[k]
	}
	room := a.ratio * float64(asked)
	if routers > 0 {
		room += a.slack / float64(routers)
	}
	if float64(added+1) > room*usableFraction {
		return false
	}
	a.retries[slot]++
	return true
}
