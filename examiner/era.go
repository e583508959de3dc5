package examiner

import (
	"time"

	"github.com/masticway/masticway"
)

// isEraEnded reports whether the store has returned from a copy between two of its versions. A row that is not stored has version
// zero and cannot be lost.
func isEraEnded(before, after int64) bool {
	return before > 0 && masticway.StoreEra(before) < masticway.StoreEra(after)
}

// loseRow records that the store, at a version, has no row for a suspect. If the row was lost with an earlier era, its information is
// kept and written again. Otherwise the row was deleted.
func (r *Registry) loseRow(now time.Time, d masticway.SuspectID, version int64) {
	state, ok := r.suspects[d]
	if !ok {
		return
	}
	if !state.cleared && isEraEnded(state.version, version) {
		r.retain(now, state, Record{})
	}
	r.dropRow(d)
}

// retain keeps what the stored record of a suspect says, because the store has returned from a copy and has the given record now.
// Other routers know the same, so each waits for a random time before it writes. retain returns the record with the quarantined run
// of another router that may still be in progress.
func (r *Registry) retain(now time.Time, s *suspectState, record Record) Record {
	lost := s.stored
	if len(s.pending) == 0 {
		s.pendingSince, s.sharedAt = now, time.Time{}
	}
	s.pending = Record{Crashes: lost.Crashes}.WithCrashes(s.pending...).Crashes
	s.retried = max(s.retried, lost.Retried)
	if s.isPart {
		s.proven = s.proven || lost.Proven
		for _, pool := range lost.Sound {
			s.sound = Record{Sound: s.sound}.withSoundPool(pool).Sound
		}
	}
	s.isLost, s.writeAt = true, now.Add(minWriteDelay+time.Duration(r.random()*float64(writeDelaySpread)))
	if s.run != nil {
		// Other routers must not run the request meanwhile.
		s.writeAt = now
	}
	if record.Run == nil && lost.Run != nil && lost.Run.Router != r.self && now.Sub(s.changedAt) < runLease {
		record.Run = lost.Run
	}
	return record
}

// hasUnstored reports whether the stored record lacks information that this router has.
func (s *suspectState) hasUnstored() bool {
	record := s.record()
	return len(s.pending) > 0 || record.Retried > s.stored.Retried || record.Proven && !s.stored.Proven ||
		len(record.Sound) > len(s.stored.Sound) || s.run != nil && s.stored.Run == nil
}
