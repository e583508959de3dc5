package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/biller"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/linker"
	"github.com/masticway/masticway/retrier"
	"github.com/masticway/masticway/sealer"
)

// resolveInterval is the interval between two queries to a sidecar for the fate of one run.
const resolveInterval = 50 * time.Millisecond

// newDispatch returns the message that asks a sidecar to run the current attempt. The run continues the answer after the output
// of earlier attempts. Its cost is bounded by the part of the hold that is not spent.
func (x *exchange) newDispatch() sealer.Dispatch {
	q := x.q
	call := q.call
	call.Key = string(q.identity)
	call.Resumed = x.outputTokens
	call.ResumedText = x.text.String()
	bound := x.hold.amount - x.hold.spent()
	if q.call.Service == "" {
		call.MaxOutput = x.affordableOutput(bound)
	}
	return sealer.Dispatch{
		Run: masticway.RunKey{Identity: q.identity, Attempt: x.attempt}, Request: q.id, Sender: x.r.self,
		Hold: x.hold.id, Grant: x.hold.grant, Bound: bound,
		PromptWeight: q.model.PromptWeight, CompletionWeight: q.model.CompletionWeight, Price: q.service.Price,
		Revision: x.r.snapshot.Load().Revision(), NonRepeatable: q.nonRepeatable, Call: call,
	}
}

// affordableOutput returns the maximum length of the whole answer in tokens, including the output of earlier attempts. It is
// limited by the request and by bound, the part of the hold that is not spent.
func (x *exchange) affordableOutput(bound masticway.Amount) int {
	prompt := x.q.maxPromptTokens
	if x.promptTokens > 0 {
		prompt = x.promptTokens
	}
	if x.outputTokens > 0 {
		prompt = 0
	}
	rest := int((bound - x.q.cost(prompt, 0)) / x.q.model.CompletionWeight)
	return min(x.q.call.MaxOutput, x.outputTokens+max(0, rest))
}

// runAttempt makes one attempt to run the request at the upstream of a slot. It waits until the attempt's fate is final or counts
// as unknown. Then it releases the slot and charges the attempt to the hold.
func (x *exchange) runAttempt(ctx context.Context, p slot, work chooser.Request) attemptResult {
	x.attempt++
	began := x.r.clock.Now()
	instance := p.upstream.Instance.ID
	f := x.newFeed(masticway.Peer{Instance: instance, Incarnation: p.upstream.Incarnation})
	defer x.r.upstreams.feeds.remove(f)
	f.expectedCached = p.expectedCached
	d := x.newDispatch()
	x.step(eventSent)
	e := attemptResult{fate: masticway.FateNotRun, cause: retrier.CauseLinkLost, reason: "no link"}
	if !x.isWanted() {
		e.reason = "the caller has left"
	} else if c := x.r.upstreams.conn(instance); c != nil && c.Peer().Incarnation == p.upstream.Incarnation {
		if err := c.Send(linker.Message{Dispatch: &d}); err == nil {
			e = x.relayRun(ctx, f, false, work)
		}
	}
	now := x.r.clock.Now()
	x.r.upstreams.releaseSlot(instance, now.Sub(began), !x.firstTokenAt.IsZero() && !x.firstTokenAt.Before(began), work)
	x.chargeAttempt(f, d, e)
	x.traceAttempt(e, began, now)
	return e
}

// newFeed opens a feed, which collects what a sidecar sends about the current attempt. The caller must remove it from the
// router's feeds.
func (x *exchange) newFeed(at masticway.Peer) *feed {
	run := masticway.RunKey{Identity: x.q.identity, Attempt: x.attempt}
	f := newFeed(run, at.Instance, at.Incarnation, x.nextChunk)
	x.r.upstreams.feeds.add(f)
	return f
}

// chargeAttempt adds the cost of an ended attempt to the hold. If the attempt's sidecar is gone, the true cost is unknown. Then
// it charges the bound of the dispatch as the presumed cost and settles the hold. If the attempt's fate is unknown, it passes the
// hold to resolveLater. In these two cases, the exchange has no hold afterwards.
func (x *exchange) chargeAttempt(f *feed, d sealer.Dispatch, e attemptResult) {
	switch {
	case e.final != nil:
		x.hold.charges = append(x.hold.charges, keeper.Charge{Sidecar: f.sidecar, Amount: e.final.Cost})
	case e.sidecarGone:
		x.hold.charges = append(x.hold.charges, keeper.Charge{Sidecar: f.sidecar, Amount: d.Bound, Presumed: true})
		x.hold.presumed += d.Bound
		x.settleAs(biller.KindPart)
	case e.fate == masticway.FateUnknown && !e.dropped:
		// The attempt may still run, so its hold stays open until its fate is known.
		h := x.hold
		x.hold = nil
		q := x.q
		x.r.wg.Go(func() { x.r.resolveLater(q, h, f.run, f.instance, f.sidecar, d.Bound) })
	}
}

// traceAttempt records in the trace how the last attempt ended.
func (x *exchange) traceAttempt(e attemptResult, began, now time.Time) {
	a := &x.trace.Attempts[len(x.trace.Attempts)-1]
	a.Fate = e.fate
	if e.final == nil || !e.final.Complete {
		a.Cause = string(e.cause)
	}
	a.Took = masticway.Duration(now.Sub(began))
	if !x.firstTokenAt.IsZero() && !x.firstTokenAt.Before(began) {
		a.FirstToken = masticway.Duration(x.firstTokenAt.Sub(began))
	}
	if e.final != nil {
		a.Cost = e.final.Cost
	}
}

// relayRun relays the answer of a run until the run's fate is final or counts as unknown. The fate counts as unknown if the
// sidecar cannot be reached, or if this router stops. accepted must be set if the sidecar has already accepted the run. Otherwise
// relayRun queries the run's fate if the sidecar does not accept it within AcceptTimeout.
func (x *exchange) relayRun(ctx context.Context, f *feed, accepted bool, work chooser.Request) attemptResult {
	accept := time.NewTimer(x.r.settings.AcceptTimeout.Std())
	defer accept.Stop()
	gone := x.callerDone
	for {
		e, ok, fetch := f.pop()
		if fetch {
			x.fetchMissing(f)
		}
		if !ok {
			select {
			case <-f.wake:
			case <-accept.C:
				if !accepted {
					f.push(runEvent{linkDown: true})
				}
			case <-gone:
				gone = nil
				x.handleCallerGone(f)
			case <-x.r.ctx.Done():
				return attemptResult{fate: masticway.FateUnknown, cause: retrier.CauseLinkLost, reason: "router ended"}
			}
			continue
		}
		if e.accepted && !accepted {
			accepted = true
			if x.state == stateSent {
				x.step(eventAccepted)
			}
		}
		end, done := x.handleEvent(ctx, f, e, work)
		if done {
			return end
		}
	}
}

// handleEvent handles one event of a run. done is set if the attempt has ended, and end is then its result.
func (x *exchange) handleEvent(ctx context.Context, f *feed, e runEvent, work chooser.Request) (end attemptResult, done bool) {
	switch {
	case e.chunk != nil:
		x.handleChunk(f, *e.chunk, work)
	case e.counted != nil:
		x.r.upstreams.recordCacheHit(f.instance, f.expectedCached, e.counted.Cached)
		x.handleCounted(*e.counted)
	case e.refused != nil:
		return x.handleRefused(f, *e.refused), true
	case e.final != nil:
		return x.handleFinal(f, e.final)
	case e.missing:
		return x.handleMissing(f), true
	case e.linkDown:
		return x.resolve(ctx, f)
	}
	return attemptResult{}, false
}

// handleMissing returns the result of an attempt whose run the sidecar does not have. If the sidecar has accepted it before, or a part of
// its answer has come, the run has ended and the sidecar has dropped it. Otherwise it has not run.
func (x *exchange) handleMissing(f *feed) attemptResult {
	e := attemptResult{fate: masticway.FateNotRun, cause: retrier.CauseLinkLost, reason: "run not found"}
	switch {
	case x.nextChunk > f.firstIndex:
		e.fate, e.dropped = masticway.FateRan, true
	case x.found == nil && x.state != stateSent:
		e.fate, e.dropped = masticway.FateUnknown, true
	}
	if e.dropped {
		e.reason = "answer not kept"
	}
	return e
}

// handleChunk relays c if it is the next chunk of the answer. It drops a chunk that was already relayed. If chunks are missing
// before c, it drops c and asks for all chunks from the first missing one on.
func (x *exchange) handleChunk(f *feed, c masticway.Chunk, work chooser.Request) {
	index := f.firstIndex + c.Index
	if index < x.nextChunk {
		return
	}
	if index > x.nextChunk {
		x.fetchMissing(f)
		return
	}
	now := x.r.clock.Now()
	if x.firstTokenAt.IsZero() {
		x.r.metrics.Observe(histogramFirstToken, string(x.q.class), now.Sub(x.q.receivedAt))
	} else {
		x.r.metrics.Observe(histogramBetween, string(x.q.class), now.Sub(x.lastTokenAt))
	}
	if c.Index == 0 {
		x.r.upstreams.recordFirstToken(f.instance, work)
		x.firstTokenAt = now
	}
	x.lastTokenAt = now
	x.relay(c)
}

// relay writes a chunk to the caller and adds it to the answer so far.
func (x *exchange) relay(c masticway.Chunk) {
	c.Index = x.nextChunk
	x.nextChunk++
	x.outputTokens += c.Tokens
	x.text.WriteString(c.Text)
	x.to.writeChunk(c)
}

// fetchMissing asks the sidecar to send the run's chunks from x.nextChunk on. It does nothing if the sidecar is not linked.
func (x *exchange) fetchMissing(f *feed) {
	c := x.r.upstreams.conn(f.instance)
	if c != nil && c.Peer().Incarnation == f.sidecar {
		_ = c.Send(linker.Message{Attach: &sealer.Attach{Run: f.run, From: x.nextChunk - f.firstIndex}})
	}
}

// handleCounted records the prompt's token count as the engine counted it. If the upper bound of the cost that follows from the
// count is below the amount of the hold, it shrinks the hold to this bound. If another request started the run, it leaves the
// hold unchanged.
func (x *exchange) handleCounted(c sealer.PromptCount) {
	x.promptTokens = c.Prompt
	if x.hold == nil || x.found != nil {
		return
	}
	bound := c.Bound + x.hold.spent()
	if bound < x.hold.amount {
		x.hold.amount = bound
		x.r.peers.resize(x.hold.grant.Payer, x.hold.id, bound)
	}
}

// handleRefused returns the result of an attempt that the sidecar refused, and prepares the next attempt according to the reason.
func (x *exchange) handleRefused(f *feed, m sealer.Refused) attemptResult {
	e := attemptResult{fate: masticway.FateNotRun, cause: retrier.CauseRefused, reason: string(m.Reason)}
	switch m.Reason {
	case sealer.ReasonDraining:
		e.cause = retrier.CauseDraining
		x.r.upstreams.markDraining(f.instance)
	case sealer.ReasonStale:
		e.cause = retrier.CauseStale
		x.r.metrics.Add(metricStaleRefusals, 1)
		x.r.applyChanges(m.Changes)
		if len(m.Changes) == 0 {
			// The sidecar knows that there is a newer revision, but does not have its changes.
			x.r.pollConfig()
		}
	case sealer.ReasonFull:
		e.cause = retrier.CauseFull
		x.excluded[f.instance] = true
	case sealer.ReasonDuplicate:
		e.existing = m.Existing
	case sealer.ReasonSealed, sealer.ReasonUnverified, sealer.ReasonUnlinked:
		e.cause = retrier.CauseFenced
		if m.Fenced == x.r.self && m.Reason == sealer.ReasonSealed {
			x.r.markSealed()
		}
		if m.Reason == sealer.ReasonSealed {
			e.needsNewHold = true
		} else {
			x.excluded[f.instance] = true
		}
	}
	return e
}

// handleFinal handles the result of a run. If all chunks of the run have been relayed, it returns the attempt's result and true.
// Otherwise it asks for the missing chunks, after which the sidecar sends the result again.
func (x *exchange) handleFinal(f *feed, m *sealer.RunResult) (attemptResult, bool) {
	if x.nextChunk < f.firstIndex+m.Chunks {
		x.fetchMissing(f)
		return attemptResult{}, false
	}
	e := attemptResult{fate: m.Fate, final: m, cause: retrier.CauseFailed, reason: m.Outcome.Reason}
	if m.Disrupted {
		e.cause, e.upstreamEnded = retrier.CauseDisrupted, m.UpstreamEnded
		x.excluded = map[string]bool{f.instance: true}
	}
	return e, true
}

// handleCallerGone cancels a run whose caller has disconnected, unless its answer may still be needed. This is so if the caller
// sent an idempotency key and can ask again, if the request is non-repeatable, or if another exchange of this router follows the
// run.
func (x *exchange) handleCallerGone(f *feed) {
	if x.q.hasCallerKey || x.q.nonRepeatable || x.r.upstreams.feeds.hasOthers(f.run) {
		return
	}
	if c := x.r.upstreams.conn(f.instance); c != nil {
		_ = c.Send(linker.Message{Cancel: &sealer.Cancel{Run: f.run}})
	}
}

// resolve queries a run's fate after the link to its sidecar broke or the sidecar did not accept it in time. If the sidecar has
// the run, resolve asks for its chunks and returns false, because the attempt continues. Otherwise it returns the attempt's
// result and true. If the sidecar does not answer within LostAfter, the fate counts as unknown.
//
// The fate of a run that the sidecar does not have is final, because the sidecar refuses the run from then on.
func (x *exchange) resolve(ctx context.Context, f *feed) (attemptResult, bool) {
	deadline := x.r.clock.Now().Add(x.r.settings.LostAfter.Std())
	for x.r.clock.Now().Before(deadline) && x.r.ctx.Err() == nil {
		status, answered, sidecarGone := x.r.queryRun(ctx, f.run, f.instance, f.sidecar)
		switch {
		case sidecarGone:
			x.excluded[f.instance] = true
			return attemptResult{fate: x.fateIfSidecarGone(), cause: retrier.CauseDisrupted, sidecarGone: true, upstreamEnded: true, reason: "sidecar is gone"}, true
		case answered && !status.Found:
			return x.handleMissing(f), true
		case answered:
			x.fetchMissing(f)
			return attemptResult{}, false
		}
		x.r.budgets.sleep(resolveInterval)
	}
	x.excluded[f.instance] = true
	return attemptResult{fate: masticway.FateUnknown, cause: retrier.CauseLinkLost, reason: "sidecar cannot be reached"}, true
}

// fateIfSidecarGone returns the fate of a run whose sidecar is gone. It is FateRan if any chunk of the answer has been relayed,
// also in an earlier attempt, and FateUnknown otherwise.
func (x *exchange) fateIfSidecarGone() masticway.Fate {
	if x.nextChunk > 0 {
		return masticway.FateRan
	}
	return masticway.FateUnknown
}

// queryRun asks a sidecar for the status of a run. answered is set if the sidecar has answered. sidecarGone is set if the
// sidecar's process is known to have ended; then it is not asked.
func (r *Router) queryRun(ctx context.Context, run masticway.RunKey, instance string, sidecar masticway.Incarnation) (status sealer.RunStatus, answered, sidecarGone bool) {
	if r.upstreams.isGone(instance, sidecar) {
		return status, false, true
	}
	c := r.upstreams.conn(instance)
	if c == nil {
		return status, false, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := c.Call(callCtx, linker.Message{Query: &sealer.Query{Run: run}})
	if err != nil || a.Status == nil {
		return status, false, false
	}
	return *a.Status, true, false
}

// resolveLater settles the hold of an attempt whose fate is unknown. It queries the fate until it is known or this router stops.
// If the run still runs and the request is repeatable, it cancels the run, because the request has another attempt or has ended.
func (r *Router) resolveLater(q request, h *moneyHold, run masticway.RunKey, instance string, sidecar masticway.Incarnation, bound masticway.Amount) {
	kind := biller.KindSuperseded
	if q.nonRepeatable {
		kind = biller.KindFinal
	}
	for r.ctx.Err() == nil {
		status, answered, sidecarGone := r.queryRun(r.ctx, run, instance, sidecar)
		switch {
		case sidecarGone:
			h.charges = append(h.charges, keeper.Charge{Sidecar: sidecar, Amount: bound, Presumed: true})
			h.presumed += bound
			r.settleHold(q, h, biller.KindPart, masticway.Usage{})
			return
		case answered && !status.Found:
			if q.nonRepeatable {
				// The run can no longer start. Deleting the claim allows a request with the same idempotency key to run.
				r.updateClaim(claimPrefix+string(q.identity), q.id, recordTimeout, nil)
			}
			r.settleHold(q, h, kind, masticway.Usage{})
			return
		case answered && status.Result != nil:
			h.charges = append(h.charges, keeper.Charge{Sidecar: sidecar, Amount: status.Result.Cost})
			r.settleHold(q, h, kind, status.Result.Outcome.Usage)
			r.log.WithFields(logrus.Fields{"event": "late_fate", "request": q.id, "fate": status.Result.Fate}).Info("fate of a lost attempt found")
			return
		case answered && !q.nonRepeatable:
			if c := r.upstreams.conn(instance); c != nil {
				_ = c.Send(linker.Message{Cancel: &sealer.Cancel{Run: run}})
			}
		}
		r.budgets.sleep(settleRetryInterval)
	}
}
