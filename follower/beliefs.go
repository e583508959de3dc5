package follower

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// awayAfter is how long the store must have been silent for its return to count as one: entries of live servers
	// lapse after three of their heartbeats, which are a second and more apart.
	awayAfter = 1500 * time.Millisecond
	// returnGrace is how long entries that lapsed during an outage may take to come back.
	returnGrace = 2 * time.Second
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
	// lapsedAt is when its row was found missing after an outage, and lapsedVersion of which version; zero while it is there.
	lapsedAt      time.Time
	lapsedVersion int64
	// coldUntil is until when the server is cold by its own word.
	coldUntil time.Time
}

// Register derives beliefs from rows; it is not safe for concurrent use.
type Register struct {
	decoder    masticway.DeploymentDecoder
	deployment masticway.Deployment
	rowVersion int64
	known      bool
	listed     bool
	entries    map[string]entry
	gone       map[string]int64
	// unreadable are the versions of rows that name no server.
	unreadable map[string]int64
	reached    time.Time
	returned   time.Time
	// evacuated are the versions of the operator's orders in force, by zone, and takenBack the orders that ended.
	evacuated map[string]int64
	takenBack map[string]zoneReturn
	// left are the lives that said themselves that they leave, by id.
	left map[string]departure
}

// NewRegister returns a register that believes nothing yet.
func NewRegister(d masticway.DeploymentDecoder) *Register {
	return &Register{
		decoder: d, entries: map[string]entry{}, gone: map[string]int64{}, unreadable: map[string]int64{},
		evacuated: map[string]int64{}, takenBack: map[string]zoneReturn{}, left: map[string]departure{},
	}
}

// Configure takes the configuration's row; an older one than known is left out.
func (r *Register) Configure(row masticway.StoredRow) (changed bool, err error) {
	if row.Deleted || row.Version <= r.rowVersion {
		return false, nil
	}
	d, err := r.decoder.Configuration(row.Value)
	if err != nil {
		return false, err
	}
	r.rowVersion = row.Version
	if r.known && d.Version <= r.deployment.Version {
		return false, nil
	}
	r.deployment, r.known = d, true
	return true, nil
}

// Reached notes that the store answered about the servers, and whether that ends an outage.
func (r *Register) Reached(now time.Time) (returned bool) {
	if !r.reached.IsZero() && now.Sub(r.reached) > awayAfter {
		r.returned = now
		returned = true
	}
	r.reached = now
	return returned
}

// EntryError is a row of the servers' table that names no server; it is told of once for each version.
type EntryError struct {
	Key     string
	Version int64
	Cause   error
}

// Error describes the row.
func (e *EntryError) Error() string {
	return fmt.Sprintf("row %s of version %d names no server: %v", e.Key, e.Version, e.Cause)
}

// Unwrap returns what is wrong with the row.
func (e *EntryError) Unwrap() error { return e.Cause }

// Update takes changed rows of servers; it tells of those that name none and takes the others.
func (r *Register) Update(now time.Time, rows []masticway.StoredRow) (changed bool, faults []*EntryError) {
	for _, row := range rows {
		if row.Deleted {
			changed = r.remove(now, row.Key, row.Version) || changed
			continue
		}
		done, fault := r.put(now, row)
		if fault != nil {
			faults = append(faults, fault)
		}
		changed = changed || done
	}
	return changed, faults
}

// Replace takes a reading of all servers; what it leaves out is gone.
func (r *Register) Replace(now time.Time, reading masticway.RowReading) (changed bool, faults []*EntryError) {
	changed, faults = r.Update(now, reading.Rows)
	present := map[string]bool{}
	for _, row := range reading.Rows {
		present[row.Key] = true
	}
	for id, e := range r.entries {
		if !present[id] && e.version <= reading.Version {
			changed = r.remove(now, id, reading.Version) || changed
		}
	}
	if !r.listed {
		changed = true
	}
	r.listed = true
	return changed, faults
}

func (r *Register) put(now time.Time, row masticway.StoredRow) (changed bool, fault *EntryError) {
	known, ok := r.entries[row.Key]
	if ok && row.Version <= max(known.version, known.lapsedVersion) || row.Version <= max(r.gone[row.Key], r.unreadable[row.Key]) {
		return false, nil
	}
	s, err := r.decoder.Server(row.Key, row.Value)
	if err != nil {
		// Whoever wrote it, the row says of no server any more that it takes work.
		r.unreadable[row.Key] = row.Version
		delete(r.entries, row.Key)
		return ok, &EntryError{Key: row.Key, Version: row.Version, Cause: err}
	}
	if ok && s.StartedAt.Before(known.server.StartedAt) {
		// The word of a life that is over, which came late.
		return false, nil
	}
	if ok && known.server.State == masticway.ServerDraining && s.StartedAt.Equal(known.server.StartedAt) {
		// A server that is leaving never comes back in the same life.
		s.State = masticway.ServerDraining
	}
	if r.hasLeft(s) {
		s.State = masticway.ServerDraining
	}
	e := entry{server: s, version: row.Version}
	if s.RemainingWarmUp > 0 {
		// It was written before it arrived here, so the server is warm by then.
		e.coldUntil = now.Add(s.RemainingWarmUp)
	}
	r.entries[row.Key] = e
	return !ok || known.server != s || !known.lapsedAt.IsZero(), nil
}

// remove takes a server out, at once or, after an outage, when it has had time to come back.
func (r *Register) remove(now time.Time, id string, version int64) bool {
	e, ok := r.entries[id]
	if !ok || version < e.version {
		return false
	}
	if e.server.State == masticway.ServerReady && !r.returned.IsZero() && now.Sub(r.returned) < returnGrace {
		if e.lapsedAt.IsZero() {
			e.lapsedAt, e.lapsedVersion = now, version
			r.entries[id] = e
		}
		return false
	}
	delete(r.entries, id)
	r.gone[id] = version
	return true
}

// Expire takes out the servers that did not come back in time.
func (r *Register) Expire(now time.Time) (changed bool) {
	if now.Sub(r.returned) < returnGrace {
		return false
	}
	r.forgetDepartures(now)
	for id, e := range r.entries {
		if !e.lapsedAt.IsZero() {
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// Beliefs returns what is believed now.
func (r *Register) Beliefs() Beliefs {
	b := Beliefs{
		Known: r.known, Listed: r.listed, Deployment: r.deployment, Servers: map[string][]masticway.Server{},
		Evacuated: slices.Sorted(maps.Keys(r.evacuated)),
	}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		s := e.server
		if _, evacuated := r.evacuated[s.Zone]; s.State != masticway.ServerReady || evacuated {
			continue
		}
		s.ColdUntil, _ = r.coldUntil(e)
		b.Servers[s.Pool] = append(b.Servers[s.Pool], s)
	}
	return b
}
