package soaker

import (
	"slices"
	"strconv"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// maxLimitDuration is the longest time for which a server advertises a rate limit, beyond minDuration.
	maxLimitDuration = 8 * time.Second
	// maxRateLimit is the largest advertised rate limit in requests per second.
	maxRateLimit = 4.0
	// Within any time of length limitWindow, a server may get at most limitOvershoot times the requests that its limit
	// allows, plus limitSlack requests, as in the users' deployments.
	limitOvershoot, limitSlack = 1.5, 5
	// limitWindow is the time over which requests are counted. The requests of a router count from limitDelay after it got
	// an answer that carries the limit.
	limitWindow, limitDelay = 4 * time.Second, 500 * time.Millisecond
)

// limitInterval is an interval in which a server advertised a rate limit, in requests per second.
type limitInterval struct {
	server string
	rate   float64
	interval
}

// limitServer makes a server advertise a rate limit for a while.
func (s *soakRun) limitServer(e faultEvent) {
	server, _ := s.targetServer(e)
	rate := maxRateLimit * e.severity
	server.SetRateLimit(strconv.FormatFloat(rate, 'f', 2, 64))
	from := time.Now()
	s.logf("%s advertises a rate limit of %.2f requests/s", server.ID, rate)
	time.Sleep(maxLimitDuration/2 + e.duration)
	server.SetRateLimit("")
	s.logf("%s advertises no rate limit any more", server.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = append(s.limits, limitInterval{server.ID, rate, interval{from, time.Now()}})
}

// checkRateLimits checks for each rate limit that the server got no more requests than the limit and the tolerance allow. It
// counts only requests from routers that had received the limit.
func (s *soakRun) checkRateLimits() {
	for _, l := range s.limits {
		// If two limits of one server overlap, the later replaces the earlier, and the first to end removes both. Neither is
		// checked.
		overlaps := func(o limitInterval) bool {
			return o != l && o.server == l.server && o.from.Before(l.to) && l.from.Before(o.to)
		}
		if slices.ContainsFunc(s.limits, overlaps) {
			continue
		}
		var sent []time.Time
		for _, r := range s.ledger.Runs() {
			if r.Server == l.server && s.countsForLimit(r, l) {
				sent = append(sent, r.StartedAt)
			}
		}
		peak, allowed := maxWithin(sent, limitWindow), int(limitOvershoot*l.rate*limitWindow.Seconds()+limitSlack)
		s.logf("%s got %d requests within %s under its limit of %.2f requests/s, %d are allowed", l.server, peak, limitWindow, l.rate, allowed)
		if peak > allowed {
			s.reportViolation(promiseLimited, "%s advertised a rate limit of %.2f requests/s and got %d requests within %s, %d are allowed", l.server, l.rate, peak, limitWindow, allowed)
		}
	}
}

// countsForLimit reports whether a run counts towards a limit. The limit must have been in effect for stabilityPeriod and
// must not have ended. The router that sent the run must have been in contact with the store and must have received the
// limit with an earlier answer.
func (s *soakRun) countsForLimit(r emulator.OpaqueRun, l limitInterval) bool {
	q := s.requests[sendingOf(r)]
	if q == nil || r.StartedAt.Before(l.from.Add(stabilityPeriod)) || r.StartedAt.After(l.to) || !s.isUndisturbed(r.StartedAt.Add(-limitWindow-stabilityPeriod), r.StartedAt, contactTargets(q.router)...) {
		return false
	}
	return slices.ContainsFunc(s.ledger.Runs(), func(o emulator.OpaqueRun) bool {
		other := s.requests[sendingOf(o)]
		return o.Server == l.server && other != nil && other.router == q.router && o.StartedAt.After(l.from) && o.StartedAt.Add(s.work+limitDelay).Before(r.StartedAt)
	})
}

// maxWithin returns the largest number of the given times within any window. The times must be sorted.
func maxWithin(times []time.Time, window time.Duration) (count int) {
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		count = max(count, n)
	}
	return count
}
