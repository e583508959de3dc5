package chooser

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// coldWindow is the time over which requests to a cold server are counted: the deployments bound them in any second, and
// requests that were sent apart may arrive closer together by some delays of a link.
const coldWindow = 1200 * time.Millisecond

// ColdBound is how many requests a cold server may get from all routers in any second: Overshoot times the rate that the
// configuration names, and Slack beside.
type ColdBound struct {
	Overshoot float64
	Slack     float64
}

// ownerLimit is how many of them the server's owner sends, the one router that sends to it while it is cold: half, since two
// may each take themselves for the owner while they know different routers.
func (b ColdBound) ownerLimit(rate float64) int { return max(1, int((b.Overshoot*rate+b.Slack)/2)) }

// Warm returns the servers that may get any request, and of the cold ones those that may get one more from this router,
// which has to own the server and to be below the owner's bound. Cold servers are meant for requests that no warm one can
// serve: they are slow, and crash under what a warm one bears.
func (s *Servers) Warm(now time.Time, servers []masticway.Server, rate float64, owns func(server string) bool) (warm, cold []masticway.Server) {
	for i, server := range servers {
		if !server.IsCold(now) {
			if warm != nil {
				warm = append(warm, server)
			}
			continue
		}
		if warm == nil {
			// Most of the time none is cold, and nothing is copied.
			warm = append(make([]masticway.Server, 0, len(servers)), servers[:i]...)
		}
		if len(s.load(server.ID).recentlySent(now)) < s.policy.Cold.ownerLimit(rate) && owns(server.ID) {
			cold = append(cold, server)
		}
	}
	if warm == nil {
		warm = servers
	}
	return warm, cold
}

// recentlySent returns when requests were sent in the last coldWindow, oldest first; earlier ones are forgotten.
func (l *serverLoad) recentlySent(now time.Time) []time.Time {
	l.sendTimes = slices.DeleteFunc(l.sendTimes, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return l.sendTimes
}
