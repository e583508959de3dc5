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

// resolvePause separates questions to a sidecar whose link is broken.
const resolvePause = 50 * time.Millisecond

// dispatch builds the next attempt's dispatch from what is left of the request.
func (x *exchange) dispatch() sealer.Dispatch {
	q := x.q
	call := q.call
	call.Key = string(q.identity)
	call.Resumed = x.tokens
	call.ResumedText = x.text.String()
	bound := x.hold.amount - x.hold.spent()
	if q.call.Service == "" {
		call.MaxOutput = x.affordable(bound)
	}
	return sealer.Dispatch{
		Run: masticway.RunKey{Identity: q.identity, Attempt: x.attempt}, Request: q.id, Sender: x.r.self,
		Hold: x.hold.id, Grant: x.hold.grant, Bound: bound,
		PromptWeight: q.model.PromptWeight, CompletionWeight: q.model.CompletionWeight, Price: q.service.Price,
		Revision: x.r.snapshot.Load().Revision(), NonRepeatable: q.nonRepeatable, Call: call,
	}
}

// affordable returns the whole answer's token bound that the hold covers.
func (x *exchange) affordable(bound masticway.Amount) int {
	prompt := x.q.promptBound
	if x.prompt > 0 {
		prompt = x.prompt
	}
	if x.tokens > 0 {
		prompt = 0
	}
	rest := int((bound - x.q.cost(prompt, 0)) / x.q.model.CompletionWeight)
	return min(x.q.call.MaxOutput, x.tokens+max(0, rest))
}

// tryAt makes one attempt at an upstream and waits until its fate is final.
func (x *exchange) tryAt(ctx context.Context, p place, work chooser.Work) ending {
	x.attempt++
	began := x.r.clock.Now()
	instance := p.upstream.Instance.ID
	f := x.newFollow(masticway.Peer{Instance: instance, Incarnation: p.upstream.Incarnation})
	defer x.r.upstreams.follows.remove(f)
	f.expected = p.expected
	d := x.dispatch()
	x.step(eventSent)
	e := ending{fate: masticway.FateNotRun, cause: retrier.CauseLinkLost, reason: "no link"}
	if c := x.r.upstreams.conn(instance); c != nil && c.Peer().Incarnation == p.upstream.Incarnation {
		if err := c.Send(linker.Message{Dispatch: &d}); err == nil {
			e = x.followRun(ctx, f, false, work)
		}
	}
	now := x.r.clock.Now()
	x.r.upstreams.finished(instance, now.Sub(began), !x.first.IsZero() && !x.first.Before(began), work)
	x.charge(f, d, e)
	x.record(e, began, now)
	return e
}

// newFollow begins to collect what a sidecar says of the current attempt.
func (x *exchange) newFollow(at masticway.Peer) *follow {
	run := masticway.RunKey{Identity: x.q.identity, Attempt: x.attempt}
	f := newFollow(run, at.Instance, at.Incarnation, x.next)
	x.r.upstreams.follows.add(f)
	return f
}

// charge puts the attempt's true cost on the hold, or what is presumed when nobody can tell.
func (x *exchange) charge(f *follow, d sealer.Dispatch, e ending) {
	switch {
	case e.final != nil:
		x.hold.charges = append(x.hold.charges, keeper.Charge{Sidecar: f.sidecar, Amount: e.final.Cost})
	case e.vanished:
		x.hold.charges = append(x.hold.charges, keeper.Charge{Sidecar: f.sidecar, Amount: d.Bound, Presumed: true})
		x.hold.presumed += d.Bound
		x.settleAs(biller.KindPart)
	case e.fate == masticway.FateUnknown:
		// The old attempt may still run: its hold stays open until somebody can tell.
		h := x.hold
		x.hold = nil
		q := x.q
		x.r.wg.Go(func() { x.r.resolveLater(q, h, f.run, f.instance, f.sidecar, d.Bound) })
	}
}

func (x *exchange) record(e ending, began, now time.Time) {
	a := &x.trace.Attempts[len(x.trace.Attempts)-1]
	a.Fate = e.fate
	if e.final == nil || !e.final.Complete {
		a.Cause = string(e.cause)
	}
	a.Took = masticway.Duration(now.Sub(began))
	if !x.first.IsZero() && !x.first.Before(began) {
		a.FirstToken = masticway.Duration(x.first.Sub(began))
	}
	if e.final != nil {
		a.Cost = e.final.Cost
	}
}

// followRun relays a run's answer until its fate is final, or unknown because its sidecar cannot be reached.
func (x *exchange) followRun(ctx context.Context, f *follow, accepted bool, work chooser.Work) ending {
	accept := time.NewTimer(x.r.settings.AcceptTimeout.Std())
	defer accept.Stop()
	gone := x.gone
	for {
		e, ok, fetch := f.pop()
		if fetch {
			x.fetch(f)
		}
		if !ok {
			select {
			case <-f.wake:
			case <-accept.C:
				if !accepted {
					f.push(runEvent{down: true})
				}
			case <-gone:
				gone = nil
				x.callerLeft(f)
			case <-x.r.ctx.Done():
				return ending{fate: masticway.FateUnknown, cause: retrier.CauseLinkLost, reason: "router ended"}
			}
			continue
		}
		if e.accepted && !accepted {
			accepted = true
			if x.state == stateSent {
				x.step(eventAccepted)
			}
		}
		end, done := x.takeEvent(ctx, f, e, work)
		if done {
			return end
		}
	}
}

// takeEvent handles one event of a run; done tells that the attempt has ended.
func (x *exchange) takeEvent(ctx context.Context, f *follow, e runEvent, work chooser.Work) (end ending, done bool) {
	switch {
	case e.chunk != nil:
		x.chunk(f, *e.chunk, work)
	case e.counted != nil:
		x.r.upstreams.counted(f.instance, f.expected, e.counted.Cached)
		x.counted(*e.counted)
	case e.refused != nil:
		return x.refused(f, *e.refused), true
	case e.final != nil:
		return x.final(f, e.final)
	case e.missing:
		return ending{fate: masticway.FateNotRun, cause: retrier.CauseLinkLost, reason: "run not found"}, true
	case e.down:
		return x.resolve(ctx, f)
	}
	return ending{}, false
}

// chunk relays the next piece; a doubled piece is dropped, and a gap is fetched again.
func (x *exchange) chunk(f *follow, c masticway.Chunk, work chooser.Work) {
	index := f.base + c.Index
	if index < x.next {
		return
	}
	if index > x.next {
		x.fetch(f)
		return
	}
	now := x.r.clock.Now()
	if x.first.IsZero() {
		x.r.metrics.Observe(histogramFirstToken, string(x.q.class), now.Sub(x.q.received))
	} else {
		x.r.metrics.Observe(histogramBetween, string(x.q.class), now.Sub(x.last))
	}
	if c.Index == 0 {
		x.r.upstreams.firstToken(f.instance, work)
		x.first = now
	}
	x.last = now
	x.relay(c)
}

// relay passes a piece to the caller and counts it.
func (x *exchange) relay(c masticway.Chunk) {
	c.Index = x.next
	x.next++
	x.tokens += c.Tokens
	x.text.WriteString(c.Text)
	x.to.chunk(c)
}

// fetch asks for the pieces from the next one on.
func (x *exchange) fetch(f *follow) {
	c := x.r.upstreams.conn(f.instance)
	if c != nil && c.Peer().Incarnation == f.sidecar {
		_ = c.Send(linker.Message{Attach: &sealer.Attach{Run: f.run, From: x.next - f.base}})
	}
}

// counted shrinks the hold to what the true prompt count allows.
func (x *exchange) counted(c sealer.Counted) {
	x.prompt = c.Prompt
	if x.hold == nil || x.join != nil {
		return
	}
	bound := c.Bound + x.hold.spent()
	if bound < x.hold.amount {
		x.hold.amount = bound
		x.r.peers.resize(x.hold.grant.Payer, x.hold.id, bound)
	}
}

func (x *exchange) refused(f *follow, m sealer.Refused) ending {
	e := ending{fate: masticway.FateNotRun, cause: retrier.CauseRefused, reason: string(m.Reason)}
	switch m.Reason {
	case sealer.ReasonLeaving:
		e.cause = retrier.CauseLeaving
		x.r.upstreams.markLeaving(f.instance)
	case sealer.ReasonStale:
		e.cause = retrier.CauseStale
		x.r.metrics.Add(metricStaleRefusals, 1)
		x.r.learn(m.Changes)
		if len(m.Changes) == 0 {
			// The sidecar knows that there is a newer revision, but not what it says.
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
			x.r.fenced()
		}
		if m.Reason == sealer.ReasonSealed {
			e.rehold = true
		} else {
			x.excluded[f.instance] = true
		}
	}
	return e
}

// final ends the attempt, once every piece before it has been relayed.
func (x *exchange) final(f *follow, m *sealer.Final) (ending, bool) {
	if x.next < f.base+m.Chunks {
		x.fetch(f)
		return ending{}, false
	}
	e := ending{fate: m.Fate, final: m, cause: retrier.CauseFailed, reason: m.Outcome.Reason}
	if m.Disrupted {
		e.cause, e.ended = retrier.CauseDisrupted, m.Ended
		x.excluded = map[string]bool{f.instance: true}
	}
	return e, true
}

// callerLeft stops a run that nobody will ask for again; others run on for a caller that comes back.
func (x *exchange) callerLeft(f *follow) {
	if x.q.tracked || x.q.nonRepeatable || x.r.upstreams.follows.others(f.run) {
		return
	}
	if c := x.r.upstreams.conn(f.instance); c != nil {
		_ = c.Send(linker.Message{Cancel: &sealer.Cancel{Run: f.run}})
	}
}

// resolve learns a run's fate after its link broke or its acceptance did not come.
//
// The sidecar either tells, or makes "not run" true by refusing the run for good.
func (x *exchange) resolve(ctx context.Context, f *follow) (ending, bool) {
	deadline := x.r.clock.Now().Add(x.r.settings.LostAfter.Std())
	for x.r.clock.Now().Before(deadline) && x.r.ctx.Err() == nil {
		status, answered, vanished := x.r.query(ctx, f.run, f.instance, f.sidecar)
		switch {
		case vanished:
			x.excluded[f.instance] = true
			return ending{fate: x.fateIfVanished(), cause: retrier.CauseDisrupted, vanished: true, ended: true, reason: "sidecar is gone"}, true
		case answered && !status.Known:
			return ending{fate: masticway.FateNotRun, cause: retrier.CauseLinkLost, reason: "never taken"}, true
		case answered:
			x.fetch(f)
			return ending{}, false
		}
		x.r.bank.pause(resolvePause)
	}
	x.excluded[f.instance] = true
	return ending{fate: masticway.FateUnknown, cause: retrier.CauseLinkLost, reason: "sidecar cannot be reached"}, true
}

// fateIfVanished is what can be said of a run whose sidecar is gone.
func (x *exchange) fateIfVanished() masticway.Fate {
	if x.next > 0 {
		return masticway.FateRan
	}
	return masticway.FateUnknown
}

// query asks a sidecar what became of a run.
func (r *Router) query(ctx context.Context, run masticway.RunKey, instance string, sidecar masticway.Incarnation) (status sealer.Status, answered, vanished bool) {
	if r.upstreams.ended(instance, sidecar) {
		return status, false, true
	}
	c := r.upstreams.conn(instance)
	if c == nil {
		return status, false, false
	}
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := c.Ask(asking, linker.Message{Query: &sealer.Query{Run: run}})
	if err != nil || a.Status == nil {
		return status, false, false
	}
	return *a.Status, true, false
}

// resolveLater keeps asking for the fate of an attempt that the request has gone on without.
func (r *Router) resolveLater(q request, h *heldMoney, run masticway.RunKey, instance string, sidecar masticway.Incarnation, bound masticway.Amount) {
	kind := biller.KindSuperseded
	if q.nonRepeatable {
		kind = biller.KindFinal
	}
	for r.ctx.Err() == nil {
		status, answered, vanished := r.query(r.ctx, run, instance, sidecar)
		switch {
		case vanished:
			h.charges = append(h.charges, keeper.Charge{Sidecar: sidecar, Amount: bound, Presumed: true})
			h.presumed += bound
			r.settleHold(q, h, biller.KindPart, masticway.Usage{})
			return
		case answered && !status.Known:
			if q.nonRepeatable {
				// It certainly never runs now, so a retry with the same key may.
				r.changeClaim(prefixClaim+string(q.identity), q.id, recordTimeout, nil)
			}
			r.settleHold(q, h, kind, masticway.Usage{})
			return
		case answered && status.Final != nil:
			h.charges = append(h.charges, keeper.Charge{Sidecar: sidecar, Amount: status.Final.Cost})
			r.settleHold(q, h, kind, status.Final.Outcome.Usage)
			r.log.WithFields(logrus.Fields{"event": "late_fate", "request": q.id, "fate": status.Final.Fate}).Info("late fate")
			return
		case answered && !q.nonRepeatable:
			if c := r.upstreams.conn(instance); c != nil {
				_ = c.Send(linker.Message{Cancel: &sealer.Cancel{Run: run}})
			}
		}
		r.bank.pause(settleRetry)
	}
}
