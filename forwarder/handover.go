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

// handoverTime is how long another server may take to refuse a request before the silent one is left for it: one without
// room says so within some ms. It is a quarter of the time for which two servers may work on one request.
const handoverTime = 100 * time.Millisecond

// handoversMost bounds the servers that are asked during one attempt: each counts against the retries that all share.
const handoversMost = 2

// errPatience ends an attempt that goes on elsewhere because nothing came for too long.
var errPatience = errors.New("nothing came for too long")

// sent is what sending a request brought.
type sent struct {
	answer *sender.Answer
	err    error
}

// patience ends an attempt when nothing has come for too long and another server has taken the request.
type patience struct {
	mu    sync.Mutex
	timer *time.Timer
	// round is a number that changes with each sign of the server, so that what was begun before it comes to nothing.
	round int
	// asking ends the question to another server that is under way.
	asking context.CancelFunc
	// refused are the servers that did not take the request, and left tells that one has.
	refused []string
	left    bool
}

// expect leaves the attempt for another server when nothing has come after so long; zero waits for ever.
func (a *attempt) expect(d time.Duration) {
	p := &a.patience
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round++
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	if p.asking != nil {
		p.asking()
		p.asking = nil
	}
	if d <= 0 || a.apart {
		// A suspect runs at one server at a time.
		return
	}
	round, begun, last := p.round, a.x.begun, a.x.lastEvent
	p.timer = time.AfterFunc(d, func() {
		// A router that ends keeps the streams that it has; the request's own time limit holds.
		if begun && a.x.f.draining.Load() != nil {
			return
		}
		if !a.handOver(round, last) {
			a.expectAgain(round, d)
		}
	})
}

// expectAgain starts the same wait once more, unless the server has given a sign meanwhile.
func (a *attempt) expectAgain(round int, d time.Duration) {
	p := &a.patience
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.round == round && p.timer != nil && len(p.refused) < handoversMost {
		p.timer.Reset(d)
	}
}

// sign notes that the server has given something; it returns false when the attempt was left for another one before.
func (a *attempt) sign() bool {
	p := &a.patience
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round++
	return !p.left
}

// handOver asks another server and, unless that one refuses soon, leaves the present one for it. The caller would
// otherwise lose an answer that is being made to a server that has no room. It returns false when the present one stays.
func (a *attempt) handOver(round int, last string) bool {
	x := a.x
	if x.standing().Suspicion != masticway.SuspicionNone {
		// A suspect runs at one server at a time.
		return false
	}
	server, ok := x.place(a.parent, x.without(a.asked()))
	if !ok {
		return false
	}
	if !x.reserve() {
		x.f.throttler.ReturnPermit(server.Incarnation())
		return false
	}
	next := x.newAttempt(a.parent, server)
	next.sending = make(chan sent, 1)
	if !a.begin(round, next.cancel) {
		next.cancel(nil)
		next.end(chooser.VerdictNone)
		x.f.throttler.ReturnPermit(server.Incarnation())
		return false
	}
	go next.send(last)
	select {
	case r := <-next.sending:
		if out, refused := next.refusal(r); refused {
			if out.broken && next.accused() {
				next.accuse()
			}
			if out.fate != masticway.FateNotRun {
				x.asides.Add(1)
			}
			a.stay(next, out)
			return false
		}
		next.sending <- r
	case <-next.ctx.Done():
	case <-x.f.clock.After(handoverTime):
	}
	if a.leave(round, next) {
		return true
	}
	// It may have begun to work.
	x.asides.Add(1)
	next.drop()
	a.stay(next, outcome{verdict: chooser.VerdictNone, reason: "the server before gave a sign"})
	return false
}

// begin notes that another server is asked; it returns false when the present one has given a sign meanwhile.
func (a *attempt) begin(round int, cancel context.CancelCauseFunc) bool {
	p := &a.patience
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.round != round {
		return false
	}
	p.asking = func() { cancel(nil) }
	return true
}

// leave makes another attempt the next one and ends the present one, unless its server has given a sign meanwhile.
func (a *attempt) leave(round int, next *attempt) bool {
	p := &a.patience
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.round != round {
		return false
	}
	p.asking, p.left = nil, true
	a.x.next.Store(next)
	a.cancel(errPatience)
	return true
}

// stay goes on with the present server after another one that was asked.
func (a *attempt) stay(next *attempt, out outcome) {
	x := a.x
	next.cancel(nil)
	x.reserved.Store(false)
	p := &a.patience
	p.mu.Lock()
	p.refused = append(p.refused, next.server.ID)
	p.mu.Unlock()
	next.end(out.verdict)
	x.f.log.WithFields(logrus.Fields{
		"event": "handover_refused", "request": x.q.ID, "server": next.server.ID, "stays_at": a.server.ID, "cause": out.reason,
	}).Info("another server did not take the request")
}

// asked names the servers that must not be asked while this attempt goes on.
func (a *attempt) asked() map[string]bool {
	p := &a.patience
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := map[string]bool{a.server.ID: true}
	maps.Copy(asked, a.excluded)
	for _, id := range p.refused {
		asked[id] = true
	}
	return asked
}

// send sends the request beside the exchange; a stream goes on after the last event given.
func (a *attempt) send(last string) {
	answer, err := a.request(last)
	a.sending <- sent{answer: answer, err: err}
}

// drop ends an attempt beside the exchange that nobody goes on with.
func (a *attempt) drop() {
	if a.accused() {
		a.abandon()
	}
	a.cancel(nil)
	go func() {
		if r := <-a.sending; r.answer != nil {
			r.answer.Close()
		}
	}()
}

// dropNext ends an attempt for which the one before was left, when the exchange ends first.
func (x *exchange) dropNext() {
	if a := x.next.Swap(nil); a != nil {
		a.drop()
		a.end(chooser.VerdictNone)
	}
}

// refusal tells whether a server has not taken the request, and what it said.
func (a *attempt) refusal(r sent) (outcome, bool) {
	if r.err != nil {
		return a.unsent(r.err), true
	}
	head := a.x.f.dialect.ParseAnswer(r.answer.Status, r.answer.Header)
	if !head.NotRun {
		return outcome{}, false
	}
	r.answer.Close()
	return a.notRun(r.answer.Status), true
}
