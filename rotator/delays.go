package rotator

import "time"

const (
	// bucketSpan is the duration of a bucket, and buckets the number of buckets. Calls that ended earlier do not count.
	bucketSpan = 100 * time.Millisecond
	buckets    = 6
	// minCalls is the minimum number of recent calls that is needed to compute their excess over the baseline.
	minCalls = 3
	// baselineGrowth is how much the baseline may grow per second, so that it adapts to a network path that has become longer
	// permanently.
	baselineGrowth = time.Millisecond
)

// callTimes tracks the durations of one kind of call.
type callTimes struct {
	baseline   time.Duration
	baselineAt time.Time
	recent     [buckets]bucket
}

// bucket summarizes the calls that ended within one bucketSpan. index is the number of the bucketSpan since the Unix epoch.
type bucket struct {
	index int64
	count int
	min   time.Duration
}

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(bucketSpan) }

// record adds a call that ended now.
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

// currentBaseline returns the baseline plus its growth. The baseline is the duration of the last call that was faster than the
// baseline had grown to by then.
func (d *callTimes) currentBaseline(now time.Time) time.Duration {
	return d.baseline + time.Duration(now.Sub(d.baselineAt).Seconds()*float64(baselineGrowth))
}

// excess returns by how much the minimum duration of the recent calls exceeds the baseline. It returns false if there were too
// few calls. The minimum is used because a burst delays only some calls, but a saturated link delays all of them.
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
