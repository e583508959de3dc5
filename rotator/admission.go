package rotator

import (
	"math"
	"time"
)

const (
	// maxUnansweredTime is the time within which an overloaded router must be able to carry all unanswered requests.
	maxUnansweredTime = 500 * time.Millisecond
	// rankShare is the share of the limit that is withheld from a request for each rank below the most urgent. largeShare is the
	// share that is withheld from requests that are larger than the average. It lets many small requests be served instead of a
	// few large ones.
	rankShare  = 0.03
	largeShare = 0.3
	// bodyMemoryShare is the share of the router's memory that request bodies may use. The rest is for answers, connections,
	// information about servers and budgets, and the program.
	bodyMemoryShare = 0.25
	// sizeSamples determines how quickly the average size of requests changes: the newest request has a weight of 1/sizeSamples.
	sizeSamples = 64
)

// admission limits the number of unanswered requests while the router is overloaded. A request is unanswered until the first part
// of its answer has arrived. At all times, admission also limits the total size of the requests that have not ended.
type admission struct {
	unanswered int
	// limit is the maximum number of unanswered requests; zero is no limit.
	limit float64
	// averageSize is the average size of a request in bytes.
	averageSize float64
	// heldBytes is the total size of the admitted requests that have not ended. maxHeldBytes is its maximum; zero is no maximum.
	heldBytes, maxHeldBytes int64
}

// admit admits and counts a request, or returns false if the request must be refused. rank is zero for the most urgent requests,
// and bytes is the size of the request.
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

// markAnswered stops counting a request as unanswered. release subtracts the size of a request that has ended from heldBytes.
func (a *admission) markAnswered()       { a.unanswered-- }
func (a *admission) release(bytes int64) { a.heldBytes -= max(0, bytes) }

// setLimit sets the limit on unanswered requests of a router that can carry rate requests per second. Zero removes the limit.
func (a *admission) setLimit(rate float64) { a.limit = rate * maxUnansweredTime.Seconds() }
