package chooser

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// coldWindow is the time over which requests to a cold server are counted. The limit of a deployment holds for any second, and
// requests may arrive closer together than they were sent because of varying network delay, so the window is longer than a
// second.
const coldWindow = 1200 * time.Millisecond

// ColdRateLimit is the maximum number of requests that a cold server may get from all routers together in any second: Overshoot times
// the configured rate, plus Slack.
type ColdRateLimit struct {
	Overshoot float64
	Slack     float64
}

// ownerLimit returns the maximum number of requests that the server's owner may send to it. The owner is the only router that
// sends to the server while it is cold. The limit is half of the total, because two routers may both consider themselves the
// owner while they know of different routers.
func (b ColdRateLimit) ownerLimit(rate float64) int { return max(1, int((b.Overshoot*rate+b.Slack)/2)) }

// Eligible returns the warm servers, which may get any request, and the cold servers that may get one more request from this router,
// which must own the server and have sent fewer requests than the owner's limit. Cold servers are meant for requests that no warm
// server can take: they are slow, and crash under a load that a warm server handles.
func (s *Servers) Eligible(now time.Time, servers []masticway.Server, rate float64, owns func(server string) bool) (warm, cold []masticway.Server) {
	for i, server := range servers {
		if !server.IsCold(now) {
			if warm != nil {
				warm = append(warm, server)
			}
			continue
		}
		if warm == nil {
			// Usually no server is cold, and nothing is copied.
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

// recentlySent returns the times of the requests sent within the last coldWindow, oldest first, and drops earlier ones.
func (l *serverLoad) recentlySent(now time.Time) []time.Time {
	l.sendTimes = slices.DeleteFunc(l.sendTimes, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return l.sendTimes
}
