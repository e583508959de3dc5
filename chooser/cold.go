package chooser

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// coldWindow is the time over which the requests sent to a cold server are counted. It is longer than the one second for which
// ColdRateLimit holds at the server. Because the network delay varies, requests may arrive closer together than they were sent.
const coldWindow = 1200 * time.Millisecond

// ColdRateLimit is the maximum number of requests that a cold server may get from all routers together in any second: Overshoot
// times the configured rate in requests per second, plus Slack.
type ColdRateLimit struct {
	Overshoot float64
	Slack     float64
}

// ownerLimit returns the maximum number of requests that the owner of a cold server may send to it within coldWindow. The owner
// is the router that may send requests to the server while it is cold. Two routers may both consider themselves the owner while
// they know of different routers. Therefore the limit is half of the total for all routers, but at least one.
func (b ColdRateLimit) ownerLimit(rate float64) int { return max(1, int((b.Overshoot*rate+b.Slack)/2)) }

// Eligible returns the warm servers and the cold servers that may get one more request from this router. The latter are those
// that the router owns and to which it has sent fewer requests within coldWindow than ownerLimit. rate is the configured rate for
// a cold server, in requests per second.
//
// The caller should use a cold server only for a request that no warm server can take. A cold server is slow, and crashes under a
// load that a warm server handles.
func (s *Servers) Eligible(now time.Time, servers []masticway.Server, rate float64, owns func(server string) bool) (warm, cold []masticway.Server) {
	for i, server := range servers {
		if !server.IsCold(now) {
			if warm != nil {
				warm = append(warm, server)
			}
			continue
		}
		if warm == nil {
			// The list is copied at the first cold server, because usually there is none.
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

// recentlySent returns the times of the requests sent to the server within the last coldWindow, oldest first. It drops earlier
// times.
func (l *serverLoad) recentlySent(now time.Time) []time.Time {
	l.sendTimes = slices.DeleteFunc(l.sendTimes, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return l.sendTimes
}
