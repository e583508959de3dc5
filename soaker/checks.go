package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// busySlack is what a busy machine and the proxies add to the bounds on work for servers that leave, on the time that a
	// server is told, and on the 200 ms that a connection may be open after a request that is not read (loss_slack_ms).
	busySlack   = 500 * time.Millisecond
	storeTarget = "store"
	clockFormat = "15:04:05.000" // to be found in the routers' logs
	// A router that ends may cut off requests that were sent no later after SIGTERM and are still worked at in the last sixth
	// of its grace.
	lateSent, lateShare = 3 * time.Second, 6
)

// Names of the promises that are checked.
const (
	promiseBudget    = "budget"    // no workspace gets more than its prepaid tokens
	promiseOnce      = "once"      // a request that must not be repeated runs at most once
	promiseNotRun    = "not_run"   // what was called not run never ran
	promiseWhole     = "whole"     // a caller gets the whole answer to its own request, and no part of one looks complete
	promiseUnchanged = "unchanged" // servers run what callers sent, for their workspace, where a configuration sends it
	promiseAnswered  = "answered"  // an undisturbed router answers what it passed on, also around its graceful end
	promiseInForce   = "in_force"  // an accepted configuration is in force in time at routers in touch
	promiseNoReturn  = "no_return" // a configuration never goes back within a process's life
	promiseDrained   = "drained"   // a server that leaves gets nothing new after a while
	promiseRecovered = "recovered" // requests are served again after all faults
	promiseSpared    = "spared"    // a request that crashes servers is kept from them in time, and no other is
	promiseLimited   = "limited"   // a server that names a limit gets no more than it allows, from all routers
	promiseRested    = "rested"    // a server that asks a router for rest gets nothing from it meanwhile
	promiseAlive     = "alive"     // a router's process ends only when it is made to
)

// Violation is one promise that was not kept.
type Violation struct{ Promise, Text string }

// span is a time in which something was disturbed; a zero end is still to come.
type span struct{ from, to time.Time }

// note writes a line on what happened now.
func (s *run) note(format string, values ...any) {
	fmt.Fprintf(s.log, "%s %s\n", time.Now().UTC().Format(clockFormat), fmt.Sprintf(format, values...))
}

// violate notes a promise that was not kept.
func (s *run) violate(promise, format string, values ...any) {
	v := Violation{Promise: promise, Text: fmt.Sprintf(format, values...)}
	s.note("VIOLATION %s: %s", v.Promise, v.Text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, v)
}

// disturb notes that a target is disturbed, since some time ago and until the end is called.
func (s *run) disturb(what, target string, ago time.Duration) (end func()) {
	s.note("%s of %s begins", what, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.spans[target])
	s.spans[target] = append(s.spans[target], span{from: time.Now().Add(-ago)})
	return func() {
		s.note("%s of %s ends", what, target)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spans[target][at].to = time.Now()
	}
}

// calm tells that none of the targets was disturbed at any time between two.
func (s *run) calm(from, to time.Time, targets ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range targets {
		if slices.ContainsFunc(s.spans[target], func(d span) bool { return d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) }) {
			return false
		}
	}
	return true
}

// routerTarget is disturbed while a router is, plannedTarget while it ends and starts as planned.
func routerTarget(i int) string  { return fmt.Sprintf("router-%d", i) }
func plannedTarget(i int) string { return "planned-" + routerTarget(i) }

// starvedTarget is disturbed while the machine holds a router up, or the soak itself.
func starvedTarget(i int) string { return "starved-" + routerTarget(i) }

// inTouch names what must be undisturbed for a router to be in touch.
func inTouch(router int) []string {
	return []string{routerTarget(router), plannedTarget(router), starvedTarget(router), storeTarget}
}

// judgeNow judges what can be judged at once.
func (s *run) judgeNow(q *request) {
	s.mu.Lock()
	if q.outcome == outcomeAnswered && q.status == http.StatusOK {
		s.served++
	}
	if q.events > 0 {
		// A workspace got the prompt once there is an event, and the events; it got the prompt of a resumed answer before.
		s.delivered[q.workspace] += int64(q.events * emulator.DeploymentTokensPerEvent)
		if q.after == 0 {
			s.delivered[q.workspace] += int64(q.prompt)
		} else {
			s.resumed++
		}
	}
	got, paid := s.delivered[q.workspace], s.prepaid[q.workspace]
	s.mu.Unlock()
	if q.events > 0 && got > paid {
		s.violate(promiseBudget, "%s got %d tokens of %d prepaid, with %s", q.workspace, got, paid, q)
	}
	switch q.status {
	case statusForeign:
		s.violate(promiseWhole, "not its answer: %s", q)
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		// Every configuration has these routes and keys, and a router that knows none answers 503; probes look for others.
		if q.name != "" {
			s.violate(promiseInForce, "refused what every configuration allows: %s", q)
		}
	}
}

// judge holds what servers ran against what callers sent and got.
func (s *run) judge() {
	runs := map[string][]emulator.OpaqueRun{}
	for _, r := range s.ledger.Runs() {
		runs[r.ID] = append(runs[r.ID], r)
		if q, sent := s.requests[r.ID]; sent {
			s.judgeRun(r, q)
		} else {
			s.violate(promiseUnchanged, "%s ran %s, which nobody sent", r.Server, r.ID)
		}
	}
	for id, q := range s.requests {
		s.judgeFate(q, runs[id])
		s.judgeEnd(q, runs[id])
	}
	s.judgeDeadly()
	s.judgeLimits()
	for _, server := range s.all {
		s.judgeRest(server)
	}
}

// judgeRun checks one run by itself.
func (s *run) judgeRun(r emulator.OpaqueRun, q *request) {
	if r.Path != q.path || r.Body != q.body || r.Workspace != q.workspace || r.HasKey || r.TimeLeft > q.limit+busySlack || poolOf(r.Server) != q.pool {
		s.violate(promiseUnchanged, "%s ran %s for %q with %s left, %d bytes, key %t: %s", r.Server, r.Path, r.Workspace, r.TimeLeft, len(r.Body), r.HasKey, q)
	}
	s.judgeSaid(r, q)
	// An acceptance binds routers that are in touch from then on.
	left := s.leftAt[r.Server]
	if !left.IsZero() && r.StartedAt.Sub(left) > drainBound+busySlack && s.calm(left.Add(-stable), r.StartedAt, inTouch(q.router)...) {
		s.violate(promiseDrained, "%s got a request %s after its leaving was accepted: %s", r.Server, r.StartedAt.Sub(left).Round(time.Millisecond), q)
	}
}

// judgeFate holds what was said of a request against its runs.
func (s *run) judgeFate(q *request, runs []emulator.OpaqueRun) {
	if len(runs) > 1 && !q.repeatable {
		s.violate(promiseOnce, "ran %d times: %s", len(runs), q)
	}
	switch q.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired:
		if len(runs) > 0 {
			s.violate(promiseNotRun, "ran at %s: %s", runs[0].Server, q)
		}
	case http.StatusOK, http.StatusInternalServerError:
		signed := slices.ContainsFunc(runs, func(r emulator.OpaqueRun) bool { return q.signedBy == r.Server })
		if q.answerID != q.id || !signed {
			s.violate(promiseWhole, "answer to %q signed by %q, %d runs: %s", q.answerID, q.signedBy, len(runs), q)
		}
	}
}

// judgeEnd checks that a request that was read got an answer.
func (s *run) judgeEnd(q *request, runs []emulator.OpaqueRun) {
	// A router that was disturbed other than by its planned end promises no answer, and neither does one whose store was,
	// where the answer costs prepaid tokens.
	from := q.sentAt.Add(-stable)
	if !s.calm(from, q.endedAt, routerTarget(q.router)) || q.metered && !s.calm(from, q.endedAt, storeTarget) {
		return
	}
	// Where the machine held the router up at the time of the request, what is late or missing is not the router's.
	if !s.calm(q.sentAt.Add(-busySlack), q.endedAt, starvedTarget(q.router)) {
		return
	}
	took := q.endedAt.Sub(q.sentAt)
	// A server that failed, left or crashed may be why there is no answer, and so may the end of the request's time.
	sound := len(runs) > 0 && took < min(q.limit, emulator.DeploymentTimeout) && !slices.ContainsFunc(runs, func(r emulator.OpaqueRun) bool {
		return r.Fault != emulator.OpaqueNoFault || !s.calm(from, q.endedAt, r.Server)
	})
	switch {
	case q.outcome == outcomeSilent && q.patience > q.limit:
		s.violate(promiseAnswered, "no answer within its time, %d runs: %s", len(runs), q)
	case q.outcome == outcomeBroken && len(runs) == 0 && took > busySlack:
		// One that crossed the end of its connection was not read, and its caller sees that at once.
		s.violate(promiseAnswered, "it did not run, and its connection was closed late: %s", q)
	case q.outcome == outcomeAnswered && q.status == http.StatusBadGateway && sound:
		s.violate(promiseAnswered, "ran at %s and its answer was thrown away: %s", runs[len(runs)-1].Server, q)
	case q.outcome == outcomeBroken && sound && !s.mayBeCut(q):
		s.violate(promiseAnswered, "ran at %s and got no whole answer: %s", runs[len(runs)-1].Server, q)
	}
}

func (s *run) mayBeCut(q *request) bool {
	return slices.ContainsFunc(s.spans[plannedTarget(q.router)], func(d span) bool {
		return q.sentAt.Before(d.from.Add(lateSent)) && q.endedAt.After(d.from.Add(s.grace-s.grace/lateShare))
	})
}
