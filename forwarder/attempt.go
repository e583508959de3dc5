package forwarder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/retrier"
	"github.com/masticway/masticway/sender"
)

const (
	// maxAnswerBytes is the maximum size in bytes of an answer that is relayed as a whole.
	maxAnswerBytes = 8 << 20
	// minAnswerPiece is the least number of bytes for which there is room when more of an answer is read.
	minAnswerPiece = 512
	// maxForeignAnswers is the number of answers to other requests, on one connection, after which an attempt fails. A server that sends
	// answers again may owe several of them.
	maxForeignAnswers = 16
)

// attempt is an attempt to serve the request at one server.
type attempt struct {
	x      *exchange
	server masticway.Server
	// urgency is that with which the request is sent (see exchange.urgency).
	urgency int
	// placement is the chooser's record of the attempt.
	placement *chooser.Placement
	// parent is the exchange's context.
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sendResults delivers the result of sending the request if the attempt began as a handover candidate (see handoverState). It
	// is nil for other attempts.
	sendResults chan sendResult
	// excluded holds the IDs of the servers at which earlier attempts of the exchange failed.
	excluded map[string]bool
	handover handoverState
	// retry is the retry that was granted for the attempt. sent is set once the request is about to be written.
	retry retrier.Decision
	sent  atomic.Bool
	// continues is set if a drain doesn't keep the request from being sent: an answer has begun, or a silent server has been given up for
	// this one.
	continues bool
	// quarantined is set if the attempt runs a suspect in quarantine. It is unset by clearSuspect or, when the attempt has ended,
	// by reportToExaminer.
	quarantined bool
	// firstAt is when the first events of a stream arrived from this server or, for other answers, the whole answer. It is zero
	// until then. lastAt is when the last part arrived.
	firstAt, lastAt time.Time
	// sentAt is when the attempt began. answerRecorded is set by recordAnswer.
	sentAt         time.Time
	answerRecorded bool
	// reservation is the capacity that the server has reserved for the attempt; it is empty if there is none.
	reservation string
	// history is that of the connection on which the request was sent, once its answer has come or failed to come.
	history sender.History
	// part is what the attempt contributed to the caller's stream.
	part streamPart
	// coordinated is the run as it is reported to the coordinator.
	coordinated coordinatedRun
	// previous is the attempt before this one that may have run the request; its server is empty if there is none.
	previous previousAttempt
}

// previousAttempt is an attempt of the request before another one.
type previousAttempt struct {
	server string
	fate   masticway.Fate
	// endedAt is when this router had closed the connection. It is zero while the connection is open.
	endedAt time.Time
}

// runAttempt runs an attempt to its end and records its result in the load and health of its server. If the caller has left, the
// result does not count for the health.
func (x *exchange) runAttempt(ctx context.Context, a *attempt) outcome {
	defer a.cancel(nil)
	x.server, x.version = a.server.ID, a.server.Version
	events := x.events
	out := a.run()
	if !out.unsent {
		x.previous = previousAttempt{server: a.server.ID, fate: out.fate, endedAt: x.f.clock.Now()}
	}
	a.coordinated.events = x.events - events
	if errors.Is(ctx.Err(), context.Canceled) {
		out.result = chooser.ResultNeutral
	}
	a.recordResult(out.result)
	return out
}

// nextAttempt returns the attempt to which the previous one was handed over, if any. Otherwise it returns a new attempt at a
// server that has not been tried. If no server can be chosen, it returns nil and an outcome with the reason. It may block (see
// choose).
func (x *exchange) nextAttempt(ctx context.Context) (*attempt, outcome) {
	a := x.next.Swap(nil)
	if a == nil {
		c, none, ok := x.choose(ctx)
		if !ok {
			return nil, none
		}
		a = x.newAttempt(ctx, c)
		a.quarantined, a.continues = c.quarantined, x.headWritten
		a.retry, x.retry = x.retry, retrier.Decision{}
	}
	a.excluded = maps.Clone(x.tried)
	if !a.sent.Load() {
		a.previous = x.previous
	}
	return a, outcome{}
}

// newAttempt returns a new attempt and records the request as sent to the server. The caller must call recordResult when the
// attempt has ended.
func (x *exchange) newAttempt(ctx context.Context, c choice) *attempt {
	x.f.metrics.Add(metricAttempts, 1)
	a := &attempt{x: x, server: c.server, parent: ctx, urgency: x.urgency(c.level), sentAt: x.f.clock.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	x.f.mu.Lock()
	a.placement = x.f.servers.RecordSent(x.f.clock.Now(), x.q.prompt, c.server.ID)
	x.f.mu.Unlock()
	a.beginRun(c.run)
	return a
}

// recordResult records that the attempt has ended, and what its result shows about the server's health.
func (a *attempt) recordResult(r chooser.Result) {
	f := a.x.f
	f.mu.Lock()
	f.servers.RecordEnd(f.clock.Now(), a.placement, r)
	f.mu.Unlock()
	a.endRun(r)
}

func (a *attempt) run() outcome {
	x := a.x
	a.setSilenceTimeout(x.firstAnswerTimeout())
	defer a.setSilenceTimeout(0)
	answer, err := a.awaitAnswer()
	if err != nil {
		return a.sendFailure(err)
	}
	defer answer.Close()
	head := x.f.codec.ParseAnswer(answer.Status, answer.Header)
	answer.SetIdleTimeout(head.IdleTimeout)
	return a.handleAnswer(answer, head)
}

// awaitAnswer sends the request and returns the head of the answer. If the attempt began as a handover candidate, its request has
// been sent already; awaitAnswer then only waits for the result.
func (a *attempt) awaitAnswer() (*sender.Answer, error) {
	var r sendResult
	if a.sendResults != nil {
		r = <-a.sendResults
	} else {
		r = a.send(a.x.lastEvent)
	}
	a.history = r.history
	return r.answer, r.err
}

// send sends the request to the attempt's server and waits for the head of the answer (see skipForeignAnswers). A stream resumes after the
// event with the ID lastEvent or, if that is empty, after the one that the caller named, if any.
func (a *attempt) send(lastEvent string) sendResult {
	a.part.after = cmp.Or(lastEvent, a.x.q.LastEvent)
	answer, err := a.x.f.sender.Send(a.ctx, a.server.Address, a.x.maxConnections(), a.serverRequest())
	if failure, ok := errors.AsType[*sender.Error](err); ok {
		return sendResult{err: err, history: failure.History}
	}
	if err != nil {
		return sendResult{err: err}
	}
	r := sendResult{history: answer.History}
	r.answer, r.err = a.skipForeignAnswers(answer)
	return r
}

// observeServer evaluates what the head of an answer reports about its server. It passes the rate limit and backoff to the
// throttler, and calls onDraining if the server drains.
func (a *attempt) observeServer(answer *sender.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		// The answer comes from another server at this address, so it does not describe the expected one.
		return
	}
	head := a.x.f.codec.ParseAnswer(answer.Status, answer.Header)
	if !a.isForeign(head) {
		// The copy of an earlier answer says what the server wanted then.
		a.x.f.throttler.Observe(a.server.Incarnation(), head)
	}
	if head.Draining {
		a.x.f.onDraining(a.server)
	}
}

// firstAnswerTimeout returns how long to wait for the first event of a stream before the request is handed over. For other
// answers, it is how long to wait for the whole answer. Zero means that it is not handed over.
func (x *exchange) firstAnswerTimeout() time.Duration {
	if x.possibleRuns()+1 >= x.q.route.MaxServers {
		return 0
	}
	switch x.q.route.RetryPolicy {
	case masticway.RetryUnlimited:
		return time.Duration(handoverFraction * float64(x.q.route.LatencyObjective))
	case masticway.RetryByResuming:
		return time.Duration(streamHandoverFactor * float64(x.q.route.LatencyObjective))
	}
	return 0
}

// eventGapTimeout returns how long to wait for the next event before the request is handed over. Zero means that it is not handed
// over.
func (x *exchange) eventGapTimeout() time.Duration {
	if x.possibleRuns()+1 >= x.q.route.MaxServers || x.q.route.RetryPolicy != masticway.RetryByResuming {
		return 0
	}
	return time.Duration(gapHandoverFactor * float64(x.q.route.MaxEventGap))
}

// sendFailure returns the outcome of an attempt that got no answer.
func (a *attempt) sendFailure(err error) outcome {
	if _, ok := errors.AsType[*foreignAnswersError](err); ok {
		return a.failure(err)
	}
	if _, ok := errors.AsType[*unwantedError](err); ok {
		if failure, ok := errors.AsType[*sender.Error](err); ok && failure.Sent {
			return outcome{fate: masticway.FateUnknown, result: chooser.ResultNeutral, reason: err.Error(), abandoned: true}
		}
		a.x.f.throttler.ReturnPermit(a.server.Incarnation(), a.sentAt)
		return unwantedOutcome(err)
	}
	if _, ok := errors.AsType[*sender.ConnectionLimitError](err); ok {
		return outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: err.Error(), isFull: true, unsent: true}
	}
	if a.isUnreachable(err) {
		return outcome{fate: masticway.FateNotRun, result: chooser.ResultUnreachable, reason: err.Error(), unsent: true}
	}
	return a.connectionFailure(err)
}

// isUnreachable reports whether a call to the server failed because there was no connection, not because it was unwanted. If the server
// refused the connection, isUnreachable may also start a check of the server.
func (a *attempt) isUnreachable(err error) bool {
	failure, ok := errors.AsType[*sender.Error](err)
	if _, unwanted := errors.AsType[*unwantedError](err); !ok || failure.Sent || unwanted {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.x.f.checkUnreachable(a.server)
	}
	return true
}

// failure returns the outcome of an attempt that may have run and got no usable answer. The attempt counts as abandoned if its
// context has ended.
func (a *attempt) failure(err error) outcome {
	cause := context.Cause(a.ctx)
	if cause != nil {
		err = fmt.Errorf("%w (%w)", cause, err)
	}
	return outcome{fate: masticway.FateUnknown, result: chooser.ResultFailure, reason: err.Error(), abandoned: cause != nil}
}

// connectionFailure returns the outcome of an attempt whose connection ended before the answer did. The request may have run. The
// connection counts as broken unless the attempt's context has ended.
func (a *attempt) connectionFailure(err error) outcome {
	out := a.failure(err)
	out.connectionBroken = !out.abandoned
	return out
}

// isForeign reports whether an answer names another request.
func (a *attempt) isForeign(head masticway.ServerAnswer) bool {
	return head.ID != "" && head.ID != a.x.q.ID
}

// skipForeignAnswers returns the first answer that has this request's ID or no ID, and records what the skipped ones and this one report
// about the server. It skips answers to other requests: a faulty server may send an answer twice, and the copy then precedes the answer to
// the next request on the connection. It fails with foreignAnswersError if none follows or after maxForeignAnswers skipped answers, and
// then closes the connection.
func (a *attempt) skipForeignAnswers(answer *sender.Answer) (*sender.Answer, error) {
	for range maxForeignAnswers {
		a.observeServer(answer)
		head := a.x.f.codec.ParseAnswer(answer.Status, answer.Header)
		if !a.isForeign(head) {
			return answer, nil
		}
		a.logSkipped(answer, head)
		next, err := answer.Next()
		if err != nil {
			answer.Close()
			return nil, &foreignAnswersError{cause: err}
		}
		answer = next
	}
	answer.Close()
	return nil, &foreignAnswersError{}
}

// foreignAnswersError reports that a request got only answers to other requests.
type foreignAnswersError struct {
	// cause is why no further answer could be read. It is nil if there were too many.
	cause error
}

// Error describes why no further answer was read.
func (e *foreignAnswersError) Error() string {
	if e.cause == nil {
		return "the answers belong to other requests"
	}
	return fmt.Sprintf("after an answer to another request: %v", e.cause)
}

// Unwrap returns the cause.
func (e *foreignAnswersError) Unwrap() error { return e.cause }

// isRejected reports whether an answer says that the server did not run the attempt's request. An answer that does not name the request
// may belong to another one, and one on a connection that had carried the request before to its earlier sending.
func (a *attempt) isRejected(head masticway.ServerAnswer, h sender.History) bool {
	return head.NotRun && head.ID == a.x.q.ID && !h.Repeated
}

// checkAnswer returns an error if an answer that does not reject the request cannot be relayed: it cannot be told to which sending of which
// request it belongs, or it is not signed.
func checkAnswer(answer *sender.Answer, head masticway.ServerAnswer) error {
	if head.NotRun && answer.History.Repeated {
		return fmt.Errorf("status %d, perhaps of an earlier sending on this connection", answer.Status)
	}
	if head.ID == "" || !head.Signed {
		return fmt.Errorf("status %d without the request's id or a signature", answer.Status)
	}
	return nil
}

// handleAnswer relays an answer to the caller, unless the server did not run the request, or the answer lacks the request's ID or
// a signature.
func (a *attempt) handleAnswer(answer *sender.Answer, head masticway.ServerAnswer) outcome {
	if a.isRejected(head, answer.History) {
		_ = answer.DiscardRejection()
		return a.notRunOutcome(answer.Status)
	}
	if err := checkAnswer(answer, head); err != nil {
		return a.failure(err)
	}
	a.x.step(eventAnswered)
	if a.x.q.route.IsStream && answer.Status == http.StatusOK {
		return a.relayStream(answer)
	}
	return a.relayWhole(answer)
}

// notRunOutcome returns the outcome for an answer with which the server reports that it did not run the request.
func (a *attempt) notRunOutcome(status int) outcome {
	out := outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: "status " + strconv.Itoa(status) + ", not run"}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		out.isFull = true
		out.result = chooser.ResultFailure
	}
	if status == http.StatusMisdirectedRequest {
		out.result = chooser.ResultUnreachable
	}
	return out
}

// errAnswerTooLarge ends an attempt whose answer is larger than maxAnswerBytes.
var errAnswerTooLarge = fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)

// errAnswersTooLarge ends an attempt because the router may not keep more bytes of unfinished answers.
var errAnswersTooLarge = errors.New("the answers that are being read are too large together")

// readWhole reads an answer to its end.
func (a *attempt) readWhole(answer io.Reader) ([]byte, error) {
	kept := a.x.f.answerBytes.account()
	defer kept.release()
	var body []byte
	for {
		if len(body) == cap(body) {
			// One byte more than allowed tells that the answer is too large.
			grown, ok := kept.grow(body, min(max(minAnswerPiece, len(body)), maxAnswerBytes+1-len(body)))
			if !ok {
				return nil, errAnswersTooLarge
			}
			body = grown
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxAnswerBytes:
			return nil, errAnswerTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// relayWhole reads the whole answer, waits until its hold is cleared and writes it to the caller. It writes nothing if the answer
// cannot be read to its end or is too large, if the exchange has already written part of a stream, or if the hold is not cleared in
// time. It also writes nothing if the status is 500 or above, the server is an outlier (see isOutlier) and the request may run at
// another server.
func (a *attempt) relayWhole(answer *sender.Answer) outcome {
	x := a.x
	body, err := a.readWhole(answer)
	switch {
	case errors.Is(err, errAnswerTooLarge) || errors.Is(err, errAnswersTooLarge):
		return a.failure(err)
	case err != nil:
		return a.connectionFailure(fmt.Errorf("reading the answer: %w", err))
	case !a.isWhole(answer):
		return a.connectionFailure(errEndedWithServer)
	}
	a.recordFirstPart()
	isServerError := answer.Status >= http.StatusInternalServerError
	if isServerError && x.q.route.RetryPolicy == masticway.RetryUnlimited && x.possibleRuns()+1 < x.q.route.MaxServers && x.isOutlier(a.server) {
		return outcome{fate: masticway.FateRan, result: chooser.ResultFailure, reason: "status " + strconv.Itoa(answer.Status) + " of a suspect server"}
	}
	x.fate = masticway.FateRan
	if x.headWritten {
		// The resumption of a stream got an answer that is not a stream, which cannot be appended to the caller's stream.
		return outcome{fate: masticway.FateRan, result: chooser.ResultNeutral, reason: "status " + strconv.Itoa(answer.Status) + " to a resumption"}
	}
	if !a.awaitClearance() {
		return outcome{fate: masticway.FateRan, result: chooser.ResultNeutral, reason: errHoldNotCleared.Error()}
	}
	x.beginAnswer(answer)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(body)
	result := chooser.ResultSuccess
	if isServerError {
		result = chooser.ResultFailure
	}
	return outcome{done: true, fate: masticway.FateRan, result: result}
}

// beginAnswer prepares the headers of the caller's answer. The caller of beginAnswer must write the head next. From then on,
// another server's answer can reach the caller only as the continuation of this stream.
func (x *exchange) beginAnswer(answer *sender.Answer) {
	x.headWritten = true
	x.chargeable = answer.Status < http.StatusMultipleChoices
	header := x.w.Header()
	for name, values := range x.f.codec.CallerHeaders(answer.Header) {
		header[name] = values
	}
	x.f.setConnectionHeader(header)
	// Keep net/http from adding headers that the server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// recordFirstPart records that a part of the attempt's answer has arrived. The first call for the attempt records its first part,
// further calls only the time of the last part.
func (a *attempt) recordFirstPart() {
	now := a.x.f.clock.Now()
	a.x.markAnswered()
	if a.x.firstAt.IsZero() {
		a.x.firstAt = now
	}
	if a.firstAt.IsZero() {
		a.firstAt = now
		a.reportFirstEvent(now)
	}
	a.lastAt = now
	a.x.f.mu.Lock()
	a.x.f.servers.RecordFirstEvent(now, a.placement)
	a.x.f.mu.Unlock()
}

// isOutlier reports whether a server fails clearly more often than the other servers of the pool.
func (x *exchange) isOutlier(s masticway.Server) bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.f.servers.IsOutlier(s.ID, x.f.snapshot().Servers[x.q.pool.Name])
}
