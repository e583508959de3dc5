package treasurer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the moving averages of demand.
	demandWindow = 4 * time.Second
	// minObservedSpan is the minimum time over which the first demand is averaged.
	minObservedSpan = 1500 * time.Millisecond
)

// average is an exponentially decaying mean of amounts a second.
type average struct {
	// rate is the mean a second as of the last update; sum is the sum of the amounts, each reduced by its age.
	rate      float64
	sum       float64
	updatedAt time.Time
	// firstAt is when the first amount was added; it corrects the initial bias of the average.
	firstAt time.Time
}

// decay reduces the weight of earlier amounts and updates the rate.
func (m *average) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.sum *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	}
	m.updatedAt = now
	// At first the sum covers less than the whole window.
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

// observeDemand adds to the demand the most that a request may use.
func (a *account) observeDemand(now time.Time, need int64) {
	a.demand.add(now, float64(need))
	if a.typicalNeed == 0 {
		a.typicalNeed = float64(need)
	}
	a.typicalNeed += (float64(need) - a.typicalNeed) / 8
}
