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
	// maxAnswerBytes bounds an answer that is read in whole.
	maxAnswerBytes = 8 << 20
	// maxForeignAnswers bounds the answers to other requests that are skipped on one connection.
	maxForeignAnswers = 2
)

// attempt is one request at one server.
type attempt struct {
	x         *exchange
	server    masticway.Server
	placement *chooser.Placement
	// parent is the exchange's context.
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sendResults brings the answer of a server that was asked while the one before was silent; else it is nil.
	sendResults chan sendResult
	// excluded are the servers that had been asked when the attempt began.
	excluded map[string]bool
	handover handoverState
	// quarantined tells that the request runs as a suspect, and is this router's to report on.
	quarantined bool
	// firstAt is when the first part of this server's answer came.
	firstAt time.Time
}

// runAttempt sends the request to one server and relays its answer.
func (x *exchange) runAttempt(ctx context.Context, a *attempt) outcome {
	defer a.cancel(nil)
	x.server = a.server.ID
	out := a.run()
	if errors.Is(ctx.Err(), context.Canceled) {
		out.result = chooser.VerdictNone
	}
	a.recordResult(out.result)
	return out
}

// nextAttempt returns the next attempt: at a server that has taken the request while the one before was silent, else at the
// best of those that were not asked. There may be none, for a reason.
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

// newAttempt notes a request that goes to a server.
func (x *exchange) newAttempt(ctx context.Context, server masticway.Server) *attempt {
	x.f.metrics.Add(metricAttempts, 1)
	a := &attempt{x: x, server: server, parent: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	x.f.mu.Lock()
	a.placement = x.f.servers.Sent(x.f.clock.Now(), x.q.prompt, server.ID)
	x.f.mu.Unlock()
	return a
}

// recordResult notes how an attempt ended, as far as it says something of its server.
func (a *attempt) recordResult(r chooser.Verdict) {
	f := a.x.f
	f.mu.Lock()
	f.servers.Ended(f.clock.Now(), a.placement, r)
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
	answer.KeepIdle(head.IdleTimeout)
	return a.handleAnswer(answer, head)
}

// awaitAnswer sends the request, unless it is sent already, and returns the head of the answer.
func (a *attempt) awaitAnswer() (*sender.Answer, error) {
	if a.sendResults != nil {
		r := <-a.sendResults
		return r.answer, r.err
	}
	return a.send(a.x.lastEvent)
}

// send sends the request to the attempt's server and returns the head of the answer; a stream goes on after the last event given.
func (a *attempt) send(lastEvent string) (*sender.Answer, error) {
	answer, err := a.x.f.sender.Send(a.ctx, a.server.Address, a.x.maxConnections(), a.x.serverRequest(a.server, lastEvent))
	if err == nil {
		a.observeServer(answer)
	}
	return answer, err
}

// observeServer notes what the server says of itself in the head of an answer.
func (a *attempt) observeServer(answer *sender.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		// A server that is not the one meant speaks of itself.
		return
	}
	head := a.x.f.codec.ParseAnswer(answer.Status, answer.Header)
	a.x.f.throttler.Observe(a.server.Incarnation(), head)
	if head.Draining {
		a.x.f.onLeaving(a.server)
	}
}

// firstAnswerTimeout is how long the first bytes of an answer are waited for before another server is asked; zero is for ever.
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

// eventGapTimeout is the same for the pause between two events.
func (x *exchange) eventGapTimeout() time.Duration {
	if x.possibleRuns()+1 >= x.q.route.MaxServers || x.q.route.RetryPolicy != masticway.RetryByResuming {
		return 0
	}
	return time.Duration(gapHandoverFactor * float64(x.q.route.MaxEventGap))
}

// sendFailure tells what became of a request without an answer.
func (a *attempt) sendFailure(err error) outcome {
	if _, ok := errors.AsType[*sender.FullError](err); ok {
		return outcome{fate: masticway.FateNotRun, result: chooser.VerdictNone, reason: err.Error(), isFull: true}
	}
	if failure, ok := errors.AsType[*sender.Error](err); ok && !failure.Sent {
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.x.f.checkUnreachable(a.server)
		}
		return outcome{fate: masticway.FateNotRun, result: chooser.VerdictUnreached, reason: err.Error()}
	}
	return a.connectionFailure(err)
}

// failure is an attempt that may have run and whose answer is missing or of no use.
func (a *attempt) failure(err error) outcome {
	cause := context.Cause(a.ctx)
	if cause != nil {
		err = fmt.Errorf("%w (%w)", cause, err)
	}
	return outcome{fate: masticway.FateUnknown, result: chooser.VerdictFailed, reason: err.Error(), abandoned: cause != nil}
}

// connectionFailure is a failed attempt whose connection ended before the answer did, unless it was this router that ended it.
func (a *attempt) connectionFailure(err error) outcome {
	out := a.failure(err)
	out.connectionBroken = !out.abandoned
	return out
}

// skipForeignAnswers finds the answer to this request, past answers to others that a faulty server sent twice.
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

// handleAnswer decides what an answer is worth and relays it.
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
	out := outcome{fate: masticway.FateNotRun, result: chooser.VerdictNone, reason: "status " + strconv.Itoa(status) + ", not run"}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		out.isFull = true
		out.result = chooser.VerdictFailed
	}
	if status == http.StatusMisdirectedRequest {
		out.result = chooser.VerdictUnreached
	}
	return out
}

// relayWhole reads an answer in whole and hands it to the caller.
func (a *attempt) relayWhole(answer *sender.Answer) outcome {
	x := a.x
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes))
	if err != nil {
		return a.connectionFailure(fmt.Errorf("reading the answer: %w", err))
	}
	a.recordFirstPart()
	bad := answer.Status >= http.StatusInternalServerError
	if bad && x.q.route.RetryPolicy == masticway.RetryUnlimited && x.possibleRuns()+1 < x.q.route.MaxServers && x.isOutlier(a.server) {
		return outcome{fate: masticway.FateRan, result: chooser.VerdictFailed, reason: "status " + strconv.Itoa(answer.Status) + " of a suspect server"}
	}
	x.fate = masticway.FateRan
	if x.headWritten {
		// A stream that was to be resumed got another answer; the caller's stream cannot take it.
		return outcome{fate: masticway.FateRan, result: chooser.VerdictNone, reason: "status " + strconv.Itoa(answer.Status) + " to a resumption"}
	}
	if !a.awaitClearance() {
		return outcome{fate: masticway.FateRan, result: chooser.VerdictNone, reason: errHoldNotCleared.Error()}
	}
	x.beginAnswer(answer)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(body)
	result := chooser.VerdictGood
	if bad {
		result = chooser.VerdictFailed
	}
	return outcome{done: true, fate: masticway.FateRan, result: result}
}

// beginAnswer copies an answer's headers to the caller; from here on it has this server's head.
func (x *exchange) beginAnswer(answer *sender.Answer) {
	x.headWritten = true
	x.chargeable = answer.Status < http.StatusMultipleChoices
	header := x.w.Header()
	for name, values := range x.f.codec.CallerHeaders(answer.Header) {
		header[name] = values
	}
	x.f.setConnectionHeader(header)
	// What the server did not say is not added.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// recordFirstPart notes the first sign of the answer.
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
	a.x.f.servers.First(now, a.placement)
	a.x.f.mu.Unlock()
}

func (x *exchange) isOutlier(s masticway.Server) bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.f.servers.Suspect(s.ID, x.f.snapshot().Servers[x.q.pool.Name])
}
