package soaker

import (
	"slices"
	"syscall"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// maxOverlap is how long two servers may work on one request, as in the users' deployments.
	maxOverlap = 400 * time.Millisecond
	// stallKind is the fault in which a server works on without an answer, for at most maxStall.
	stallKind, maxStall = "server_stalls", 3500 * time.Millisecond
	// stalledRequests is the number of requests that such a fault affects.
	stalledRequests = 12
	// stopKind is the fault in which routers are stopped for handoverStop when they ask another server to take a request over.
	// maxStopWatch is the longest time that it lasts.
	stopKind, maxStopWatch, handoverStop = "stops_in_handovers", 5 * time.Second, 700 * time.Millisecond
)

// closeNotices are the ways in which servers notice that a router has closed a connection.
var closeNotices = []emulator.CloseNotice{
	{Interval: 10 * time.Millisecond}, {Interval: 150 * time.Millisecond}, {Interval: 20 * time.Millisecond, OnlyReset: true}, {Interval: 100 * time.Millisecond, OnlyReset: true},
}

// stallServer makes a server stall with its next requests.
func (s *soakRun) stallServer(e faultEvent) {
	server, _ := s.targetServer(e)
	server.SetStall(e.duration)
	server.InjectFaults(slices.Repeat([]emulator.OpaqueFault{emulator.OpaqueStall}, stalledRequests)...)
}

// stopInHandovers stops routers in handovers for the duration of the fault.
func (s *soakRun) stopInHandovers(e faultEvent) {
	s.handoverStops.Add(1)
	time.Sleep(e.duration)
	s.handoverStops.Add(-1)
}

// onArrival is called when a request, or a call that reserves capacity, reaches a server. If routers are to be stopped in handovers, it
// stops the router of a request on which another server works, and all routers when capacity is reserved.
func (s *soakRun) onArrival(id string) {
	switch {
	case s.handoverStops.Load() == 0:
		return
	case id == "":
		// It is not known which router asks for a reservation.
		for i := range s.processes {
			s.stopRouter(i)
		}
		return
	case !s.ledger.IsRunning(id):
		return
	}
	if router, ok := s.routerOf.Load(id); ok {
		s.stopRouter(router.(int))
	}
}

// stopRouter stops a router for handoverStop, unless it is being stopped. It returns at once.
func (s *soakRun) stopRouter(i int) {
	p := s.processes[i]
	if !p.stopMu.TryLock() {
		return
	}
	end := s.beginDisturbance(stopKind, routerTarget(i), 0)
	p.signal(syscall.SIGSTOP)
	s.faults.Go(func() {
		defer p.stopMu.Unlock()
		time.Sleep(handoverStop)
		p.signal(syscall.SIGCONT)
		end()
	})
}

// checkOverlaps checks that no two servers worked on one request for longer than maxOverlap. A stopped router is no excuse where servers
// reserve capacity, since it need not have two servers at work at all. Nor is it where the servers worked on two sendings of an ID, since
// the first of these was refused.
func (s *soakRun) checkOverlaps() {
	var longest time.Duration
	runs := map[string][]emulator.OpaqueRun{}
	for _, r := range s.ledger.Runs() {
		if s.requests[sendingOf(r)] != nil {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	for _, all := range runs {
		for i, first := range all {
			for _, second := range all[i+1:] {
				overlap := overlapOf(first, second)
				q := s.requests[sendingOf(first)]
				if sendingOf(first) == sendingOf(second) && !q.metered && !s.isUndisturbed(first.StartedAt, second.StartedAt.Add(overlap), routerTarget(q.router), starvedTarget(q.router)) {
					continue
				}
				longest = max(longest, overlap)
				if overlap > maxOverlap {
					s.reportViolation(promiseSingle, "%s and %s both worked for %s: %s", first.Server, second.Server, overlap.Round(time.Millisecond), q)
				}
			}
		}
	}
	s.logf("two servers worked on one request for at most %s", longest.Round(time.Millisecond))
}

// overlapOf returns how long two runs went on at the same time.
func overlapOf(a, b emulator.OpaqueRun) time.Duration {
	from, to := a.StartedAt, time.Now()
	if b.StartedAt.After(from) {
		from = b.StartedAt
	}
	for _, r := range []emulator.OpaqueRun{a, b} {
		if !r.EndedAt.IsZero() && r.EndedAt.Before(to) {
			to = r.EndedAt
		}
	}
	return max(0, to.Sub(from))
}
