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
	unheard := back.at.Add(r.deployment.Pools[e.server.Pool].ColdFor)
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
		fields := logrus.Fields{"server": id, "zone": e.server.Zone, "pool": e.server.Pool, "row_version": e.version}
		switch cold := now.Before(until); {
		case cold && !told:
			f.cold[id] = now
			fields["event"], fields["source"], fields["for_ms"] = "server_cold", source, until.Sub(now).Milliseconds()
			f.log.WithFields(fields).Info("server is cold")
		case !cold && told:
			fields["event"], fields["after_ms"] = "server_warm", now.Sub(f.cold[id]).Milliseconds()
			delete(f.cold, id)
			f.log.WithFields(fields).Info("server is warm")
		}
	}
	for id := range f.cold {
		if _, known := f.register.entries[id]; !known {
			delete(f.cold, id)
		}
	}
	f.metrics.Gauge(metricCold, int64(len(f.cold)))
}
