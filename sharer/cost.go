package sharer

import (
	"math"
	"time"
)

// byteRate is an exponentially decaying average of bytes per second, with the time constant rateSpan.
type byteRate struct {
	sum float64
	at  time.Time
}

func (c *byteRate) add(now time.Time, bytes int64) {
	c.decay(now)
	c.sum += float64(bytes)
}

func (c *byteRate) decay(now time.Time) {
	if passed := now.Sub(c.at); passed > 0 {
		c.sum *= math.Exp(-passed.Seconds() / rateSpan.Seconds())
	}
	c.at = now
}

// rate returns the average as of now, in bytes per second.
func (c *byteRate) rate(now time.Time) float64 {
	c.decay(now)
	return c.sum / rateSpan.Seconds()
}
