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

// storeCall is a call to the row store: a write if Write is set, a watch if Watch is set, otherwise a read of one part
// (partition) of a table.
type storeCall struct {
	Table    string              `cbor:"1,keyasint,omitempty"`
	Part     string              `cbor:"2,keyasint,omitempty"`
	Write    *masticway.RowWrite `cbor:"3,keyasint,omitempty"`
	Watch    bool                `cbor:"4,keyasint,omitempty"`
	Since    int64               `cbor:"5,keyasint,omitempty"`
	MaxWait  time.Duration       `cbor:"6,keyasint,omitempty"`
	MaxBytes int64               `cbor:"7,keyasint,omitempty"`
}

// run makes the call.
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

// relayStatus reports how a relayed call ended.
type relayStatus string

// The statuses of a relayed call.
const (
	// statusDone means that the call succeeded.
	statusDone relayStatus = "done"
	// statusConflict means that a write expected a version of a row other than the current one.
	statusConflict relayStatus = "conflict"
	// statusHistoryLost means that the store no longer has the changes that a watch asked for.
	statusHistoryLost relayStatus = "history_lost"
	// statusUnavailable means that the call was certainly not carried out.
	statusUnavailable relayStatus = "unavailable"
	// statusRateLimited means that the store rejected the call because its rate limit was exceeded.
	statusRateLimited relayStatus = "busy"
	// statusUnknown means that the call may have been carried out.
	statusUnknown relayStatus = "unknown"
)

// relayReply is the reply of a router that was asked to make a call for another one.
type relayReply struct {
	Status  relayStatus          `cbor:"1,keyasint"`
	Reading masticway.RowReading `cbor:"2,keyasint"`
	Reason  string               `cbor:"3,keyasint,omitempty"`
	// Era is that of masticway.HistoryLostError.
	Era int64 `cbor:"4,keyasint,omitempty"`
}

// result converts the reply to the result of the relayed call.
func (reply relayReply) result(call storeCall) result {
	switch reply.Status {
	case statusDone:
		return result{reading: reply.Reading}
	case statusConflict:
		return result{err: &masticway.RowConflictError{Rows: reply.Reading.Rows, Version: reply.Reading.Version}}
	case statusHistoryLost:
		return result{err: &masticway.HistoryLostError{Table: call.Table, Since: call.Since, Era: reply.Era}}
	case statusUnavailable, statusRateLimited:
		return result{err: &masticway.UnavailableError{Service: serviceName, Reason: reply.Reason, RateLimited: reply.Status == statusRateLimited}}
	}
	return result{err: &masticway.OutcomeUnknownError{Service: serviceName, Reason: reply.Reason}}
}

// relay asks up to maxPeersAsked other routers, one after the other, to make a call. It returns the first definite result (see
// isDefinite). If there is none, or ctx ends, it returns the worst result so far (see worseOf).
func (s *Store) relay(ctx context.Context, call storeCall) result {
	worst := result{err: &masticway.UnavailableError{Service: serviceName, Reason: "no other router is known"}}
	for _, address := range s.peersToAsk() {
		reply, err := messenger.Fetch[relayReply](ctx, s.client, address, pathStore, relayTimeout+call.MaxWait, call)
		if err != nil {
			// The peer may have made the call.
			reply = relayReply{Status: statusUnknown, Reason: err.Error()}
		}
		r := reply.result(call)
		if r.isDefinite() {
			s.metrics.Add(metricRelayed, 1)
			return r
		}
		worst = worseOf(worst, r)
		if ctx.Err() != nil {
			// The result is no longer needed.
			return worst
		}
	}
	s.metrics.Add(metricRelayFailed, 1)
	s.mu.Lock()
	s.firstPeer += maxPeersAsked
	s.mu.Unlock()
	return worst
}

// peersToAsk returns the addresses of up to maxPeersAsked routers to ask. It returns the same addresses each time until relay
// gets no definite result from any of them, or the known routers change.
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

// Serve registers the handler that makes calls to the store for other routers. The handler makes only direct calls, so that a
// call is relayed at most once. It refuses all calls while this router's direct path is down.
func (s *Store) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathStore, func(peerCtx context.Context, call storeCall) relayReply {
		if s.isDirectDown() {
			return relayReply{Status: statusUnavailable, Reason: "the store turns this router away as well"}
		}
		s.metrics.Add(metricServedForPeers, 1)
		ctx, stop := s.ctx, func() bool { return true }
		if call.Write == nil {
			// A large answer must not occupy this router's link for a peer that has given up. A write continues without its peer.
			var cancel context.CancelFunc
			ctx, cancel = context.WithCancel(peerCtx)
			defer cancel()
			stop = context.AfterFunc(s.ctx, cancel)
		}
		defer stop()
		return newRelayReply(s.callDirect(ctx, call, func() {}))
	})
}

// newRelayReply converts the result of a call to a reply.
func newRelayReply(r result) relayReply {
	if r.err == nil {
		return relayReply{Status: statusDone, Reading: r.reading}
	}
	if conflict, ok := errors.AsType[*masticway.RowConflictError](r.err); ok {
		return relayReply{Status: statusConflict, Reading: masticway.RowReading{Rows: conflict.Rows, Version: conflict.Version}}
	}
	if historyLost, ok := errors.AsType[*masticway.HistoryLostError](r.err); ok {
		return relayReply{Status: statusHistoryLost, Era: historyLost.Era}
	}
	if r.isRateLimited() {
		return relayReply{Status: statusRateLimited, Reason: r.err.Error()}
	}
	if _, ok := errors.AsType[*masticway.UnavailableError](r.err); ok {
		return relayReply{Status: statusUnavailable, Reason: r.err.Error()}
	}
	return relayReply{Status: statusUnknown, Reason: r.err.Error()}
}
