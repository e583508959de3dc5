package follower

import (
	"time"

	"github.com/masticway/masticway"
)

// restoredRowTTL is how long the row of a removed server is ignored after the store has returned from a copy with it, unless the
// server writes it again. It is many heartbeats. Routers that read the servers through others do not see heartbeats.
const restoredRowTTL = 10 * time.Second

// removal records that a server's row was deleted or missing.
type removal struct {
	// version is the store version at which the row was last found deleted or missing.
	version     int64
	incarnation masticway.ServerIncarnation
	// restoredVersion is the version of the row with which the store has returned from a copy, and restoredAt when it was read.
	// Both are zero if the store has not.
	restoredVersion int64
	restoredAt      time.Time
}

// isRemovedEarlier reports whether an incarnation of a server was removed in an earlier era of the store, and its row is there only
// because the store has returned from a copy. A row that was written since then is not.
func (r *Registry) isRemovedEarlier(now time.Time, s masticway.Server, version int64) bool {
	last, ok := r.removed[s.ID]
	if !ok || masticway.StoreEra(last.version) == masticway.StoreEra(version) || last.incarnation != s.Incarnation() {
		return false
	}
	if masticway.StoreEra(last.restoredVersion) != masticway.StoreEra(version) {
		last.restoredVersion, last.restoredAt = version, now
		r.removed[s.ID] = last
		return true
	}
	return version == last.restoredVersion && now.Sub(last.restoredAt) < restoredRowTTL
}
