package examiner

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// firstBlockTime is how long a proven request is blocked, that is, not sent to servers, for the first time. It is short
	// because servers that crash whatever they run make every request look like the cause, and the requests must be served soon
	// after the servers are repaired. Then the request runs in quarantine once more. If a server crashes again, the request is
	// blocked for repeatBlockTime, and for twice as long each further time, up to maxBlockTime.
	firstBlockTime  = 30 * time.Second
	repeatBlockTime = 10 * time.Minute
	maxBlockTime    = 6 * time.Hour
	// maxDoublings is the maximum number of times that the block time doubles.
	maxDoublings = 10
	// suspectTTL is how long a request remains a suspect after the last change of its evidence.
	suspectTTL = 2 * time.Minute
	// runLease is how long a quarantined run blocks others if nothing is reported about it. A server that crashes because of a
	// request does so soon after the start, and the router may have died together with it.
	runLease = 1500 * time.Millisecond
	// maxEvidenceDelay is the maximum time until the evidence of other routers arrives that another suspect ran on the same
	// server, which both routers considered free. It is a few times the propagation time of a change in the store.
	maxEvidenceDelay = 300 * time.Millisecond
	// maxSuspects is the maximum number of requests in the registry. Above it, the weakest suspects are evicted first.
	maxSuspects = 1000
	// minWriteDelay is the minimum time for which evidence from another router is left to that router to write. writeDelaySpread
	// is the range of the random time added to it.
	minWriteDelay    = 500 * time.Millisecond
	writeDelaySpread = time.Second
)

// suspectState is a router's information about one request.
type suspectState struct {
	// stored is the record in the store, at a version. It is zero if there is none.
	stored  Record
	version int64
	// changedAt is when this router learned of the latest change. Expiration counts from it.
	changedAt time.Time
	// pending are the crashes that the store may not have, as of pendingSince. From writeAt on, this router writes them. sharedAt
	// is when they were last sent to other routers.
	pending      []masticway.ServerCrash
	pendingSince time.Time
	writeAt      time.Time
	sharedAt     time.Time
	// retried is the number of times that the request has run in quarantine again after it had been blocked, as far as this
	// router knows without the store.
	retried int
	// run is this router's current quarantined run.
	run *Run
	// cleared is set if the row must be deleted.
	cleared bool
}

// record returns the stored record, combined with the information that the store may not have.
func (s *suspectState) record() Record {
	record := s.stored.WithCrashes(s.pending...)
	record.Retried = max(record.Retried, s.retried)
	return record
}

// runStatus reports whether the request is running in quarantine. If such a run has not been reported on for too long, unreported
// is its server.
func (s *suspectState) runStatus(now time.Time) (running bool, unreported masticway.ServerIncarnation) {
	if s.run != nil {
		return true, ""
	}
	if s.stored.Run == nil || s.record().hasCrashOf(s.stored.Run.Server) {
		return false, ""
	}
	if now.Sub(s.changedAt) < runLease {
		return true, ""
	}
	return false, s.stored.Run.Server
}

// Registry holds the state of all suspects and decides on them. It is not safe for concurrent use.
type Registry struct {
	self     masticway.Incarnation
	suspects map[masticway.RequestDigest]*suspectState
	// random returns a random number from 0 to 1. It prevents all routers from writing the same evidence at the same time.
	random func() float64
}

// NewRegistry returns an empty registry.
func NewRegistry(self masticway.Incarnation, random func() float64) *Registry {
	return &Registry{self: self, suspects: map[masticway.RequestDigest]*suspectState{}, random: random}
}

// Len returns the number of requests in the registry.
func (r *Registry) Len() int { return len(r.suspects) }

// Status returns the current status of a request.
func (r *Registry) Status(now time.Time, d masticway.RequestDigest) masticway.SuspectStatus {
	state, ok := r.suspects[d]
	if !ok || state.cleared {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	record := state.record()
	s := masticway.SuspectStatus{Suspicion: masticway.SuspicionNone, Crashes: record.Crashes}
	s.Running, s.UnreportedServer = state.runStatus(now)
	if !record.isSuspect() {
		return s
	}
	s.Suspicion = masticway.SuspicionQuarantined
	left := state.changedAt.Add(blockTime(record)).Sub(now)
	if left <= 0 || !r.isProven(d, record) {
		return s
	}
	if now.Sub(state.changedAt) < maxEvidenceDelay {
		// Until the evidence is complete, the request must not run anywhere.
		s.Running = true
		return s
	}
	s.Suspicion, s.Remaining = masticway.SuspicionProven, left
	return s
}

// blockTime returns how long a proven request is not sent to servers.
func blockTime(record Record) time.Duration {
	if record.Retried == 0 {
		return firstBlockTime
	}
	return min(maxBlockTime, repeatBlockTime<<min(maxDoublings, record.Retried-1))
}

// isProven reports whether a request is proven to crash servers: enough servers crashed during it while it was the only suspect
// on them. A crash that involved two suspects proves nothing about either.
func (r *Registry) isProven(d masticway.RequestDigest, record Record) bool {
	if len(record.Crashes) < minCrashesToProve {
		return false
	}
	weight := 0
	for _, crash := range record.Crashes {
		if crash.Quarantined && !r.hasOtherSuspect(d, crash.Server) {
			weight += crashWeight(crash)
		}
	}
	return weight >= minWeightToProve
}

// hasOtherSuspect reports whether a server also crashed during a quarantined run of another suspect.
func (r *Registry) hasOtherSuspect(d masticway.RequestDigest, server masticway.ServerIncarnation) bool {
	for other, state := range r.suspects {
		if other == d || state.cleared {
			continue
		}
		if slices.ContainsFunc(state.record().Crashes, func(e masticway.ServerCrash) bool { return e.Quarantined && e.Server == server }) {
			return true
		}
	}
	return false
}

// QuarantineServers returns the servers on which suspects run in quarantine. The set serious contains those whose suspect has
// crashed more than one server.
func (r *Registry) QuarantineServers(now time.Time) (all, serious map[masticway.ServerIncarnation]bool) {
	all, serious = map[masticway.ServerIncarnation]bool{}, map[masticway.ServerIncarnation]bool{}
	for _, state := range r.suspects {
		if running, _ := state.runStatus(now); !running {
			continue
		}
		run := state.run
		if run == nil {
			run = state.stored.Run
		}
		all[run.Server] = true
		if state.record().hasRepeatedCrashes() {
			serious[run.Server] = true
		}
	}
	return all, serious
}

// RecordCrash records a server crash during a request of this router. It ends a quarantined run on that server.
func (r *Registry) RecordCrash(now time.Time, d masticway.RequestDigest, path string, crash masticway.ServerCrash) {
	state := r.getOrAdd(now, d)
	if state == nil {
		return
	}
	state.stored.Path = path
	state.cleared = false
	if state.run != nil && state.run.Server == crash.Server {
		state.run = nil
	}
	state.addCrashes(now, now, crash)
}

// Merge adds the evidence from another router. It reports whether any of it was new.
func (r *Registry) Merge(now time.Time, entry Entry) bool {
	var missing []masticway.ServerCrash
	state, ok := r.suspects[entry.Digest]
	for _, crash := range entry.Crashes {
		if !ok || !state.record().hasCrash(crash) {
			missing = append(missing, crash)
		}
	}
	if len(missing) == 0 {
		return false
	}
	if state = r.getOrAdd(now, entry.Digest); state == nil {
		return false
	}
	if state.stored.Path == "" {
		state.stored.Path = entry.Path
	}
	state.retried = max(state.retried, entry.Retried)
	writeAt := now.Add(minWriteDelay + time.Duration(r.random()*float64(writeDelaySpread)))
	state.addCrashes(now, writeAt, missing...)
	return true
}

// addCrashes adds crashes that the store may not have.
func (s *suspectState) addCrashes(now, writeAt time.Time, crashes ...masticway.ServerCrash) {
	for _, crash := range crashes {
		if s.record().hasCrash(crash) {
			continue
		}
		if len(s.pending) == 0 {
			s.pendingSince, s.writeAt, s.sharedAt = now, writeAt, time.Time{}
		}
		if writeAt.Before(s.writeAt) {
			s.writeAt = writeAt
		}
		s.pending = Record{Crashes: s.pending}.WithCrashes(crash).Crashes
		s.changedAt = now
	}
}

// getOrAdd returns the state of a request, which is new if there was none. It returns nil if the registry is full.
func (r *Registry) getOrAdd(now time.Time, d masticway.RequestDigest) *suspectState {
	if state, ok := r.suspects[d]; ok {
		return state
	}
	if len(r.suspects) >= maxSuspects && !r.evict() {
		return nil
	}
	state := &suspectState{changedAt: now}
	r.suspects[d] = state
	return state
}

// evict removes, among the requests with at most one crash and no run at this router, the one whose state changed longest ago. It
// reports whether there was one.
func (r *Registry) evict() bool {
	var oldest masticway.RequestDigest
	for d, state := range r.suspects {
		if state.record().hasRepeatedCrashes() || state.run != nil {
			continue
		}
		if oldest == "" || state.changedAt.Before(r.suspects[oldest].changedAt) {
			oldest = d
		}
	}
	if oldest == "" {
		return false
	}
	delete(r.suspects, oldest)
	return true
}

// Claim starts a quarantined run. It returns the record that reserves the run for this router and the version that the record
// replaces. It returns false if another run is in progress or if the request must not run in quarantine.
func (r *Registry) Claim(now time.Time, d masticway.RequestDigest, server masticway.ServerIncarnation) (record Record, version int64, ok bool) {
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

// Release ends this router's quarantined run without evidence.
func (r *Registry) Release(d masticway.RequestDigest) {
	if state, ok := r.suspects[d]; ok {
		state.run = nil
	}
}

// Clear records that a request was served without a crash.
func (r *Registry) Clear(d masticway.RequestDigest) {
	state, ok := r.suspects[d]
	if !ok {
		return
	}
	if state.version == 0 {
		delete(r.suspects, d)
		return
	}
	state.run, state.pending, state.cleared = nil, nil, true
}

// ApplyRow applies a row of the store, which may be deleted.
func (r *Registry) ApplyRow(now time.Time, row masticway.StoredRow) error {
	d := masticway.RequestDigest(row.Key)
	state, known := r.suspects[d]
	if known && row.Version <= state.version {
		return nil
	}
	if row.Deleted {
		r.dropRow(d)
		return nil
	}
	record, err := DecodeRecord(row)
	if err != nil {
		return err
	}
	if state = r.getOrAdd(now, d); state == nil {
		return nil
	}
	// If this router has cleared the request, another one has added evidence since.
	state.cleared = false
	state.setStored(now, record, row.Version)
	return nil
}

// setStored sets the record that is in the store, and drops pending crashes that it contains.
func (s *suspectState) setStored(now time.Time, record Record, version int64) {
	s.stored, s.version, s.changedAt = record, version, now
	s.pending = slices.DeleteFunc(slices.Clone(s.pending), record.hasCrash)
}

// dropRow records that the store has no row for a request.
func (r *Registry) dropRow(d masticway.RequestDigest) {
	state, ok := r.suspects[d]
	if !ok {
		return
	}
	if len(state.pending) == 0 && state.run == nil {
		delete(r.suspects, d)
		return
	}
	state.stored, state.version, state.cleared = Record{Path: state.stored.Path}, 0, false
}

// ApplyTable applies a reading of the whole table. Rows that are missing in it have been deleted. It returns the errors of rows
// that cannot be decoded.
func (r *Registry) ApplyTable(now time.Time, reading masticway.RowReading) (errs []error) {
	present := map[masticway.RequestDigest]bool{}
	for _, row := range reading.Rows {
		present[masticway.RequestDigest(row.Key)] = true
		if err := r.ApplyRow(now, row); err != nil {
			errs = append(errs, err)
		}
	}
	for d, state := range r.suspects {
		if !present[d] && state.version > 0 && state.version <= reading.Version {
			r.dropRow(d)
		}
	}
	return errs
}
