package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/retrier"
	"github.com/masticway/masticway/treasurer"
)

const (
	// retryAfterDefault is the retry hint of most refusals. Usually a router, a server or the configuration is available by then.
	retryAfterDefault = 250 * time.Millisecond
	// retryAfterBudget is the retry hint if the budget cannot be reached. A network partition lasts for seconds, and the number
	// of tokens that this router may reserve for requests grows meanwhile.
	retryAfterBudget = 3000 * time.Millisecond
	// holdWaitFraction limits how long a request may wait for its hold: until this fraction of the route's latency objective has
	// passed since the request arrived, but at least minHoldWait. A refusal after a quarter of the objective counts as late.
	holdWaitFraction = 0.22
	// minHoldWait is the minimum time for which a request may wait for its hold, even if the objective is tight or reading the
	// body took long. It allows for a few calls to the store.
	minHoldWait = 60 * time.Millisecond
	// connectTimeout is the timeout for connecting to a server; it is a few times the round trip between availability zones.
	connectTimeout = 250 * time.Millisecond
	// maxIdleNonRepeatable is how long a connection may have been idle if it is reused for a non-repeatable request. A server may
	// close an idle connection while a request is being sent on it; the request's fate is then unknown.
	maxIdleNonRepeatable = 400 * time.Millisecond
	// ackTimeout is how long a server's kernel may take to acknowledge a repeatable request before the connection counts as
	// broken. It allows for three retransmissions, so that a link that loses 3% of its packets breaks 3 requests in 100,000.
	// Without it, a machine without power would be detected only after most of the caller's time limit.
	ackTimeout = 700 * time.Millisecond
	// maxTries is the maximum number of attempts for one request, including those that did not run it. Handover candidates that
	// did not become the next attempt are not counted.
	maxTries = 5
	// handoverFraction is the fraction of the latency objective after which a request that may run again is handed over: if its
	// stream has no event yet or, for other answers, if the answer is not complete.
	handoverFraction = 0.7
	// streamHandoverFactor is the multiple of the latency objective after which a resumable stream without any event is handed
	// over.
	streamHandoverFactor = 2.0
	// gapHandoverFactor is the multiple of the allowed event gap after which a resumable stream is handed over between two
	// events.
	gapHandoverFactor = 3.0
)

var deliveryChart = charter.MustLoad(charter.Delivery)

// Events of the delivery chart.
const (
	eventHeld     charter.Event = "paid"
	eventSent     charter.Event = "sent"
	eventNotRun   charter.Event = "not_run"
	eventFailed   charter.Event = "failed"
	eventAnswered charter.Event = "answered"
	eventFinished charter.Event = "finished"
	eventRefused  charter.Event = "refused"
	eventLost     charter.Event = "lost"
	eventLeft     charter.Event = "left"
)

// exchange carries one request from its admission to the end of its answer.
type exchange struct {
	f *Forwarder
	w http.ResponseWriter
	q request
	// caller is the connection on which the request arrived. leave ends the exchange's context because the caller has left.
	caller masticway.CallerConnection
	leave  context.CancelCauseFunc
	// sentAge is the age of the request when it was last sent to a server, or zero if it was not sent.
	sentAge atomic.Int64
	// retry is a granted retry that no attempt has used yet.
	retry retrier.Decision
	// admittedAt is when the request had been admitted, with its whole body.
	admittedAt time.Time
	// state is the request's current state in the delivery chart.
	state charter.State
	// fate combines the fates of all attempts: "ran" if any attempt ran, otherwise "unknown" if any may have run, otherwise "not
	// run".
	fate masticway.Fate
	// holdReply is the reply to the request for a hold. holdOpen is set from the hold until its settlement. cleared is set once
	// the answer that the hold pays for may go to the caller.
	holdReply treasurer.Reply
	holdOpen  bool
	cleared   bool
	// next is the attempt to which the current one was handed over. tries counts the attempts that have failed, and attemptRuns
	// those of them that may have run the request.
	next        atomic.Pointer[attempt]
	tries       int
	attemptRuns int
	// streamVersion is the software version that began the stream, to which its continuation is bound. It is nil while the stream has
	// no event.
	streamVersion atomic.Pointer[string]
	// otherRuns counts the handover candidates that may have run the request and were given up. pendingCandidates counts those of
	// which it is not known yet whether the request is handed over to them.
	otherRuns, pendingCandidates atomic.Int32
	// previous is the last attempt that has ended after the request was sent.
	previous previousAttempt
	// tried holds the IDs of the servers of failed attempts, and cause the reason of the last failure.
	tried map[string]bool
	cause string
	// awaitingAnswer is set while the rotation counts the request as waiting for its answer.
	awaitingAnswer atomic.Bool
	// admitted is set if the rotation admitted the request. admittedBytes is the size for which it was admitted.
	admitted      bool
	admittedBytes int64
	// headWritten is set when the head of an answer is about to be written to the caller.
	headWritten bool
	// chargeable is set when an answer with a status below 300 begins to be written.
	chargeable bool
	// events counts the events that were written to the caller, lastEvent is the ID of the last one that has an ID, or of the last one
	// that the caller had before, and unnumbered counts those after it. firstAt
	// is when the first part of an answer arrived from any server. server is the ID of the server of the last attempt, and version
	// its software version.
	events     int
	lastEvent  string
	unnumbered int
	firstAt    time.Time
	server     string
	version    string
	// suspectsOnce guards the computation of the suspects, which few requests need.
	suspectsOnce  sync.Once
	suspectsValue masticway.Suspects
	// suspected is set once this exchange has learned from the examiner that the request is a suspect. clearSuspect unsets it.
	suspected bool
}

// step changes the state according to an event of the delivery chart. An event that the chart does not allow is a bug: it is
// logged and leaves the state unchanged.
func (x *exchange) step(e charter.Event) {
	next, err := deliveryChart.Next(x.state, e)
	if err != nil {
		x.f.log.WithFields(logrus.Fields{"event": "chart_fault", "request": x.q.ID, "error": err}).Error("the delivery chart does not allow this event")
		return
	}
	x.state = next
}

// run serves an admitted request: it holds budget, runs attempts and settles the hold. If the request gets no answer, it is
// refused, see finish. Like finish, run may panic with http.ErrAbortHandler.
func (x *exchange) run(ctx context.Context) {
	x.admittedAt = x.f.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, x.q.deadline.Sub(x.f.clock.Now()))
	defer cancel()
	ctx, x.leave = context.WithCancelCause(ctx)
	defer x.leave(nil)
	if err := x.checkWanted(ctx); err != nil {
		x.cause = err.Error()
		x.finish(ctx, x.refusalFor(ctx, unwantedOutcome(err)))
		return
	}
	x.f.mu.Lock()
	x.f.allowance(x.q.pool.Name).RecordRequest(x.q.arrivedAt)
	x.f.mu.Unlock()
	if none, proven := x.provenOutcome(); proven {
		x.cause = none.reason
		x.finish(ctx, x.refusalFor(ctx, none))
		return
	}
	if refused := x.bindResumption(ctx); refused != nil {
		x.cause = refused.Message
		x.finish(ctx, refused)
		return
	}
	if refused := x.holdBudget(ctx); refused != nil {
		x.finish(ctx, refused)
		return
	}
	x.step(eventHeld)
	refused := x.runAttempts(ctx)
	x.settle()
	x.finish(ctx, refused)
}

// holdBudget takes a hold of maxTokens, or returns a refusal. It may wait for the hold for as long as holdWaitFraction and
// minHoldWait allow. It does nothing for a request that consumes no budget.
func (x *exchange) holdBudget(ctx context.Context) *masticway.RefusalError {
	if !x.q.hasBudget() {
		return nil
	}
	wait := max(minHoldWait, time.Duration(holdWaitFraction*float64(x.q.route.LatencyObjective))-x.f.clock.Now().Sub(x.q.arrivedAt))
	x.holdReply = x.f.budgets.Hold(ctx, x.q.account.Workspace, x.maxTokens(), wait)
	switch x.holdReply.Verdict {
	case treasurer.VerdictHeld:
		x.holdOpen = true
		return nil
	case treasurer.VerdictExhausted:
		return refusal(http.StatusPaymentRequired, codeExhausted, "the prepaid budget does not cover the request at its most", 0)
	}
	return refusal(http.StatusServiceUnavailable, codeUnreachable, "the prepaid budget cannot be reached now", retryAfterBudget)
}

// settle ends the hold, if one is open, and charges usedTokens to the workspace.
func (x *exchange) settle() {
	if !x.holdOpen {
		return
	}
	x.holdOpen = false
	x.f.budgets.Settle(x.holdReply.ID, x.usedTokens())
}

// maxTokens returns the maximum number of tokens that may be charged for the request.
func (x *exchange) maxTokens() int64 { return int64(x.unchargedPrompt() + x.q.MaxOutput) }

// unchargedPrompt returns the tokens of the prompt, or zero if the workspace has already been charged for them. A caller that
// resumes an answer was charged for the whole prompt with the earlier events. If the router that relayed these events crashed,
// the router that closed the crashed router's grants has charged the most that these events can have cost. Charging the prompt
// again exhausted budgets after power losses: over 25 days with failures of five routers, 8.5% of the requests were refused
// instead of 5.9%.
func (x *exchange) unchargedPrompt() int {
	if x.q.LastEvent != "" && x.q.route.RetryPolicy == masticway.RetryByResuming {
		return 0
	}
	return x.q.Prompt
}

// usedTokens returns the tokens to charge: none if no successful answer was begun, otherwise the uncharged prompt and, for each written
// event, the maximum number of tokens in one event. It does not matter whether the caller stayed until the end: what was written to it
// may have been delivered.
func (x *exchange) usedTokens() int64 {
	if !x.chargeable {
		return 0
	}
	return int64(x.unchargedPrompt() + min(x.q.MaxOutput, x.events*max(1, x.q.pool.TokensPerEvent)))
}

// outcome is the result of an attempt, or of a request for which no attempt could be started.
type outcome struct {
	fate masticway.Fate
	// result is what the attempt shows about the health of the server.
	result chooser.Result
	// done is set if the whole answer has been written to the caller.
	done   bool
	reason string
	// isFull is set if the server has no capacity now, or if all connections that this router may have to it are in use. Then the
	// server is not faulty.
	isFull bool
	// unsent is set if the request was not sent to any server.
	unsent bool
	// connectionBroken is set if the connection ended before the answer did and this router did not close it. abandoned is set if
	// this router gave up the attempt.
	connectionBroken, abandoned bool
	// retryAfter is how long no server will take the request, and code is the refusal code for this case. retryAfter is zero if
	// that time is unknown. code is codeShuttingDown if this router ends too early for the request.
	retryAfter time.Duration
	code       string
	// suspect is the examiner's status of the request if the request may not run now because it is a suspect.
	suspect masticway.SuspectStatus
}

// runAttempts makes attempts until one writes the whole answer or no further attempt is allowed. In the second case it returns a
// refusal.
func (x *exchange) runAttempts(ctx context.Context) *masticway.RefusalError {
	defer x.discardNext()
	defer func() { x.returnRetry(x.retry) }()
	for {
		if err := x.checkWanted(ctx); err != nil {
			x.cause = err.Error()
			return x.refusalFor(ctx, unwantedOutcome(err))
		}
		a, none := x.nextAttempt(ctx)
		if a == nil {
			return x.refusalFor(ctx, none)
		}
		x.step(eventSent)
		out := x.runAttempt(ctx, a)
		x.retry = a.unusedRetry()
		a.reportToExaminer(ctx, out)
		if out.done {
			x.step(eventFinished)
			return nil
		}
		x.recordOutcome(out)
		if out.fate == masticway.FateNotRun {
			x.step(eventNotRun)
		} else {
			x.step(eventFailed)
		}
		x.tried[a.server.ID] = true
		retry := x.decideRetry(ctx, out)
		x.logFailedAttempt(a, out, retry)
		if !retry.isAllowed() {
			return x.refusalFor(ctx, out)
		}
	}
}

// recordOutcome updates the fate of the request with the outcome of a failed attempt.
func (x *exchange) recordOutcome(out outcome) {
	x.cause = out.reason
	if out.fate != masticway.FateNotRun {
		x.attemptRuns++
	}
	if out.fate == masticway.FateRan || out.fate == masticway.FateUnknown && x.fate == masticway.FateNotRun {
		x.fate = out.fate
	}
}

// possibleRuns returns the number of servers on which the request may have run, not counting the current attempt's server.
func (x *exchange) possibleRuns() int { return x.attemptRuns + int(x.otherRuns.Load()) }

// mayRunAtCandidate reports whether a handover candidate may have run the request, or may run it now.
func (x *exchange) mayRunAtCandidate() bool {
	// A candidate that is given up counts among otherRuns before it ceases to be pending.
	return x.pendingCandidates.Load() > 0 || x.next.Load() != nil || x.otherRuns.Load() > 0
}

// isRepeatable reports whether a request that may have run may run again, or its answer may be resumed, given what has been
// written to the caller.
func (x *exchange) isRepeatable() bool {
	switch x.q.route.RetryPolicy {
	case masticway.RetryUnlimited:
		return !x.headWritten
	case masticway.RetryByResuming:
		return !x.headWritten || x.events == 0 || x.lastEvent != ""
	}
	return false
}

// refusalFor returns the refusal of a request. The outcome is that of its last attempt or, if no attempt could be started, the
// reason for that. If an answer has begun, the refusal is only recorded and not written to the caller.
func (x *exchange) refusalFor(ctx context.Context, out outcome) *masticway.RefusalError {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || x.isExpired()
	if x.fate == masticway.FateNotRun && x.mayRunAtCandidate() {
		x.fate = masticway.FateUnknown
	}
	if out.isFull {
		// The server that refused the request may have announced a rate limit or a backoff.
		if throttled, ok := x.throttledOutcome(); ok {
			out = throttled
		}
	}
	switch {
	case x.fate == masticway.FateNotRun && out.suspect.Suspicion == masticway.SuspicionProven && out.suspect.Suspect.IsPart():
		return refusal(http.StatusServiceUnavailable, codePartCrashesServers, out.reason, out.suspect.Remaining)
	case x.fate == masticway.FateNotRun && out.suspect.Suspicion == masticway.SuspicionProven:
		return refusal(http.StatusServiceUnavailable, codeRequestCrashesServers, out.reason, out.suspect.Remaining)
	case x.fate == masticway.FateNotRun && out.suspect.Suspicion == masticway.SuspicionQuarantined:
		return refusal(http.StatusServiceUnavailable, codeSuspectWaiting, out.reason, retryAfterDefault)
	case x.fate == masticway.FateNotRun && expired:
		return refusal(http.StatusServiceUnavailable, codeNotInTime, "no server took the request in time: "+out.reason, retryAfterDefault)
	case x.fate == masticway.FateNotRun && out.code == codeShuttingDown:
		return refusal(http.StatusServiceUnavailable, codeShuttingDown, out.reason, retryAfterReconnect)
	case x.fate == masticway.FateNotRun && out.retryAfter > 0:
		return refusal(http.StatusServiceUnavailable, out.code, "the servers take nothing now: "+out.reason, max(retryAfterDefault, out.retryAfter))
	case x.fate == masticway.FateNotRun && out.isFull:
		return refusal(http.StatusServiceUnavailable, codeServersFull, "the servers are full: "+out.reason, retryAfterDefault)
	case x.fate == masticway.FateNotRun:
		return refusal(http.StatusServiceUnavailable, codeNoServer, "no server took the request: "+out.reason, retryAfterDefault)
	case expired:
		return &masticway.RefusalError{Status: http.StatusGatewayTimeout, Code: codeTimeout, Fate: x.fate, Message: "the time is over: " + out.reason}
	case x.fate == masticway.FateUnknown:
		return &masticway.RefusalError{Status: http.StatusBadGateway, Code: codeUnknown, Fate: x.fate, Message: "it cannot be told whether the request ran: " + out.reason}
	}
	return &masticway.RefusalError{Status: http.StatusBadGateway, Code: codeFailed, Fate: x.fate, Message: "the server did not finish the answer: " + out.reason}
}

// isExpired reports whether the deadline has passed. The context's timer alone does not suffice, because it stops while the
// machine is suspended.
func (x *exchange) isExpired() bool { return !x.f.clock.Now().Before(x.q.deadline) }

// finish records the end of the exchange. If no answer was begun, it writes the refusal. If an answer was begun that cannot be
// completed, it aborts the connection with a panic. Both also apply to a caller that has left, because it may have closed its sending
// side only and still read.
func (x *exchange) finish(ctx context.Context, refused *masticway.RefusalError) {
	x.recordDuration(refused == nil && x.chargeable)
	if refused == nil {
		x.f.recordServed(x)
		return
	}
	hasLeft := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case hasLeft:
		x.step(eventLeft)
		if refused.Fate == masticway.FateNotRun {
			refused = refusal(http.StatusServiceUnavailable, codeCallerLeft, "the caller closed its side of the connection", retryAfterReconnect)
		}
	case refused.Fate == masticway.FateNotRun:
		x.step(eventRefused)
	default:
		x.step(eventLost)
	}
	switch {
	case hasLeft:
		x.f.recordCallerLeft(x)
	case x.headWritten:
		x.f.recordBroken(x, refused)
	default:
		x.f.recordRefused(x, refused)
	}
	if !x.headWritten {
		x.f.writeRefusal(x, refused)
		return
	}
	// The panic makes net/http close the connection without marking the end of the answer, so that the caller detects that it is
	// incomplete.
	panic(http.ErrAbortHandler)
}

// maxConnections returns how many connections this router may have to one server: the pool's limit divided by the number of
// routers, at most half of the limit, but at least two. For a small plain service it may be another number, which follows demand
// (see package apportioner). Zero means no limit.
func (x *exchange) maxConnections() int {
	if x.q.pool.MaxConnections == 0 {
		return 0
	}
	if x.f.connections != nil {
		if n, ok := x.f.connections.Allowed(x.q.pool.Name); ok {
			return n
		}
	}
	return max(2, x.q.pool.MaxConnections/max(2, x.f.budgets.Members()))
}
