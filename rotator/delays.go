package rotator

import "time"

const (
	// bucketSpan is the period whose calls one bucket summarizes. buckets is the number of buckets for one kind of call. Only the
	// calls in these buckets are recent.
	bucketSpan = 100 * time.Millisecond
	buckets    = 6
	// minCalls is the minimum number of recent calls of one kind that is needed to compute their excess over the baseline.
	minCalls = 3
	// baselineGrowth is how much the baseline grows per second until a faster call resets it. The growth adapts the baseline to a
	// network path that has become longer permanently.
	baselineGrowth = time.Millisecond
)

// callTimes tracks the durations of one kind of call. baseline is the usual duration of a call without congestion, as of
// baselineAt: the duration of the last call that was faster than currentBaseline.
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

// currentBaseline returns the baseline plus its growth since baselineAt.
func (d *callTimes) currentBaseline(now time.Time) time.Duration {
	return d.baseline + time.Duration(now.Sub(d.baselineAt).Seconds()*float64(baselineGrowth))
}

// excess returns by how much the duration of the fastest recent call exceeds the baseline. It returns false if there were fewer
// than minCalls recent calls. It uses the fastest call because a burst delays only some calls, but a saturated link delays all of
// them.
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
