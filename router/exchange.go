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
	// defaultMaxOutput is the maximum length of an answer in tokens if the contract sets none. A caller can only ask for less.
	defaultMaxOutput = 1024
	// defaultMinOutput is the number of output tokens that a hold must cover so that a request starts, if the contract sets no
	// number. It applies only to requests that name no maximum output.
	defaultMinOutput = 16
	// defaultHoldTimeout is how long a request waits for money if the contract names no time.
	defaultHoldTimeout = 300 * time.Millisecond
	// messageOverhead is an upper bound on the number of tokens that an engine adds to each message of a prompt.
	messageOverhead = 8
	// duplicateTimeout is how long a duplicate request looks for the run of the first request with its identity.
	// duplicateInterval is the interval between two searches.
	duplicateTimeout  = 10 * time.Second
	duplicateInterval = 100 * time.Millisecond
	// noUpstreamTimeout is the maximum wait of a request for a slot if no upstream of its pool is usable at the start of the
	// wait.
	noUpstreamTimeout = 2 * time.Second
)

// request is a caller's request after it was checked against the contract. It does not change, except that reacquireHold unsets
// hasCallerKey while it runs.
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

// exchange processes one request, from its admission to its bill. Only the goroutine of the request may use it.
type exchange struct {
	r             *Router
	q             request
	to            chunkWriter
	callerDone    <-chan struct{}
	caller        masticway.CallerConnection
	chart         charter.Chart
	state         charter.State
	trace         explainer.Trace
	hold          *moneyHold
	promptCounted bool
	attempt       int
	// nextChunk is the index in the whole answer of the next chunk to relay. attemptStart was its value at the start of the
	// current attempt.
	nextChunk    int
	attemptStart int
	// text and outputTokens are the whole answer so far and its number of tokens.
	text         strings.Builder
	outputTokens int
	// promptTokens is the prompt's true token count, or zero if it is not known. promptCounted is set if it was counted before a
	// hold was taken.
	promptTokens int
	history      retrier.History
	// excluded holds the instances that the next attempt avoids if another usable instance is left.
	excluded     map[string]bool
	firstTokenAt time.Time
	lastTokenAt  time.Time
	claim        *claim
	// replay is the recorded outcome of an earlier request with this identity. It is set if no linked sidecar has the run any
	// more.
	replay *claimRow
	// fate combines the fates of the attempts so far; see mergeFate.
	fate masticway.Fate
	// endedEarly is set if findRun found a run of this identity that has ended without a complete answer.
	endedEarly bool
	// searchIncomplete is set if a sidecar did not answer in the last findRun, so that it may have a run of this identity.
	searchIncomplete bool
	// found is the run that another request with this identity started.
	found *foundRun
}

var requestChart = charter.MustLoad(charter.Request)

// newExchange returns an exchange. The caller's context ends when its connection does.
func (r *Router) newExchange(caller context.Context, q request, to chunkWriter) *exchange {
	return &exchange{
		r: r, q: q, to: to, callerDone: caller.Done(), caller: masticway.CallerConnectionOf(caller), chart: requestChart, state: requestChart.Initial(),
		excluded: map[string]bool{}, fate: masticway.FateNotRun,
		trace: explainer.Trace{
			Request: q.id, Identity: q.identity, Workspace: q.contract.Workspace, Revision: q.revision,
			Target: q.pool(), Class: q.class, Received: q.receivedAt,
		},
	}
}

// step advances the request chart by an event. An event that the chart does not allow is a defect: it is logged and ignored.
func (x *exchange) step(e charter.Event) {
	next, err := x.chart.Next(x.state, e)
	if err != nil {
		x.r.log.WithFields(logrus.Fields{"event": "chart_fault", "request": x.q.id, "error": err}).Error("event not allowed by the state chart")
		return
	}
	x.state = next
}

// isCallerGone reports whether the caller has disconnected, for this process or for the kernel.
func (x *exchange) isCallerGone() bool {
	select {
	case <-x.callerDone:
		return true
	default:
		return x.caller.HasLeft()
	}
}

// isWanted reports whether an attempt is still of use: the caller is there, or can ask again for its outcome.
func (x *exchange) isWanted() bool { return x.q.hasCallerKey || !x.isCallerGone() }

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

// serve relays the request's answer. The answer comes from a run of this request, from the run of another request with its
// identity, or from a recorded outcome.
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
		return x.replayClaim(*x.replay)
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

// mergeFate combines the fate of one more attempt with x.fate. The result is FateRan if any attempt ran, or else FateUnknown if
// any attempt may have run, or else FateNotRun.
func (x *exchange) mergeFate(f masticway.Fate) {
	if f == masticway.FateRan || (f == masticway.FateUnknown && x.fate == masticway.FateNotRun) {
		x.fate = f
	}
}

// withFate sets the fate and the status of a refusal if an attempt of this request has run or may have run. It returns any other
// error unchanged.
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

// unknownOutcome returns the error for a request that may or may not have run.
func unknownOutcome() *masticway.RefusalError {
	return &masticway.RefusalError{
		Status: http.StatusGatewayTimeout, Code: "outcome_unknown", Fate: masticway.FateUnknown,
		Message: "it cannot be told whether the request ran", RetryAfter: time.Second,
	}
}

// attemptResult describes how one attempt ended. A fate other than FateUnknown is final.
type attemptResult struct {
	fate  masticway.Fate
	cause retrier.Cause
	final *sealer.RunResult
	// existing is set if the sidecar refused the attempt because it already has a run of the identity. It is this run.
	existing *masticway.RunKey
	// needsNewHold is set if an incarnation that the dispatch names is sealed, so that another hold is needed.
	needsNewHold bool
	// sidecarGone is set if the sidecar's process has ended, so that nothing can report what it ran.
	sidecarGone bool
	// dropped is set if the sidecar has had the run and dropped it, so that nothing will be known of it later.
	dropped bool
	// upstreamEnded is set if the upstream's process has ended, and not only the run.
	upstreamEnded bool
	reason        string
}

// runAttempts makes attempts at upstreams until the answer is complete or the request must end with an error. If a sidecar
// refuses an attempt because another request's run has the identity, runAttempts joins that run, or fails if a part of the answer
// was already relayed.
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

// usage returns the token usage of the whole answer, over all attempts. f must be the result of the last attempt.
func (x *exchange) usage(f *sealer.RunResult) masticway.Usage {
	u := f.Outcome.Usage
	if x.promptTokens > 0 {
		u.Prompt = x.promptTokens
	}
	u.Completion = x.outputTokens
	return u
}

// handleFailure applies the retry rules to a failed attempt. It returns nil if the caller must make another attempt, possibly
// after a wait and with a new hold. Otherwise it returns the error with which the request ends.
func (x *exchange) handleFailure(ctx context.Context, e attemptResult) error {
	if e.fate == masticway.FateUnknown && x.q.nonRepeatable {
		x.step(eventLost)
		return unknownOutcome()
	}
	if e.fate == masticway.FateNotRun && x.r.isSealed() {
		// A sealed incarnation can start no more runs. The caller must try again at another router or at the next incarnation.
		return x.giveUp(e)
	}
	resumable := (x.q.call.Service == "" || x.nextChunk == 0) && (e.final == nil || e.final.Disrupted)
	x.r.retryMu.Lock()
	action, history, wait := x.r.retrier.Decide(retrier.Failure{
		Cause: e.cause, Fate: e.fate, NonRepeatable: x.q.nonRepeatable, Resumable: resumable, UpstreamEnded: e.upstreamEnded, Progress: x.nextChunk > x.attemptStart,
	}, x.history)
	x.r.retryMu.Unlock()
	x.history = history
	if action == retrier.ActionFail || !x.isWanted() || x.r.ctx.Err() != nil {
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
		// The lost attempt has paid for the prompt without any output. Its hold covers the prompt only once. A retry under
		// the same hold would have to shorten the answer. Therefore the attempt is billed as superseded, which refunds it later,
		// and the next attempt gets its own hold.
		x.settleAs(biller.KindSuperseded)
	}
	if x.hold == nil || e.needsNewHold {
		x.settleAs(biller.KindPart)
		return x.reacquireHold(ctx)
	}
	return nil
}

// giveUp advances the request chart to its end, and returns the error for the caller after the last failed attempt.
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

// acquireSlot takes a slot at an upstream whose sidecar is in the links row of the hold's payer. It may wait in the queue, at
// most for the time that the settings allow to the request's class.
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
		// All usable upstreams are excluded. Trying one of them again is better than trying none.
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

// finish settles the hold, completes the claim, and traces and logs the end of the exchange.
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
