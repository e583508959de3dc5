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
	// toldAtOnce bounds the routers that are told side by side.
	toldAtOnce = 16
	// tellPause separates two rounds of telling, so that a limit that changes with every answer costs little.
	tellPause = 200 * time.Millisecond
	// learnPause separates two attempts of a router that has started to learn the limits, learnFrom is how many others it asks in each.
	learnPause = 200 * time.Millisecond
	learnFrom  = 2
)

// Run learns the limits that other routers know, and tells others of those that have changed, until the context ends.
func (t *Throttler) Run(ctx context.Context) {
	for ctx.Err() == nil && !t.Learn(ctx) && t.Clock.Now().Sub(t.began) < forwardsFor {
		select {
		case <-ctx.Done():
		case <-t.Clock.After(learnPause):
		}
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.stir:
		}
		t.Tell(ctx)
		select {
		case <-ctx.Done():
		case <-t.Clock.After(tellPause):
		}
	}
}

// Learn asks some other routers for the limits that they know, and returns whether one has told.
func (t *Throttler) Learn(ctx context.Context) bool {
	others := t.Peers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, address := range others[:min(learnFrom, len(others))] {
		bounded, cancel := context.WithTimeout(ctx, askTimeout)
		observations, err := t.Routers.Known(bounded, address)
		cancel()
		if err != nil {
			t.Log.WithFields(logrus.Fields{"event": "limits_not_learnt", "address": address, "error": err}).Debug("a router did not tell the limits that it knows")
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		for server, w := range observations {
			t.note(server, w, address)
		}
		return true
	}
	return false
}

// Known returns the observations on all servers that have a limit now.
func (t *Throttler) Known() Observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Known(t.Clock.Now())
}

// Tell tells others of the limits that have changed: the owner all routers, any other one the owners.
func (t *Throttler) Tell(ctx context.Context) {
	t.mu.Lock()
	untold := t.untold
	t.untold = map[masticway.ServerIncarnation]bool{}
	t.mu.Unlock()
	for server := range untold {
		audience := t.Members.Ranked(string(server), ownersMost)
		if t.first(server) {
			audience = t.Peers()
		}
		t.tellAll(ctx, server, audience)
	}
}

func (t *Throttler) tellAll(ctx context.Context, server masticway.ServerIncarnation, audience []string) {
	var wg sync.WaitGroup
	places := make(chan struct{}, toldAtOnce)
	for _, address := range audience {
		if address == t.Address {
			continue
		}
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			// One that does not hear of it asks, or is told by the server.
			if _, err := t.putTo(ctx, address, askTimeout, Question{Server: server, Observed: t.observed(server)}); err == nil {
				t.Metrics.Add(metricTold, 1)
			}
		})
	}
	wg.Wait()
}
