package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// timingSlack is a tolerance for a busy machine and the proxies. It is added to the time in which draining servers may
	// still get requests, and to the remaining time that a server is told. It is also how long the connection of a request
	// that the router did not read may stay open (routers need at most 200 ms, loss_slack_ms). A router that was starved
	// within timingSlack before a request is excused.
	timingSlack = 500 * time.Millisecond
	storeTarget = "store"
	clockFormat = "15:04:05.000" // as within the timestamps of the routers' logs, so that lines can be matched
	// A router that shuts down may cut off a request if the request was sent before lateSendWindow after SIGTERM and still
	// runs in the last part of the grace period. That part is the grace period divided by lateGraceDivisor.
	lateSendWindow, lateGraceDivisor = 3 * time.Second, 6
)

// Names of the promises that are checked.
const (
	promiseBudget    = "budget"    // no workspace gets more than its prepaid tokens, without answers that its callers abandon
	promiseOnce      = "once"      // a non-repeatable request runs at most once, over all tries of its caller
	promiseSingle    = "single"    // no two servers work on one request for longer than maxOverlap
	promiseNotRun    = "not_run"   // a sending that was reported as not run never ran
	promiseWhole     = "whole"     // a caller gets the whole answer to its own request, and no partial answer looks complete
	promiseUnchanged = "unchanged" // servers run what callers sent, for the caller's workspace, in the pool of the request's route
	promiseAnswered  = "answered"  // an undisturbed router answers what it forwarded, also around its graceful shutdown
	promiseInForce   = "in_force"  // an accepted configuration is applied in time by routers in contact with the store
	promiseNoReturn  = "no_return" // a process never returns to an older configuration
	promiseDrained   = "drained"   // a draining server gets no new requests after a while
	promiseRecovered = "recovered" // requests are served again after all faults
	promiseSpared    = "spared"    // requests that crash servers are withheld from them in time, and no others are
	promiseSound     = "sound"     // requests beside those with a part that crashes servers are served
	promiseLimited   = "limited"   // all routers together keep to the rate limit that a server advertises, with a tolerance
	promiseRested    = "rested"    // a router keeps to a backoff that a server asks for: at most maxSentInBackoff requests
	promiseAlive     = "alive"     // a router's process ends only when it is stopped
	promiseBounded   = "bounded"   // the requests that a router holds for slow readers fit in a quarter of its memory
	promisePatient   = "patient"   // other callers are served while some do not read their answers
	promiseConnected = "connected" // all routers together keep to the limit of connections to a server
	promiseVersion   = "version"   // a stream goes on only at the software version that began it
	promiseResumed   = "resumed"   // streams whose version serves are resumed
	promiseGone      = "gone"      // requests of callers that have left are not sent on, and servers get no more time than is left
	promiseFair      = "fair"      // no workspace with tokens left is served less than a quarter as often as all
	promiseOrder     = "order"     // the events of a stream come in order and once over all tries of its caller, the last one before the end
	promiseRepeats   = "repeats"   // all routers together keep to the retry budget, over all of their incarnations
)

// Violation is a promise that was not kept, with a description.
type Violation struct{ Promise, Text string }

// interval is the time between two points. to is zero while the interval lasts.
type interval struct{ from, to time.Time }

// logf writes a line with the current time to soak.log.
func (s *soakRun) logf(format string, values ...any) {
	fmt.Fprintf(s.log, "%s %s\n", time.Now().UTC().Format(clockFormat), fmt.Sprintf(format, values...))
}

// reportViolation records a promise that was not kept.
func (s *soakRun) reportViolation(promise, format string, values ...any) {
	v := Violation{Promise: promise, Text: fmt.Sprintf(format, values...)}
	s.logf("VIOLATION %s: %s", v.Promise, v.Text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, v)
}

// beginDisturbance records that a target is disturbed. The disturbance lasts from the duration ago before now until the
// returned function is called. If that is never called, it lasts until the soak ends. what names its kind in the log.
func (s *soakRun) beginDisturbance(what, target string, ago time.Duration) (end func()) {
	s.logf("%s of %s begins", what, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.disturbances[target])
	s.disturbances[target] = append(s.disturbances[target], interval{from: time.Now().Add(-ago)})
	return func() {
		s.logf("%s of %s ends", what, target)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances[target][i].to = time.Now()
	}
}

// isUndisturbed reports whether none of the targets was disturbed at any time in an interval.
func (s *soakRun) isUndisturbed(from, to time.Time, targets ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range targets {
		if slices.ContainsFunc(s.disturbances[target], func(d interval) bool { return d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) }) {
			return false
		}
	}
	return true
}

// routerTarget and plannedTarget return the two names of a router in the record of disturbances. Planned restarts, which
// begin with SIGTERM, are recorded under plannedTarget. All other faults of the router are recorded under routerTarget.
func routerTarget(i int) string  { return fmt.Sprintf("router-%d", i) }
func plannedTarget(i int) string { return "planned-" + routerTarget(i) }

// starvedTarget returns the name under which starvation of a router is recorded: the router or the soak itself waited too
// long for a processor.
func starvedTarget(i int) string { return "starved-" + routerTarget(i) }

// contactTargets returns the targets that must be undisturbed for a router to be in contact with the store.
func contactTargets(router int) []string {
	return []string{routerTarget(router), plannedTarget(router), starvedTarget(router), storeTarget}
}

// checkResponse counts a response and checks what can be checked without knowing what the servers ran.
func (s *soakRun) checkResponse(q *request) {
	s.mu.Lock()
	s.endRequest(q)
	isChanging := s.isChanging[q.workspace]
	if q.outcome == outcomeAnswered && q.status == http.StatusOK {
		s.served++
	}
	if q.firstTry != "" {
		s.retried++
	}
	if q.again > 0 {
		s.repeated++
	}
	if q.events > 0 {
		// The workspace got the events, and with the first event also the prompt. If the request resumes an answer, the
		// prompt was counted with the first request.
		tokens := int64(q.events * emulator.DeploymentTokensPerEvent)
		if q.resumeAfter == 0 {
			tokens += int64(q.prompt)
		} else {
			s.resumed++
		}
		if q.isAbandoned() {
			s.abandoned[q.workspace] += tokens
		} else {
			s.delivered[q.workspace] += tokens
		}
	}
	got, abandoned, paid := s.delivered[q.workspace], s.abandoned[q.workspace], s.maxPrepaid[q.workspace]
	s.mu.Unlock()
	if q.events > 0 && got > paid {
		s.reportViolation(promiseBudget, "%s got %d tokens, but had prepaid %d, at request %s", q.workspace, got, paid, q)
	}
	// At most as much is waived for abandoned answers as was charged for others, and the rest is charged.
	if q.events > 0 && abandoned > paid {
		s.reportViolation(promiseBudget, "%s abandoned answers of %d tokens, but had prepaid %d, at request %s", q.workspace, abandoned, paid, q)
	}
	switch q.status {
	case statusWrongBody:
		s.reportViolation(promiseWhole, "the body is not the answer to this request: %s", q)
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		// Every configuration has these routes and keys, and a router without a configuration answers 503. Probes, whose route
		// has no name, also request paths that not every configuration has.
		if q.name != "" && !(q.status == http.StatusUnauthorized && (isChanging || s.mayLackKey(q))) {
			s.reportViolation(promiseInForce, "refused, but every configuration allows it: %s", q)
		}
	}
}

// mayLackKey reports whether the router need not know the request's key: it is not the workspace's first one, and the router may have had
// no contact with the store since it was accepted.
func (s *soakRun) mayLackKey(q *request) bool {
	from := q.sentAt.Add(-stabilityPeriod - s.maxApplyTime())
	return q.key != emulator.DeploymentKey(q.workspace, 0) && !s.isUndisturbed(from, q.endedAt, contactTargets(q.router)...)
}

// checkRuns compares what servers ran with what callers sent and got.
func (s *soakRun) checkRuns() {
	runs := map[sending][]emulator.OpaqueRun{}
	for _, r := range s.ledger.Runs() {
		runs[sendingOf(r)] = append(runs[sendingOf(r)], r)
		if q, sent := s.requests[sendingOf(r)]; sent {
			s.checkRun(r, q)
		} else {
			s.reportViolation(promiseUnchanged, "%s ran %s at %s, which no caller sent", r.Server, r.ID, r.Path)
		}
	}
	for id, q := range s.requests {
		s.checkFate(q, runs[id])
		s.checkAnswered(q, runs[id])
		s.checkVersion(q, runs[id])
	}
	s.checkTries(runs)
	s.checkOverlaps()
	s.checkOrder()
	s.checkResumptions(runs)
	s.checkDeadlyRequests()
	s.checkDeadlyParts()
	s.checkRateLimits()
	s.checkRepeats()
	for _, server := range s.all {
		s.checkBackoff(server)
		s.checkConnections(server)
	}
	s.checkSlowReads()
	s.checkGone()
	s.checkStarvedWorkspaces()
}

// checkRun checks a single run of a request.
func (s *soakRun) checkRun(r emulator.OpaqueRun, q *request) {
	if r.Prompt != emulator.Prompt(q.parts) || r.Path != q.path || r.Body != q.body || r.Workspace != q.workspace || r.HasKey || r.TimeLeft > q.timeLimit+timingSlack || poolOf(r.Server) != q.pool {
		s.reportViolation(promiseUnchanged, "%s ran %s for %q with %s left, %d bytes, key %t: %s", r.Server, r.Path, r.Workspace, r.TimeLeft, len(r.Body), r.HasKey, q)
	}
	s.checkAnnouncedDrain(r, q)
	// Only routers in contact with the store must know that the server is draining.
	acceptedAt := s.drainAcceptedAt[r.Server]
	if !acceptedAt.IsZero() && r.StartedAt.Sub(acceptedAt) > maxDrainDelay+timingSlack && s.isUndisturbed(acceptedAt.Add(-stabilityPeriod), r.StartedAt, contactTargets(q.router)...) {
		s.reportViolation(promiseDrained, "%s got a request %s after the store accepted that it drains: %s", r.Server, r.StartedAt.Sub(acceptedAt).Round(time.Millisecond), q)
	}
}

// checkFate checks that the status and the origin of an answer agree with the runs of its request.
func (s *soakRun) checkFate(q *request, runs []emulator.OpaqueRun) {
	switch q.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			s.reportViolation(promiseNotRun, "ran at %s: %s", runs[0].Server, q)
		}
	case http.StatusOK, http.StatusInternalServerError:
		signed := slices.ContainsFunc(runs, func(r emulator.OpaqueRun) bool { return q.signedBy == r.Server })
		if q.answerID != q.id || !signed {
			s.reportViolation(promiseWhole, "answer to %q signed by %q, %d runs: %s", q.answerID, q.signedBy, len(runs), q)
		}
	}
}

// checkAnswered checks that a request was answered in time and completely, unless a disturbance, a fault of a server or a
// shutdown excuses the router.
func (s *soakRun) checkAnswered(q *request, runs []emulator.OpaqueRun) {
	// A router that was disturbed by more than a planned restart need not answer. A request that costs prepaid tokens need
	// not be answered if the store was disturbed.
	from := q.sentAt.Add(-stabilityPeriod)
	if !s.isUndisturbed(from, q.endedAt, routerTarget(q.router)) || q.metered && !s.isUndisturbed(from, q.endedAt, storeTarget) {
		return
	}
	// A router that had to wait for a processor at the time of the request is not to blame for a late or missing answer.
	if !s.isUndisturbed(q.sentAt.Add(-timingSlack), q.endedAt, starvedTarget(q.router)) {
		return
	}
	took := q.endedAt.Sub(q.sentAt)
	// There may be no answer because a server failed, stopped or crashed, or because the time limit expired.
	mustAnswer := len(runs) > 0 && took < min(q.timeLimit, emulator.DeploymentTimeout) && !slices.ContainsFunc(runs, func(r emulator.OpaqueRun) bool {
		return r.Fault != emulator.OpaqueNoFault || !s.isUndisturbed(from, q.endedAt, r.Server)
	})
	switch {
	case q.outcome == outcomeTimedOut && q.waitTimeout > q.timeLimit:
		s.reportViolation(promiseAnswered, "no answer within the time limit, %d runs: %s", len(runs), q)
	case q.outcome == outcomeBroken && len(runs) == 0 && took > timingSlack:
		// A request that was sent while the router closed the connection was not read; its caller sees that at once.
		s.reportViolation(promiseAnswered, "not run, but its connection was closed late: %s", q)
	case q.outcome == outcomeAnswered && q.status == http.StatusBadGateway && mustAnswer:
		s.reportViolation(promiseAnswered, "ran at %s, but its answer was discarded: %s", runs[len(runs)-1].Server, q)
	case q.outcome == outcomeBroken && mustAnswer && !s.mayBeCutOff(q):
		s.reportViolation(promiseAnswered, "ran at %s, but its answer was incomplete: %s", runs[len(runs)-1].Server, q)
	}
}

// mayBeCutOff reports whether a planned shutdown of the router may cut off a request: the request was sent before
// lateSendWindow after SIGTERM and still ran in the last part of the grace period (see lateGraceDivisor).
func (s *soakRun) mayBeCutOff(q *request) bool {
	return slices.ContainsFunc(s.disturbances[plannedTarget(q.router)], func(d interval) bool {
		return q.sentAt.Before(d.from.Add(lateSendWindow)) && q.endedAt.After(d.from.Add(s.grace-s.grace/lateGraceDivisor))
	})
}
