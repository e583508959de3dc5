package follower

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Whose word makes a router take a server for cold.
const (
	coldSourceRegistration = "registration"
	coldSourceZone         = "zone_back"
)

// coldUntil is until when a server is taken for cold, and by whose word: by its own, and where its zone was taken back after
// that word, for as long as it would be cold had it become so just before. Servers of an emptied zone are restarted or lose
// what they kept then, and write of it with their next heartbeat only.
func (r *Registry) coldUntil(e entry) (until time.Time, source string) {
	reopening, ok := r.reopenings[e.server.Zone]
	if !ok || e.version > reopening.version {
		return e.coldUntil, coldSourceRegistration
	}
	assumed := reopening.at.Add(r.deployment.Pools[e.server.Pool].WarmUpTime)
	if assumed.After(e.coldUntil) {
		return assumed, coldSourceZone
	}
	return e.coldUntil, coldSourceRegistration
}

// reportCold tells of the servers that are cold, or warm again, since it did so last; the caller holds the lock.
func (f *Follower) reportCold(now time.Time) {
	for id, e := range f.registry.entries {
		until, source := f.registry.coldUntil(e)
		_, reported := f.reportedCold[id]
		cold := now.Before(until)
		if cold == reported {
			continue
		}
		log := f.log.WithFields(logrus.Fields{"server": id, "zone": e.server.Zone, "pool": e.server.Pool, "row_version": e.version})
		if cold {
			f.reportedCold[id] = now
			log.WithFields(logrus.Fields{"event": "server_cold", "source": source, "for_ms": until.Sub(now).Milliseconds()}).Info("server is cold")
			continue
		}
		log.WithFields(logrus.Fields{"event": "server_warm", "after_ms": now.Sub(f.reportedCold[id]).Milliseconds()}).Info("server is warm")
		delete(f.reportedCold, id)
	}
	for id := range f.reportedCold {
		if _, known := f.registry.entries[id]; !known {
			delete(f.reportedCold, id)
		}
	}
	f.metrics.Gauge(metricCold, int64(len(f.reportedCold)))
}
