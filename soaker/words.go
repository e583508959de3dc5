package soaker

import (
	"slices"
	"strconv"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	maxBackoff                     = 3 * time.Second           // how long a server wants to rest
	backoffDelay, maxSentInBackoff = 500 * time.Millisecond, 2 // a router may send so many requests from so long after it was asked (as the users' deployments have it)
	refusalsPerBackoff             = 6                         // requests that a server turns away with one wish for rest
)

// announceDrain lets a server leave whose row does not say so, and starts its next life.
func (s *soakRun) announceDrain(e faultEvent) {
	old, slot := s.targetServer(e)
	s.startServer(slot)
	old.Leave()
	s.logf("%s says in its answers that it leaves", old.ID)
	s.mu.Lock()
	s.drainAnnouncedAt[old.ID] = time.Now()
	s.mu.Unlock()
	time.Sleep(2*maxDrainDelay + extraServingTime)
	s.beginDisturbance(e.kind, old.ID, 0)
	old.Close()
	old.Deregister(s.rows)
}

// requestBackoff has a server turn its next requests away and ask for rest.
func (s *soakRun) requestBackoff(e faultEvent) {
	server, _ := s.targetServer(e)
	rest := strconv.FormatFloat(e.duration.Seconds(), 'f', 2, 64)
	server.Rest(rest)
	server.Fail(slices.Repeat([]emulator.OpaqueFault{emulator.OpaqueFull}, refusalsPerBackoff)...)
	s.logf("%s turns requests away and wants %s s of rest", server.ID, rest)
}

// isRouterUndisturbed tells that nothing has happened to a router itself between two times, whatever became of its store.
func (s *soakRun) isRouterUndisturbed(router int, from, to time.Time) bool {
	return s.isUndisturbed(from, to, routerTarget(router), plannedTarget(router), starvedTarget(router))
}

// checkBackoff checks that routers let a server rest that has asked them for it.
func (s *soakRun) checkBackoff(server *emulator.OpaqueServer) {
	arrivals := server.Arrivals()
	for _, asked := range arrivals {
		q := s.requests[asked.ID]
		seconds, err := strconv.ParseFloat(asked.Rest, 64)
		if q == nil || err != nil {
			continue
		}
		until := asked.At.Add(time.Duration(seconds * float64(time.Second)))
		sent := 0
		for _, a := range arrivals {
			if other := s.requests[a.ID]; other != nil && other.router == q.router && a.At.After(asked.At.Add(backoffDelay)) && a.At.Before(until) {
				sent++
			}
		}
		if sent > maxSentInBackoff && s.isRouterUndisturbed(q.router, asked.At.Add(-stabilityPeriod), until) {
			s.reportViolation(promiseRested, "%s had asked router-%d for %.2f s of rest at %s and got %d requests from it", server.ID, q.router, seconds, asked.At.UTC().Format(clockFormat), sent)
		}
	}
}

// checkAnnouncedDrain checks that a run is none of a router to which the server had said that it leaves, in touch with its store or not.
func (s *soakRun) checkAnnouncedDrain(r emulator.OpaqueRun, q *request) {
	said, ok := s.drainAnnouncedAt[r.Server]
	if !ok || r.At.Sub(said) <= maxDrainDelay+timingSlack {
		return
	}
	for _, o := range s.ledger.Runs() {
		other := s.requests[o.ID]
		if o.Server != r.Server || other == nil || other.router != q.router || other.signedBy != r.Server || o.At.Before(said) {
			continue
		}
		// It has passed the answer on by its end.
		if q.sentAt.Sub(other.endedAt) > maxDrainDelay && s.isRouterUndisturbed(q.router, other.endedAt.Add(-stabilityPeriod), r.At) {
			s.reportViolation(promiseDrained, "%s got a request %s after an answer had said that it leaves: %s", r.Server, r.At.Sub(other.endedAt).Round(time.Millisecond), q)
			return
		}
	}
}
