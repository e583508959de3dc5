package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/biller"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/explainer"
	"github.com/masticway/masticway/limiter"
	"github.com/masticway/masticway/retrier"
	"github.com/masticway/masticway/sealer"
	"github.com/masticway/masticway/tracker"
)

// Events of the request chart, the state machine of a request.
const (
	eventAdmitted  charter.Event = "admitted"
	eventRefused   charter.Event = "refused"
	eventHeld      charter.Event = "held"
	eventAttached  charter.Event = "attached"
	eventSent      charter.Event = "sent"
	eventAccepted  charter.Event = "accepted"
	eventNotRun    charter.Event = "not_run"
	eventDisrupted charter.Event = "disrupted"
	eventFinished  charter.Event = "finished"
	eventLost      charter.Event = "lost"
	eventAnswered  charter.Event = "answered"
)

// stateSent is the request chart's state between dispatch and acceptance.
const stateSent charter.State = "sent"

const (
	// defaultMaxOutput limits an answer in tokens if neither the caller nor the contract does.
	defaultMaxOutput = 1024
	// defaultMinOutput is the minimum output in tokens that the money must cover for a request to start, if the contract sets none.
	defaultMinOutput = 16
	// defaultHoldTimeout is how long a request waits for money if the contract names no time.
	defaultHoldTimeout = 300 * time.Millisecond
	// messageOverhead is an upper bound on the tokens that surround one message of a prompt.
	messageOverhead = 8
	// duplicateTimeout is how long a repeated request looks for the run of the first one, and duplicateInterval the interval between
	// its attempts.
	duplicateTimeout  = 10 * time.Second
	duplicateInterval = 100 * time.Millisecond
	// noUpstreamTimeout is how long a request waits while no upstream of its pool is usable.
	noUpstreamTimeout = 2 * time.Second
)

// request is a caller's request after it was checked against the contract. It does not change, except that reacquireHold unsets
// hasCallerKey for a time.
type request struct {
	id       string
	identity masticway.Identity
	// hasCallerKey is set if the caller sent an idempotency key, so that it can repeat the request.
	hasCallerKey    bool
	contract        masticway.Contract
	revision        masticway.Revision
	class           masticway.Class
	model           masticway.Model
	service         masticway.Service
	call            masticway.Call
	maxPromptTokens int
	minOutput       int
	hasMaxOutput    bool
	nonRepeatable   bool
	receivedAt      time.Time
}

func (q request) pool() string {
	if q.call.Service != "" {
		return tracker.ServicePool(q.call.Service)
	}
	return tracker.ModelPool(q.call.Model)
}

// cost returns an upper bound on the price of the request for a prompt size and an output size in tokens.
func (q request) cost(prompt, output int) masticway.Amount {
	if q.call.Service != "" {
		return q.service.Price
	}
	return q.model.Cost(prompt, output)
}

// chunkWriter writes an answer to the caller.
type chunkWriter interface {
	// writeChunk writes the next chunk; it may block while the caller is slow.
	writeChunk(c masticway.Chunk)
}

// result is the outcome of an exchange that was not refused.
type result struct {
	outcome masticway.Outcome
	usage   masticway.Usage
}

// exchange processes one request, from its admission to its bill. It belongs to the goroutine of the request.
type exchange struct {
	r             *Router
	q             request
	to            chunkWriter
	callerDone    <-chan struct{}
	chart         charter.Chart
	state         charter.State
	trace         explainer.Trace
	hold          *moneyHold
	promptCounted bool
	attempt       int
	// nextChunk is the index of the next chunk of the whole answer. attemptStart is the index of the first chunk of the current
	// attempt.
	nextChunk    int
	attemptStart int
	// text and outputTokens are the whole answer so far and its number of tokens.
	text         strings.Builder
	outputTokens int
	// promptTokens is the prompt's true token count, or zero if it is not known. promptCounted is set if it was counted before the
	// hold.
	promptTokens int
	history      retrier.History
	// excluded holds the instances that the next attempt avoids.
	excluded     map[string]bool
	firstTokenAt time.Time
	lastTokenAt  time.Time
	claim        *claim
	// replay is the recorded outcome of this identity, if no sidecar has its run in memory any more.
	replay *claimRow
	// fate combines the fates of the attempts so far; see mergeFate.
	fate masticway.Fate
	// endedEarly is set if the identity's last run ended without a complete answer.
	endedEarly bool
	// searchIncomplete is set if a sidecar did not answer whether it has a run of the identity.
	searchIncomplete bool
	// found is the run that another request with this identity started.
	found *foundRun
}

var requestChart = charter.MustLoad(charter.Request)

func (r *Router) newExchange(q request, to chunkWriter, callerDone <-chan struct{}) *exchange {
	return &exchange{
		r: r, q: q, to: to, callerDone: callerDone, chart: requestChart, state: requestChart.Initial(),
		excluded: map[string]bool{}, fate: masticway.FateNotRun,
		trace: explainer.Trace{
			Request: q.id, Identity: q.identity, Workspace: q.contract.Workspace, Revision: q.revision,
			Target: q.pool(), Class: q.class, Received: q.receivedAt,
		},
	}
}

// step advances the request chart. An event that the chart does not allow is a defect and is logged.
func (x *exchange) step(e charter.Event) {
	next, err := x.chart.Next(x.state, e)
	if err != nil {
		x.r.log.WithFields(logrus.Fields{"event": "chart_fault", "request": x.q.id, "error": err}).Error("event not allowed by the state chart")
		return
	}
	x.state = next
}

// isCallerGone reports whether the caller has disconnected.
func (x *exchange) isCallerGone() bool {
	select {
	case <-x.callerDone:
		return true
	default:
		return false
	}
}

// run processes the request. Its error is a RefusalError.
func (x *exchange) run(ctx context.Context) (result, error) {
	x.r.metrics.Add(metricRequests, 1)
	x.r.retryMu.Lock()
	x.r.retrier.RecordRequest(x.r.clock.Now())
	x.r.retryMu.Unlock()
	x.step(eventAdmitted)
	out, err := x.serve(ctx)
	x.finish(ctx, out, err)
	return out, err
}

// serve gets the request's answer: from its own run, the run of another request with the same identity, or a record.
func (x *exchange) serve(ctx context.Context) (result, error) {
	if err := x.acquireHold(ctx); err != nil {
		x.step(eventRefused)
		return result{}, err
	}
	if x.found != nil {
		return x.joinRun(ctx)
	}
	if x.replay != nil {
		x.step(eventAttached)
		return x.replayClaim(*x.replay), nil
	}
	if x.q.nonRepeatable && x.q.hasCallerKey {
		out, done, err := x.claimRun(ctx)
		if done || err != nil {
			return out, err
		}
	}
	x.step(eventHeld)
	return x.runAttempts(ctx)
}

// refusal returns the error for a request that did not run.
func refusal(status int, code, message string, retry time.Duration) *masticway.RefusalError {
	return &masticway.RefusalError{Status: status, Code: code, Message: message, Fate: masticway.FateNotRun, RetryAfter: retry}
}

// mergeFate combines the fate of one more attempt with the fates of those before. Once an attempt may have run, the request is no
// longer reported as not run.
func (x *exchange) mergeFate(f masticway.Fate) {
	if f == masticway.FateRan || (f == masticway.FateUnknown && x.fate == masticway.FateNotRun) {
		x.fate = f
	}
}

// withFate changes the fate and the status of a refusal according to the fate of the attempts before it.
func (x *exchange) withFate(err error) error {
	refused, ok := errors.AsType[*masticway.RefusalError](err)
	if !ok || x.fate == masticway.FateNotRun {
		return err
	}
	refused.Fate = x.fate
	refused.Status = http.StatusBadGateway
	if x.fate == masticway.FateUnknown {
		refused.Status = http.StatusGatewayTimeout
	}
	return refused
}

// unknownOutcome returns the error for a request that may have run.
func unknownOutcome() *masticway.RefusalError {
	return &masticway.RefusalError{
		Status: http.StatusGatewayTimeout, Code: "outcome_unknown", Fate: masticway.FateUnknown,
		Message: "it cannot be told whether the request ran", RetryAfter: time.Second,
	}
}

// attemptResult describes how one attempt ended. Its fate is final unless it is unknown.
type attemptResult struct {
	fate  masticway.Fate
	cause retrier.Cause
	final *sealer.RunResult
	// existing is the run that already has the identity.
	existing *masticway.RunKey
	// needsNewHold is set if an incarnation that the dispatch names is sealed, so that another hold is needed.
	needsNewHold bool
	// sidecarGone is set if the sidecar's process has ended, so that nothing can report what it ran.
	sidecarGone bool
	// upstreamEnded is set if the upstream itself has ended, rather than only the run.
	upstreamEnded bool
	reason        string
}

// runAttempts tries upstreams until the answer is complete, the retry rules end the request, or another run with the same
// identity is found, which it joins.
func (x *exchange) runAttempts(ctx context.Context) (result, error) {
	for {
		p, work, err := x.acquireSlot(ctx)
		if err != nil {
			x.step(eventRefused)
			return result{}, err
		}
		x.attemptStart = x.nextChunk
		e := x.runAttempt(ctx, p, work)
		x.mergeFate(e.fate)
		if e.final != nil && e.final.Complete {
			x.step(eventFinished)
			return result{outcome: e.final.Outcome, usage: x.usage(e.final)}, nil
		}
		if e.existing != nil {
			x.settle()
			if x.nextChunk > 0 {
				// The caller has received a part of this answer, to which the other run's answer must not be appended. If it asks
				// again, it gets that run's whole answer.
				x.step(eventLost)
				return result{}, &masticway.RefusalError{
					Status: http.StatusBadGateway, Code: "upstream_failed", Fate: masticway.FateRan,
					Message: "the answer goes on under another request with this key; ask again", RetryAfter: duplicateInterval,
				}
			}
			if x.findRun(ctx) {
				return x.joinRun(ctx)
			}
			x.step(eventLost)
			return result{}, unknownOutcome()
		}
		if err := x.handleFailure(ctx, e); err != nil {
			return result{}, err
		}
	}
}

// usage returns the usage of the whole answer over all attempts.
func (x *exchange) usage(f *sealer.RunResult) masticway.Usage {
	u := f.Outcome.Usage
	if x.promptTokens > 0 {
		u.Prompt = x.promptTokens
	}
	u.Completion = x.outputTokens
	return u
}

// handleFailure applies the retry rules to a failed attempt. An error ends the request.
func (x *exchange) handleFailure(ctx context.Context, e attemptResult) error {
	if e.fate == masticway.FateUnknown && x.q.nonRepeatable {
		x.step(eventLost)
		return unknownOutcome()
	}
	if e.fate == masticway.FateNotRun && x.r.isSealed() {
		// A seal is permanent; the next incarnation serves the caller.
		return x.giveUp(e)
	}
	resumable := (x.q.call.Service == "" || x.nextChunk == 0) && (e.final == nil || e.final.Disrupted)
	x.r.retryMu.Lock()
	action, history, wait := x.r.retrier.Decide(retrier.Failure{
		Cause: e.cause, Fate: e.fate, NonRepeatable: x.q.nonRepeatable, Resumable: resumable, UpstreamEnded: e.upstreamEnded, Progress: x.nextChunk > x.attemptStart,
	}, x.history)
	x.r.retryMu.Unlock()
	x.history = history
	if action == retrier.ActionFail || (x.isCallerGone() && !x.q.hasCallerKey) || x.r.ctx.Err() != nil {
		return x.giveUp(e)
	}
	x.r.metrics.Add(metricRetries, 1)
	if e.fate == masticway.FateNotRun {
		x.step(eventNotRun)
	} else {
		x.step(eventDisrupted)
	}
	if wait > 0 {
		x.r.budgets.sleep(wait)
	}
	if x.hold != nil && x.outputTokens == 0 && x.hold.spent() > 0 {
		// The lost attempt has paid for the prompt without any output. Its hold covers the prompt only once, so a retry under it
		// would have to shorten the answer. Therefore the attempt is billed as superseded, which refunds it later, and the next
		// attempt gets its own hold.
		x.settleAs(biller.KindSuperseded)
	}
	if x.hold == nil || e.needsNewHold {
		x.settleAs(biller.KindPart)
		return x.reacquireHold(ctx)
	}
	return nil
}

// giveUp returns the caller's error for the last failure.
func (x *exchange) giveUp(e attemptResult) error {
	switch {
	case e.fate == masticway.FateNotRun:
		x.step(eventNotRun)
		x.step(eventRefused)
		return x.withFate(refusal(http.StatusServiceUnavailable, "no_upstream", "no upstream took the request: "+e.reason, time.Second))
	case e.fate == masticway.FateUnknown:
		x.step(eventLost)
		return unknownOutcome()
	}
	x.step(eventFinished)
	return &masticway.RefusalError{
		Status: http.StatusBadGateway, Code: "upstream_failed", Fate: masticway.FateRan,
		Message: "the upstream did not finish the answer: " + e.reason,
	}
}

// acquireSlot gets a slot at an upstream that the payer's links row contains. It may wait in the queue for as long as the
// request's class may wait.
func (x *exchange) acquireSlot(_ context.Context) (slot, chooser.Request, error) {
	q := x.q
	work := chooser.Request{PromptBytes: len(q.call.Prompt), Zone: x.r.settings.Zone}
	if q.call.Service == "" {
		work.Prefixes = chooser.Prefixes(q.call.Prompt)
	}
	wait := x.r.settings.Queue.InteractiveWait.Std()
	if q.class == masticway.ClassBatch {
		wait = x.r.settings.Queue.BatchWait.Std()
	}
	if !x.r.upstreams.hasUsable(q.pool()) {
		wait = min(wait, noUpstreamTimeout)
	}
	began := x.r.clock.Now()
	payer := x.hold.grant.Payer
	excluded := x.excluded
	if x.r.upstreams.allExcluded(q.pool(), excluded) {
		// Trying the same upstream again is better than trying none.
		excluded = nil
	}
	p, estimate, err := x.r.upstreams.acquire(x.callerDone, &slotRequest{
		entry: limiter.Entry{
			ID: q.id + fmt.Sprint(x.attempt), Workspace: q.contract.Workspace, Class: q.class, Priority: q.contract.Priority,
			Pool: q.pool(), Deadline: began.Add(wait),
		},
		work: work,
		allowed: func(t tracker.Upstream) bool {
			return !excluded[t.Instance.ID] && x.r.peers.hasRegistered(payer, t.Incarnation)
		},
		granted: make(chan slot, 1),
	})
	queued := x.r.clock.Now().Sub(began)
	x.r.metrics.Observe(histogramQueue, string(q.class), queued)
	if err == nil {
		x.trace.Attempts = append(x.trace.Attempts, explainer.Attempt{
			Number: x.attempt + 1, Sidecar: string(p.upstream.Incarnation), Candidates: p.scores, Queued: masticway.Duration(queued),
		})
		return p, work, nil
	}
	return p, work, x.withFate(refusal(http.StatusServiceUnavailable, "overloaded", "no upstream has room in time", max(estimate, 100*time.Millisecond)))
}

// finish settles the hold, records the outcome of a claimed request, and traces and logs the end of the exchange.
func (x *exchange) finish(ctx context.Context, out result, err error) {
	x.settle()
	x.completeClaim(ctx, out, err)
	now := x.r.clock.Now()
	x.trace.Usage = out.usage
	x.trace.Took = masticway.Duration(now.Sub(x.q.receivedAt))
	fields := logrus.Fields{
		"event": "request", "request": x.q.id, "workspace": x.q.contract.Workspace, "target": x.q.pool(),
		"attempts": len(x.trace.Attempts), "bill": x.trace.Bill, "ms": now.Sub(x.q.receivedAt).Milliseconds(),
	}
	if refused, ok := errors.AsType[*masticway.RefusalError](err); ok {
		x.trace.Refusal = refused.Code
		fields["refusal"] = refused.Code
		fields["run"] = refused.Fate
		x.r.metrics.Add(metricRefusals+"_"+refused.Code, 1)
		if refused.Fate == masticway.FateUnknown {
			x.r.metrics.Add(metricUnknown, 1)
		}
	} else {
		x.r.metrics.Add(metricAnswers, 1)
		x.r.metrics.Observe(histogramWhole, string(x.q.class), now.Sub(x.q.receivedAt))
		x.r.metrics.Observe(histogramWhole, "workspace "+x.q.contract.Workspace, now.Sub(x.q.receivedAt))
	}
	if !x.chart.IsFinal(x.state) {
		x.step(eventAnswered)
	}
	x.trace.State = string(x.state)
	x.r.traces.Add(x.trace)
	x.r.log.WithFields(fields).Info("request")
}
