package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	deadlyMark              = "deadly"                                // what the body of a request has that crashes the servers which run it
	deadlyEnds, deadlySends = 3, 3                                    // so many servers may end under it before it counts as known; it may be sent so often later (as the users' deployments have it)
	deadlyPause, deadlyMost = 400 * time.Millisecond, 8 * time.Second // its caller's longest pause, and how long it comes again
	deadlyCaller            = 1 << 20                                 // its callers' streams of random numbers begin here
	hurriedShare            = 0.4                                     // the part of the events whose caller leaves each time about when the server ends
	hurriedMost             = 40 * time.Millisecond                   // what such a caller waits at the most, twice the time in which a server crashes
	blamedCode              = "request_ends_servers"                  // what the refusal of a request says that is kept from servers
)

// deadlyRequest has one request come again and again, which crashes every server that runs it.
func (s *run) deadlyRequest(e event) {
	s.mu.Lock()
	name := fmt.Sprintf("%s-%d-%d", deadlyMark, e.target, len(s.requests))
	s.mu.Unlock()
	var addresses []string
	for _, p := range s.processes {
		addresses = append(addresses, p.links[toCallers].Addr().String())
	}
	c := s.newCaller("d", deadlyCaller+e.target, addresses...)
	r := routes[e.target%len(routes)]
	for until := time.Now().Add(e.length); time.Now().Before(until); time.Sleep(below(c.random, deadlyPause)) {
		// Each time on a connection of its own, to any router.
		c.transport.CloseIdleConnections()
		q := &request{route: r, fixed: name, prompt: 10, declared: s.events * emulator.DeploymentTokensPerEvent, limit: limitMost, patience: limitMost}
		if e.size < hurriedShare {
			q.patience = below(c.random, hurriedMost)
		}
		if !r.anonymous {
			q.workspace = workspaces[len(workspaces)-1]
		}
		c.send(q, r.name)
	}
}

// crashedBy returns what follows the crash of the server in a slot: its row stays until its silence is noticed, then it is back.
func (s *run) crashedBy(slot int) func(*emulator.OpaqueServer) {
	return func(old *emulator.OpaqueServer) {
		s.disturb("crash", old.ID, 0)
		s.faults.Go(func() {
			time.Sleep(silentAfter)
			old.Deregister(s.rows)
			s.startServer(slot)
		})
	}
}

// judgeDeadly checks that requests under which servers ended were kept from them in time, by routers in touch.
func (s *run) judgeDeadly() {
	runs := map[string][]emulator.OpaqueRun{}
	for _, r := range s.ledger.Runs() {
		if q := s.requests[r.ID]; q != nil && q.fixed != "" && r.Fault == emulator.OpaqueCrash {
			runs[q.fixed] = append(runs[q.fixed], r)
		}
	}
	for name, all := range runs {
		if len(all) < deadlyEnds {
			continue
		}
		slices.SortFunc(all, func(x, y emulator.OpaqueRun) int { return x.StartedAt.Compare(y.StartedAt) })
		known := all[deadlyEnds-1].StartedAt.Add(stable)
		late := slices.DeleteFunc(slices.Clone(all), func(r emulator.OpaqueRun) bool {
			return !r.StartedAt.After(known) || !s.calm(r.StartedAt.Add(-stable), r.StartedAt, inTouch(s.requests[r.ID].router)...)
		})
		s.note("%s ended %d servers, sent %d times later", name, len(all), len(late))
		if len(late) > deadlySends {
			s.violate(promiseSpared, "%s was sent to servers %d times more, %d servers had ended under it", name, len(late), len(all))
		}
	}
}

// blames tells that a refusal takes its request for the cause of servers' ends.
func blames(body []byte) bool { return strings.Contains(string(body), blamedCode) }
