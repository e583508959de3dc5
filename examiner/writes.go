package examiner

import (
	"time"

	"github.com/masticway/masticway"
)

// change is a change of one row: a write of the record, or a deletion.
type change struct {
	digest  masticway.RequestDigest
	record  Record
	version int64
	deleted bool
}

// DueChanges returns up to max changes of rows that this router must write now.
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
		// A request with a single crash during its answer is not a suspect yet and is not written.
		fresh := len(state.pending) > 0 && !now.Before(state.writeAt) && state.record().isSuspect()
		if ended || fresh {
			due = append(due, change{digest: d, record: state.record().WithRun(r.remainingRun(state)), version: state.version})
		}
	}
	return due
}

// remainingRun returns the quarantined run to keep in a row that is written: that of another router, or this router's current
// one.
func (r *Registry) remainingRun(state *suspectState) *Run {
	if state.stored.Run != nil && state.stored.Run.Router != r.self && !state.record().hasCrashOf(state.stored.Run.Server) {
		return state.stored.Run
	}
	return state.run
}

// ApplyWrite records that a change has been written.
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

// ApplyConflict applies the rows that conflict with some changes. A row that is missing among them has been deleted. It returns
// the errors of rows that cannot be decoded.
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

// ExpiredChanges returns the deletions of the rows of expired suspects that this router owns. It removes expired suspects from
// the registry if they have no row, or if the row's owner has not deleted it for long.
func (r *Registry) ExpiredChanges(now time.Time, owns func(key string) bool) []change {
	var expired []change
	for d, state := range r.suspects {
		age := now.Sub(state.changedAt)
		if age < suspectTTL {
			// No suspect expires earlier, and most are this recent.
			continue
		}
		ttl := suspectTTL
		if record := state.record(); r.isProven(d, record) {
			// A proven request is kept for some time after its block ends, because it then runs in quarantine.
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

// Entry is the evidence on one request that a router sends to another.
type Entry struct {
	Digest  masticway.RequestDigest `cbor:"1,keyasint"`
	Path    string                  `cbor:"2,keyasint,omitempty"`
	Crashes []masticway.ServerCrash `cbor:"3,keyasint"`
	// Retried is the number of times that the request has run in quarantine again after it had been blocked.
	Retried int `cbor:"4,keyasint,omitempty"`
}

// newEntry returns the entry for a request with a record.
func newEntry(d masticway.RequestDigest, r Record) Entry {
	return Entry{Digest: d, Path: r.Path, Crashes: r.Crashes, Retried: r.Retried}
}

const (
	// shareDelay is how long the store may take to accept evidence before it is sent to other routers directly, a multiple of the
	// usual time. reshareInterval is the time until it is sent again.
	shareDelay      = 100 * time.Millisecond
	reshareInterval = time.Second
)

// Unshared returns the evidence that the store should have accepted by now, to be sent to other routers.
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
