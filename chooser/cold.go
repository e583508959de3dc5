package chooser

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// coldWindow is the time over which requests to a cold server are counted. The limit holds for any second at the server. Because
// the network delay varies, requests may arrive closer together than they were sent, so the window is longer than a second.
const coldWindow = 1200 * time.Millisecond

// ColdRateLimit is the maximum number of requests that a cold server may get from all routers together in any second: Overshoot
// times the configured rate in requests per second, plus Slack.
type ColdRateLimit struct {
	Overshoot float64
	Slack     float64
}

// ownerLimit returns the maximum number of requests that the owner of a cold server may send to it within coldWindow. The owner
// is the one router that may send requests to the server while it is cold. The limit is half of the total, but at least one,
// because two routers may both consider themselves the owner while they know of different routers.
func (b ColdRateLimit) ownerLimit(rate float64) int { return max(1, int((b.Overshoot*rate+b.Slack)/2)) }

// Eligible returns the warm servers, which may get any request, and the cold servers that may get one more request from this
// router: those that it owns and to which it has sent fewer requests than the owner's limit. Cold servers are meant for requests
// that no warm server can take, because they are slow, and crash under a load that a warm server handles. rate is the configured
// rate for cold servers, in requests per second.
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
