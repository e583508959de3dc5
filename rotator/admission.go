package rotator

import "math"

const (
	// shrinkFactor is applied to the limit on unanswered requests at each check that finds the router's own calls delayed,
	// growFactor at each other check. The limit halves within 0.7 s and doubles within 1.5 s.
	shrinkFactor = 0.9
	growFactor   = 1.05
	// minLimit is the minimum limit. Some requests must be admitted to find out how much the router can handle.
	minLimit = 4
	// rankShare is the part of the limit that is withheld from requests for each rank below the most urgent. largeShare is the
	// part that is withheld from requests that are larger than the average. Most requests are served if the urgent and small ones
	// go first.
	rankShare  = 0.03
	largeShare = 0.3
	// bodyMemoryShare is the part of the router's memory that request bodies may use. The rest is for answers, connections,
	// information about servers and budgets, and the program.
	bodyMemoryShare = 0.25
	// sizeSamples is the number of requests over which the size is averaged.
	sizeSamples = 64
)

// admission limits the number of unanswered requests, for which no part of the answer has arrived yet, while the router is
// overloaded. It always limits the bytes held for all requests, however slowly their callers read.
type admission struct {
	unanswered int
	// limit is the maximum number of unanswered requests; zero is no limit.
	limit float64
	// averageSize is the average size of a request in bytes.
	averageSize float64
	// heldBytes is the total size of the requests that have not ended. maxHeldBytes is its maximum; zero is no maximum.
	heldBytes, maxHeldBytes int64
}

// admit admits a request. It returns false if the request must be refused.
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

// markAnswered removes a request from the unanswered ones, and release removes its bytes from those held.
func (a *admission) markAnswered()       { a.unanswered-- }
func (a *admission) release(bytes int64) { a.heldBytes -= max(0, bytes) }

// adjust updates the limit.
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
