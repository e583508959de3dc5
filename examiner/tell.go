package examiner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/messenger"
)

// pathSuspects is the path at which a router accepts evidence from other routers, and sends them its own on request.
const pathSuspects = "/peer/suspects"

const (
	// sendTimeout is the timeout of one message to another router.
	sendTimeout = 400 * time.Millisecond
	// maxSharePeers is the maximum number of routers to which evidence is sent at a time. If the store still does not accept the
	// evidence, each of them later sends it on to as many others.
	maxSharePeers = 16
	// maxFetchPeers is the number of routers that a starting router asks in each round, and fetchRetryInterval the time between
	// two rounds.
	maxFetchPeers      = 2
	fetchRetryInterval = 200 * time.Millisecond
)

// message is a message from one router to another.
type message struct {
	Evidence []Evidence `cbor:"1,keyasint,omitempty"`
	// FetchAll is set if the sender has just started and asks for all evidence.
	FetchAll bool `cbor:"2,keyasint,omitempty"`
}

// share sends evidence to up to maxSharePeers other routers concurrently. It waits until all have replied or failed.
func (e *Examiner) share(ctx context.Context, evidence []Evidence) {
	var wg sync.WaitGroup
	for _, address := range e.pickPeers(maxSharePeers) {
		wg.Go(func() {
			if _, err := e.send(ctx, address, message{Evidence: evidence}); err != nil {
				e.Log.WithFields(logrus.Fields{"event": "suspects_not_told", "address": address, "error": err}).Debug("cannot send suspects to a router")
				return
			}
			e.Metrics.Add(metricShared, int64(len(evidence)))
		})
	}
	wg.Wait()
}

func (e *Examiner) send(ctx context.Context, address string, msg message) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return messenger.Call[message](ctx, e.Messages, address, pathSuspects, msg)
}

// pickPeers returns the addresses of up to max other routers. Successive calls return different ones in turn.
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

// mergeEvidence adds the evidence from another router.
func (e *Examiner) mergeEvidence(evidence []Evidence) {
	if len(evidence) == 0 {
		return
	}
	merged := int64(0)
	e.update(func(now time.Time) {
		for _, one := range evidence {
			if e.registry.Merge(now, one) {
				merged++
			}
		}
	})
	e.Metrics.Add(metricReceived, merged)
}

// fetchFromPeers asks other routers for all evidence until one replies or the store's table has been read.
func (e *Examiner) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil && !e.isTableRead() {
		for _, address := range e.pickPeers(maxFetchPeers) {
			reply, err := e.send(ctx, address, message{FetchAll: true})
			if err == nil {
				e.mergeEvidence(reply.Evidence)
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

// Serve registers the handler for the messages of other routers.
func (e *Examiner) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathSuspects, func(_ context.Context, msg message) message {
		e.mergeEvidence(msg.Evidence)
		if !msg.FetchAll {
			return message{}
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return message{Evidence: e.registry.AllEvidence(e.Clock.Now())}
	})
}
