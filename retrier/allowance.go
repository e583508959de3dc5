package retrier

import (
	"time"
)

// An allowance divides time into buckets.
const (
	bucketsPerWindow = 20
	// creditBuckets is the number of buckets for which a request entitles to retries.
	creditBuckets = bucketsPerWindow / 4
	// deliveryBuckets is the number of buckets within which a granted retry reaches its server. A window of arrivals may hold the
	// retries that were granted in so many buckets before it.
	deliveryBuckets = bucketsPerWindow / 10
	// fixedBuckets is the number of complete buckets for which a fixed retry counts after it was granted.
	fixedBuckets = bucketsPerWindow + deliveryBuckets
	// ringSize exceeds the number of buckets that count at any time.
	ringSize = fixedBuckets + 2
)

// usableFraction is the fraction of the bound that routers use. The rest is a margin for the variation of the load.
const usableFraction = 0.9

// Limit bounds the retries of requests to a pool that all routers together make in any window of a given length: to Ratio for each
// request in the window, and Fixed in addition.
type Limit struct {
	Ratio, Fixed float64
	Window       time.Duration
}

// Allowance grants the retries of one incarnation of a router to one pool, so that all incarnations of all routers together keep a
// Limit.
//
// A request entitles to a part of a retry, at the router that gets it and for a fraction of the window. Whichever routers get the
// requests, the retries that arrive in a window are then paid for by the requests of that window and of a short time before it.
// The part is smaller than the ratio, to make up for that time.
//
// The fixed retries are divided equally among the routers (see Share). A new incarnation makes none until those that its predecessor
// may have made have left every window.
//
// An Allowance is not safe for concurrent use.
type Allowance struct {
	bucketLength time.Duration
	// creditPerRequest is the part of a retry to which a request entitles. fixed is the number of fixed retries of all routers.
	creditPerRequest, fixed float64
	// fixedFrom is when this incarnation begins to use its share of the fixed retries.
	fixedFrom time.Time
	// credits and fixedUsed are rings with an entry for each bucket: the unused credit of its requests, and the part of its retries
	// that no credit covered.
	credits, fixedUsed [ringSize]float64
	// bucket is the number of the bucket, counted from the Unix epoch, that was current at the last call.
	bucket int64
}

// NewAllowance returns the allowance of an incarnation that started at a given time.
func NewAllowance(l Limit, startedAt time.Time) *Allowance {
	const paidBuckets = bucketsPerWindow + creditBuckets + deliveryBuckets
	a := &Allowance{
		bucketLength: l.Window / bucketsPerWindow, fixed: l.Fixed * usableFraction,
		creditPerRequest: l.Ratio * usableFraction * bucketsPerWindow / paidBuckets,
	}
	a.fixedFrom = startedAt.Add(fixedBuckets * a.bucketLength)
	return a
}

// advance clears the buckets that have begun since the last call and returns the number of the current one.
func (a *Allowance) advance(now time.Time) int64 {
	bucket := now.UnixNano() / int64(a.bucketLength)
	for a.bucket = max(a.bucket, bucket-ringSize); a.bucket < bucket; a.bucket++ {
		a.credits[(a.bucket+1)%ringSize] = 0
		a.fixedUsed[(a.bucket+1)%ringSize] = 0
	}
	return a.bucket
}

// RecordRequest counts a request for the pool, which entitles to a part of a retry.
func (a *Allowance) RecordRequest(now time.Time) {
	a.credits[a.advance(now)%ringSize] += a.creditPerRequest
}

// Decision says whether an allowance granted a retry, and why. Credit is what the latest requests entitled to, in retries, and Fixed
// what was left of this router's fixed retries. Routers is the number of routers among which these are divided, or zero if this
// router could use none.
type Decision struct {
	Granted       bool
	Credit, Fixed float64
	Routers       int
	// grant is what the retry was taken from, if it was granted.
	grant grant
}

// grant is what one retry was taken from: the credit of the buckets up to the one with the given number, and a fixed retry.
type grant struct {
	bucket int64
	credit [creditBuckets]float64
	fixed  float64
}

// TryTake grants a retry if the latest requests and this router's fixed retries cover it. The fixed retries are divided by the number
// of routers; zero means that this router can use none (see Share.Routers).
func (a *Allowance) TryTake(now time.Time, routers int) Decision {
	current := a.advance(now)
	if now.Before(a.fixedFrom) {
		routers = 0
	}
	d := Decision{Routers: routers}
	for b := current - creditBuckets + 1; b <= current; b++ {
		d.Credit += a.credits[b%ringSize]
	}
	if routers > 0 {
		d.Fixed = a.fixed / float64(routers)
		for b := current - fixedBuckets; b <= current; b++ {
			d.Fixed -= a.fixedUsed[b%ringSize]
		}
		d.Fixed = max(0, d.Fixed)
	}
	if d.Credit+d.Fixed < 1 {
		return d
	}
	d.Granted = true
	d.grant = a.take(current)
	return d
}

// take uses the credit of the oldest requests first, because it expires, and covers the rest of one retry by a fixed one.
func (a *Allowance) take(current int64) grant {
	g := grant{bucket: current, fixed: 1}
	for i := range g.credit {
		credit := &a.credits[g.creditBucket(i)%ringSize]
		g.credit[i] = min(g.fixed, *credit)
		*credit -= g.credit[i]
		g.fixed -= g.credit[i]
	}
	a.fixedUsed[current%ringSize] += g.fixed
	return g
}

// creditBucket returns the number of the bucket from which the credit with an index was taken.
func (g grant) creditBucket(i int) int64 { return g.bucket - creditBuckets + 1 + int64(i) }

// Return gives back a granted retry that was not sent to any server. Credit that has expired meanwhile stays expired. A decision must
// be given back once at most.
func (a *Allowance) Return(now time.Time, d Decision) {
	current := a.advance(now)
	if !d.Granted || d.grant.bucket <= current-ringSize {
		return
	}
	for i, credit := range d.grant.credit {
		if b := d.grant.creditBucket(i); b > current-ringSize {
			a.credits[b%ringSize] += credit
		}
	}
	a.fixedUsed[d.grant.bucket%ringSize] -= d.grant.fixed
}
