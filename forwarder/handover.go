package forwarder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/sender"
)

// handoverTimeout is how long a candidate may take to refuse the request before the silent server is given up for it. A server
// without capacity refuses within a few ms. The timeout is a quarter of the longest time for which two servers are allowed to
// work on one request.
const handoverTimeout = 100 * time.Millisecond

// maxHandovers is how many candidates an attempt may drop until it no longer restarts an expired silence timeout. From then on,
// only progress of the server starts the timeout. The number is small because each candidate takes a retry from the allowance.
const maxHandovers = 2

// maxTimerDelay is how late a silence timeout may fire. If it fires later, this process had to wait for a processor, and what the server
// has sent meanwhile may not be read yet.
const maxTimerDelay = 30 * time.Millisecond

// errSilent is the cancellation cause of an attempt that was handed over because its server was silent for too long.
var errSilent = errors.New("nothing came for too long")

// sendResult is the result of sending the request: the head of its answer, or an error.
type sendResult struct {
	answer *sender.Answer
	err    error
	// history is that of the connection on which the request was sent, if any.
	history sender.History
}

// handoverState hands the request of an attempt over to another server, the candidate, if the attempt's server is silent for too
// long. The silent server is given up when the candidate has taken the request, or has not refused it within handoverTimeout.
// Until then, progress of the silent server aborts the handover.
type handoverState struct {
	mu sync.Mutex
	// timer fires at due when the silence timeout expires.
	timer *time.Timer
	due   time.Time
	// generation changes when the server makes progress and when the silence timeout is set. A handover that began in an earlier
	// generation is aborted.
	generation int
	// cancelCandidate cancels the candidate that is being asked; it is nil if there is none.
	cancelCandidate context.CancelFunc
	// droppedCandidates holds the IDs of the candidates that refused the request, failed or were given up.
	droppedCandidates []string
	// handedOver is set once the request has been handed over.
	handedOver bool
	// progressAt is when the silence timeout was set, which is when the server last made progress.
	progressAt time.Time
}

// setSilenceTimeout replaces the silence timeout: if the server makes no progress within the timeout, the request is handed over
// if possible. It aborts a handover in progress. Zero means no timeout. A quarantined attempt gets none either.
func (a *attempt) setSilenceTimeout(timeout time.Duration) {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	if h.cancelCandidate != nil {
		h.cancelCandidate()
		h.cancelCandidate = nil
	}
	if timeout <= 0 || a.quarantined {
		// A suspect must not run at two servers at once.
		return
	}
	h.progressAt = a.x.f.clock.Now()
	generation, headWritten, lastEvent := h.generation, a.x.headWritten, a.x.lastEvent
	h.due = a.x.f.clock.Now().Add(timeout)
	h.timer = time.AfterFunc(timeout, func() {
		if a.deferLateTimeout(generation) {
			return
		}
		// A draining router does not hand over a stream that has begun. The request's deadline still ends the stream.
		if headWritten && a.x.f.drainState.Load() != nil {
			return
		}
		if !a.tryHandover(generation, lastEvent) {
			a.rearmSilenceTimeout(generation, timeout)
		}
	})
}

// deferLateTimeout starts an expired silence timeout again, for a short time, if it fired late (see maxTimerDelay). It returns false if
// it fired in time.
func (a *attempt) deferLateTimeout(generation int) bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	now := a.x.f.clock.Now()
	if h.generation != generation || h.timer == nil || now.Sub(h.due) <= maxTimerDelay {
		return false
	}
	h.due = now.Add(handoverTimeout)
	h.timer.Reset(handoverTimeout)
	return true
}

// rearmSilenceTimeout starts the expired silence timeout again, unless the server has made progress in the meantime or
// maxHandovers candidates have been dropped.
func (a *attempt) rearmSilenceTimeout(generation int, timeout time.Duration) {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation == generation && h.timer != nil && len(h.droppedCandidates) < maxHandovers {
		h.due = a.x.f.clock.Now().Add(timeout)
		h.timer.Reset(timeout)
	}
}

// recordProgress records that the server delivered something. This makes a handover in progress fail. It returns false if the
// request has already been handed over.
func (a *attempt) recordProgress() bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	return !h.handedOver
}

// tryHandover asks a candidate and waits, up to handoverTimeout, until the candidate takes or refuses the request or fails. It then hands
// the request over, unless the candidate refused or failed, or the current server has made progress. The wait avoids losing an answer in
// progress to a candidate without capacity. A candidate that reserves capacity gets the request after the connection to the current server
// was reset, so that no two servers work on it, however long this process has to wait for a processor; others get it at once. tryHandover
// returns false if the current server is kept, also because there is no candidate or no retry left.
func (a *attempt) tryHandover(generation int, lastEvent string) bool {
	x := a.x
	if x.checkWanted(a.parent) != nil || x.checkTimeLeft() != nil {
		return false
	}
	if x.suspectStatus().Suspicion != masticway.SuspicionNone {
		// A suspect must not run at two servers at once.
		return false
	}
	if x.possibleRuns()+1 >= x.q.route.MaxServers {
		// An earlier candidate may have run the request, since this attempt began.
		return false
	}
	began := x.f.clock.Now()
	c, _, ok := x.selectCoordinated(a.parent, x.candidates(a.askedServers()), false)
	if !ok {
		return false
	}
	server := c.server
	retry, granted := x.takeHandoverRetry()
	if !granted {
		x.endUnsent(c)
		x.f.throttler.ReturnPermit(server.Incarnation(), began)
		return false
	}
	next := x.newAttempt(a.parent, c)
	next.retry, next.continues = retry, true
	next.previous = previousAttempt{server: a.server.ID, fate: masticway.FateUnknown}
	if !a.beginHandover(generation, next.cancel) {
		next.cancel(nil)
		next.recordResult(chooser.ResultNeutral)
		x.f.throttler.ReturnPermit(server.Incarnation(), began)
		x.returnRetry(retry)
		return false
	}
	if x.q.pool.MaxReservation > 0 {
		return a.handOverReserved(generation, next)
	}
	return a.handOverSent(generation, next, lastEvent)
}

// handOverSent sends the request to the candidate while the current server works on it, and hands it over as described at tryHandover.
func (a *attempt) handOverSent(generation int, next *attempt, lastEvent string) bool {
	x := a.x
	next.sendResults = make(chan sendResult, 1)
	x.pendingCandidates.Add(1)
	defer x.pendingCandidates.Add(-1)
	go next.sendAsync(lastEvent)
	select {
	case r := <-next.sendResults:
		next.history = r.history
		if out, refused := next.refusalOutcome(r); refused {
			if out.connectionBroken && next.mayBeAtFault() {
				next.reportIfEnded()
			}
			if out.fate != masticway.FateNotRun {
				x.otherRuns.Add(1)
			}
			x.returnRetry(next.unusedRetry())
			a.abortHandover(next, out)
			return false
		}
		next.sendResults <- r
	case <-next.ctx.Done():
	case <-x.f.clock.After(handoverTimeout):
	}
	if a.commitHandover(generation, next) {
		return true
	}
	// The candidate may have started to run the request.
	x.otherRuns.Add(1)
	next.discard()
	a.abortHandover(next, outcome{result: chooser.ResultNeutral, reason: "the current server made progress"})
	return false
}

// handOverReserved makes the candidate reserve capacity and hands the request over as described at tryHandover.
func (a *attempt) handOverReserved(generation int, next *attempt) bool {
	patience := a.x.f.clock.After(handoverTimeout)
	refused, ok := next.reserve()
	if ok {
		select {
		case <-next.ctx.Done():
		case <-patience:
		}
		if a.commitHandover(generation, next) {
			return true
		}
		refused = outcome{result: chooser.ResultNeutral, reason: "the current server made progress"}
	}
	next.returnUnsent()
	a.abortHandover(next, refused)
	return false
}

// beginHandover records that a candidate is being asked. It returns false if the generation has changed, for example because the
// current server has made progress.
func (a *attempt) beginHandover(generation int, cancel context.CancelCauseFunc) bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return false
	}
	h.cancelCandidate = func() { cancel(nil) }
	return true
}

// commitHandover makes the candidate the next attempt and cancels the current one. It does nothing and returns false if the
// generation has changed, for example because the current server has made progress.
func (a *attempt) commitHandover(generation int, next *attempt) bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return false
	}
	h.cancelCandidate, h.handedOver = nil, true
	a.x.next.Store(next)
	a.cancel(errSilent)
	now := a.x.f.clock.Now()
	a.x.f.log.WithFields(logrus.Fields{
		"event": "server_given_up", "request": a.x.q.ID, "server": a.server.ID, "to": next.server.ID, "silent_ms": now.Sub(h.progressAt).Milliseconds(),
		"asked_ms": now.Sub(next.sentAt).Milliseconds(), "to_sent": next.sent.Load(),
	}).Info("silent server given up")
	return true
}

// abortHandover drops a candidate and keeps the current server. The retry that was taken for the candidate is used up if
// the request may have been sent to it.
func (a *attempt) abortHandover(next *attempt, out outcome) {
	x := a.x
	next.cancel(nil)
	h := &a.handover
	h.mu.Lock()
	h.droppedCandidates = append(h.droppedCandidates, next.server.ID)
	h.mu.Unlock()
	next.recordResult(out.result)
	x.f.log.WithFields(connectionFields(next.history)).WithFields(logrus.Fields{
		"event": "handover_refused", "request": x.q.ID, "server": next.server.ID, "stays_at": a.server.ID, "cause": out.reason,
		"sent": next.sent.Load(), "asked_ms": x.f.clock.Now().Sub(next.sentAt).Milliseconds(),
	}).Info("handover aborted")
}

// askedServers returns the IDs of the servers that must not be candidates of this attempt: its own server, those tried earlier
// and those dropped as candidates.
func (a *attempt) askedServers() map[string]bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	asked := map[string]bool{a.server.ID: true}
	maps.Copy(asked, a.excluded)
	for _, id := range h.droppedCandidates {
		asked[id] = true
	}
	return asked
}

// sendAsync sends the request and delivers the result to sendResults. A stream resumes after lastEvent (see send).
func (a *attempt) sendAsync(lastEvent string) {
	a.sendResults <- a.send(lastEvent)
}

// discard gives up an attempt that was started as a candidate. It does not wait for the answer.
func (a *attempt) discard() {
	if a.sendResults == nil {
		a.cancel(nil)
		a.returnUnsent()
		return
	}
	if a.mayBeAtFault() {
		a.abandon()
	}
	a.cancel(nil)
	go func() {
		if r := <-a.sendResults; r.answer != nil {
			r.answer.Close()
		}
	}()
}

// discardNext discards the next attempt, if there is one. It is called when the exchange ends, so that attempt will not be run.
func (x *exchange) discardNext() {
	if a := x.next.Swap(nil); a != nil {
		a.discard()
		a.recordResult(chooser.ResultNeutral)
	}
}

// refusalOutcome returns the outcome of a candidate that refused the request or failed. It returns false if the candidate took
// the request.
func (a *attempt) refusalOutcome(r sendResult) (outcome, bool) {
	if r.err != nil {
		return a.sendFailure(r.err), true
	}
	head := a.x.f.codec.ParseAnswer(r.answer.Status, r.answer.Header)
	if a.isRejected(head, r.history) {
		r.answer.Close()
		return a.notRunOutcome(r.answer.Status), true
	}
	if err := checkAnswer(r.answer, head); err != nil {
		r.answer.Close()
		return a.failure(err), true
	}
	return outcome{}, false
}
