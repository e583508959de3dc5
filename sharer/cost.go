package sharer

import (
	"math"
	"time"
)

// cost is an exponentially decaying average of bytes per second.
type cost struct {
	sum float64
	at  time.Time
}

func (c *cost) add(now time.Time, bytes int64) {
	c.decay(now)
	c.sum += float64(bytes)
}

func (c *cost) decay(now time.Time) {
	if passed := now.Sub(c.at); passed > 0 {
		c.sum *= math.Exp(-passed.Seconds() / rateSpan.Seconds())
	}
	c.at = now
}

// rate returns the current average.
func (c *cost) rate(now time.Time) float64 {
	c.decay(now)
	return c.sum / rateSpan.Seconds()
}
