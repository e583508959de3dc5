package follower

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Sources of the information that a server is cold, that is, slow after its start. They are logged.
const (
	coldSourceRegistration = "registration"
	coldSourceZone         = "zone_back"
)

// coldUntil returns the time from which a server counts as warm, and the source of that time. Usually it is the time in the
// server's registration. If the server's zone was reopened after the registration was written, the server counts as cold for the
// pool's full warm-up time from the reopening. It counts as cold for longer if its registration says so. The servers of an
// evacuated zone may have been restarted or have lost their caches, and report this only with their next heartbeat.
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

// reportCold logs the servers that have become cold or warm since the last call of reportCold, and updates the metric of cold
// servers. The caller must hold f.mu.
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
