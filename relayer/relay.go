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

// storeCall is one call at the store: a write, a followed table, or else a reading of one part.
type storeCall struct {
	Table    string              `cbor:"1,keyasint,omitempty"`
	Part     string              `cbor:"2,keyasint,omitempty"`
	Write    *masticway.RowWrite `cbor:"3,keyasint,omitempty"`
	Watch    bool                `cbor:"4,keyasint,omitempty"`
	Since    int64               `cbor:"5,keyasint,omitempty"`
	MaxWait  time.Duration       `cbor:"6,keyasint,omitempty"`
	MaxBytes int64               `cbor:"7,keyasint,omitempty"`
}

func (c storeCall) run(ctx context.Context, store masticway.RowStore) result {
	var r result
	switch {
	case c.Write != nil:
		r.reading, r.err = store.Write(ctx, *c.Write)
	case c.Watch:
		r.reading, r.err = store.Watch(ctx, masticway.WatchRequest{Table: c.Table, Since: c.Since, MaxWait: c.MaxWait, MaxBytes: c.MaxBytes})
	default:
		r.reading, r.err = store.Read(ctx, c.Table, c.Part)
	}
	return r
}

// relayStatus tells how a call ended that was made for another router.
type relayStatus string

// The endings of a call.
const (
	statusDone        relayStatus = "done"
	statusConflict    relayStatus = "conflict"
	statusHistoryLost relayStatus = "history_lost"
	statusUnavailable relayStatus = "unavailable"
	statusRateLimited relayStatus = "busy"
	statusUnknown     relayStatus = "unknown"
)

// relayReply is what a router tells of a call that it made for another.
type relayReply struct {
	Status  relayStatus          `cbor:"1,keyasint"`
	Reading masticway.RowReading `cbor:"2,keyasint"`
	Reason  string               `cbor:"3,keyasint,omitempty"`
}

func (a relayReply) result(call storeCall) result {
	switch a.Status {
	case statusDone:
		return result{reading: a.Reading}
	case statusConflict:
		return result{err: &masticway.RowConflictError{Rows: a.Reading.Rows}}
	case statusHistoryLost:
		return result{err: &masticway.HistoryLostError{Table: call.Table, Since: call.Since}}
	case statusUnavailable, statusRateLimited:
		return result{err: &masticway.UnavailableError{Service: serviceName, Reason: a.Reason, RateLimited: a.Status == statusRateLimited}}
	}
	return result{err: &masticway.OutcomeUnknownError{Service: serviceName, Reason: a.Reason}}
}

// relay asks other routers, one after the other, until one has a definite answer.
func (s *Store) relay(ctx context.Context, call storeCall) result {
	worst := result{err: &masticway.UnavailableError{Service: serviceName, Reason: "no other router is known"}}
	for _, address := range s.peersToAsk() {
		a, err := messenger.Fetch[relayReply](ctx, s.client, address, pathStore, relayTimeout+call.MaxWait, call)
		if err != nil {
			// It may have carried the order out.
			a = relayReply{Status: statusUnknown, Reason: err.Error()}
		}
		r := a.result(call)
		if r.isDefinite() {
			s.metrics.Add(metricRelayed, 1)
			return r
		}
		worst = worseOf(worst, r)
		if ctx.Err() != nil {
			// Nobody waits for this way any more.
			return worst
		}
	}
	s.metrics.Add(metricRelayFailed, 1)
	s.mu.Lock()
	s.firstPeer += maxPeersAsked
	s.mu.Unlock()
	return worst
}

// peersToAsk are the routers to ask, beginning with the one that helped last.
func (s *Store) peersToAsk() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.peers()
	var chosen []string
	for i := range min(len(all), maxPeersAsked) {
		chosen = append(chosen, all[(s.firstPeer+i)%len(all)])
	}
	return chosen
}

// Serve makes calls at the store for other routers, directly only: an order never goes further than one router.
func (s *Store) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathStore, func(peerCtx context.Context, call storeCall) relayReply {
		if s.isDirectDown() {
			return relayReply{Status: statusUnavailable, Reason: "the store turns this router away as well"}
		}
		s.metrics.Add(metricServedForPeers, 1)
		ctx, stop := s.ctx, func() bool { return true }
		if call.Write == nil {
			// A large answer must not fill this router's link for one that has left.
			var cancel context.CancelFunc
			ctx, cancel = context.WithCancel(peerCtx)
			defer cancel()
			stop = context.AfterFunc(s.ctx, cancel)
		}
		defer stop()
		return newRelayReply(s.callDirect(ctx, call, func() {}))
	})
}

// newRelayReply turns the end of a call into words for another router.
func newRelayReply(r result) relayReply {
	if r.err == nil {
		return relayReply{Status: statusDone, Reading: r.reading}
	}
	if conflict, ok := errors.AsType[*masticway.RowConflictError](r.err); ok {
		return relayReply{Status: statusConflict, Reading: masticway.RowReading{Rows: conflict.Rows}}
	}
	if _, ok := errors.AsType[*masticway.HistoryLostError](r.err); ok {
		return relayReply{Status: statusHistoryLost}
	}
	if r.isRateLimited() {
		return relayReply{Status: statusRateLimited, Reason: r.err.Error()}
	}
	if _, ok := errors.AsType[*masticway.UnavailableError](r.err); ok {
		return relayReply{Status: statusUnavailable, Reason: r.err.Error()}
	}
	return relayReply{Status: statusUnknown, Reason: r.err.Error()}
}
