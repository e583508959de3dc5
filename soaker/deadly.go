package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	deadlyMark                        = "deadly"                                // what the body of a request has that crashes the servers which run it
	minDeadlyCrashes, maxDeadlySends  = 3, 3                                    // so many servers may end under it before it counts as known; it may be sent so often later (as the users' deployments have it)
	maxDeadlyPause, maxDeadlyDuration = 400 * time.Millisecond, 8 * time.Second // its caller's longest pause, and how long it comes again
	deadlyStreamBase                  = 1 << 20                                 // its callers' streams of random numbers begin here
	impatientShare                    = 0.4                                     // the part of the events whose caller leaves each time about when the server ends
	maxImpatientWait                  = 40 * time.Millisecond                   // what such a caller waits at the most, twice the time in which a server crashes
	codeCrashesServers                = "request_ends_servers"                  // what the refusal of a request says that is kept from servers
)

// deadlyRequest has one request come again and again, which crashes every server that runs it.
func (s *soakRun) deadlyRequest(e faultEvent) {
	s.mu.Lock()
	name := fmt.Sprintf("%s-%d-%d", deadlyMark, e.target, len(s.requests))
	s.mu.Unlock()
	var addresses []string
	for _, p := range s.processes {
		addresses = append(addresses, p.proxies[callerProxy].Addr().String())
	}
	c := s.newCaller("d", deadlyStreamBase+e.target, addresses...)
	r := routes[e.target%len(routes)]
	for until := time.Now().Add(e.duration); time.Now().Before(until); time.Sleep(randomUpTo(c.random, maxDeadlyPause)) {
		// Each time on a connection of its own, to any router.
		c.transport.CloseIdleConnections()
		q := &request{route: r, recurringName: name, prompt: 10, declared: s.events * emulator.DeploymentTokensPerEvent, timeLimit: maxTimeLimit, waitTimeout: maxTimeLimit}
		if e.severity < impatientShare {
			q.waitTimeout = randomUpTo(c.random, maxImpatientWait)
		}
		if !r.anonymous {
			q.workspace = workspaces[len(workspaces)-1]
		}
		c.send(q, r.name)
	}
}

// crashHandler returns what follows the crash of the server in a slot: its row stays until its silence is noticed, then it is back.
func (s *soakRun) crashHandler(slot int) func(*emulator.OpaqueServer) {
	return func(old *emulator.OpaqueServer) {
		s.beginDisturbance("crash", old.ID, 0)
		s.faults.Go(func() {
			time.Sleep(silenceTimeout)
			old.Deregister(s.rows)
			s.startServer(slot)
		})
	}
}

// checkDeadlyRequests checks that requests under which servers ended were kept from them in time, by routers in touch.
func (s *soakRun) checkDeadlyRequests() {
	runs := map[string][]emulator.OpaqueRun{}
	for _, r := range s.ledger.Runs() {
		if q := s.requests[r.ID]; q != nil && q.recurringName != "" && r.Fault == emulator.OpaqueCrash {
			runs[q.recurringName] = append(runs[q.recurringName], r)
		}
	}
	for name, all := range runs {
		if len(all) < minDeadlyCrashes {
			continue
		}
		slices.SortFunc(all, func(x, y emulator.OpaqueRun) int { return x.At.Compare(y.At) })
		known := all[minDeadlyCrashes-1].At.Add(stabilityPeriod)
		late := slices.DeleteFunc(slices.Clone(all), func(r emulator.OpaqueRun) bool {
			return !r.At.After(known) || !s.isUndisturbed(r.At.Add(-stabilityPeriod), r.At, contactTargets(s.requests[r.ID].router)...)
		})
		s.logf("%s ended %d servers, sent %d times later", name, len(all), len(late))
		if len(late) > maxDeadlySends {
			s.reportViolation(promiseSpared, "%s was sent to servers %d times more, %d servers had ended under it", name, len(late), len(all))
		}
	}
}

// isCrashRefusal tells that a refusal takes its request for the cause of servers' ends.
func isCrashRefusal(body []byte) bool { return strings.Contains(string(body), codeCrashesServers) }
