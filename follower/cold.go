package follower

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Whose word makes a router take a server for cold.
const (
	coldByServer = "registration"
	coldByZone   = "zone_back"
)

// coldUntil is until when a server is taken for cold, and by whose word: by its own, and where its zone was taken back after
// that word, for as long as it would be cold had it become so just before. Servers of an emptied zone are restarted or lose
// what they kept then, and write of it with their next heartbeat only.
func (r *Register) coldUntil(e entry) (until time.Time, source string) {
	back, ok := r.takenBack[e.server.Zone]
	if !ok || e.version > back.version {
		return e.coldUntil, coldByServer
	}
	unheard := back.at.Add(r.deployment.Pools[e.server.Pool].WarmUpTime)
	if unheard.After(e.coldUntil) {
		return unheard, coldByZone
	}
	return e.coldUntil, coldByServer
}

// noteCold tells of the servers that are cold, or warm again, since it did so last; the caller holds the lock.
func (f *Follower) noteCold(now time.Time) {
	for id, e := range f.register.entries {
		until, source := f.register.coldUntil(e)
		_, told := f.cold[id]
		cold := now.Before(until)
		if cold == told {
			continue
		}
		log := f.log.WithFields(logrus.Fields{"server": id, "zone": e.server.Zone, "pool": e.server.Pool, "row_version": e.version})
		if cold {
			f.cold[id] = now
			log.WithFields(logrus.Fields{"event": "server_cold", "source": source, "for_ms": until.Sub(now).Milliseconds()}).Info("server is cold")
			continue
		}
		log.WithFields(logrus.Fields{"event": "server_warm", "after_ms": now.Sub(f.cold[id]).Milliseconds()}).Info("server is warm")
		delete(f.cold, id)
	}
	for id := range f.cold {
		if _, known := f.register.entries[id]; !known {
			delete(f.cold, id)
		}
	}
	f.metrics.Gauge(metricCold, int64(len(f.cold)))
}
