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

// handoverTimeout is how long another server may take to refuse a request before the silent one is left for it: one without
// room says so within some ms. It is a quarter of the time for which two servers may work on one request.
const handoverTimeout = 100 * time.Millisecond

// maxHandovers bounds the servers that are asked during one attempt: each counts against the retries that all share.
const maxHandovers = 2

// errSilent ends an attempt that goes on elsewhere because nothing came for too long.
var errSilent = errors.New("nothing came for too long")

// sendResult is what sending a request brought.
type sendResult struct {
	answer *sender.Answer
	err    error
}

// handoverState ends an attempt when nothing has come for too long and another server has taken the request.
type handoverState struct {
	mu    sync.Mutex
	timer *time.Timer
	// generation is a number that changes with each sign of the server, so that what was begun before it comes to nothing.
	generation int
	// cancelCandidate ends the question to another server that is under way.
	cancelCandidate context.CancelFunc
	// refusedBy are the servers that did not take the request, and left tells that one has.
	refusedBy  []string
	handedOver bool
}

// setSilenceTimeout leaves the attempt for another server when nothing has come after so long; zero waits for ever.
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
		// A suspect runs at one server at a time.
		return
	}
	generation, headWritten, lastEvent := h.generation, a.x.headWritten, a.x.lastEvent
	h.timer = time.AfterFunc(timeout, func() {
		// A router that ends keeps the streams that it has; the request's own time limit holds.
		if headWritten && a.x.f.drainState.Load() != nil {
			return
		}
		if !a.tryHandover(generation, lastEvent) {
			a.rearmSilenceTimeout(generation, timeout)
		}
	})
}

// rearmSilenceTimeout starts the same wait once more, unless the server has given a sign meanwhile.
func (a *attempt) rearmSilenceTimeout(generation int, timeout time.Duration) {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation == generation && h.timer != nil && len(h.refusedBy) < maxHandovers {
		h.timer.Reset(timeout)
	}
}

// recordProgress notes that the server has given something; it returns false when the attempt was left for another one before.
func (a *attempt) recordProgress() bool {
	h := &a.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	return !h.handedOver
}

// tryHandover asks another server and, unless that one refuses soon, leaves the present one for it. The caller would
// otherwise lose an answer that is being made to a server that has no room. It returns false when the present one stays.
func (a *attempt) tryHandover(generation int, lastEvent string) bool {
	x := a.x
	if x.suspectStatus().Suspicion != masticway.SuspicionNone {
		// A suspect runs at one server at a time.
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
		next.recordResult(chooser.VerdictNone)
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
	// It may have begun to work.
	x.otherRuns.Add(1)
	next.discard()
	a.abortHandover(next, outcome{result: chooser.VerdictNone, reason: "the server before gave a sign"})
	return false
}

// beginHandover notes that another server is asked; it returns false when the present one has given a sign meanwhile.
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

// commitHandover makes another attempt the next one and ends the present one, unless its server has given a sign meanwhile.
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

// abortHandover goes on with the present server after another one that was asked.
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
	}).Info("another server did not take the request")
}

// askedServers names the servers that must not be asked while this attempt goes on.
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

// sendAsync sends the request beside the exchange; a stream goes on after the last event given.
func (a *attempt) sendAsync(lastEvent string) {
	answer, err := a.send(lastEvent)
	a.sendResults <- sendResult{answer: answer, err: err}
}

// discard ends an attempt beside the exchange that nobody goes on with.
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

// discardNext ends an attempt for which the one before was left, when the exchange ends first.
func (x *exchange) discardNext() {
	if a := x.next.Swap(nil); a != nil {
		a.discard()
		a.recordResult(chooser.VerdictNone)
	}
}

// refusalOutcome tells whether a server has not taken the request, and what it said.
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
