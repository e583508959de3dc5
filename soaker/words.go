package soaker

import (
	"slices"
	"strconv"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// maxBackoff is the longest backoff that a server asks for, beyond minDuration.
	maxBackoff = 3 * time.Second
	// A server's request to back off must take effect at a router within backoffDelay. From then until the backoff ends, the
	// router may send the server at most maxSentInBackoff requests, as in the users' deployments.
	backoffDelay, maxSentInBackoff = 500 * time.Millisecond, 2
	// refusalsPerBackoff is the number of requests that a server refuses with one backoff.
	refusalsPerBackoff = 6
)

// announceDrain starts a new server in a slot and drains the old one, which announces this only in its answers. The row of
// the old server stays unchanged until the server closes.
func (s *soakRun) announceDrain(e faultEvent) {
	old, slot := s.targetServer(e)
	s.endServer(old.ID)
	s.startServer(slot)
	old.StartDraining()
	s.logf("%s announces in its answers that it drains", old.ID)
	s.mu.Lock()
	s.drainAnnouncedAt[old.ID] = time.Now()
	s.mu.Unlock()
	time.Sleep(2*maxDrainDelay + extraServingTime)
	s.beginDisturbance(e.kind, old.ID, 0)
	s.endServer(old.ID)
	old.Close()
	old.Deregister(s.rows)
}

// requestBackoff makes a server refuse its next requests and ask for a backoff.
func (s *soakRun) requestBackoff(e faultEvent) {
	server, _ := s.targetServer(e)
	seconds := strconv.FormatFloat(e.duration.Seconds(), 'f', 2, 64)
	server.SetRetryAfter(seconds)
	server.InjectFaults(slices.Repeat([]emulator.OpaqueFault{emulator.OpaqueOverloaded}, refusalsPerBackoff)...)
	s.logf("%s refuses requests and asks for a backoff of %s s", server.ID, seconds)
}

// isRouterUndisturbed reports whether a router itself was undisturbed in an interval. Disturbances of the store do not
// count.
func (s *soakRun) isRouterUndisturbed(router int, from, to time.Time) bool {
	return s.isUndisturbed(from, to, routerTarget(router), plannedTarget(router), starvedTarget(router))
}

// checkBackoff checks each router that a server asked to back off: from backoffDelay on, it must have sent the server at
// most maxSentInBackoff requests during the backoff.
func (s *soakRun) checkBackoff(server *emulator.OpaqueServer) {
	arrivals := server.Arrivals()
	for _, refused := range arrivals {
		q := s.requests[sending{refused.ID, refused.Path}]
		seconds, err := strconv.ParseFloat(refused.RetryAfter, 64)
		if q == nil || err != nil {
			continue
		}
		until := refused.ReceivedAt.Add(time.Duration(seconds * float64(time.Second)))
		sent := 0
		for _, a := range arrivals {
			if other := s.requests[sending{a.ID, a.Path}]; other != nil && other.router == q.router && a.ReceivedAt.After(refused.ReceivedAt.Add(backoffDelay)) && a.ReceivedAt.Before(until) {
				sent++
			}
		}
		if sent > maxSentInBackoff && s.isRouterUndisturbed(q.router, refused.ReceivedAt.Add(-stabilityPeriod), until) {
			s.reportViolation(promiseRested, "%s asked router-%d to back off for %.2f s at %s and got %d requests from it", server.ID, q.router, seconds, refused.ReceivedAt.UTC().Format(clockFormat), sent)
		}
	}
}

// checkAnnouncedDrain checks a run at a server that announced in its answers that it drains. It is a violation if the caller sent
// the request more than maxDrainDelay after the same router had completely forwarded an answer with the announcement. Missing
// contact with the store is no excuse, but a disturbance of the router itself is (see isRouterUndisturbed).
func (s *soakRun) checkAnnouncedDrain(r emulator.OpaqueRun, q *request) {
	announcedAt, ok := s.drainAnnouncedAt[r.Server]
	if !ok || r.StartedAt.Sub(announcedAt) <= maxDrainDelay+timingSlack {
		return
	}
	for _, o := range s.ledger.Runs() {
		other := s.requests[sendingOf(o)]
		if o.Server != r.Server || other == nil || other.router != q.router || other.signedBy != r.Server || o.StartedAt.Before(announcedAt) {
			continue
		}
		// The router had received the announcement when the caller had the whole answer.
		if q.sentAt.Sub(other.endedAt) > maxDrainDelay && s.isRouterUndisturbed(q.router, other.endedAt.Add(-stabilityPeriod), r.StartedAt) {
			s.reportViolation(promiseDrained, "%s got a request %s after an answer announced that it drains: %s", r.Server, r.StartedAt.Sub(other.endedAt).Round(time.Millisecond), q)
			return
		}
	}
}
