package follower

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// outageThreshold is how long the store must have been silent for its return to count as one: entries of live servers
	// lapse after three of their heartbeats, which are a second and more apart.
	outageThreshold = 1500 * time.Millisecond
	// recoveryGrace is how long entries that lapsed during an outage may take to come back.
	recoveryGrace = 2 * time.Second
)

// Beliefs is what a router believes at one moment; it does not change.
type Beliefs struct {
	// Known tells that there is a configuration, and Listed that the servers have been read.
	Known      bool
	Listed     bool
	Deployment masticway.Deployment
	// Servers are those that may get new work, by pool.
	Servers map[string][]masticway.Server
	// Evacuated are the zones whose servers are to get nothing new.
	Evacuated []string
}

// Ready tells whether requests can be served.
func (b Beliefs) Ready() bool { return b.Known && b.Listed }

// Lives names the servers that may get new work, in their present lives.
func (b Beliefs) Lives() map[masticway.ServerIncarnation]bool {
	lives := map[masticway.ServerIncarnation]bool{}
	for _, servers := range b.Servers {
		for _, s := range servers {
			lives[s.Incarnation()] = true
		}
	}
	return lives
}

// entry is one server's registration.
type entry struct {
	server  masticway.Server
	version int64
	// missingSince is when its row was found missing after an outage, and missingVersion of which version; zero while it is there.
	missingSince   time.Time
	missingVersion int64
	// coldUntil is until when the server is cold by its own word.
	coldUntil time.Time
}

// Registry derives beliefs from rows; it is not safe for concurrent use.
type Registry struct {
	decoder       masticway.DeploymentDecoder
	deployment    masticway.Deployment
	rowVersion    int64
	configured    bool
	serversLoaded bool
	entries       map[string]entry
	removed       map[string]int64
	// invalid are the versions of rows that name no server.
	invalid     map[string]int64
	lastContact time.Time
	recoveredAt time.Time
	// evacuations are the versions of the operator's orders in force, by zone, and reopenings the orders that ended.
	evacuations map[string]int64
	reopenings  map[string]zoneReopening
	// departures are the lives that said themselves that they leave, by id.
	departures map[string]departure
}

// NewRegistry returns a register that believes nothing yet.
func NewRegistry(d masticway.DeploymentDecoder) *Registry {
	return &Registry{
		decoder: d, entries: map[string]entry{}, removed: map[string]int64{}, invalid: map[string]int64{},
		evacuations: map[string]int64{}, reopenings: map[string]zoneReopening{}, departures: map[string]departure{},
	}
}

// ApplyConfiguration takes the configuration's row; an older one than known is left out.
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

// RecordContact notes that the store answered about the servers, and whether that ends an outage.
func (r *Registry) RecordContact(now time.Time) (recovered bool) {
	if !r.lastContact.IsZero() && now.Sub(r.lastContact) > outageThreshold {
		r.recoveredAt = now
		recovered = true
	}
	r.lastContact = now
	return recovered
}

// RegistrationError is a row of the servers' table that names no server; it is told of once for each version.
type RegistrationError struct {
	Key     string
	Version int64
	Cause   error
}

// Error describes the row.
func (e *RegistrationError) Error() string {
	return fmt.Sprintf("row %s of version %d names no server: %v", e.Key, e.Version, e.Cause)
}

// Unwrap returns what is wrong with the row.
func (e *RegistrationError) Unwrap() error { return e.Cause }

// Update takes changed rows of servers; it tells of those that name none and takes the others.
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

// Replace takes a reading of all servers; what it leaves out is gone.
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
	if ok && row.Version <= max(previous.version, previous.missingVersion) || row.Version <= max(r.removed[row.Key], r.invalid[row.Key]) {
		return false, nil
	}
	s, err := r.decoder.Server(row.Key, row.Value)
	if err != nil {
		// Whoever wrote it, the row says of no server any more that it takes work.
		r.invalid[row.Key] = row.Version
		delete(r.entries, row.Key)
		return ok, &RegistrationError{Key: row.Key, Version: row.Version, Cause: err}
	}
	if ok && s.StartedAt.Before(previous.server.StartedAt) {
		// The word of a life that is over, which came late.
		return false, nil
	}
	if ok && previous.server.State == masticway.ServerDraining && s.StartedAt.Equal(previous.server.StartedAt) {
		// A server that is leaving never comes back in the same life.
		s.State = masticway.ServerDraining
	}
	if r.isDeparted(s) {
		s.State = masticway.ServerDraining
	}
	e := entry{server: s, version: row.Version}
	if s.RemainingWarmUp > 0 {
		// It was written before it arrived here, so the server is warm by then.
		e.coldUntil = now.Add(s.RemainingWarmUp)
	}
	r.entries[row.Key] = e
	return !ok || previous.server != s || !previous.missingSince.IsZero(), nil
}

// remove takes a server out, at once or, after an outage, when it has had time to come back.
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
	r.removed[id] = version
	return true
}

// Expire takes out the servers that did not come back in time.
func (r *Registry) Expire(now time.Time) (changed bool) {
	if now.Sub(r.recoveredAt) < recoveryGrace {
		return false
	}
	r.pruneDepartures(now)
	for id, e := range r.entries {
		if !e.missingSince.IsZero() {
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// Snapshot returns what is believed now.
func (r *Registry) Snapshot() Beliefs {
	b := Beliefs{
		Known: r.configured, Listed: r.serversLoaded, Deployment: r.deployment, Servers: map[string][]masticway.Server{},
		Evacuated: slices.Sorted(maps.Keys(r.evacuations)),
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
