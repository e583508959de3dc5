package treasurer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the moving averages of rates: after it, an amount's weight has fallen to 1/e.
	demandWindow = 4 * time.Second
	// minObservedSpan is the minimum time over which the first amounts of an average are spread. Without it, the first
	// request would count as a very high rate.
	minObservedSpan = 1500 * time.Millisecond
)

// average is an exponentially decaying mean rate, of amounts that are added one by one.
type average struct {
	// rate is the mean amount in a second as of the last update. sum is the sum of the amounts, each weighted by its age.
	rate      float64
	sum       float64
	updatedAt time.Time
	// firstAt is when the first amount was added. With it, decay corrects the initial bias of the average.
	firstAt time.Time
}

// decay reduces the weight of the amounts by the time since the last update, and updates the rate.
func (m *average) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.sum *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	}
	m.updatedAt = now
	// At first the sum covers less time than the whole window, so it is divided by less.
	observed := max(minObservedSpan, now.Sub(m.firstAt))
	m.rate = m.sum / (demandWindow.Seconds() * (1 - math.Exp(-observed.Seconds()/demandWindow.Seconds())))
}

// add adds an amount at the given time.
func (m *average) add(now time.Time, amount float64) {
	if m.firstAt.IsZero() {
		m.firstAt = now
	}
	m.decay(now)
	m.sum += amount
	m.decay(now)
}

// observeDemand adds to the demand what a request needs, and updates the typical need. A need above the whole budget does not count: no
// reserve can serve it.
func (a *account) observeDemand(now time.Time, need int64) {
	if need > a.currentPrepaid() {
		return
	}
	a.demand.add(now, float64(need))
	if a.typicalNeed == 0 {
		a.typicalNeed = float64(need)
	}
	a.typicalNeed += (float64(need) - a.typicalNeed) / 8
}
