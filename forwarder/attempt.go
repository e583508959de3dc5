package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/sender"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is relayed.
	maxAnswerBytes = 8 << 20
	// maxForeignAnswers bounds the answers to other requests that are skipped on one connection.
	maxForeignAnswers = 2
)

// attempt is an attempt to serve the request at one server.
type attempt struct {
	x         *exchange
	server    masticway.Server
	placement *chooser.Placement
	// parent is the exchange's context.
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sendResults delivers the result of an attempt that was sent as a handover candidate. It is nil for other attempts.
	sendResults chan sendResult
	// excluded are the servers that had been tried before the attempt.
	excluded map[string]bool
	handover handoverState
	// quarantined is set if the request runs as a suspect and this router has to report the result to the examiner.
	quarantined bool
	// firstAt is when the first part of this server's answer arrived.
	firstAt time.Time
}

// runAttempt sends the request to one server and relays its answer.
func (x *exchange) runAttempt(ctx context.Context, a *attempt) outcome {
	defer a.cancel(nil)
	x.server = a.server.ID
	out := a.run()
	if errors.Is(ctx.Err(), context.Canceled) {
		out.result = chooser.ResultNeutral
	}
	a.recordResult(out.result)
	return out
}

// nextAttempt returns the attempt to which the previous one was handed over, if any, and else a new attempt at the best server
// that has not been tried. If there is none, the outcome has the reason.
func (x *exchange) nextAttempt(ctx context.Context) (*attempt, outcome) {
	a := x.next.Swap(nil)
	if a == nil {
		c, none, ok := x.choose(ctx)
		if !ok {
			return nil, none
		}
		a = x.newAttempt(ctx, c.server)
		a.quarantined = c.quarantined
	}
	a.excluded = maps.Clone(x.tried)
	return a, outcome{}
}

// newAttempt records that the request goes to a server.
func (x *exchange) newAttempt(ctx context.Context, server masticway.Server) *attempt {
	x.f.metrics.Add(metricAttempts, 1)
	a := &attempt{x: x, server: server, parent: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	x.f.mu.Lock()
	a.placement = x.f.servers.RecordSent(x.f.clock.Now(), x.q.prompt, server.ID)
	x.f.mu.Unlock()
	return a
}

// recordResult records what the end of the attempt says about its server.
func (a *attempt) recordResult(r chooser.Result) {
	f := a.x.f
	f.mu.Lock()
	f.servers.RecordEnd(f.clock.Now(), a.placement, r)
	f.mu.Unlock()
}

func (a *attempt) run() outcome {
	x := a.x
	a.setSilenceTimeout(x.firstAnswerTimeout())
	defer a.setSilenceTimeout(0)
	answer, err := a.awaitAnswer()
	if err != nil {
		return a.sendFailure(err)
	}
	defer func() { answer.Close() }()
	head, expected, err := a.skipForeignAnswers(answer)
	if err != nil {
		return a.failure(err)
	}
	answer = expected
	answer.SetIdleTimeout(head.IdleTimeout)
	return a.handleAnswer(answer, head)
}

// awaitAnswer returns the head of the answer. It sends the request unless that was done as a handover candidate.
func (a *attempt) awaitAnswer() (*sender.Answer, error) {
	if a.sendResults != nil {
		r := <-a.sendResults
		return r.answer, r.err
	}
	return a.send(a.x.lastEvent)
}

// send sends the request to the attempt's server and returns the head of the answer. A stream resumes after lastEvent.
func (a *attempt) send(lastEvent string) (*sender.Answer, error) {
	answer, err := a.x.f.sender.Send(a.ctx, a.server.Address, a.x.maxConnections(), a.x.serverRequest(a.server, lastEvent))
	if err == nil {
		a.observeServer(answer)
	}
	return answer, err
}

// observeServer records what the head of an answer says about the server itself.
func (a *attempt) observeServer(answer *sender.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		// The answer comes from another server at this address, so it does not describe the expected one.
		return
	}
	head := a.x.f.codec.ParseAnswer(answer.Status, answer.Header)
	a.x.f.throttler.Observe(a.server.Incarnation(), head)
	if head.Draining {
		a.x.f.onLeaving(a.server)
	}
}

// firstAnswerTimeout returns how long to wait for the first bytes of an answer before another server is asked. Zero means no
// limit.
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

// eventGapTimeout returns how long to wait for the next event before another server is asked. Zero means no limit.
func (x *exchange) eventGapTimeout() time.Duration {
	if x.possibleRuns()+1 >= x.q.route.MaxServers || x.q.route.RetryPolicy != masticway.RetryByResuming {
		return 0
	}
	return time.Duration(gapHandoverFactor * float64(x.q.route.MaxEventGap))
}

// sendFailure returns the outcome of an attempt that got no answer.
func (a *attempt) sendFailure(err error) outcome {
	if _, ok := errors.AsType[*sender.ConnectionLimitError](err); ok {
		return outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: err.Error(), isFull: true}
	}
	if failure, ok := errors.AsType[*sender.Error](err); ok && !failure.Sent {
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.x.f.checkUnreachable(a.server)
		}
		return outcome{fate: masticway.FateNotRun, result: chooser.ResultUnreachable, reason: err.Error()}
	}
	return a.connectionFailure(err)
}

// failure returns the outcome of an attempt that may have run and got no usable answer.
func (a *attempt) failure(err error) outcome {
	cause := context.Cause(a.ctx)
	if cause != nil {
		err = fmt.Errorf("%w (%w)", cause, err)
	}
	return outcome{fate: masticway.FateUnknown, result: chooser.ResultFailure, reason: err.Error(), abandoned: cause != nil}
}

// connectionFailure is failure for a connection that ended before the answer did. The connection counts as broken unless this
// router closed it.
func (a *attempt) connectionFailure(err error) outcome {
	out := a.failure(err)
	out.connectionBroken = !out.abandoned
	return out
}

// skipForeignAnswers returns the answer to this request. It skips answers to other requests, which a faulty server may send
// twice.
func (a *attempt) skipForeignAnswers(answer *sender.Answer) (masticway.ServerAnswer, *sender.Answer, error) {
	for range maxForeignAnswers {
		head := a.x.f.codec.ParseAnswer(answer.Status, answer.Header)
		if head.ID == a.x.q.ID || head.ID == "" {
			return head, answer, nil
		}
		next, err := answer.Next()
		if err != nil {
			return head, answer, err
		}
		answer = next
	}
	return masticway.ServerAnswer{}, answer, errors.New("the answers belong to other requests")
}

// handleAnswer validates an answer and relays it.
func (a *attempt) handleAnswer(answer *sender.Answer, head masticway.ServerAnswer) outcome {
	if head.NotRun {
		_, _ = io.Copy(io.Discard, answer)
		return a.notRunOutcome(answer.Status)
	}
	if head.ID == "" || !head.Signed {
		return a.failure(fmt.Errorf("status %d without the request's id or a signature", answer.Status))
	}
	a.x.step(eventAnswered)
	if a.x.q.route.IsStream && answer.Status == http.StatusOK {
		return a.relayStream(answer)
	}
	return a.relayWhole(answer)
}

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

// relayWhole reads the whole answer and then writes it to the caller.
func (a *attempt) relayWhole(answer *sender.Answer) outcome {
	x := a.x
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes))
	if err != nil {
		return a.connectionFailure(fmt.Errorf("reading the answer: %w", err))
	}
	a.recordFirstPart()
	bad := answer.Status >= http.StatusInternalServerError
	if bad && x.q.route.RetryPolicy == masticway.RetryUnlimited && x.possibleRuns()+1 < x.q.route.MaxServers && x.isOutlier(a.server) {
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
	if bad {
		result = chooser.ResultFailure
	}
	return outcome{done: true, fate: masticway.FateRan, result: result}
}

// beginAnswer copies the headers of an answer to the caller's. Once they are written, no other server can answer.
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

// recordFirstPart records the arrival of a part of the answer; only the first one counts.
func (a *attempt) recordFirstPart() {
	now := a.x.f.clock.Now()
	a.x.markAnswered()
	if a.x.firstAt.IsZero() {
		a.x.firstAt = now
	}
	if a.firstAt.IsZero() {
		a.firstAt = now
	}
	a.x.f.mu.Lock()
	a.x.f.servers.RecordFirstEvent(now, a.placement)
	a.x.f.mu.Unlock()
}

func (x *exchange) isOutlier(s masticway.Server) bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.f.servers.IsOutlier(s.ID, x.f.snapshot().Servers[x.q.pool.Name])
}
