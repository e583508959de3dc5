package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/retrier"
	"github.com/masticway/masticway/sender"
)

// errCallerLeft is the cause with which the context of an exchange ends if the kernel reports that the caller has left.
var errCallerLeft = errors.New("the caller has left")

// unwantedError reports that a request was not sent to a server because nobody waits for its answer any more, or nobody
// could pass it on.
type unwantedError struct {
	// Cause is why: the caller has left, the deadline has passed, another attempt serves the request, or this router ends too early.
	Cause error
	// Age is the time since the request arrived.
	Age time.Duration
}

// Error describes why and when the request was given up.
func (e *unwantedError) Error() string {
	return fmt.Sprintf("given up unsent %d ms after its arrival: %v", e.Age.Milliseconds(), e.Cause)
}

// Unwrap returns the cause.
func (e *unwantedError) Unwrap() error { return e.Cause }

// checkWanted returns an unwantedError if the request must not be sent to a server: the caller has left, the deadline has passed or
// the context has ended. It must be called after everything that may have taken time. It asks the kernel whether the caller has left,
// because a process that had to wait for a processor has not read that yet, and the clock for the deadline, because timers may be
// late.
func (x *exchange) checkWanted(ctx context.Context) error {
	if x.caller.HasLeft() {
		x.leave(errCallerLeft)
	}
	cause := context.Cause(ctx)
	if cause == nil && x.isExpired() {
		cause = context.DeadlineExceeded
	}
	if cause == nil {
		return nil
	}
	return &unwantedError{Cause: cause, Age: x.f.clock.Now().Sub(x.q.arrivedAt)}
}

// serverRequest returns the request of an attempt.
func (a *attempt) serverRequest() sender.Request {
	q := &a.x.q
	r := sender.Request{
		ID: q.ID, Method: q.method, Target: q.target, Host: q.host, Body: q.body, ConnectTimeout: connectTimeout,
		Prepare: func() http.Header { return a.serverHeader() },
		Check:   a.checkSending,
	}
	if q.route.RetryPolicy == masticway.RetryNever {
		r.MaxIdle = maxIdleNonRepeatable
	} else {
		r.AckTimeout = ackTimeout
	}
	return r
}

// serverHeader returns the header of the attempt's request. It is called when the request is about to be written, so that the time left
// is not that of before the attempt had to wait.
func (a *attempt) serverHeader() http.Header {
	x := a.x
	return x.f.codec.ServerHeaders(x.q.header, masticway.Delivery{
		Server: a.server.ID, Workspace: x.q.account.Workspace, TimeLeft: x.q.deadline.Sub(x.f.clock.Now()),
		Urgency: a.urgency, HasUrgency: x.q.pool.IsEngine, LastEvent: a.part.after, Reservation: a.reservation,
	})
}

// checkTimeLeft returns an unwantedError if the shutdown of this router is likely to cut off the request if it is sent now. It must not be
// asked for the continuation of an answer that has begun: what is left may suffice, and without it the answer is broken for certain.
func (x *exchange) checkTimeLeft() error {
	now := x.f.clock.Now()
	if !x.f.drainState.Load().wouldCutOff(x, now) {
		return nil
	}
	return &unwantedError{Cause: errOutlastsRouter, Age: now.Sub(x.q.arrivedAt)}
}

// checkSending returns an error if the request is not wanted any more, or if this router is likely to end before its answer. If it
// returns none, the request counts as sent.
func (a *attempt) checkSending() error {
	x := a.x
	if err := x.checkWanted(a.ctx); err != nil {
		return err
	}
	if !a.sent.Load() && !a.continues {
		if err := x.checkTimeLeft(); err != nil {
			return err
		}
	}
	if !a.sent.Swap(true) {
		x.sentAge.Store(int64(x.f.clock.Now().Sub(x.q.arrivedAt)))
		a.logSentAgain()
	}
	return nil
}

// logSentAgain logs that the request is sent to another server than before, and how long after the connection to that one was closed.
func (a *attempt) logSentAgain() {
	p, x := a.previous, a.x
	if p.server == "" {
		return
	}
	fields := logrus.Fields{
		"event": "request_sent_again", "request": x.q.ID, "server": a.server.ID, "previous": p.server, "previous_fate": p.fate, "previous_open": p.endedAt.IsZero(),
	}
	if !p.endedAt.IsZero() {
		fields["after_ms"] = x.f.clock.Now().Sub(p.endedAt).Milliseconds()
	}
	x.f.log.WithFields(fields).Info("request sent to another server")
}

// unwantedOutcome returns the outcome of an attempt that was not sent because of an error of checkWanted. It says nothing about the
// server.
func unwantedOutcome(err error) outcome {
	out := outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: err.Error(), unsent: true}
	if errors.Is(err, errOutlastsRouter) {
		out.code = codeShuttingDown
	}
	return out
}

// unusedRetry returns the retry that was granted for the attempt, unless the request was sent.
func (a *attempt) unusedRetry() retrier.Decision {
	if a.sent.Load() {
		return retrier.Decision{}
	}
	return a.retry
}

// returnRetry gives a retry back that no attempt has used. It does nothing for a decision that granted none.
func (x *exchange) returnRetry(unused retrier.Decision) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.allowance(x.q.pool.Name).Return(x.f.clock.Now(), unused)
}
