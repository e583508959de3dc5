package throttler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

const (
	// maxConcurrentNotify is the maximum number of routers that are notified of one limit concurrently.
	maxConcurrentNotify = 16
	// notifyInterval is the pause after each round of notifications, so that a limit that changes with every answer costs little.
	notifyInterval = 200 * time.Millisecond
	// fetchRetryInterval is the time between two attempts of a starting router to fetch the known limits, and fetchPeers is the
	// number of routers that each attempt asks.
	fetchRetryInterval = 200 * time.Millisecond
	fetchPeers         = 2
)

// Run first fetches the limits that other routers know, until a router replies or forwardPeriod has passed. It then notifies
// other routers of changed limits until the context ends.
func (t *Throttler) Run(ctx context.Context) {
	for ctx.Err() == nil && !t.FetchObservations(ctx) && t.Clock.Now().Sub(t.startedAt) < forwardPeriod {
		select {
		case <-ctx.Done():
		case <-t.Clock.After(fetchRetryInterval):
		}
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		t.NotifyPeers(ctx)
		select {
		case <-ctx.Done():
		case <-t.Clock.After(notifyInterval):
		}
	}
}

// FetchObservations asks up to fetchPeers random other routers in turn for the limits that they know, and records the first
// reply. It reports whether there was one.
func (t *Throttler) FetchObservations(ctx context.Context) bool {
	others := t.Peers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, address := range others[:min(fetchPeers, len(others))] {
		bounded, cancel := context.WithTimeout(ctx, askTimeout)
		observations, err := t.Routers.Observations(bounded, address)
		cancel()
		if err != nil {
			t.Log.WithFields(logrus.Fields{"event": "limits_not_learnt", "address": address, "error": err}).Debug("cannot fetch the known limits from a router")
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		for server, o := range observations {
			t.recordObservation(server, o, address)
		}
		return true
	}
	return false
}

// Observations returns the newest observation for each server that has a limit.
func (t *Throttler) Observations() Observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Observations(t.Clock.Now())
}

// NotifyPeers notifies other routers of the changed limits in pendingNotify, and empties it. It notifies all other routers of the
// limits that this router owns, and only the owner and the backup of other limits.
func (t *Throttler) NotifyPeers(ctx context.Context) {
	t.mu.Lock()
	pending := t.pendingNotify
	t.pendingNotify = map[masticway.ServerIncarnation]bool{}
	t.mu.Unlock()
	for server := range pending {
		targets := t.Members.RankedAddresses(string(server), maxOwners)
		if t.isOwner(server) {
			targets = t.Peers()
		}
		t.notifyAll(ctx, server, targets)
	}
}

// notifyAll notifies the routers at the given addresses of a server's limit, and waits until this has succeeded or failed.
func (t *Throttler) notifyAll(ctx context.Context, server masticway.ServerIncarnation, targets []string) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentNotify)
	for _, address := range targets {
		if address == t.Address {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			// A router that misses the notification learns of the change from a permit reply or from the server.
			if _, err := t.askRouter(ctx, address, askTimeout, PermitRequest{Server: server, Observed: t.observation(server)}); err == nil {
				t.Metrics.Add(metricNotified, 1)
			}
		})
	}
	wg.Wait()
}
