package rotator

import "math"

const (
	// shrinkFactor is what is left of the bound on requests at work with each look that finds the router's own calls delayed,
	// growFactor what it grows to with each that does not: it halves within 0.7 s and doubles within 1.5 s.
	shrinkFactor = 0.9
	growFactor   = 1.05
	// minLimit is the least bound, so that what a router can still carry is known.
	minLimit = 4
	// rankShare is the part of the bound that is kept from requests for each rank that they are less urgent, largeShare the
	// part that is kept from those that are larger than usual: of what can be carried most requests are served when the
	// urgent and cheap ones go first.
	rankShare  = 0.03
	largeShare = 0.3
	// bodyMemoryShare is the part of the router's memory that bodies of requests may take; the rest is for answers, connections, what is
	// known of servers and money, and the program.
	bodyMemoryShare = 0.25
	// sizeSamples is the number of requests over which the usual size is averaged.
	sizeSamples = 64
)

// admission bounds the requests at work, those without a part of their answer yet, while the router is overloaded, and always
// the bytes that it holds of all requests, however slowly their callers read.
type admission struct {
	unanswered int
	// limit is how many may be; it is not in force when it is zero.
	limit float64
	// averageSize is the usual size of a request in bytes.
	averageSize float64
	// heldBytes is the bytes of the requests that have not ended, maxHeldBytes how many there may be, or zero for any.
	heldBytes, maxHeldBytes int64
}

// admit counts a request in; false when it is to be refused.
func (a *admission) admit(rank int, bytes int64) bool {
	bytes = max(0, bytes)
	if a.maxHeldBytes > 0 && a.heldBytes+bytes > a.maxHeldBytes {
		return false
	}
	size := float64(bytes)
	large := size > a.averageSize
	a.averageSize += (size - a.averageSize) / sizeSamples
	if a.limit > 0 {
		share := 1 - rankShare*float64(rank)
		if large {
			share -= largeShare
		}
		if float64(a.unanswered) >= math.Max(1, a.limit*share) {
			return false
		}
	}
	a.unanswered++
	a.heldBytes += bytes
	return true
}

// markAnswered counts a request out of those at work, ended its bytes out of those held.
func (a *admission) markAnswered()       { a.unanswered-- }
func (a *admission) release(bytes int64) { a.heldBytes -= max(0, bytes) }

// adjust moves the bound.
func (a *admission) adjust(overloaded, delayed bool) {
	switch {
	case !overloaded:
		a.limit = 0
	case a.limit == 0:
		a.limit = math.Max(minLimit, float64(a.unanswered)/2)
	case delayed:
		a.limit = math.Max(minLimit, a.limit*shrinkFactor)
	default:
		a.limit *= growFactor
	}
}
