package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/messenger"
)

const pathStore = "/peer/store"

// order is one call at the store: a write, a followed table, or else a reading of one part.
type order struct {
	Table  string              `cbor:"1,keyasint,omitempty"`
	Part   string              `cbor:"2,keyasint,omitempty"`
	Write  *masticway.RowWrite `cbor:"3,keyasint,omitempty"`
	Follow bool                `cbor:"4,keyasint,omitempty"`
	Since  int64               `cbor:"5,keyasint,omitempty"`
	Wait   time.Duration       `cbor:"6,keyasint,omitempty"`
	AtMost int64               `cbor:"7,keyasint,omitempty"`
}

func (o order) carryOut(ctx context.Context, store masticway.RowStore) result {
	var r result
	switch {
	case o.Write != nil:
		r.reading, r.err = store.Write(ctx, *o.Write)
	case o.Follow:
		r.reading, r.err = store.Watch(ctx, masticway.WatchRequest{Table: o.Table, Since: o.Since, MaxWait: o.Wait, MaxBytes: o.AtMost})
	default:
		r.reading, r.err = store.Read(ctx, o.Table, o.Part)
	}
	return r
}

// ending tells how a call ended that was made for another router.
type ending string

// The endings of a call.
const (
	endingDone        ending = "done"
	endingConflict    ending = "conflict"
	endingHistoryLost ending = "history_lost"
	endingUnavailable ending = "unavailable"
	endingBusy        ending = "busy"
	endingUnknown     ending = "unknown"
)

// account is what a router tells of a call that it made for another.
type account struct {
	Ending  ending               `cbor:"1,keyasint"`
	Reading masticway.RowReading `cbor:"2,keyasint"`
	Reason  string               `cbor:"3,keyasint,omitempty"`
}

func (a account) result(o order) result {
	switch a.Ending {
	case endingDone:
		return result{reading: a.Reading}
	case endingConflict:
		return result{err: &masticway.RowConflictError{Rows: a.Reading.Rows}}
	case endingHistoryLost:
		return result{err: &masticway.HistoryLostError{Table: o.Table, Since: o.Since}}
	case endingUnavailable, endingBusy:
		return result{err: &masticway.UnavailableError{Service: serviceName, Reason: a.Reason, RateLimited: a.Ending == endingBusy}}
	}
	return result{err: &masticway.OutcomeUnknownError{Service: serviceName, Reason: a.Reason}}
}

// relay asks other routers, one after the other, until one has a definite answer.
func (s *Store) relay(ctx context.Context, o order) result {
	worst := result{err: &masticway.UnavailableError{Service: serviceName, Reason: "no other router is known"}}
	for _, address := range s.helpers() {
		a, err := messenger.Fetch[account](ctx, s.messages, address, pathStore, relayTimeout+o.Wait, o)
		if err != nil {
			// It may have carried the order out.
			a = account{Ending: endingUnknown, Reason: err.Error()}
		}
		r := a.result(o)
		if r.definite() {
			s.metrics.Add(metricRelayed, 1)
			return r
		}
		worst = worse(worst, r)
		if ctx.Err() != nil {
			// Nobody waits for this way any more.
			return worst
		}
	}
	s.metrics.Add(metricUnhelped, 1)
	s.mu.Lock()
	s.first += routersAsked
	s.mu.Unlock()
	return worst
}

// helpers are the routers to ask, beginning with the one that helped last.
func (s *Store) helpers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.peers()
	var chosen []string
	for i := range min(len(all), routersAsked) {
		chosen = append(chosen, all[(s.first+i)%len(all)])
	}
	return chosen
}

// Serve makes calls at the store for other routers, directly only: an order never goes further than one router.
func (s *Store) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathStore, func(asked context.Context, o order) account {
		if s.isAway() {
			return account{Ending: endingUnavailable, Reason: "the store turns this router away as well"}
		}
		s.metrics.Add(metricHelped, 1)
		ctx, stop := s.own, func() bool { return true }
		if o.Write == nil {
			// A large answer must not fill this router's link for one that has left.
			var cancel context.CancelFunc
			ctx, cancel = context.WithCancel(asked)
			defer cancel()
			stop = context.AfterFunc(s.own, cancel)
		}
		defer stop()
		return tell(s.goStraight(ctx, o, func() {}))
	})
}

// tell turns the end of a call into words for another router.
func tell(r result) account {
	if r.err == nil {
		return account{Ending: endingDone, Reading: r.reading}
	}
	if conflict, ok := errors.AsType[*masticway.RowConflictError](r.err); ok {
		return account{Ending: endingConflict, Reading: masticway.RowReading{Rows: conflict.Rows}}
	}
	if _, ok := errors.AsType[*masticway.HistoryLostError](r.err); ok {
		return account{Ending: endingHistoryLost}
	}
	if r.busy() {
		return account{Ending: endingBusy, Reason: r.err.Error()}
	}
	if _, ok := errors.AsType[*masticway.UnavailableError](r.err); ok {
		return account{Ending: endingUnavailable, Reason: r.err.Error()}
	}
	return account{Ending: endingUnknown, Reason: r.err.Error()}
}
