package examiner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway/messenger"
)

// pathTell is where routers tell each other of suspects.
const pathTell = "/peer/suspects"

const (
	// tellTimeout bounds one message to another router.
	tellTimeout = 400 * time.Millisecond
	// toldMost bounds the routers that one tells at a time; each of them tells as many others in turn.
	toldMost = 16
	// askedMost bounds the routers that one which starts asks at a time, askPause separates two rounds.
	askedMost = 2
	askPause  = 200 * time.Millisecond
)

// news is what one router tells another.
type news struct {
	Entries []Entry `cbor:"1,keyasint,omitempty"`
	// Ask tells that the sender has just started and wants to know all.
	Ask bool `cbor:"2,keyasint,omitempty"`
}

// tell tells other routers of evidence, side by side.
func (e *Examiner) tell(ctx context.Context, entries []Entry) {
	var wg sync.WaitGroup
	for _, address := range e.listeners(toldMost) {
		wg.Go(func() {
			if _, err := e.say(ctx, address, news{Entries: entries}); err != nil {
				e.Log.WithFields(logrus.Fields{"event": "suspects_not_told", "address": address, "error": err}).Debug("a router was not told")
				return
			}
			e.Metrics.Add(metricTold, int64(len(entries)))
		})
	}
	wg.Wait()
}

func (e *Examiner) say(ctx context.Context, address string, n news) (news, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return messenger.Call[news](ctx, e.Messages, address, pathTell, n)
}

// listeners are some of the other routers, others with each call.
func (e *Examiner) listeners(most int) []string {
	all := e.Peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	var chosen []string
	for i := range min(len(all), most) {
		chosen = append(chosen, all[(e.first+i)%len(all)])
	}
	e.first += len(chosen)
	return chosen
}

// hear takes what another router tells.
func (e *Examiner) hear(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	heard := int64(0)
	e.update(func(now time.Time) {
		for _, n := range entries {
			if e.register.Heard(now, n) {
				heard++
			}
		}
	})
	e.Metrics.Add(metricHeard, heard)
}

// askOthers asks other routers for what they know until one has told or the store has.
func (e *Examiner) askOthers(ctx context.Context) {
	for ctx.Err() == nil && !e.hasListed() {
		for _, address := range e.listeners(askedMost) {
			answer, err := e.say(ctx, address, news{Ask: true})
			if err == nil {
				e.hear(answer.Entries)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(askPause):
		}
	}
}

func (e *Examiner) hasListed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed
}

// Serve answers other routers.
func (e *Examiner) Serve(mux *http.ServeMux) {
	messenger.Handle(mux, pathTell, func(_ context.Context, n news) news {
		e.hear(n.Entries)
		if !n.Ask {
			return news{}
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return news{Entries: e.register.Known()}
	})
}
