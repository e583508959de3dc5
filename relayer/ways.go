package relayer

import (
	"context"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/receiver"
)

// arrivalPause is how long a large answer may pause before another router is asked as well, several times the way between
// two availability zones. Until then asking others would only halve what a slow link has for it.
const arrivalPause = 300 * time.Millisecond

// ways are the ways on which one order is carried out; they belong to one goroutine.
type ways struct {
	ctx   context.Context
	store *Store
	order order

	// straight and relayed are how each way ends, nil where none is under way; progress tells that the direct answer is a
	// large one and that more of it has arrived.
	straight, relayed chan result
	progress          chan struct{}
	stopRelay         context.CancelFunc
	// patience ends when another router is to be asked, grace when nothing is waited for any more.
	patience, grace <-chan time.Time
	worst           result
}

// newWays begins the direct way, or the one through another router, or both.
func newWays(ctx context.Context, s *Store, o order) *ways {
	w := &ways{ctx: ctx, store: s, order: o, progress: make(chan struct{}, 1), stopRelay: func() {}}
	direct, away := s.choose(o)
	if direct {
		w.goStraight()
	}
	if away {
		w.relay()
	} else {
		w.patience = s.clock.After(s.patience(o))
	}
	return w
}

func (w *ways) goStraight() {
	straight := make(chan result, 1)
	w.straight = straight
	w.store.calls.Go(func() { straight <- w.store.goStraight(w.store.own, w.order, w.noteProgress) })
}

// noteProgress is called by the direct way.
func (w *ways) noteProgress() {
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

// relay asks other routers.
func (w *ways) relay() {
	ctx, stop := context.WithCancel(w.ctx)
	relayed := make(chan result, 1)
	w.relayed, w.stopRelay, w.patience = relayed, stop, nil
	go func() { relayed <- w.store.relay(ctx, w.order) }()
}

// leave stops asking other routers.
func (w *ways) leave() {
	w.stopRelay()
	w.relayed = nil
}

// end waits for the first definite end of a way.
func (w *ways) end() (masticway.RowReading, error) {
	for w.straight != nil || w.relayed != nil {
		select {
		case <-w.progress:
			w.leave()
			receiver.Progress(w.ctx)
			w.grace, w.patience = nil, w.store.clock.After(arrivalPause)
		case r := <-w.straight:
			w.straight = nil
			if r.definite() {
				return r.reading, r.err
			}
			w.worst = worse(w.worst, r)
			if w.patience != nil && w.store.isAway() {
				w.relay()
			}
		case r := <-w.relayed:
			w.relayed = nil
			if r.definite() {
				return r.reading, r.err
			}
			w.worst = worse(w.worst, r)
			w.grace = w.store.clock.After(graceAfter)
		case <-w.patience:
			w.relay()
		case <-w.grace:
			return unknown("no answer in time")
		case <-w.ctx.Done():
			return unknown(w.ctx.Err().Error())
		}
	}
	return w.worst.reading, w.worst.err
}

// unknown is the end of an order that may have been carried out.
func unknown(reason string) (masticway.RowReading, error) {
	return masticway.RowReading{}, &masticway.OutcomeUnknownError{Service: serviceName, Reason: reason}
}
