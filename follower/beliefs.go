package follower

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// outageThreshold is how long the store must not have answered about the servers for an outage in which registrations may have
	// expired. It is shorter than the time in which those of live servers can expire: three heartbeats, sent at least a second apart, of
	// which the last may have come just before. That time alone does not make an outage (see Registry.RecordContact).
	outageThreshold = 1900 * time.Millisecond
	// recoveryGrace is the grace period: how long after an outage the registrations that expired during it may take to reappear.
	recoveryGrace = 2 * time.Second
	// maxClockSkew is the longest time by which the clock of a server's machine may be ahead of this router's.
	maxClockSkew = 24 * time.Hour
)

// Snapshot is a router's view of its deployment at one moment. It is immutable.
type Snapshot struct {
	// ConfigurationLoaded is set once a valid configuration has been read, ServersLoaded once the registered servers have been
	// read in full.
	ConfigurationLoaded bool
	ServersLoaded       bool
	Deployment          masticway.Deployment
	// Servers holds the servers that may get new work, by pool. Each pool's servers are sorted by ID.
	Servers map[string][]masticway.Server
	// EvacuatedZones lists the availability zones whose servers must get no new work.
	EvacuatedZones []string
}

// IsReady reports whether the configuration and the servers have been read, so that requests can be served.
func (b Snapshot) IsReady() bool { return b.ConfigurationLoaded && b.ServersLoaded }

// Incarnations returns the current incarnations of the servers that may get new work.
func (b Snapshot) Incarnations() map[masticway.ServerIncarnation]bool {
	incarnations := map[masticway.ServerIncarnation]bool{}
	for _, servers := range b.Servers {
		for _, s := range servers {
			incarnations[s.Incarnation()] = true
		}
	}
	return incarnations
}

// entry is one server's registration.
type entry struct {
	server  masticway.Server
	version int64
	// missingSince is when the row was found missing after an outage, and missingVersion the store version at which it was
	// missing. Both are zero unless the server is in the grace period, recoveryGrace.
	missingSince   time.Time
	missingVersion int64
	// coldUntil is when the warm-up ends that the server reported with its registration. It is zero if the server reported none.
	coldUntil time.Time
}

// Registry holds the decoded rows of the store and derives snapshots from them. It is not safe for concurrent use.
type Registry struct {
	decoder    masticway.DeploymentDecoder
	deployment masticway.Deployment
	// rowVersion is the version of the row of the configuration that was decoded last. It may contain a configuration that was
	// ignored.
	rowVersion    int64
	configured    bool
	required      requirement
	serversLoaded bool
	// entries holds the registrations by server ID, and removed the last removals by server ID.
	entries map[string]entry
	removed map[string]removal
	// invalid holds the versions of rows that are not valid registrations, by key.
	invalid map[string]int64
	// lastContact is when the store last answered about the servers, and recoveredAt when the last outage ended.
	lastContact time.Time
	recoveredAt time.Time
	// requiresEvidence is set if the store is probed on new connections. failedProbes counts the probes since lastContact that the store
	// did not answer. hasLateProbe is set while one is late. stalled is how long this process has not run since lastContact.
	requiresEvidence bool
	failedProbes     int
	hasLateProbe     bool
	stalled          time.Duration
	// era is the newest era of the store that is known, if eraKnown is set. eraSince is when the last era ended.
	era      int64
	eraKnown bool
	eraSince time.Time
	// evacuations holds, by zone, the row versions of the evacuation orders in force. reopenings holds, by zone, when the last
	// order ended.
	evacuations map[string]int64
	reopenings  map[string]zoneReopening
	// departures holds, by server ID, the incarnations that announced in an answer that they are draining.
	departures map[string]departure
}

// NewRegistry returns an empty registry.
func NewRegistry(d masticway.DeploymentDecoder) *Registry {
	return &Registry{
		decoder: d, entries: map[string]entry{}, removed: map[string]removal{}, invalid: map[string]int64{},
		evacuations: map[string]int64{}, reopenings: map[string]zoneReopening{}, departures: map[string]departure{},
	}
}

// ApplyConfiguration applies the row of the configuration and reports whether the configuration has changed. It ignores a deleted
// row, and a row or a configuration that is not newer than the current one. It fails if the row cannot be decoded.
func (r *Registry) ApplyConfiguration(row masticway.StoredRow) (changed bool, err error) {
	if row.Deleted || row.Version <= r.rowVersion {
		return false, nil
	}
	d, err := r.decoder.Configuration(row.Value)
	if err != nil {
		return false, err
	}
	r.rowVersion = row.Version
	if r.configured && d.Version <= r.deployment.Version {
		return false, nil
	}
	r.deployment, r.configured = d, true
	return true, nil
}

// RecordContact records that the store answered about the servers, at a version, and reports whether that ends an outage or an era.
// If it does, the grace period begins for the registrations that expired during the outage or were lost with the era.
//
// A time without an answer is an outage only if the store did not answer on a new connection either: connections may go silent while
// the store serves all others. Where nothing tells, because this process itself did not run, it counts as one.
func (r *Registry) RecordContact(now time.Time, version int64) (recovered bool) {
	isSilent := !r.lastContact.IsZero() && now.Sub(r.lastContact) > outageThreshold
	isProven := !r.requiresEvidence || r.failedProbes > 0 || r.hasLateProbe || r.stalled > outageThreshold
	if r.recordEra(now, version) || isSilent && isProven {
		r.recoveredAt = now
		recovered = true
	}
	r.lastContact, r.failedProbes, r.stalled = now, 0, 0
	return recovered
}

// RecordLateProbe records that a probe has had no answer for a while. It is no evidence any more once it is answered.
func (r *Registry) RecordLateProbe() { r.hasLateProbe = true }

// RecordFailedProbe records that the store has not answered a probe on a new connection.
func (r *Registry) RecordFailedProbe() {
	r.hasLateProbe = false
	r.failedProbes++
}

// RecordStall records that this process did not run for some time.
func (r *Registry) RecordStall(d time.Duration) { r.stalled += d }

// recordEra records that the store has had a version, and reports whether an earlier era has ended.
func (r *Registry) recordEra(now time.Time, version int64) (ended bool) {
	era := masticway.StoreEra(version)
	if r.eraKnown && era <= r.era {
		return false
	}
	ended = r.eraKnown
	r.era, r.eraKnown = era, true
	if ended {
		r.eraSince, r.recoveredAt = now, now
	}
	return ended
}

// RegistrationError reports a row of the server table that is not a valid registration. It is returned once for each version of
// the row.
type RegistrationError struct {
	Key     string
	Version int64
	Cause   error
}

// Error returns a message with the row's key and version and the cause.
func (e *RegistrationError) Error() string {
	return fmt.Sprintf("row %s at version %d is not a valid registration: %v", e.Key, e.Version, e.Cause)
}

// Unwrap returns the decoding error.
func (e *RegistrationError) Unwrap() error { return e.Cause }

// Update applies changed rows of the server table. It returns an error for each invalid row and applies the others.
func (r *Registry) Update(now time.Time, rows []masticway.StoredRow) (changed bool, regErrs []*RegistrationError) {
	for _, row := range rows {
		if row.Deleted {
			changed = r.remove(now, row.Key, row.Version) || changed
			continue
		}
		rowChanged, regErr := r.upsert(now, row)
		if regErr != nil {
			regErrs = append(regErrs, regErr)
		}
		changed = changed || rowChanged
	}
	return changed, regErrs
}

// Replace applies a full read of the server table. It removes the servers that are not in it, except those registered after the
// read. Soon after an outage, a ready server that is missing is kept for the grace period. Like Update, Replace returns an error
// for each invalid row.
func (r *Registry) Replace(now time.Time, reading masticway.RowReading) (changed bool, regErrs []*RegistrationError) {
	changed, regErrs = r.Update(now, reading.Rows)
	present := map[string]bool{}
	for _, row := range reading.Rows {
		present[row.Key] = true
	}
	for id, e := range r.entries {
		if !present[id] && e.version <= reading.Version {
			changed = r.remove(now, id, reading.Version) || changed
		}
	}
	if !r.serversLoaded {
		changed = true
	}
	r.serversLoaded = true
	return changed, regErrs
}

func (r *Registry) upsert(now time.Time, row masticway.StoredRow) (changed bool, regErr *RegistrationError) {
	previous, ok := r.entries[row.Key]
	if ok && row.Version <= max(previous.version, previous.missingVersion) || row.Version <= max(r.removed[row.Key].version, r.invalid[row.Key]) {
		return false, nil
	}
	s, err := r.decoder.Server(row.Key, row.Value)
	if err == nil && s.StartedAt.After(now.Add(maxClockSkew)) {
		// The server's own rows would seem to come from an earlier incarnation.
		err = fmt.Errorf("server %s starts in the future, at %v", row.Key, s.StartedAt)
	}
	if err != nil {
		// An invalid row registers no server, even if another writer has overwritten a valid registration with it.
		r.invalid[row.Key] = row.Version
		delete(r.entries, row.Key)
		return ok, &RegistrationError{Key: row.Key, Version: row.Version, Cause: err}
	}
	if !ok && r.isRemovedEarlier(now, s, row.Version) {
		return false, nil
	}
	if ok && s.StartedAt.Before(previous.server.StartedAt) {
		// The row is a late heartbeat of an earlier incarnation.
		return false, nil
	}
	if ok && previous.server.State == masticway.ServerDraining && s.StartedAt.Equal(previous.server.StartedAt) {
		// A draining server never becomes ready again in the same incarnation.
		s.State = masticway.ServerDraining
	}
	if r.isDeparted(s) {
		s.State = masticway.ServerDraining
	}
	e := entry{server: s, version: row.Version}
	if s.RemainingWarmUp > 0 {
		// The server measured the remaining time before the row arrived here, so it is warm at this time at the latest.
		e.coldUntil = now.Add(s.RemainingWarmUp)
	}
	r.entries[row.Key] = e
	return !ok || previous.server != s || !previous.missingSince.IsZero(), nil
}

// remove removes a server, unless its registration is newer than version, and reports whether it did. During the grace period
// after an outage, it keeps a ready server and only records that its row is missing.
func (r *Registry) remove(now time.Time, id string, version int64) bool {
	e, ok := r.entries[id]
	if !ok || version < e.version {
		return false
	}
	if e.server.State == masticway.ServerReady && !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < recoveryGrace {
		if e.missingSince.IsZero() {
			e.missingSince, e.missingVersion = now, version
			r.entries[id] = e
		}
		return false
	}
	delete(r.entries, id)
	r.removed[id] = removal{version: version, incarnation: e.server.Incarnation()}
	return true
}

// Expire does nothing during the grace period after an outage. Otherwise it removes the servers that have not reappeared within
// it, and forgets old departures of unregistered servers. It reports whether it removed a server.
func (r *Registry) Expire(now time.Time) (changed bool) {
	changed = r.expireRequirement(now)
	if now.Sub(r.recoveredAt) < recoveryGrace {
		return changed
	}
	r.pruneDepartures(now)
	for id, e := range r.entries {
		if !e.missingSince.IsZero() {
			delete(r.entries, id)
			r.removed[id] = removal{version: e.missingVersion, incarnation: e.server.Incarnation()}
			changed = true
		}
	}
	return changed
}

// Snapshot returns the current view of the deployment.
func (r *Registry) Snapshot() Snapshot {
	b := Snapshot{
		ConfigurationLoaded: r.configured && r.deployment.Version >= r.required.version, ServersLoaded: r.serversLoaded, Deployment: r.deployment, Servers: map[string][]masticway.Server{},
		EvacuatedZones: slices.Sorted(maps.Keys(r.evacuations)),
	}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		s := e.server
		if _, evacuated := r.evacuations[s.Zone]; s.State != masticway.ServerReady || evacuated {
			continue
		}
		s.ColdUntil, _ = r.coldUntil(e)
		b.Servers[s.Pool] = append(b.Servers[s.Pool], s)
	}
	return b
}
