package soaker

import (
	"slices"
	"strconv"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	maxLimitDuration           = 8 * time.Second                         // how long a server names a limit
	maxRateLimit               = 4.0                                     // requests a second
	limitOvershoot, limitSlack = 1.5, 5                                  // a server may get so many times what its limit allows, and so many requests (as the users' deployments have it)
	limitWindow, limitDelay    = 4 * time.Second, 500 * time.Millisecond // in any window, by routers that have known for so long
)

// limitInterval is a time in which a server names a limit.
type limitInterval struct {
	server string
	rate   float64
	interval
}

// limitServer has a server name a limit for a while.
func (s *soakRun) limitServer(e faultEvent) {
	server, _ := s.targetServer(e)
	rate := maxRateLimit * e.severity
	server.Limit(strconv.FormatFloat(rate, 'f', 2, 64))
	from := time.Now()
	s.logf("%s names a limit of %.2f a second", server.ID, rate)
	time.Sleep(maxLimitDuration/2 + e.duration)
	server.Limit("")
	s.logf("%s names no limit any more", server.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = append(s.limits, limitInterval{server.ID, rate, interval{from, time.Now()}})
}

// checkRateLimits checks that no server got more than its limit allows from the routers that it had told.
func (s *soakRun) checkRateLimits() {
	for _, l := range s.limits {
		// Another fault may have lengthened or ended it.
		overlaps := func(o limitInterval) bool {
			return o != l && o.server == l.server && o.from.Before(l.to) && l.from.Before(o.to)
		}
		if slices.ContainsFunc(s.limits, overlaps) {
			continue
		}
		var sent []time.Time
		for _, r := range s.ledger.Runs() {
			if r.Server == l.server && s.countsForLimit(r, l) {
				sent = append(sent, r.At)
			}
		}
		most, allowed := maxWithin(sent, limitWindow), int(limitOvershoot*l.rate*limitWindow.Seconds()+limitSlack)
		s.logf("%s got %d requests in %s of its limit of %.2f, %d are allowed", l.server, most, limitWindow, l.rate, allowed)
		if most > allowed {
			s.reportViolation(promiseLimited, "%s had named a limit of %.2f a second and got %d requests in %s, %d are allowed", l.server, l.rate, most, limitWindow, allowed)
		}
	}
}

// countsForLimit tells that a run counts for a limit: its router had been told, and was not disturbed.
func (s *soakRun) countsForLimit(r emulator.OpaqueRun, l limitInterval) bool {
	q := s.requests[r.ID]
	if q == nil || r.At.Before(l.from.Add(stabilityPeriod)) || r.At.After(l.to) || !s.isUndisturbed(r.At.Add(-limitWindow-stabilityPeriod), r.At, contactTargets(q.router)...) {
		return false
	}
	return slices.ContainsFunc(s.ledger.Runs(), func(o emulator.OpaqueRun) bool {
		other := s.requests[o.ID]
		return o.Server == l.server && other != nil && other.router == q.router && o.At.After(l.from) && o.At.Add(s.work+limitDelay).Before(r.At)
	})
}

// maxWithin is the most times in any window.
func maxWithin(times []time.Time, window time.Duration) (most int) {
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
