package relayer

import (
	"context"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/receiver"
)

// progressTimeout is how long a large answer may pause before another router is asked as well, several times the way between
// two availability zones. Until then asking others would only halve what a slow link has for it.
const progressTimeout = 300 * time.Millisecond

// callPaths are the ways on which one order is carried out; they belong to one goroutine.
type callPaths struct {
	ctx   context.Context
	store *Store
	call  storeCall

	// direct and relayed are how each way ends, nil where none is under way; progress tells that the direct answer is a
	// large one and that more of it has arrived.
	direct, relayed chan result
	progress        chan struct{}
	stopRelay       context.CancelFunc
	// hedgeTimer ends when another router is to be asked, grace when nothing is waited for any more.
	hedgeTimer, graceTimer <-chan time.Time
	worst                  result
}

// startCall begins the direct way, or the one through another router, or both.
func startCall(ctx context.Context, s *Store, call storeCall) *callPaths {
	w := &callPaths{ctx: ctx, store: s, call: call, progress: make(chan struct{}, 1), stopRelay: func() {}}
	direct, relayNow := s.plan(call)
	if direct {
		w.startDirect()
	}
	if relayNow {
		w.startRelay()
	} else {
		w.hedgeTimer = s.clock.After(s.hedgeDelay(call))
	}
	return w
}

func (w *callPaths) startDirect() {
	done := make(chan result, 1)
	w.direct = done
	w.store.calls.Go(func() { done <- w.store.callDirect(w.store.ctx, w.call, w.signalProgress) })
}

// signalProgress is called by the direct way.
func (w *callPaths) signalProgress() {
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

// startRelay asks other routers.
func (w *callPaths) startRelay() {
	ctx, stop := context.WithCancel(w.ctx)
	done := make(chan result, 1)
	w.relayed, w.stopRelay, w.hedgeTimer = done, stop, nil
	go func() { done <- w.store.relay(ctx, w.call) }()
}

// cancelRelay stops asking other routers.
func (w *callPaths) cancelRelay() {
	w.stopRelay()
	w.relayed = nil
}

// wait waits for the first definite end of a way.
func (w *callPaths) wait() (masticway.RowReading, error) {
	for w.direct != nil || w.relayed != nil {
		select {
		case <-w.progress:
			w.cancelRelay()
			receiver.Progress(w.ctx)
			w.graceTimer, w.hedgeTimer = nil, w.store.clock.After(progressTimeout)
		case r := <-w.direct:
			w.direct = nil
			if r.isDefinite() {
				return r.reading, r.err
			}
			w.worst = worseOf(w.worst, r)
			if w.hedgeTimer != nil && w.store.isDirectDown() {
				w.startRelay()
			}
		case r := <-w.relayed:
			w.relayed = nil
			if r.isDefinite() {
				return r.reading, r.err
			}
			w.worst = worseOf(w.worst, r)
			w.graceTimer = w.store.clock.After(directGrace)
		case <-w.hedgeTimer:
			w.startRelay()
		case <-w.graceTimer:
			return unknownOutcome("no answer in time")
		case <-w.ctx.Done():
			return unknownOutcome(w.ctx.Err().Error())
		}
	}
	return w.worst.reading, w.worst.err
}

// unknownOutcome is the end of an order that may have been carried out.
func unknownOutcome(reason string) (masticway.RowReading, error) {
	return masticway.RowReading{}, &masticway.OutcomeUnknownError{Service: serviceName, Reason: reason}
}
