package soaker

import (
	"slices"
	"strconv"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	restMost            = 3 * time.Second           // how long a server wants to rest
	restHeard, restSent = 500 * time.Millisecond, 2 // a router may send so many requests from so long after it was asked (as the users' deployments have it)
	turnedAway          = 6                         // requests that a server turns away with one wish for rest
)

// leaveByAnswers lets a server leave whose row does not say so, and starts its next life.
func (s *run) leaveByAnswers(e event) {
	old, slot := s.serverOf(e)
	s.startServer(slot)
	old.StartDraining()
	s.note("%s says in its answers that it leaves", old.ID)
	s.mu.Lock()
	s.saidAt[old.ID] = time.Now()
	s.mu.Unlock()
	time.Sleep(2*drainBound + servesOn)
	s.disturb(e.kind, old.ID, 0)
	old.Close()
	old.Deregister(s.rows)
}

// restServer has a server turn its next requests away and ask for rest.
func (s *run) restServer(e event) {
	server, _ := s.serverOf(e)
	rest := strconv.FormatFloat(e.length.Seconds(), 'f', 2, 64)
	server.SetRetryAfter(rest)
	server.InjectFaults(slices.Repeat([]emulator.OpaqueFault{emulator.OpaqueOverloaded}, turnedAway)...)
	s.note("%s turns requests away and wants %s s of rest", server.ID, rest)
}

// undisturbed tells that nothing has happened to a router itself between two times, whatever became of its store.
func (s *run) undisturbed(router int, from, to time.Time) bool {
	return s.calm(from, to, routerTarget(router), plannedTarget(router), starvedTarget(router))
}

// judgeRest checks that routers let a server rest that has asked them for it.
func (s *run) judgeRest(server *emulator.OpaqueServer) {
	arrivals := server.Arrivals()
	for _, asked := range arrivals {
		q := s.requests[asked.ID]
		seconds, err := strconv.ParseFloat(asked.RetryAfter, 64)
		if q == nil || err != nil {
			continue
		}
		until := asked.ReceivedAt.Add(time.Duration(seconds * float64(time.Second)))
		sent := 0
		for _, a := range arrivals {
			if other := s.requests[a.ID]; other != nil && other.router == q.router && a.ReceivedAt.After(asked.ReceivedAt.Add(restHeard)) && a.ReceivedAt.Before(until) {
				sent++
			}
		}
		if sent > restSent && s.undisturbed(q.router, asked.ReceivedAt.Add(-stable), until) {
			s.violate(promiseRested, "%s had asked router-%d for %.2f s of rest at %s and got %d requests from it", server.ID, q.router, seconds, asked.ReceivedAt.UTC().Format(clockFormat), sent)
		}
	}
}

// judgeSaid checks that a run is none of a router to which the server had said that it leaves, in touch with its store or not.
func (s *run) judgeSaid(r emulator.OpaqueRun, q *request) {
	said, ok := s.saidAt[r.Server]
	if !ok || r.StartedAt.Sub(said) <= drainBound+busySlack {
		return
	}
	for _, o := range s.ledger.Runs() {
		other := s.requests[o.ID]
		if o.Server != r.Server || other == nil || other.router != q.router || other.signedBy != r.Server || o.StartedAt.Before(said) {
			continue
		}
		// It has passed the answer on by its end.
		if q.sentAt.Sub(other.endedAt) > drainBound && s.undisturbed(q.router, other.endedAt.Add(-stable), r.StartedAt) {
			s.violate(promiseDrained, "%s got a request %s after an answer had said that it leaves: %s", r.Server, r.StartedAt.Sub(other.endedAt).Round(time.Millisecond), q)
			return
		}
	}
}
