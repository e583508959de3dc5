package soaker

import (
	"slices"
	"strconv"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	limitedMost                = 8 * time.Second                         // how long a server names a limit
	limitOfMost                = 4.0                                     // requests a second
	limitOvershoot, limitSlack = 1.5, 5                                  // a server may get so many times what its limit allows, and so many requests (as the users' deployments have it)
	limitWindow, limitHeard    = 4 * time.Second, 500 * time.Millisecond // in any window, by routers that have known for so long
)

// limitSpan is a time in which a server names a limit.
type limitSpan struct {
	server string
	rate   float64
	span
}

// limitServer has a server name a limit for a while.
func (s *run) limitServer(e event) {
	server, _ := s.serverOf(e)
	rate := limitOfMost * e.size
	server.SetRateLimit(strconv.FormatFloat(rate, 'f', 2, 64))
	from := time.Now()
	s.note("%s names a limit of %.2f a second", server.ID, rate)
	time.Sleep(limitedMost/2 + e.length)
	server.SetRateLimit("")
	s.note("%s names no limit any more", server.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = append(s.limited, limitSpan{server.ID, rate, span{from, time.Now()}})
}

// judgeLimits checks that no server got more than its limit allows from the routers that it had told.
func (s *run) judgeLimits() {
	for _, l := range s.limited {
		// Another fault may have lengthened or ended it.
		overlaps := func(o limitSpan) bool {
			return o != l && o.server == l.server && o.from.Before(l.to) && l.from.Before(o.to)
		}
		if slices.ContainsFunc(s.limited, overlaps) {
			continue
		}
		var sent []time.Time
		for _, r := range s.ledger.Runs() {
			if r.Server == l.server && s.bound(r, l) {
				sent = append(sent, r.StartedAt)
			}
		}
		most, allowed := mostWithin(sent, limitWindow), int(limitOvershoot*l.rate*limitWindow.Seconds()+limitSlack)
		s.note("%s got %d requests in %s of its limit of %.2f, %d are allowed", l.server, most, limitWindow, l.rate, allowed)
		if most > allowed {
			s.violate(promiseLimited, "%s had named a limit of %.2f a second and got %d requests in %s, %d are allowed", l.server, l.rate, most, limitWindow, allowed)
		}
	}
}

// bound tells that a run counts for a limit: its router had been told, and was not disturbed.
func (s *run) bound(r emulator.OpaqueRun, l limitSpan) bool {
	q := s.requests[r.ID]
	if q == nil || r.StartedAt.Before(l.from.Add(stable)) || r.StartedAt.After(l.to) || !s.calm(r.StartedAt.Add(-limitWindow-stable), r.StartedAt, inTouch(q.router)...) {
		return false
	}
	return slices.ContainsFunc(s.ledger.Runs(), func(o emulator.OpaqueRun) bool {
		other := s.requests[o.ID]
		return o.Server == l.server && other != nil && other.router == q.router && o.StartedAt.After(l.from) && o.StartedAt.Add(s.work+limitHeard).Before(r.StartedAt)
	})
}

// mostWithin is the most times in any window.
func mostWithin(times []time.Time, window time.Duration) (most int) {
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
