package examiner

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// A part of prompts is proven to crash servers once minCrashesToProve servers have crashed under requests with it, in at least
// minPartRounds rounds, and no server has answered a request with it since.
const (
	// minPartRounds is greater than one because a loss of power crashes many servers at once, each under popular parts.
	minPartRounds = 2
	// partSettleTime is how long the evidence must prove a part before requests with it are refused. It allows for an answer at
	// another router, which refutes the evidence, and its propagation.
	partSettleTime = 800 * time.Millisecond
	// partWriteDelay is how long a router waits before it writes that a server has crashed under a part. Most accused parts are
	// innocent, and at a busy router another request with the part is answered by then.
	partWriteDelay = 200 * time.Millisecond
	// answerWriteDelay is how long a router waits before it writes that a part has been answered, unless it owns the part's key.
	// answerWriteSpread is the range of the random time that is added. Answers to popular parts come to all routers at once.
	answerWriteDelay  = 300 * time.Millisecond
	answerWriteSpread = 500 * time.Millisecond
	// proofWriteSpread is the same for writing that a part is proven.
	proofWriteSpread = time.Second
	// maxPartTests is the number of quarantined runs from which on a part does not run in quarantine again before its block ends.
	// Until then it may if the request is likely to be sound, or if the latest run gave no evidence.
	maxPartTests = 3
	// partTestPause is the pause before such a run after the latest change of the evidence. It allows for the propagation of a claim.
	partTestPause = 300 * time.Millisecond
	// maxWorkspaceParts is the maximum number of suspects in the registry that are parts first accused by requests of one workspace.
	maxWorkspaceParts = 200
	// maxSoundPools is the maximum number of pools in Record.Sound.
	maxSoundPools = 8
	// partTTL is how long evidence against a part is kept that no answer has refuted.
	partTTL = 30 * time.Minute
	// claimRetryInterval is how long a part is not run in quarantine at this router after the store has not accepted a claim.
	claimRetryInterval = time.Second
)

// partState is what a router knows about a part beyond the record.
type partState struct {
	// workspace is that of the request that first accused the part.
	workspace string
	// learnedAt are the times at which this router learned of the crashes.
	learnedAt map[masticway.ServerIncarnation]time.Time
	// provableSince is the time since which the evidence proves the part; it is zero if it does not. This router writes the result
	// to the store at writeProofAt, unless another one has done so.
	provableSince, writeProofAt time.Time
	// proven and inconclusive have the meaning of the fields of Record, which may not have them yet.
	proven, inconclusive bool
	// sound are pools that may be missing in the stored record's.
	sound []string
	// isUnsent is set if this router's latest run was not sent to a server, so that it does not count.
	isUnsent bool
	// claimedAt is when this router claimed its latest run.
	claimedAt time.Time
	// noClaimUntil is the time until which this router claims no run.
	noClaimUntil time.Time
}

// learn records when this router learned of a crash.
func (s *suspectState) learn(now time.Time, crash masticway.ServerCrash) {
	if !s.isPart {
		return
	}
	if s.learnedAt == nil {
		s.learnedAt = map[masticway.ServerIncarnation]time.Time{}
	}
	if _, known := s.learnedAt[crash.Server]; !known {
		s.learnedAt[crash.Server] = now
	}
}

// updateProof must be called after each change of a part's state.
func (r *Registry) updateProof(now time.Time, id masticway.SuspectID, s *suspectState) {
	if !s.isPart {
		return
	}
	record := s.record()
	for server := range s.learnedAt {
		if !record.hasCrashOf(server) {
			delete(s.learnedAt, server)
		}
	}
	if len(record.unrefuted()) == 0 {
		s.retried, s.inconclusive, s.isUnsent, s.sound = 0, false, false, nil
	}
	if !record.isProvable() {
		s.provableSince, s.proven = time.Time{}, false
		return
	}
	if s.provableSince.IsZero() {
		s.provableSince = now
		s.writeProofAt = now.Add(partSettleTime + r.writeDelay(id, 0, proofWriteSpread))
	}
}

// writeDelay returns how long this router waits before it writes what all routers may find out at the same time: not at all if it
// owns the key, otherwise the delay and a random time within the spread.
func (r *Registry) writeDelay(id masticway.SuspectID, delay, spread time.Duration) time.Duration {
	if r.owns(string(id)) {
		return 0
	}
	return delay + time.Duration(r.random()*float64(spread))
}

// isPartProven reports whether a part is proven to crash servers.
func (s *suspectState) isPartProven(now time.Time) bool {
	return !s.provableSince.IsZero() && (s.record().Proven || now.Sub(s.provableSince) >= partSettleTime)
}

// markProven reports whether this router must now write that a part is proven.
func (s *suspectState) markProven(now time.Time) bool {
	if !s.isPart || s.stored.Proven || s.provableSince.IsZero() || now.Before(s.writeProofAt) {
		return false
	}
	s.proven = true
	return true
}

// partBlockTime returns how long requests with a proven part are not sent to servers. It grows with the number of quarantined runs
// under which a server has crashed.
func partBlockTime(record Record) time.Duration {
	failed := 0
	for _, crash := range record.unrefuted() {
		if crash.Quarantined {
			failed++
		}
	}
	switch failed {
	case 0:
		return firstBlockTime
	case 1:
		return repeatBlockTime
	}
	return maxBlockTime
}

// PartStatus returns the current status of a part of a request.
func (r *Registry) PartStatus(now time.Time, id masticway.SuspectID, s masticway.Suspects) masticway.SuspectStatus {
	state, ok := r.suspects[id]
	if !ok || !state.isPartProven(now) {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	record := state.record()
	if record.isSoundAt(s.Pool) {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	status := masticway.SuspectStatus{Suspicion: masticway.SuspicionProven, Suspect: id, Crashes: record.unrefuted()}
	blocked, isExplained := partBlockTime(record), r.hasOtherExplanation(now, record, s)
	if isExplained {
		blocked = firstBlockTime
	}
	left := state.changedAt.Add(blocked).Sub(now)
	running, unreported := state.runStatus(now)
	isLikelySound := record.Retried < maxPartTests && (record.Inconclusive || unreported != "" || isExplained || !record.concerns(s))
	mayRun := left <= 0 || isLikelySound && now.Sub(state.changedAt) >= partTestPause
	if mayRun && !running && !now.Before(state.noClaimUntil) {
		status.Suspicion = masticway.SuspicionQuarantined
		return status
	}
	status.Remaining = left
	if left <= 0 || isLikelySound {
		// The result of a run in quarantine is known soon.
		status.Remaining = runLease
	}
	return status
}

// hasOtherExplanation reports whether parts that the request does not have, and that are proven too, explain the crashes under a part:
// at least half of them, and all those in quarantine. This is so for a sound part that comes beside the ones that crash servers.
func (r *Registry) hasOtherExplanation(now time.Time, record Record, s masticway.Suspects) bool {
	explained := map[masticway.ServerIncarnation]bool{}
	for id, other := range r.suspects {
		isInRequest := slices.ContainsFunc(s.Parts, func(part masticway.SuspectPart) bool { return part.ID == id })
		if !other.isPart || isInRequest || !other.isPartProven(now) {
			continue
		}
		for _, crash := range other.record().unrefuted() {
			explained[crash.Server] = true
		}
	}
	evidence, count := record.unrefuted(), 0
	for _, crash := range evidence {
		if crash.Quarantined && !explained[crash.Server] {
			return false
		}
		if explained[crash.Server] {
			count++
		}
	}
	return 2*count >= len(evidence)
}

// StatusOf returns the current status of a request with all that is in it.
func (r *Registry) StatusOf(now time.Time, s masticway.Suspects) masticway.SuspectStatus {
	status := r.Status(now, s.Request)
	for _, part := range s.Parts {
		status = worse(status, r.PartStatus(now, part.ID, s))
	}
	return status
}

// worse returns the status of a request that contains two suspects, the second of which is a part.
func worse(status, part masticway.SuspectStatus) masticway.SuspectStatus {
	switch {
	case part.Suspicion == masticway.SuspicionNone:
		return status
	case part.Suspicion == masticway.SuspicionProven:
		if status.Suspicion == masticway.SuspicionProven && status.Remaining >= part.Remaining {
			return status
		}
		return part
	case status.Suspicion == masticway.SuspicionProven:
		return status
	}
	part.Running, part.UnreportedServer = status.Running, status.UnreportedServer
	return part
}

// RecordPartCrash records a server crash during a request with a part that this router sent at the given time.
func (r *Registry) RecordPartCrash(now time.Time, part masticway.SuspectPart, s masticway.Suspects, crash masticway.ServerCrash, sentAt time.Time) {
	state := r.getOrAdd(now, part.ID, s.Workspace)
	if state == nil {
		return
	}
	state.stored.Path = part.Name
	crash.Workspace, crash.Pool, crash.Round = s.Workspace, s.Pool, 1
	// The request may be in quarantine as a suspect of its own.
	crash.Quarantined = state.run != nil && state.run.Server == crash.Server
	if crash.Quarantined {
		state.run = nil
	}
	for _, known := range state.record().unrefuted() {
		if known.Server != crash.Server && state.learnedAt[known.Server].Before(sentAt) {
			crash.Round = max(crash.Round, known.Round+1)
		}
	}
	isFirst := len(state.pending) == 0
	state.addCrashes(now, now.Add(partWriteDelay), crash)
	if isFirst {
		// Other routers are told only if the store has not accepted the evidence some time after it was written.
		state.pendingSince = now.Add(partWriteDelay)
	}
	r.updateProof(now, part.ID, state)
}

// IsAccused reports whether there is evidence against a part.
func (r *Registry) IsAccused(id masticway.SuspectID) bool {
	state, ok := r.suspects[id]
	return ok && len(state.record().unrefuted()) > 0
}

// RefutePart records that a server of a pool began to answer a request with a part at the given time and has not crashed since.
// Crashes in the pool that this router learned of before are no evidence against the part.
func (r *Registry) RefutePart(now time.Time, id masticway.SuspectID, pool string, begunAt time.Time) {
	state, ok := r.suspects[id]
	if !ok {
		return
	}
	// The answer to a request that was sent before the claim says nothing about the quarantined run.
	wasTest := state.run != nil && !begunAt.Before(state.claimedAt)
	if wasTest {
		state.run = nil
	}
	var refuted []masticway.ServerCrash
	for _, crash := range state.record().unrefuted() {
		if crash.Pool != pool || !state.learnedAt[crash.Server].Before(begunAt) {
			continue
		}
		crash.Refuted = true
		refuted = append(refuted, crash)
	}
	if len(refuted) == 0 {
		if wasTest && !slices.Contains(state.sound, pool) {
			state.sound = append(state.sound, pool)
		}
		return
	}
	if state.version == 0 && state.sharedAt.IsZero() {
		// No other router knows of these crashes from this one.
		state.pending = slices.DeleteFunc(slices.Clone(state.pending), func(c masticway.ServerCrash) bool {
			return Record{Crashes: refuted}.hasCrashOf(c.Server)
		})
		if len(state.pending) == 0 {
			delete(r.suspects, id)
			return
		}
	} else {
		delay := r.writeDelay(id, answerWriteDelay, answerWriteSpread)
		if wasTest {
			delay = 0
		}
		state.addCrashes(now, now.Add(delay), refuted...)
	}
	r.updateProof(now, id, state)
}

// hasRoomForPart reports whether another part that a workspace's request accuses may be recorded. If the workspace has too many,
// it drops the one with the least recent change that is not proven.
func (r *Registry) hasRoomForPart(now time.Time, workspace string) bool {
	n := 0
	for _, state := range r.suspects {
		if state.isPart && state.workspace == workspace {
			n++
		}
	}
	if n < maxWorkspaceParts {
		return true
	}
	return r.evictOldest(func(state *suspectState) bool {
		return state.isPart && state.workspace == workspace && !state.isPartProven(now)
	})
}

// HasPending reports whether this router has evidence that the store may not have.
func (r *Registry) HasPending() bool {
	for _, state := range r.suspects {
		if len(state.pending) > 0 || state.isPart && !state.provableSince.IsZero() && !state.stored.Proven {
			return true
		}
	}
	return false
}

// isBlocked reports whether a suspect is proven and not sent to servers now.
func (r *Registry) isBlocked(now time.Time, id masticway.SuspectID, state *suspectState) bool {
	if state.isPart {
		return state.isPartProven(now)
	}
	return r.Status(now, id).Suspicion == masticway.SuspicionProven
}

// splitParts separates the changes of parts from those of requests.
func splitParts(changes []change) (parts, requests []change) {
	for _, c := range changes {
		if c.suspect.IsPart() {
			parts = append(parts, c)
		} else {
			requests = append(requests, c)
		}
	}
	return parts, requests
}
