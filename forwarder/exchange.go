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
	"github.com/masticway/masticway/examiner"
	"github.com/masticway/masticway/sender"
	"github.com/masticway/masticway/treasurer"
)

const (
	// retryAfterDefault is when a refused caller should come back: a router, a server or money is usually there by then.
	retryAfterDefault = 250 * time.Millisecond
	// retryAfterBudget is the same for money that could not be reached: a cut lasts seconds, and what may be taken grows meanwhile.
	retryAfterBudget = 3000 * time.Millisecond
	// holdWaitFraction is the part of a route's target that a request may wait for money; a refusal after a quarter is late.
	holdWaitFraction = 0.22
	// minHoldWait is the wait for money on routes with a tight target, a few calls to the store.
	minHoldWait = 60 * time.Millisecond
	// connectTimeout bounds a connection to a server, a few times the way between availability zones.
	connectTimeout = 250 * time.Millisecond
	// maxIdleNonRepeatable is how long a connection may have been idle for a request that must not run twice: a server that has
	// just closed it leaves the request's fate unknown.
	maxIdleNonRepeatable = 400 * time.Millisecond
	// ackTimeout is how long a server's kernel may take to acknowledge a request that may be repeated: three
	// retransmissions, so that a link which loses 3% of its packets breaks off three requests in 100,000. A machine
	// without power is left after it, instead of after most of the time that a caller waits.
	ackTimeout = 700 * time.Millisecond
	// maxTries bounds the servers that are asked for one request, including those that did not take it.
	maxTries = 5
	// handoverFraction is the part of the target after which a repeatable request without an answer goes elsewhere too.
	handoverFraction = 0.7
	// streamHandoverFactor and gapHandoverFactor are the multiples of target and pause after which a stream that can go on elsewhere does.
	streamHandoverFactor = 2.0
	gapHandoverFactor    = 3.0
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

// exchange carries one request from admission to the end of its answer.
type exchange struct {
	f     *Forwarder
	w     http.ResponseWriter
	q     request
	state charter.State
	// fate is the most that can be said of all attempts.
	fate masticway.Fate
	// holdReply is the answer to the request for money, held tells that the hold is open.
	holdReply treasurer.Reply
	holdOpen  bool
	cleared   bool
	// retryReserved tells that another try is allowed, for which the present one is left.
	retryReserved atomic.Bool
	// next is the attempt that goes on with the request once the present one is left for it.
	next        atomic.Pointer[attempt]
	tries       int
	attemptRuns int
	// otherRuns counts the servers that may have run the request beside the present one and were dropped.
	otherRuns atomic.Int32
	tried     map[string]bool
	cause     string
	// awaitingAnswer tells that the request counts among those that wait for their answers.
	awaitingAnswer atomic.Bool
	// admitted tells that it was let in, with so many bytes.
	admitted      bool
	admittedBytes int64
	// headWritten tells that the head of an answer has gone to the caller.
	headWritten bool
	// chargeable tells that the caller got at least a part of a good answer.
	chargeable bool
	events     int
	lastEvent  string
	firstAt    time.Time
	server     string
	// digestOnce makes the digest, which few requests are ever asked for.
	digestOnce  sync.Once
	digestValue masticway.RequestDigest
	// suspected tells that the request was a suspect when it was last sent.
	suspected bool
}

// step follows the chart; a step that it does not allow is a defect and is logged.
func (x *exchange) step(e charter.Event) {
	next, err := deliveryChart.Next(x.state, e)
	if err != nil {
		x.f.log.WithFields(logrus.Fields{"event": "chart_fault", "request": x.q.ID, "error": err}).Error("step outside the chart")
		return
	}
	x.state = next
}

// digest returns the request's digest.
func (x *exchange) digest() masticway.RequestDigest {
	x.digestOnce.Do(func() {
		x.digestValue = examiner.Digest(examiner.Source{
			Workspace: x.q.account.Workspace, Method: x.q.method, Host: x.q.host, Target: x.q.target, Body: x.q.body,
		})
	})
	return x.digestValue
}

// run serves the request.
func (x *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, x.q.deadline.Sub(x.f.clock.Now()))
	defer cancel()
	x.f.mu.Lock()
	x.f.allowance(x.q.pool.Name).Asked(x.q.received)
	x.f.mu.Unlock()
	if none, proven := x.provenOutcome(); proven {
		x.cause = none.reason
		x.step(eventRefused)
		x.f.writeRefusal(x.w, x, x.refusalFor(ctx, none))
		return
	}
	if refused := x.holdBudget(ctx); refused != nil {
		x.step(eventRefused)
		x.f.writeRefusal(x.w, x, refused)
		return
	}
	x.step(eventHeld)
	refused := x.runAttempts(ctx)
	x.settle()
	x.finish(ctx, refused)
}

// holdBudget holds the most that the request may consume.
func (x *exchange) holdBudget(ctx context.Context) *masticway.RefusalError {
	if !x.q.hasBudget() {
		return nil
	}
	wait := max(minHoldWait, time.Duration(holdWaitFraction*float64(x.q.route.LatencyObjective))-x.f.clock.Now().Sub(x.q.received))
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

// settle ends the hold with what was used: nothing if the caller got nothing, else the prompt and what was delivered.
// Work whose answer was lost on the way is not charged to the workspace.
func (x *exchange) settle() {
	if !x.holdOpen {
		return
	}
	x.holdOpen = false
	x.f.budgets.Settle(x.holdReply.ID, x.usedTokens())
}

// maxTokens is the most that the request may consume.
func (x *exchange) maxTokens() int64 { return int64(x.unchargedPrompt() + x.q.MaxOutput) }

// unchargedPrompt is the part of the prompt that the workspace has not been charged for. A caller that resumes an answer was
// charged for all of it with the events that came before; where the router of these died, its successor has counted them at
// their most. Charged again, it used up budgets after losses of power: over 25 days with trouble of five routers 8.5% of
// the requests were refused for 5.9%.
func (x *exchange) unchargedPrompt() int {
	if x.q.LastEvent != "" && x.q.route.RetryPolicy == masticway.RetryByResuming {
		return 0
	}
	return x.q.Prompt
}

func (x *exchange) usedTokens() int64 {
	if !x.chargeable {
		return 0
	}
	return int64(x.unchargedPrompt() + min(x.q.MaxOutput, x.events*max(1, x.q.pool.TokensPerEvent)))
}

// outcome is how one attempt ended.
type outcome struct {
	fate   masticway.Fate
	result chooser.Verdict
	// done tells that the caller has its whole answer.
	done   bool
	reason string
	// isFull tells that the server has no room now, rather than being at fault.
	isFull bool
	// connectionBroken tells that the connection ended before the answer did, abandoned that this router ended it.
	connectionBroken, abandoned bool
	// retryAfter is when a server that takes none now may take the request, and code why it does not; zero when none is known to.
	retryAfter time.Duration
	code       string
	// suspect tells why the request may not run now, and for how long.
	suspect masticway.SuspectStatus
}

// runAttempts tries servers until the answer is there or the rules say to stop.
func (x *exchange) runAttempts(ctx context.Context) *masticway.RefusalError {
	defer x.discardNext()
	for {
		if x.isExpired() {
			return x.refusalFor(ctx, outcome{fate: masticway.FateNotRun, result: chooser.VerdictNone, reason: "its time was over before it was sent"})
		}
		a, none := x.nextAttempt(ctx)
		if a == nil {
			return x.refusalFor(ctx, none)
		}
		x.step(eventSent)
		out := x.runAttempt(ctx, a)
		a.reportToExaminer(ctx, out)
		if out.done {
			x.step(eventFinished)
			return nil
		}
		x.recordOutcome(out)
		x.logFailedAttempt(a.server, out)
		if out.fate == masticway.FateNotRun {
			x.step(eventNotRun)
		} else {
			x.step(eventFailed)
		}
		x.tried[a.server.ID] = true
		if !x.canRetry(ctx, out) {
			return x.refusalFor(ctx, out)
		}
	}
}

// recordOutcome keeps the most that can be said of all attempts: once one may have run, "not run" is never said again.
func (x *exchange) recordOutcome(out outcome) {
	x.cause = out.reason
	if out.fate != masticway.FateNotRun {
		x.attemptRuns++
	}
	if out.fate == masticway.FateRan || out.fate == masticway.FateUnknown && x.fate == masticway.FateNotRun {
		x.fate = out.fate
	}
}

// possibleRuns is on how many servers the request may have run.
func (x *exchange) possibleRuns() int { return x.attemptRuns + int(x.otherRuns.Load()) }

// canRetry decides whether another server may be asked.
func (x *exchange) canRetry(ctx context.Context, out outcome) bool {
	x.tries++
	if ctx.Err() != nil || x.tries >= maxTries {
		return false
	}
	if out.fate != masticway.FateNotRun {
		if x.possibleRuns() >= x.q.route.MaxServers || !x.isRepeatable() {
			return false
		}
	}
	if out.result == chooser.VerdictUnreached {
		// Nothing arrived, so nothing is added to what the servers get.
		return true
	}
	if !x.retryReserved.Swap(false) && !x.takeRetry() {
		return false
	}
	x.f.metrics.Add(metricRetries, 1)
	if x.headWritten {
		x.f.metrics.Add(metricResumed, 1)
	}
	return true
}

// reserveRetry takes the allowance for another try before the present one is left; it is called beside the exchange.
func (x *exchange) reserveRetry() bool {
	if !x.takeRetry() {
		return false
	}
	x.retryReserved.Store(true)
	return true
}

// takeRetry takes one try from the allowance that all routers share.
func (x *exchange) takeRetry() bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if x.f.allowance(x.q.pool.Name).Take(x.f.clock.Now(), x.f.budgets.Members()) {
		return true
	}
	x.f.metrics.Add(metricRetriesDenied, 1)
	return false
}

// isRepeatable tells that a request which may have run may run again, or go on where it stopped.
func (x *exchange) isRepeatable() bool {
	switch x.q.route.RetryPolicy {
	case masticway.RetryUnlimited:
		return !x.headWritten
	case masticway.RetryByResuming:
		return !x.headWritten || x.events == 0 || x.lastEvent != ""
	}
	return false
}

// refusalFor turns the last failure into the caller's answer.
func (x *exchange) refusalFor(ctx context.Context, out outcome) *masticway.RefusalError {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || x.isExpired()
	if out.isFull {
		// The server that turned the request away may have said for how long.
		if throttled, ok := x.throttledOutcome(); ok {
			out = throttled
		}
	}
	switch {
	case x.fate == masticway.FateNotRun && out.suspect.Suspicion == masticway.SuspicionProven:
		return refusal(http.StatusServiceUnavailable, codeRequestCrashesServers, out.reason, out.suspect.Remaining)
	case x.fate == masticway.FateNotRun && out.suspect.Suspicion == masticway.SuspicionQuarantined:
		return refusal(http.StatusServiceUnavailable, codeSuspectWaiting, out.reason, retryAfterDefault)
	case x.fate == masticway.FateNotRun && expired:
		return refusal(http.StatusServiceUnavailable, codeNotInTime, "no server took the request in time: "+out.reason, retryAfterDefault)
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

// isExpired tells that the request's time is over. Its timer alone does not: it stands still while the machine is suspended.
func (x *exchange) isExpired() bool { return !x.f.clock.Now().Before(x.q.deadline) }

// finish answers a request that got none, or breaks off an answer that cannot be finished.
func (x *exchange) finish(ctx context.Context, refused *masticway.RefusalError) {
	if refused == nil {
		x.f.recordServed(x)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		x.step(eventLeft)
		x.f.recordCallerLeft(x)
		return
	}
	if refused.Fate == masticway.FateNotRun {
		x.step(eventRefused)
	} else {
		x.step(eventLost)
	}
	if !x.headWritten {
		x.f.writeRefusal(x.w, x, refused)
		return
	}
	x.f.recordBroken(x, refused)
	// The server library ends the connection without the mark of a whole answer.
	panic(http.ErrAbortHandler)
}

// serverRequest builds what a server is sent; a stream goes on after the last event given, if there is one.
func (x *exchange) serverRequest(server masticway.Server, lastEvent string) sender.Request {
	q := x.q
	if lastEvent == "" {
		lastEvent = q.LastEvent
	}
	r := sender.Request{
		Method: q.method, Target: q.target, Host: q.host, Body: q.body, Connect: connectTimeout,
		Header: x.f.codec.ServerHeaders(q.header, masticway.Delivery{
			Server: server.ID, Workspace: q.account.Workspace, TimeLeft: q.deadline.Sub(x.f.clock.Now()),
			Urgency: q.rank(), HasUrgency: q.pool.IsEngine, LastEvent: lastEvent,
		}),
	}
	if q.route.RetryPolicy == masticway.RetryNever {
		r.Fresh = maxIdleNonRepeatable
	} else {
		r.Acknowledged = ackTimeout
	}
	return r
}

// maxConnections is this router's share of a server's connections.
func (x *exchange) maxConnections() int {
	if x.q.pool.MaxConnections == 0 {
		return 0
	}
	return max(2, x.q.pool.MaxConnections/max(2, x.f.budgets.Members()))
}
