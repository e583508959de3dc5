package examiner

import (
	"time"

	"github.com/masticway/masticway"
)

// change is one row that is to be written, or to go.
type change struct {
	digest  masticway.RequestDigest
	record  Record
	version int64
	deleted bool
}

// DueChanges returns the rows that this router is to change now, a number of them at most.
func (r *Registry) DueChanges(now time.Time, max int) []change {
	var due []change
	for d, state := range r.suspects {
		if len(due) == max {
			break
		}
		if state.cleared {
			due = append(due, change{digest: d, version: state.version, deleted: true})
			continue
		}
		ended := state.run == nil && state.stored.Run != nil && state.stored.Run.Router == r.self
		// What was answered when its one server ended is nobody's business yet.
		fresh := len(state.pending) > 0 && !now.Before(state.writeAt) && state.record().isSuspect()
		if ended || fresh {
			due = append(due, change{digest: d, record: state.record().WithRun(r.remainingRun(state)), version: state.version})
		}
	}
	return due
}

// remainingRun is the run apart that a row keeps when it is written: another router's, or the one that this router has under way.
func (r *Registry) remainingRun(state *suspectState) *Run {
	if state.stored.Run != nil && state.stored.Run.Router != r.self && !state.record().hasCrashOf(state.stored.Run.Server) {
		return state.stored.Run
	}
	return state.run
}

// ApplyWrite notes that a row was changed.
func (r *Registry) ApplyWrite(now time.Time, c change, version int64) {
	state, ok := r.suspects[c.digest]
	if !ok {
		return
	}
	if c.deleted {
		if state.cleared {
			delete(r.suspects, c.digest)
		}
		return
	}
	state.setStored(now, c.record, version)
}

// ApplyConflict takes the rows that stand in the way of some changes; those that are not among them are gone.
func (r *Registry) ApplyConflict(now time.Time, changes []change, rows []masticway.StoredRow) (errs []error) {
	present := map[masticway.RequestDigest]bool{}
	for _, row := range rows {
		present[masticway.RequestDigest(row.Key)] = !row.Deleted
		if err := r.ApplyRow(now, row); err != nil {
			errs = append(errs, err)
		}
	}
	for _, c := range changes {
		if !present[c.digest] && c.version > 0 {
			r.dropRow(c.digest)
		}
	}
	return errs
}

// ExpiredChanges returns the rows whose beliefs are over, for the router that owns them to delete, and forgets those of which the
// store has none.
func (r *Registry) ExpiredChanges(now time.Time, owns func(key string) bool) []change {
	var expired []change
	for d, state := range r.suspects {
		age := now.Sub(state.changedAt)
		if age < suspectTTL {
			// No belief is over sooner, and most are this young.
			continue
		}
		ttl := suspectTTL
		if record := state.record(); r.isProven(d, record) {
			// It runs apart for a time after it may run again.
			ttl = 2 * max(repeatBlockTime, blockTime(record))
		}
		switch {
		case age < ttl || state.run != nil:
		case state.version == 0 || age > 2*ttl:
			delete(r.suspects, d)
		case owns(string(d)):
			expired = append(expired, change{digest: d, version: state.version, deleted: true})
		}
	}
	return expired
}

// Entry is what one router tells another of a request.
type Entry struct {
	Digest  masticway.RequestDigest `cbor:"1,keyasint"`
	Path    string                  `cbor:"2,keyasint,omitempty"`
	Crashes []masticway.ServerCrash `cbor:"3,keyasint"`
	// Retried is how often it has run apart again after it had been kept from servers.
	Retried int `cbor:"4,keyasint,omitempty"`
}

// newEntry returns what is told of a request.
func newEntry(d masticway.RequestDigest, r Record) Entry {
	return Entry{Digest: d, Path: r.Path, Crashes: r.Crashes, Retried: r.Retried}
}

const (
	// shareDelay is how long the store may take for evidence before other routers are told directly, a multiple of its usual
	// time; reshareInterval is when they are told again.
	shareDelay      = 100 * time.Millisecond
	reshareInterval = time.Second
)

// Unshared returns the evidence that the store should have by now, to be told to other routers.
func (r *Registry) Unshared(now time.Time) []Entry {
	var entries []Entry
	for d, state := range r.suspects {
		if len(state.pending) == 0 || now.Sub(state.pendingSince) < shareDelay || now.Sub(state.sharedAt) < reshareInterval {
			continue
		}
		record := state.record()
		if !record.isSuspect() {
			continue
		}
		state.sharedAt = now
		entries = append(entries, newEntry(d, record))
	}
	return entries
}

// Entries returns all evidence, for a router that has just started.
func (r *Registry) Entries() []Entry {
	var entries []Entry
	for d, state := range r.suspects {
		if record := state.record(); !state.cleared && record.isSuspect() {
			entries = append(entries, newEntry(d, record))
		}
	}
	return entries
}
