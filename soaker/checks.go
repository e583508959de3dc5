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
	busySlack = 500 * time.Millisecond
	// signaturePrefix precedes the server's id in the signatures of the emulator's servers.
	signaturePrefix = "signed-by-"
	storeTarget     = "store"
)

// routerTarget is disturbed while a router is, plannedTarget while it ends and starts as planned.
func routerTarget(i int) string  { return fmt.Sprintf("router-%d", i) }
func plannedTarget(i int) string { return "planned-" + routerTarget(i) }

// inTouch names what must be undisturbed for a router to be in touch.
func (s *run) inTouch(router int) []string {
	return []string{routerTarget(router), plannedTarget(router), storeTarget}
}

// judge holds what servers ran against what callers sent and got.
func (s *run) judge() {
	runs := map[string][]emulator.OpaqueRun{}
	for _, r := range s.park.ledger.Runs() {
		runs[r.ID] = append(runs[r.ID], r)
		if q, sent := s.record.requests[r.ID]; sent {
			s.judgeRun(r, q)
		} else {
			s.record.violate(promiseUnchanged, "%s ran %s, which nobody sent", r.Server, r.ID)
		}
	}
	for id, q := range s.record.requests {
		s.judgeFate(q, runs[id])
		s.judgeEnd(q, runs[id])
	}
}

// judgeRun checks one run by itself.
func (s *run) judgeRun(r emulator.OpaqueRun, q *request) {
	pool := poolOf(r.Server)
	if r.Path != q.path || r.Body != q.body || r.Workspace != q.workspace || r.Key || r.TimeLeft > q.limit+busySlack || q.route.pool != "" && pool != q.route.pool {
		s.record.violate(promiseUnchanged, "%s ran %s for %q with %s left, %d bytes, key %t: %s", r.Server, r.Path, r.Workspace, r.TimeLeft, len(r.Body), r.Key, q)
	}
	if q.route.name == "moved" {
		// Versions that are due at a router in touch leave older ones out; another router may have any.
		since := int64(0)
		if s.record.calm(q.sentAt.Add(-stable), r.At, s.inTouch(q.router)...) {
			since = s.operator.newest(q.sentAt.Add(-applyBound)).number
		}
		if !s.operator.mayMoveTo(pool, since) {
			s.record.violate(promiseInForce, "%s ran what goes elsewhere since version %d: %s", r.Server, since, q)
		}
	}
	// An acceptance binds routers that are in touch from then on.
	left := s.park.leftAt[r.Server]
	if !left.IsZero() && r.At.Sub(left) > drainBound+busySlack && s.record.calm(left.Add(-stable), r.At, s.inTouch(q.router)...) {
		s.record.violate(promiseDrained, "%s got a request %s after its leaving was accepted: %s", r.Server, r.At.Sub(left).Round(time.Millisecond), q)
	}
}

// judgeFate holds what was said of a request against its runs.
func (s *run) judgeFate(q *request, runs []emulator.OpaqueRun) {
	if len(runs) > 1 && !q.route.repeatable() {
		s.record.violate(promiseOnce, "ran %d times: %s", len(runs), q)
	}
	switch q.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired:
		if len(runs) > 0 {
			s.record.violate(promiseNotRun, "ran at %s: %s", runs[0].Server, q)
		}
	case http.StatusOK, http.StatusInternalServerError:
		signed := slices.ContainsFunc(runs, func(r emulator.OpaqueRun) bool { return q.signature == signaturePrefix+r.Server })
		if q.answerID != q.id || !signed {
			s.record.violate(promiseWhole, "answer to %q signed %q, %d runs: %s", q.answerID, q.signature, len(runs), q)
		}
	}
}

// judgeEnd checks that a request that was read got an answer.
func (s *run) judgeEnd(q *request, runs []emulator.OpaqueRun) {
	// A router that was disturbed other than by its planned end promises no answer, and neither does one whose store was,
	// where the answer costs prepaid tokens.
	if !s.record.calm(q.sentAt.Add(-stable), q.endedAt, routerTarget(q.router)) || q.route.metered && !s.record.calm(q.sentAt.Add(-stable), q.endedAt, storeTarget) {
		return
	}
	took := q.endedAt.Sub(q.writtenAt)
	switch {
	case q.outcome == outcomeSilent:
		s.record.violate(promiseAnswered, "no answer within its time, %d runs: %s", len(runs), q)
	case q.outcome == outcomeBroken && len(runs) == 0 && took > busySlack:
		// One that crossed the end of its connection was not read, and its caller sees that at once.
		s.record.violate(promiseAnswered, "it did not run, and its connection was closed late: %s", q)
	case q.outcome == outcomeBroken && len(runs) > 0 && took < q.timeout() && !s.brokenByServer(q, runs):
		s.record.violate(promiseAnswered, "ran at %s and got no whole answer: %s", runs[len(runs)-1].Server, q)
	}
}

// brokenByServer tells that one of the servers may be why there is no answer.
func (s *run) brokenByServer(q *request, runs []emulator.OpaqueRun) bool {
	return slices.ContainsFunc(runs, func(r emulator.OpaqueRun) bool {
		return r.Fault != emulator.OpaqueGood || !s.record.calm(q.sentAt.Add(-stable), q.endedAt, r.Server)
	})
}
