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
// without capacity refuses within a few ms. The timeout is a quarter of the time for which two servers may work on one request.
const handoverTimeout = 100 * time.Millisecond

// maxHandovers bounds the candidates of one attempt, because each takes a retry from the allowance.
const maxHandovers = 2

// errSilent is the cause of ending an attempt whose server was silent for too long and whose request was handed over.
var errSilent = errors.New("nothing came for too long")

// sendResult is the result of sending the request to a candidate.
type sendResult struct {
	answer *sender.Answer
	err    error
}

// handoverState detects that a server is silent and hands the request over to another one. The silent server is given up only
// once the candidate has not refused the request.
type handoverState struct {
	mu    sync.Mutex
	timer *time.Timer
	// generation changes whenever the server makes progress. A handover that began in an earlier generation is aborted.
	generation int
	// cancelCandidate cancels the candidate that is being asked; it is nil if there is none.
	cancelCandidate context.CancelFunc
	// refusedBy are the candidates that did not take the request. handedOver is set once one has.
	refusedBy  []string
	handedOver bool
}

// setSilenceTimeout starts a handover once the server has been silent for the timeout. It ends the previous timeout and any
// handover in progress. Zero means no timeout.
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
	generation, headWritten, lastEvent := h.generation, a.x.headWritten, a.x.lastEvent
	h.timer = time.AfterFunc(timeout, func() {
		// A draining router keeps the streams that it has. They end at the request's own deadline.
		if headWritten && a.x.f.drainState.Load() != nil {
			return
		}
		if !a.tryHandover(generation, lastEvent) {
			a.rearmSilenceTimeout(generation, timeout)
		}
	})
}

// rearmSilenceTimeout starts the same timeout again, unless the server has made progress in the meantime.
func (a *attempt) rearmSilenceTimeout(generation int, timeout time.Duration) {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation == generation && h.timer != nil && len(h.refusedBy) < maxHandovers {
		h.timer.Reset(timeout)
	}
}

// recordProgress records that the server delivered something. It returns false if the request was handed over before.
func (a *attempt) recordProgress() bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	return !h.handedOver
}

// tryHandover asks another server and hands the request over to it, unless it refuses within handoverTimeout. Giving up the
// silent server earlier could lose an answer in progress to a candidate without capacity. It returns false if the current server
// is kept.
func (a *attempt) tryHandover(generation int, lastEvent string) bool {
	x := a.x
	if x.suspectStatus().Suspicion != masticway.SuspicionNone {
		// A suspect must not run at two servers at once.
		return false
	}
	server, ok := x.selectServer(a.parent, x.candidates(a.askedServers()))
	if !ok {
		return false
	}
	if !x.reserveRetry() {
		x.f.throttler.ReturnPermit(server.Incarnation())
		return false
	}
	next := x.newAttempt(a.parent, server)
	next.sendResults = make(chan sendResult, 1)
	if !a.beginHandover(generation, next.cancel) {
		next.cancel(nil)
		next.recordResult(chooser.ResultNeutral)
		x.f.throttler.ReturnPermit(server.Incarnation())
		return false
	}
	go next.sendAsync(lastEvent)
	select {
	case r := <-next.sendResults:
		if out, refused := next.refusalOutcome(r); refused {
			if out.connectionBroken && next.mayBeAtFault() {
				next.reportIfEnded()
			}
			if out.fate != masticway.FateNotRun {
				x.otherRuns.Add(1)
			}
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

// beginHandover records that a candidate is being asked. It returns false if the current server has made progress.
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

// commitHandover makes the candidate the next attempt and ends the current one. It returns false if the current server has made
// progress.
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
	return true
}

// abortHandover gives up a candidate and keeps the current server.
func (a *attempt) abortHandover(next *attempt, out outcome) {
	x := a.x
	next.cancel(nil)
	x.retryReserved.Store(false)
	h := &a.handover
	h.mu.Lock()
	h.refusedBy = append(h.refusedBy, next.server.ID)
	h.mu.Unlock()
	next.recordResult(out.result)
	x.f.log.WithFields(logrus.Fields{
		"event": "handover_refused", "request": x.q.ID, "server": next.server.ID, "stays_at": a.server.ID, "cause": out.reason,
	}).Info("handover aborted")
}

// askedServers returns the servers that must not be candidates of this attempt.
func (a *attempt) askedServers() map[string]bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	asked := map[string]bool{a.server.ID: true}
	maps.Copy(asked, a.excluded)
	for _, id := range h.refusedBy {
		asked[id] = true
	}
	return asked
}

// sendAsync sends the request and delivers the result to sendResults. A stream resumes after lastEvent.
func (a *attempt) sendAsync(lastEvent string) {
	answer, err := a.send(lastEvent)
	a.sendResults <- sendResult{answer: answer, err: err}
}

// discard ends a candidate that is not used. It does not wait for the candidate's answer.
func (a *attempt) discard() {
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

// discardNext discards the attempt that was to be next, if the exchange ends before it.
func (x *exchange) discardNext() {
	if a := x.next.Swap(nil); a != nil {
		a.discard()
		a.recordResult(chooser.ResultNeutral)
	}
}

// refusalOutcome returns the outcome of a candidate that did not take the request. It returns false if the candidate took it.
func (a *attempt) refusalOutcome(r sendResult) (outcome, bool) {
	if r.err != nil {
		return a.sendFailure(r.err), true
	}
	head := a.x.f.codec.ParseAnswer(r.answer.Status, r.answer.Header)
	if !head.NotRun {
		return outcome{}, false
	}
	r.answer.Close()
	return a.notRunOutcome(r.answer.Status), true
}
