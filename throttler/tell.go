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
	// maxConcurrentNotify bounds the routers that are told side by side.
	maxConcurrentNotify = 16
	// notifyInterval separates two rounds of telling, so that a limit that changes with every answer costs little.
	notifyInterval = 200 * time.Millisecond
	// fetchRetryInterval separates two attempts of a router that has started to learn the limits, fetchPeers is how many others it asks in each.
	fetchRetryInterval = 200 * time.Millisecond
	fetchPeers         = 2
)

// Run learns the limits that other routers know, and tells others of those that have changed, until the context ends.
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

// FetchObservations asks some other routers for the limits that they know, and returns whether one has told.
func (t *Throttler) FetchObservations(ctx context.Context) bool {
	others := t.Peers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, address := range others[:min(fetchPeers, len(others))] {
		bounded, cancel := context.WithTimeout(ctx, askTimeout)
		observations, err := t.Routers.Observations(bounded, address)
		cancel()
		if err != nil {
			t.Log.WithFields(logrus.Fields{"event": "limits_not_learnt", "address": address, "error": err}).Debug("a router did not tell the limits that it knows")
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

// Observations returns the observations on all servers that have a limit now.
func (t *Throttler) Observations() Observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Observations(t.Clock.Now())
}

// NotifyPeers tells others of the limits that have changed: the owner all routers, any other one the owners.
func (t *Throttler) NotifyPeers(ctx context.Context) {
	t.mu.Lock()
	pending := t.pendingNotify
	t.pendingNotify = map[masticway.ServerIncarnation]bool{}
	t.mu.Unlock()
	for server := range pending {
		targets := t.Members.Ranked(string(server), maxOwners)
		if t.isOwner(server) {
			targets = t.Peers()
		}
		t.notifyAll(ctx, server, targets)
	}
}

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
			// One that does not hear of it asks, or is told by the server.
			if _, err := t.askRouter(ctx, address, askTimeout, PermitRequest{Server: server, Observed: t.observation(server)}); err == nil {
				t.Metrics.Add(metricTold, 1)
			}
		})
	}
	wg.Wait()
}
