package relayer

import (
	"context"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/receiver"
)

// progressTimeout is how long a large answer may pause before the call is hedged (relayed as well). It is several times the round
// trip between availability zones. A hedge during the transfer would only halve the capacity of a slow link.
const progressTimeout = 300 * time.Millisecond

// callPaths tracks the direct and the relayed attempt of one call. Except for signalProgress, it is used by a single goroutine.
type callPaths struct {
	ctx   context.Context
	store *Store
	call  storeCall

	// direct and relayed deliver the results of the two attempts. Each is nil if its attempt is not in progress. progress signals
	// that more of a large answer of the direct attempt has arrived.
	direct, relayed chan result
	progress        chan struct{}
	stopRelay       context.CancelFunc
	// hedgeTimer fires when the call must be relayed as well. graceTimer is set when the relayed attempt has failed; it fires
	// when the direct attempt must be given up. worst is the worst result so far that is not definite (see worseOf).
	hedgeTimer, graceTimer <-chan time.Time
	worst                  result
}

// startCall starts the direct attempt, the relayed one or both, as decided by Store.plan.
func startCall(ctx context.Context, s *Store, call storeCall) *callPaths {
	p := &callPaths{ctx: ctx, store: s, call: call, progress: make(chan struct{}, 1), stopRelay: func() {}}
	direct, relayNow := s.plan(call)
	if direct {
		p.startDirect()
	}
	if relayNow {
		p.startRelay()
	} else {
		p.hedgeTimer = s.clock.After(s.hedgeDelay(call))
	}
	return p
}

func (p *callPaths) startDirect() {
	done := make(chan result, 1)
	p.direct = done
	p.store.calls.Go(func() { done <- p.store.callDirect(p.store.ctx, p.call, p.signalProgress) })
}

// signalProgress is called by the direct attempt. It does not block.
func (p *callPaths) signalProgress() {
	select {
	case p.progress <- struct{}{}:
	default:
	}
}

// startRelay starts the relayed attempt and stops the hedge timer.
func (p *callPaths) startRelay() {
	ctx, stop := context.WithCancel(p.ctx)
	done := make(chan result, 1)
	p.relayed, p.stopRelay, p.hedgeTimer = done, stop, nil
	go func() { done <- p.store.relay(ctx, p.call) }()
}

// cancelRelay cancels the relayed attempt, if there is one, and ignores its result.
func (p *callPaths) cancelRelay() {
	p.stopRelay()
	p.relayed = nil
}

// wait waits for the first definite result (see isDefinite) and returns it. If all attempts have ended without one, it returns
// the worst result. It returns an unknown outcome if the direct attempt gets no result within directGrace after the relayed one
// failed, or if the context ends or the store's calls are canceled. If more of a large answer arrives, it cancels the relayed attempt
// and postpones the hedge by progressTimeout.
func (p *callPaths) wait() (masticway.RowReading, error) {
	for p.direct != nil || p.relayed != nil {
		select {
		case <-p.progress:
			p.cancelRelay()
			receiver.ReportProgress(p.ctx)
			p.graceTimer, p.hedgeTimer = nil, p.store.clock.After(progressTimeout)
		case r := <-p.direct:
			p.direct = nil
			if r.isDefinite() {
				return r.reading, r.err
			}
			p.worst = worseOf(p.worst, r)
			if p.hedgeTimer != nil && p.store.isDirectDown() {
				p.startRelay()
			}
		case r := <-p.relayed:
			p.relayed = nil
			if r.isDefinite() {
				return r.reading, r.err
			}
			p.worst = worseOf(p.worst, r)
			p.graceTimer = p.store.clock.After(directGrace)
		case <-p.hedgeTimer:
			p.startRelay()
		case <-p.graceTimer:
			return unknownOutcome("no answer in time")
		case <-p.ctx.Done():
			return unknownOutcome(p.ctx.Err().Error())
		case <-p.store.ctx.Done():
			return unknownOutcome("the calls were canceled")
		}
	}
	return p.worst.reading, p.worst.err
}

// unknownOutcome returns the result of a call that may have been made.
func unknownOutcome(reason string) (masticway.RowReading, error) {
	return masticway.RowReading{}, &masticway.OutcomeUnknownError{Service: serviceName, Reason: reason}
}
