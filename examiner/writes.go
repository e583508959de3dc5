package examiner

import (
	"time"

	"github.com/masticway/masticway"
)

// change is a change of one row: a write of the record or, if deleted is set, a deletion. It applies only if the row still has
// the given version; version zero means that there is no row.
type change struct {
	suspect masticway.SuspectID
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
			due = append(due, change{suspect: d, version: state.version, deleted: true})
			continue
		}
		ended := state.run == nil && state.stored.Run != nil && state.stored.Run.Router == r.self
		// A request with a single crash during its answer is not a suspect yet and is not written.
		fresh := len(state.pending) > 0 && !now.Before(state.writeAt) && state.mustWrite()
		if isProven := state.markProven(now); ended || fresh || isProven || state.hasNewSoundPool() || state.isLost && !now.Before(state.writeAt) {
			due = append(due, change{suspect: d, record: state.record().WithRun(r.remainingRun(state)), version: state.version})
		}
	}
	return due
}

// remainingRun returns the quarantined run that a row must keep when it is written. This is the run of another router in the
// stored row, unless the run's server has crashed. Otherwise it is this router's current run, or nil if there is none.
func (r *Registry) remainingRun(state *suspectState) *Run {
	if state.stored.Run != nil && state.stored.Run.Router != r.self && !state.record().hasCrashOf(state.stored.Run.Server) {
		return state.stored.Run
	}
	return state.run
}

// ApplyWrite records that the store has accepted a change. version is the row's new version.
func (r *Registry) ApplyWrite(now time.Time, c change, version int64) {
	state, ok := r.suspects[c.suspect]
	if !ok {
		return
	}
	if c.deleted {
		if state.cleared {
			delete(r.suspects, c.suspect)
		}
		return
	}
	state.setStored(now, c.record, version)
	r.updateProof(now, c.suspect, state)
}

// ApplyConflict applies the current rows that the store returned because some changes conflicted with them. A row that is
// expected by a change but missing among them has been deleted, or lost with an earlier era than that of the store's version.
// ApplyConflict returns the errors of rows that cannot be decoded.
func (r *Registry) ApplyConflict(now time.Time, changes []change, rows []masticway.StoredRow, version int64) (errs []error) {
	present := map[masticway.SuspectID]bool{}
	for _, row := range rows {
		present[masticway.SuspectID(row.Key)] = !row.Deleted
		if err := r.ApplyRow(now, row); err != nil {
			errs = append(errs, err)
		}
	}
	for _, c := range changes {
		if !present[c.suspect] && c.version > 0 {
			r.loseRow(now, c.suspect, version)
		}
	}
	return errs
}

// ExpiredChanges returns the deletions of the rows of expired suspects whose keys this router owns. It also removes expired
// suspects from the registry: those without a row, and those that have reached twice the age at which the owner of the key should
// have deleted the row.
func (r *Registry) ExpiredChanges(now time.Time, owns func(key string) bool) []change {
	var expired []change
	for d, state := range r.suspects {
		age := now.Sub(state.changedAt)
		if age < suspectTTL {
			// No suspect expires earlier, and most are this recent.
			continue
		}
		ttl := suspectTTL
		switch record := state.record(); {
		case state.isPart && len(record.unrefuted()) > 0:
			// A part may come so seldom that its crashes are far apart.
			ttl = max(partTTL, 2*partBlockTime(record))
		case !state.isPart && r.isProven(d, record):
			// The evidence on a proven request is kept for some time after its block ends. Without it, the request would not run
			// in quarantine then, and another crash would not lengthen the block.
			ttl = 2 * max(repeatBlockTime, blockTime(record))
		}
		switch {
		case age < ttl || state.run != nil:
		case state.version == 0 || age > 2*ttl:
			delete(r.suspects, d)
		case owns(string(d)):
			expired = append(expired, change{suspect: d, version: state.version, deleted: true})
		}
	}
	return expired
}

// Evidence is the evidence on one suspect, as sent from one router to another.
type Evidence struct {
	Suspect masticway.SuspectID     `cbor:"1,keyasint"`
	Path    string                  `cbor:"2,keyasint,omitempty"`
	Crashes []masticway.ServerCrash `cbor:"3,keyasint"`
	// Retried is the number of times that the request has run in quarantine again after it had been blocked.
	Retried int `cbor:"4,keyasint,omitempty"`
	// Proven is set for a part that a router has found to crash servers.
	Proven bool `cbor:"5,keyasint,omitempty"`
}

// newEvidence returns the evidence in the record of a request.
func newEvidence(d masticway.SuspectID, r Record) Evidence {
	return Evidence{Suspect: d, Path: r.Path, Crashes: r.Crashes, Retried: r.Retried, Proven: r.Proven}
}

const (
	// shareDelay is how long the store may take to accept evidence, a multiple of the usual time. Evidence that the store has not
	// accepted by then is sent to other routers directly, and again after each reshareInterval.
	shareDelay      = 100 * time.Millisecond
	reshareInterval = time.Second
	// maxShared is the maximum number of suspects in one message to other routers. Further ones follow in the next.
	maxShared = 100
	// maxFetched is the maximum number of suspects in the reply to a router that has just started.
	maxFetched = 300
)

// Unshared returns the evidence that must now be sent to other routers because the store has not accepted it in time. It records
// that the evidence is sent now, so the caller must send it.
func (r *Registry) Unshared(now time.Time) []Evidence {
	var evidence []Evidence
	for d, state := range r.suspects {
		if len(evidence) == maxShared {
			break
		}
		if len(state.pending) == 0 || now.Sub(state.pendingSince) < shareDelay || now.Sub(state.sharedAt) < reshareInterval {
			continue
		}
		if !state.mustWrite() {
			continue
		}
		record := state.record()
		state.sharedAt = now
		evidence = append(evidence, newEvidence(d, record))
	}
	return evidence
}

// AllEvidence returns the evidence on all suspects, for a router that has just started. If there are more than maxFetched, it
// returns that on the proven ones first.
func (r *Registry) AllEvidence(now time.Time) []Evidence {
	var proven, others []Evidence
	for d, state := range r.suspects {
		if state.cleared || !state.mustWrite() {
			continue
		}
		evidence := newEvidence(d, state.record())
		if r.isBlocked(now, d, state) {
			proven = append(proven, evidence)
		} else {
			others = append(others, evidence)
		}
	}
	all := append(proven, others...)
	return all[:min(len(all), maxFetched)]
}
