package follower

import (
	"fmt"
	"maps"
	"slices"
	"strings"
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
}

// Ready tells whether requests can be served.
func (b Beliefs) Ready() bool { return b.Known && b.Listed }

// entry is one server's registration.
type entry struct {
	server  masticway.Server
	version int64
	// lapsedAt is when its row was found missing after an outage, and lapsedVersion of which version; zero while it is there.
	lapsedAt      time.Time
	lapsedVersion int64
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
	reached    time.Time
	returned   time.Time
}

// NewRegister returns a register that believes nothing yet.
func NewRegister(d masticway.DeploymentDecoder) *Register {
	return &Register{decoder: d, entries: map[string]entry{}, gone: map[string]int64{}}
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

// Update takes changed rows of servers.
func (r *Register) Update(now time.Time, rows []masticway.StoredRow) (changed bool, err error) {
	var faults []string
	for _, row := range rows {
		if row.Deleted {
			changed = r.remove(now, row.Key, row.Version) || changed
			continue
		}
		done, err := r.put(row)
		if err != nil {
			faults = append(faults, err.Error())
		}
		changed = changed || done
	}
	if len(faults) > 0 {
		err = fmt.Errorf("reading registrations: %s", strings.Join(faults, "; "))
	}
	return changed, err
}

// Replace takes a reading of all servers; what it leaves out is gone.
func (r *Register) Replace(now time.Time, reading masticway.RowReading) (changed bool, err error) {
	changed, err = r.Update(now, reading.Rows)
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
	return changed, err
}

func (r *Register) put(row masticway.StoredRow) (changed bool, err error) {
	known, ok := r.entries[row.Key]
	if ok && row.Version <= max(known.version, known.lapsedVersion) || row.Version <= r.gone[row.Key] {
		return false, nil
	}
	s, err := r.decoder.Server(row.Key, row.Value)
	if err != nil {
		return false, err
	}
	if ok && known.server.State == masticway.ServerDraining {
		// A server that is leaving never comes back in the same life.
		s.State = masticway.ServerDraining
	}
	r.entries[row.Key] = entry{server: s, version: row.Version}
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
	b := Beliefs{Known: r.known, Listed: r.listed, Deployment: r.deployment, Servers: map[string][]masticway.Server{}}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		s := r.entries[id].server
		if s.State == masticway.ServerReady {
			b.Servers[s.Pool] = append(b.Servers[s.Pool], s)
		}
	}
	return b
}
