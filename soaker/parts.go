package soaker

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway/emulator"
)

// deadlyPartKind is the kind of fault in which requests share a part of their prompts that crashes servers. Of fewPartsKind, at most
// maxFewParts last at a time, so that some servers of each pool stay up.
const (
	deadlyPartKind = "deadly_part"
	fewPartsKind   = "few_deadly_parts"
	maxFewParts    = 2
)

const (
	// minPartCrashes is the number of crashes after which routers must know that a part crashes servers. Requests with it may
	// reach servers maxDeadlySends times after that.
	minPartCrashes = 5
	// maxDeadlyPartDuration is the longest time for which requests with a deadly part are sent. It leaves time to observe sound
	// requests once routers must know the part.
	maxDeadlyPartDuration = 14 * time.Second
	// maxSoundPause is the longest pause between two sound requests beside those with a deadly part. soundCallers is the number of
	// their callers.
	maxSoundPause, soundCallers = 100 * time.Millisecond, 3
	// minSoundRequests is the number of sound requests from which their share that is served is checked, and minSoundShare the least
	// such share.
	minSoundRequests, minSoundShare = 20, 0.5
	// partStreamBase is the lowest number of the random streams of callers that send such requests.
	partStreamBase = 1 << 21
)

// deadlyParts are the parts of prompts under which servers crash. Each fault uses the next one.
var deadlyParts = []string{"dead00", "dead01", "dead02", "dead03", "dead04", "dead05", "dead06", "dead07"}

// commonParts are the shared parts of the prompts of usual requests.
var commonParts = []string{"c0", "c1"}

// partKey returns the first part of the prompts of requests with a deadly part and of the sound ones beside them.
func partKey(deadly string) string { return "beside-" + deadly }

// isBesideDeadlyPart reports whether the request has a deadly part or is a sound one beside such requests. Until routers know the
// part, they may refuse both.
func (q *request) isBesideDeadlyPart() bool {
	return slices.ContainsFunc(deadlyParts, func(part string) bool { return q.parts[0] == partKey(part) })
}

// deadlyPart sends requests with a part that crashes servers, no two of which are alike, and beside them sound ones of the same
// workspace, route and other parts.
func (s *soakRun) deadlyPart(e faultEvent) {
	maxParts := len(deadlyParts)
	if e.kind == fewPartsKind {
		maxParts = maxFewParts
	}
	if s.activeParts.Add(1) > int32(maxParts) {
		s.activeParts.Add(-1)
		return
	}
	defer s.activeParts.Add(-1)
	s.mu.Lock()
	n := s.deadlyParts
	s.deadlyParts++
	s.mu.Unlock()
	part := deadlyParts[n%len(deadlyParts)]
	addresses := s.callerAddresses()
	r := routes[e.target%len(routes)]
	until := time.Now().Add(e.duration)
	var wg sync.WaitGroup
	send := func(c *caller, pause time.Duration, parts ...string) {
		for ; time.Now().Before(until); time.Sleep(randomUpTo(c.random, pause)) {
			c.transport.CloseIdleConnections()
			q := &request{route: r, parts: parts, prompt: 10, declared: s.events * emulator.DeploymentTokensPerEvent, timeLimit: maxTimeLimit, waitTimeout: maxTimeLimit}
			if !r.anonymous {
				q.workspace = workspaces[len(workspaces)-1]
			}
			c.send(q, r.name)
		}
	}
	wg.Go(func() { send(s.newCaller("p", partStreamBase+n, addresses...), maxDeadlyPause, partKey(part), part) })
	for i := range soundCallers {
		wg.Go(func() {
			send(s.newCaller("s", partStreamBase+len(deadlyParts)+n*soundCallers+i, addresses...), maxSoundPause, partKey(part), "sound")
		})
	}
	wg.Wait()
}

// checkDeadlyParts checks, for each part that crashes servers, how often requests with it reached servers after routers had to know
// it, and how many of the sound requests beside them were served.
func (s *soakRun) checkDeadlyParts() {
	for _, part := range deadlyParts {
		var runs []emulator.OpaqueRun
		for _, r := range s.ledger.Runs() {
			if q := s.requests[sendingOf(r)]; q != nil && slices.Contains(q.parts, part) {
				runs = append(runs, r)
			}
		}
		if len(runs) == 0 {
			continue
		}
		slices.SortFunc(runs, func(x, y emulator.OpaqueRun) int { return x.StartedAt.Compare(y.StartedAt) })
		found := runs[min(len(runs), minPartCrashes)-1].StartedAt
		if len(runs) >= minPartCrashes {
			late := slices.DeleteFunc(slices.Clone(runs), func(r emulator.OpaqueRun) bool {
				return !r.StartedAt.After(found.Add(stabilityPeriod)) ||
					!s.isUndisturbed(r.StartedAt.Add(-stabilityPeriod), r.StartedAt, contactTargets(s.requests[sendingOf(r)].router)...)
			})
			s.logf("part %s crashed %d servers, sent %d times after it had to be known", part, len(runs), len(late))
			if len(late) > maxDeadlySends {
				s.reportViolation(promiseSpared, "requests with part %s were sent to servers %d times after it had to be known, it crashed %d servers", part, len(late), len(runs))
			}
		}
		s.checkSoundRequests(part, found.Add(2*stabilityPeriod))
	}
}

// checkSoundRequests checks that enough of the sound requests beside those with a deadly part were served at the first attempt, from
// a time on. It ignores requests whose router or server was disturbed, but a server's crash under the part is no excuse.
func (s *soakRun) checkSoundRequests(part string, from time.Time) {
	total, served := 0, 0
	for _, q := range s.requests {
		isSound := q.parts[0] == partKey(part) && !slices.Contains(q.parts, part)
		if !isSound || q.sentAt.Before(from) || q.outcome == outcomeUnsent || !s.isUndisturbed(q.sentAt.Add(-stabilityPeriod), q.endedAt, contactTargets(q.router)...) {
			continue
		}
		total++
		if q.status == http.StatusOK && q.outcome == outcomeAnswered {
			served++
		}
		s.sound++
	}
	s.logf("beside part %s, %d of %d sound requests were served", part, served, total)
	if total >= minSoundRequests && float64(served) < minSoundShare*float64(total) {
		s.reportViolation(promiseSound, "beside part %s, only %d of %d sound requests were served", part, served, total)
	}
}
