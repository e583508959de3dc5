package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// departureTTL is how long a departure is remembered after the server's row is gone, because the row may reappear late.
const departureTTL = time.Hour

// departure records that one incarnation of a server announced that it is draining.
type departure struct {
	incarnation masticway.ServerIncarnation
	at          time.Time
}

// MarkDraining records that an incarnation of a server announced that it is draining, and reports whether that takes the
// server out of use now. If the server has no row, its registration may only have expired, so the departure also applies
// when the row reappears. An incarnation other than the registered one has already ended and is ignored.
func (r *Registry) MarkDraining(now time.Time, id string, incarnation masticway.ServerIncarnation) bool {
	e, registered := r.entries[id]
	if registered && e.server.Incarnation() != incarnation {
		return false
	}
	r.departures[id] = departure{incarnation: incarnation, at: now}
	if !registered || e.server.State == masticway.ServerDraining {
		return false
	}
	e.server.State = masticway.ServerDraining
	r.entries[id] = e
	return true
}

// isDeparted reports whether the registered incarnation has announced that it is draining. The next incarnation with the
// same id takes new work again.
func (r *Registry) isDeparted(s masticway.Server) bool {
	d, ok := r.departures[s.ID]
	if ok && d.incarnation != s.Incarnation() {
		delete(r.departures, s.ID)
		return false
	}
	return ok
}

// pruneDepartures forgets unregistered servers that departed more than departureTTL ago.
func (r *Registry) pruneDepartures(now time.Time) {
	for id, d := range r.departures {
		if _, registered := r.entries[id]; !registered && now.Sub(d.at) > departureTTL {
			delete(r.departures, id)
		}
	}
}

// MarkDraining records that a server announced in an answer that its current incarnation takes no new work. This applies at once,
// even if the store is unreachable or does not have that information yet, and holds whatever the store later says about
// that incarnation.
func (f *Follower) MarkDraining(s masticway.Server) {
	f.update(func(now time.Time) bool {
		if !f.registry.MarkDraining(now, s.ID, s.Incarnation()) {
			return false
		}
		f.log.WithFields(logrus.Fields{
			"event": "server_leaves", "server": s.ID, "pool": s.Pool, "source": "answer", "store_heard_ms": now.Sub(f.registry.lastContact).Milliseconds(),
		}).Info("a server announced that it is draining")
		f.reportServers()
		return true
	})
}
