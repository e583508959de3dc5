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
	gone    bool
}

// Due returns the rows that this router is to change now, a number of them at most.
func (r *Register) Due(now time.Time, most int) []change {
	var due []change
	for d, b := range r.beliefs {
		if len(due) == most {
			break
		}
		if b.cleared {
			due = append(due, change{digest: d, version: b.version, gone: true})
			continue
		}
		over := b.run == nil && b.row.Run != nil && b.row.Run.Router == r.self
		// What was answered when its one server ended is nobody's business yet.
		fresh := len(b.own) > 0 && !now.Before(b.due) && b.record().suspect()
		if over || fresh {
			due = append(due, change{digest: d, record: b.record().WithRun(r.remains(b)), version: b.version})
		}
	}
	return due
}

// remains is the run apart that a row keeps when it is written: another router's, or the one that this router has under way.
func (r *Register) remains(b *belief) *Run {
	if b.row.Run != nil && b.row.Run.Router != r.self && !b.record().endedAt(b.row.Run.Server) {
		return b.row.Run
	}
	return b.run
}

// Wrote notes that a row was changed.
func (r *Register) Wrote(now time.Time, c change, version int64) {
	b, ok := r.beliefs[c.digest]
	if !ok {
		return
	}
	if c.gone {
		if b.cleared {
			delete(r.beliefs, c.digest)
		}
		return
	}
	b.set(now, c.record, version)
}

// Collided takes the rows that stand in the way of some changes; those that are not among them are gone.
func (r *Register) Collided(now time.Time, changes []change, rows []masticway.StoredRow) (faults []error) {
	present := map[masticway.RequestDigest]bool{}
	for _, row := range rows {
		present[masticway.RequestDigest(row.Key)] = !row.Deleted
		if err := r.Learn(now, row); err != nil {
			faults = append(faults, err)
		}
	}
	for _, c := range changes {
		if !present[c.digest] && c.version > 0 {
			r.lost(c.digest)
		}
	}
	return faults
}

// Expired returns the rows whose beliefs are over, for the router that owns them to delete, and forgets those of which the
// store has none.
func (r *Register) Expired(now time.Time, owns func(key string) bool) []change {
	var over []change
	for d, b := range r.beliefs {
		age := now.Sub(b.since)
		if age < suspectLife {
			// No belief is over sooner, and most are this young.
			continue
		}
		life := suspectLife
		if record := b.record(); r.proven(d, record) {
			// It runs apart for a time after it may run again.
			life = 2 * max(provenAgain, provenFor(record))
		}
		switch {
		case age < life || b.run != nil:
		case b.version == 0 || age > 2*life:
			delete(r.beliefs, d)
		case owns(string(d)):
			over = append(over, change{digest: d, version: b.version, gone: true})
		}
	}
	return over
}

// Entry is what one router tells another of a request.
type Entry struct {
	Digest masticway.RequestDigest `cbor:"1,keyasint"`
	Path   string                  `cbor:"2,keyasint,omitempty"`
	Ends   []masticway.ServerCrash `cbor:"3,keyasint"`
	// Retried is how often it has run apart again after it had been kept from servers.
	Retried int `cbor:"4,keyasint,omitempty"`
}

// entryOf returns what is told of a request.
func entryOf(d masticway.RequestDigest, r Record) Entry {
	return Entry{Digest: d, Path: r.Path, Ends: r.Ends, Retried: r.Retried}
}

const (
	// tellAfter is how long the store may take for evidence before other routers are told directly, a multiple of its usual
	// time; tellAgain is when they are told again.
	tellAfter = 100 * time.Millisecond
	tellAgain = time.Second
)

// Untold returns the evidence that the store should have by now, to be told to other routers.
func (r *Register) Untold(now time.Time) []Entry {
	var entries []Entry
	for d, b := range r.beliefs {
		if len(b.own) == 0 || now.Sub(b.ownAt) < tellAfter || now.Sub(b.toldAt) < tellAgain {
			continue
		}
		record := b.record()
		if !record.suspect() {
			continue
		}
		b.toldAt = now
		entries = append(entries, entryOf(d, record))
	}
	return entries
}

// Known returns all evidence, for a router that has just started.
func (r *Register) Known() []Entry {
	var entries []Entry
	for d, b := range r.beliefs {
		if record := b.record(); !b.cleared && record.suspect() {
			entries = append(entries, entryOf(d, record))
		}
	}
	return entries
}
