package examiner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/messenger"
)

// pathSuspects is where routers tell each other of suspects.
const pathSuspects = "/peer/suspects"

const (
	// sendTimeout bounds one message to another router.
	sendTimeout = 400 * time.Millisecond
	// maxSharePeers bounds the routers that one tells at a time; each of them tells as many others in turn.
	maxSharePeers = 16
	// maxFetchPeers bounds the routers that one which starts asks at a time, fetchRetryInterval separates two rounds.
	maxFetchPeers      = 2
	fetchRetryInterval = 200 * time.Millisecond
)

// message is what one router tells another.
type message struct {
	Entries []Entry `cbor:"1,keyasint,omitempty"`
	// FetchAll tells that the sender has just started and wants to know all.
	FetchAll bool `cbor:"2,keyasint,omitempty"`
}

// share tells other routers of evidence, side by side.
func (e *Examiner) share(ctx context.Context, entries []Entry) {
	var wg sync.WaitGroup
	for _, address := range e.pickPeers(maxSharePeers) {
		wg.Go(func() {
			if _, err := e.send(ctx, address, message{Entries: entries}); err != nil {
				e.Log.WithFields(logrus.Fields{"event": "suspects_not_told", "address": address, "error": err}).Debug("a router was not told")
				return
			}
			e.Metrics.Add(metricShared, int64(len(entries)))
		})
	}
	wg.Wait()
}

func (e *Examiner) send(ctx context.Context, address string, msg message) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return messenger.Call[message](ctx, e.Messages, address, pathSuspects, msg)
}

// pickPeers are some of the other routers, others with each call.
func (e *Examiner) pickPeers(max int) []string {
	all := e.Peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	var peers []string
	for i := range min(len(all), max) {
		peers = append(peers, all[(e.nextPeer+i)%len(all)])
	}
	e.nextPeer += len(peers)
	return peers
}

// mergeEntries takes what another router tells.
func (e *Examiner) mergeEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	merged := int64(0)
	e.update(func(now time.Time) {
		for _, msg := range entries {
			if e.registry.Merge(now, msg) {
				merged++
			}
		}
	})
	e.Metrics.Add(metricReceived, merged)
}

// fetchFromPeers asks other routers for what they know until one has told or the store has.
func (e *Examiner) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil && !e.isTableRead() {
		for _, address := range e.pickPeers(maxFetchPeers) {
			answer, err := e.send(ctx, address, message{FetchAll: true})
			if err == nil {
				e.mergeEntries(answer.Entries)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(fetchRetryInterval):
		}
	}
}

func (e *Examiner) isTableRead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tableRead
}

// Serve answers other routers.
func (e *Examiner) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathSuspects, func(_ context.Context, msg message) message {
		e.mergeEntries(msg.Entries)
		if !msg.FetchAll {
			return message{}
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return message{Entries: e.registry.Entries()}
	})
}
