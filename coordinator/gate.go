package coordinator

import "time"

const (
	// queryTimeout is the default of Dependencies.QueryTimeout.
	queryTimeout = 20 * time.Millisecond
	// closeLatency is the average latency of queries above which a router sends none, and openLatency the one below which it
	// sends them again. The difference keeps a router at its limit from changing its behaviour several times per second.
	closeLatency = 8 * time.Millisecond
	openLatency  = 5 * time.Millisecond
	// unansweredLatency is what a query without a reply counts in the average.
	unansweredLatency = 2 * queryTimeout
	// latencyWeight is the weight of the newest query in the average.
	latencyWeight = 0.125
	// probeInterval is the time between the queries of a router that otherwise sends none.
	probeInterval = 250 * time.Millisecond
	// maxQueries is the maximum number of queries in flight.
	maxQueries = 32
)

// Gate decides whether a router sends queries, by the latency of its earlier ones and its overload. This follows the spare
// capacity of the router's processor and link, whatever the size of its machine. It is not safe for concurrent use.
type Gate struct {
	average  time.Duration
	closed   bool
	inFlight int
	probedAt time.Time
}

// TryBegin reports whether a query may be sent now. The caller must then call End when the query has ended. overloaded is set if
// the router is overloaded.
func (g *Gate) TryBegin(now time.Time, overloaded bool) bool {
	if g.inFlight >= maxQueries {
		return false
	}
	if overloaded {
		g.closed = true
	}
	if g.closed {
		if now.Sub(g.probedAt) < probeInterval {
			return false
		}
		g.probedAt = now
	}
	g.inFlight++
	return true
}

// End records the end of a query. answered is set if a reply arrived in time.
func (g *Gate) End(took time.Duration, answered, overloaded bool) {
	g.inFlight--
	if !answered {
		took = unansweredLatency
	}
	g.average += time.Duration(latencyWeight * float64(took-g.average))
	switch {
	case g.average > closeLatency:
		g.closed = true
	case g.average < openLatency && !overloaded:
		g.closed = false
	}
}

// Cancel ends a query without a measured latency, because its caller has left, or because a query that was in flight at the same
// time has already shown that the owner does not reply.
func (g *Gate) Cancel() { g.inFlight-- }

// IsClosed reports whether the router sends no queries except probes.
func (g *Gate) IsClosed() bool { return g.closed }
