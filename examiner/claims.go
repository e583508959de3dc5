package examiner

import (
	"time"

	"github.com/masticway/masticway"
)

// Claim starts a quarantined run. The caller must write the returned record to the store, which reserves the run for this router.
// version is the version of the row that the record replaces. Claim returns false if a run is in progress or if the request must
// not run in quarantine.
func (r *Registry) Claim(now time.Time, d masticway.SuspectID, server masticway.ServerIncarnation) (record Record, version int64, ok bool) {
	s := r.Status(now, d)
	if s.Suspicion != masticway.SuspicionQuarantined || s.Running {
		return Record{}, 0, false
	}
	state := r.suspects[d]
	state.run = &Run{Router: r.self, Server: server}
	record = state.record().WithRun(state.run)
	if r.isProven(d, record) {
		record.Retried++
		state.retried = record.Retried
	}
	return record, state.version, true
}

// Release records that this router's quarantined run of a request is over and gave no evidence. The caller must check that.
func (r *Registry) Release(d masticway.SuspectID) {
	if state, ok := r.suspects[d]; ok {
		state.run = nil
	}
}

// ClaimAll starts a quarantined run of a request, and of the parts of its prompt that are suspects. The caller must write the
// returned changes to the store. ClaimAll returns false if the request must not run in quarantine now.
func (r *Registry) ClaimAll(now time.Time, s masticway.Suspects, server masticway.ServerIncarnation) (changes []change, ok bool) {
	if status := r.StatusOf(now, s); status.Suspicion != masticway.SuspicionQuarantined || status.Running {
		return nil, false
	}
	if r.Status(now, s.Request).Suspicion == masticway.SuspicionQuarantined {
		record, version, ok := r.Claim(now, s.Request, server)
		if !ok {
			return nil, false
		}
		changes = append(changes, change{suspect: s.Request, record: record, version: version})
	}
	for _, part := range s.Parts {
		if r.PartStatus(now, part.ID, s).Suspicion == masticway.SuspicionQuarantined {
			changes = append(changes, r.claimPart(now, part.ID, server))
		}
	}
	return changes, true
}

// claimPart starts a quarantined run of a request with a part and returns the change that reserves it for this router.
func (r *Registry) claimPart(now time.Time, id masticway.SuspectID, server masticway.ServerIncarnation) change {
	state := r.suspects[id]
	state.claimedAt = now
	record := state.record()
	record.Retried, record.Proven, record.Inconclusive = record.Retried+1, true, false
	state.run, state.retried, state.proven, state.inconclusive = &Run{Router: r.self, Server: server}, record.Retried, true, false
	return change{suspect: id, record: record.WithRun(state.run), version: state.version}
}

// ReleasePart records that this router's quarantined run of a request with a part is over and gave no evidence. It counts unless
// isUnsent is set, that is, unless the request was not sent to the server.
func (r *Registry) ReleasePart(id masticway.SuspectID, isUnsent bool) {
	state, ok := r.suspects[id]
	if !ok || state.run == nil {
		return
	}
	state.run, state.inconclusive, state.isUnsent = nil, true, isUnsent
	if isUnsent {
		state.retried--
	}
}

// DropClaim undoes a claim that the store has not accepted.
func (r *Registry) DropClaim(now time.Time, id masticway.SuspectID) {
	state, ok := r.suspects[id]
	if !ok {
		return
	}
	state.run = nil
	if state.isPart {
		state.retried = state.stored.Retried
		state.noClaimUntil = now.Add(claimRetryInterval)
	}
}
