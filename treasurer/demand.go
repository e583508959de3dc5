package treasurer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time over which a workspace's demand is averaged.
	demandWindow = 4 * time.Second
	// minObservedSpan is the least time that the first demand is spread over.
	minObservedSpan = 1500 * time.Millisecond
)

// average is a decaying mean of something a second.
type average struct {
	// rate is the mean a second, as of the last time that it was brought up to date.
	rate float64
	sum  float64
	at   time.Time
	// firstAt is when the first came, so that the average is not low at the beginning.
	firstAt time.Time
}

// decay lets what came long ago count less.
func (m *average) decay(now time.Time) {
	if passed := now.Sub(m.at); passed > 0 {
		m.sum *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
	}
	m.at = now
	// At the beginning the sum covers less than the whole window.
	seen := max(minObservedSpan, now.Sub(m.firstAt))
	m.rate = m.sum / (demandWindow.Seconds() * (1 - math.Exp(-seen.Seconds()/demandWindow.Seconds())))
}

// add counts an amount that comes now.
func (m *average) add(now time.Time, amount float64) {
	if m.firstAt.IsZero() {
		m.firstAt = now
	}
	m.decay(now)
	m.sum += amount
	m.decay(now)
}

// observeDemand counts demand; what is declared at most is what has to be held.
func (a *account) observeDemand(now time.Time, need int64) {
	a.demand.add(now, float64(need))
	if a.typicalNeed == 0 {
		a.typicalNeed = float64(need)
	}
	a.typicalNeed += (float64(need) - a.typicalNeed) / 8
}
