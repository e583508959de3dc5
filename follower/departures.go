package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// departureTTL is the minimum time for which a router remembers that a server without a row announced that it is draining. The
// row may reappear late.
const departureTTL = time.Hour

// departure records that an incarnation of a server announced that it is draining, and when.
type departure struct {
	incarnation masticway.ServerIncarnation
	at          time.Time
}

// MarkDraining records that an incarnation of a server announced that it is draining, and reports whether that makes the
// registered server draining. If the server has no row, its registration may only have expired. The announcement is then kept in
// case the row reappears. If another incarnation is registered, the announcing one has already ended and is ignored.
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

// isDeparted reports whether this incarnation of the server has announced that it is draining. It forgets the announcement of
// another incarnation with the same ID, because a new incarnation takes new work again.
func (r *Registry) isDeparted(s masticway.Server) bool {
	d, ok := r.departures[s.ID]
	if ok && d.incarnation != s.Incarnation() {
		delete(r.departures, s.ID)
		return false
	}
	return ok
}

// pruneDepartures forgets the departures of unregistered servers that are older than departureTTL.
func (r *Registry) pruneDepartures(now time.Time) {
	for id, d := range r.departures {
		if _, registered := r.entries[id]; !registered && now.Sub(d.at) > departureTTL {
			delete(r.departures, id)
		}
	}
}

// MarkDraining records that the server s announced in an answer that it takes no new work. This applies at once, even if the
// store is unreachable or still reports the server as ready. It applies to this incarnation of the server whatever the store
// reports later.
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
