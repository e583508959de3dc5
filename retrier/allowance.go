package retrier

import "time"

const (
	// buckets divide the window of an allowance.
	buckets = 20
	// allowanceUse is the part of the share that a router uses, because others count at other moments.
	allowanceUse = 0.8
)

// Allowance bounds how many arrivals beyond the first of each request a router adds at one pool within a sliding
// window: a part of the requests for it, and a share of what all routers may add together. It is not safe for
// concurrent use.
type Allowance struct {
	ratio  float64
	slack  float64
	window time.Duration
	asked  [2 * buckets]int
	added  [2 * buckets]int
	slot   int64
}

// NewAllowance returns an allowance over a window; slack is for all routers together.
func NewAllowance(ratio, slack float64, window time.Duration) *Allowance {
	return &Allowance{ratio: ratio, slack: slack, window: window}
}

// advance empties the buckets that have come round again.
func (a *Allowance) advance(now time.Time) int {
	slot := now.UnixNano() / int64(a.window/buckets)
	for ; a.slot < slot; a.slot++ {
		if slot-a.slot > 2*buckets {
			a.slot = slot - 2*buckets
		}
		a.asked[int((a.slot+1)%(2*buckets))] = 0
		a.added[int((a.slot+1)%(2*buckets))] = 0
	}
	return int(slot % (2 * buckets))
}

// Asked counts a request for the pool.
func (a *Allowance) Asked(now time.Time) { a.asked[a.advance(now)]++ }

// Take counts one more arrival, if the window has room for it; routers is how many share the slack, zero for unknown.
func (a *Allowance) Take(now time.Time, routers int) bool {
	slot := a.advance(now)
	asked, added := 0, 0
	for i := range buckets {
		k := (slot - i + 2*buckets) % (2 * buckets)
		asked += a.asked[k]
		added += a.added[k]
	}
	room := a.ratio * float64(asked)
	if routers > 0 {
		room += a.slack / float64(routers)
	}
	if float64(added+1) > room*allowanceUse {
		return false
	}
	a.added[slot]++
	return true
}
