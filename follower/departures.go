package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// departureTTL is how long it is remembered that a server has left that has no row any more, which may come back late.
const departureTTL = time.Hour

// departure is a server's own word that one of its lives takes no new work.
type departure struct {
	incarnation masticway.ServerIncarnation
	at          time.Time
}

// MarkDraining takes a server's own word that one of its lives leaves, and tells whether that takes it out of use now. A life without a row may have
// lapsed only, and is not used either when its row is back; one that is not the registered one is over.
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

// isDeparted tells that a registered life has said that it leaves. The next life of the id takes new work.
func (r *Registry) isDeparted(s masticway.Server) bool {
	d, ok := r.departures[s.ID]
	if ok && d.incarnation != s.Incarnation() {
		delete(r.departures, s.ID)
		return false
	}
	return ok
}

// pruneDepartures forgets servers that left long ago.
func (r *Registry) pruneDepartures(now time.Time) {
	for id, d := range r.departures {
		if _, registered := r.entries[id]; !registered && now.Sub(d.at) > departureTTL {
			delete(r.departures, id)
		}
	}
}

// Leaves takes a server's own word, in an answer, that its present life takes no new work. It holds also while the store is away or has
// not heard of it, and whatever the store says of that life later.
func (f *Follower) Leaves(s masticway.Server) {
	f.update(func(now time.Time) bool {
		if !f.registry.MarkDraining(now, s.ID, s.Incarnation()) {
			return false
		}
		f.log.WithFields(logrus.Fields{
			"event": "server_leaves", "server": s.ID, "pool": s.Pool, "source": "answer", "store_heard_ms": now.Sub(f.registry.lastContact).Milliseconds(),
		}).Info("a server says that it leaves")
		f.reportServers()
		return true
	})
}
