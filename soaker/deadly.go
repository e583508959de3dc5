package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// deadlyMark marks deadly requests. A request with this text in its body crashes each server that runs it.
	deadlyMark = "deadly"
	// minDeadlyCrashes is the number of crashes after which routers must know that a request is deadly. maxDeadlySends is
	// how often they may send it to servers after that, as in the users' deployments.
	minDeadlyCrashes, maxDeadlySends = 3, 3
	// maxDeadlyPause is the longest pause between two sends of a deadly request. maxDeadlyDuration is the longest time for
	// which it is repeated, beyond minDuration.
	maxDeadlyPause, maxDeadlyDuration = 400 * time.Millisecond, 8 * time.Second
	// deadlyStreamBase is the lowest number of the random streams (newCaller) of callers that send deadly requests.
	deadlyStreamBase = 1 << 20
	// impatientShare is the share of deadly_request faults in which the caller gives up at about the time at which the
	// server crashes.
	impatientShare = 0.4
	// maxImpatientWait is the longest wait of a caller that gives up early. It is twice the time that a server takes to
	// crash.
	maxImpatientWait = 40 * time.Millisecond
	// codeCrashesServers and codePartCrashesServers are the codes with which a router refuses a request that crashes servers.
	codeCrashesServers, codePartCrashesServers = "request_ends_servers", "prompt_part_ends_servers"
)

// deadlyRequest sends a request that crashes every server that runs it. It repeats the request for the duration of the
// fault.
func (s *soakRun) deadlyRequest(e faultEvent) {
	s.mu.Lock()
	name := fmt.Sprintf("%s-%d-%d", deadlyMark, e.target, len(s.requests))
	s.mu.Unlock()
	c := s.newCaller("d", deadlyStreamBase+e.target, s.callerAddresses()...)
	r := routes[e.target%len(routes)]
	for until := time.Now().Add(e.duration); time.Now().Before(until); time.Sleep(randomUpTo(c.random, maxDeadlyPause)) {
		// Each send uses a new connection, to any router.
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

// crashHandler returns a function that handles a crash of the server in a slot. The function records the crash and returns
// at once. After silenceTimeout, when missing heartbeats would be noticed, the server's row is removed and a new server
// takes the slot.
func (s *soakRun) crashHandler(slot int) func(*emulator.OpaqueServer) {
	return func(old *emulator.OpaqueServer) {
		s.beginDisturbance("crash", old.ID, 0)
		s.endServer(old.ID)
		s.faults.Go(func() {
			time.Sleep(silenceTimeout)
			old.Deregister(s.rows)
			s.startServer(slot)
		})
	}
}

// checkDeadlyRequests checks how often each deadly request was sent after routers had to know it. Routers in contact with
// the store may then send it at most maxDeadlySends times. They have to know it from stabilityPeriod after the start of the
// run that caused the last of the first minDeadlyCrashes crashes.
func (s *soakRun) checkDeadlyRequests() {
	runs := map[string][]emulator.OpaqueRun{}
	for _, r := range s.ledger.Runs() {
		if q := s.requests[sendingOf(r)]; q != nil && q.recurringName != "" && r.Fault == emulator.OpaqueCrash {
			runs[q.recurringName] = append(runs[q.recurringName], r)
		}
	}
	for name, all := range runs {
		if len(all) < minDeadlyCrashes {
			continue
		}
		slices.SortFunc(all, func(x, y emulator.OpaqueRun) int { return x.StartedAt.Compare(y.StartedAt) })
		known := all[minDeadlyCrashes-1].StartedAt.Add(stabilityPeriod)
		late := slices.DeleteFunc(slices.Clone(all), func(r emulator.OpaqueRun) bool {
			return !r.StartedAt.After(known) || !s.isUndisturbed(r.StartedAt.Add(-stabilityPeriod), r.StartedAt, contactTargets(s.requests[sendingOf(r)].router)...)
		})
		s.logf("%s crashed %d servers, sent %d times after it had to be known", name, len(all), len(late))
		if len(late) > maxDeadlySends {
			s.reportViolation(promiseSpared, "%s was sent to servers %d times after it had to be known, it crashed %d servers", name, len(late), len(all))
		}
	}
}

// isCrashRefusal reports whether the body of a refusal says that the request crashes servers.
func isCrashRefusal(body []byte) bool {
	return strings.Contains(string(body), codeCrashesServers) || strings.Contains(string(body), codePartCrashesServers)
}
