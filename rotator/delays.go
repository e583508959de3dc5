package rotator

import "time"

const (
	// bucketSpan and buckets are how the last moments are divided: what is older than their product does not count.
	bucketSpan = 100 * time.Millisecond
	buckets    = 6
	// minCalls is how many calls must have ended within these moments to say anything.
	minCalls = 3
	// baselineGrowth is by how much the usual time may grow in a second, so that a path that has become longer for good is
	// usual after a while.
	baselineGrowth = time.Millisecond
)

// callTimes are the times that one kind of call took.
type callTimes struct {
	baseline   time.Duration
	baselineAt time.Time
	recent     [buckets]bucket
}

// bucket is the calls that ended within one span.
type bucket struct {
	index int64
	count int
	min   time.Duration
}

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(bucketSpan) }

// record counts a call that ended now.
func (d *callTimes) record(now time.Time, took time.Duration) {
	if d.baselineAt.IsZero() || took < d.currentBaseline(now) {
		d.baseline, d.baselineAt = took, now
	}
	n := bucketIndex(now)
	b := &d.recent[n%buckets]
	if b.index != n {
		*b = bucket{index: n, min: took}
	}
	b.count++
	b.min = min(b.min, took)
}

// currentBaseline is the least time seen, and what it may have grown by since.
func (d *callTimes) currentBaseline(now time.Time) time.Duration {
	return d.baseline + time.Duration(now.Sub(d.baselineAt).Seconds()*float64(baselineGrowth))
}

// excess is by how much the least of the last moments' calls was above the usual; false when there were too few. A burst
// delays some calls, a link that stays full each of them.
func (d *callTimes) excess(now time.Time) (time.Duration, bool) {
	n := bucketIndex(now)
	count, fastest := 0, time.Duration(0)
	for _, b := range d.recent {
		if b.count == 0 || b.index <= n-buckets {
			continue
		}
		if count == 0 || b.min < fastest {
			fastest = b.min
		}
		count += b.count
	}
	if count < minCalls {
		return 0, false
	}
	return max(0, fastest-d.currentBaseline(now)), true
}
