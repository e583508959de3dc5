package chooser

import (
	"time"

	"github.com/masticway/masticway"
)

// minPenalty is the smallest penalty, in milliseconds, that Penalties returns. Failure rates decay without reaching zero.
const minPenalty = 1.0

// Penalties returns the costs of servers for failures that this router has observed, in milliseconds and by server ID. Servers
// with a penalty below minPenalty are left out; the map is nil if there are no others.
func (s *Servers) Penalties(now time.Time, servers []masticway.Server) map[string]float64 {
	var all map[string]float64
	for i := range servers {
		l, ok := s.loads[servers[i].ID]
		if !ok {
			continue
		}
		if penalty := l.failurePenalty(now); penalty >= minPenalty {
			if all == nil {
				all = map[string]float64{}
			}
			all[servers[i].ID] = penalty
		}
	}
	return all
}

// failurePenalty returns the cost of the server for its observed failures, in milliseconds.
func (l *serverLoad) failurePenalty(now time.Time) float64 {
	penalty := l.failureRate * failureCost
	if now.Before(l.avoidUntil) {
		penalty += failureCost * 10
	}
	return penalty
}
