package examiner

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// firstBlockTime is how long a proven request is blocked, that is, not sent to servers, for the first time. It is short because
	// servers that crash whatever they run make every request look like the cause, and the requests must be served soon after the
	// servers are repaired. When the block ends, the request runs in quarantine once more. If a server crashes again, the request is
	// blocked for repeatBlockTime, and for twice as long each further time, up to maxBlockTime.
	firstBlockTime  = 30 * time.Second
	repeatBlockTime = 10 * time.Minute
	maxBlockTime    = 6 * time.Hour
	// maxDoublings is the maximum number of times that repeatBlockTime is doubled before the result is limited to maxBlockTime.
	// It prevents an overflow.
	maxDoublings = 10
	// suspectTTL is how long the evidence on a request is kept after its last change. Evidence that proves the suspicion is kept for
	// longer, see ExpiredChanges.
	suspectTTL = 2 * time.Minute
	// runLease is how long a quarantined run of one router keeps other routers from running the request, if no result is
	// reported. It is short: if the request crashes the server, it does so soon after the start of the run. The router may have
	// crashed too, and then never reports a result.
	runLease = 1500 * time.Millisecond
	// maxEvidenceDelay is how long after a crash a router waits for evidence that another suspect ran on the same server. This
	// happens if two routers choose the server at the same time, because both consider it free. The time is a few times the
	// propagation time of a change in the store.
	maxEvidenceDelay = 300 * time.Millisecond
	// maxSuspects is the maximum number of requests in the registry. A further one replaces one with at most one crash, or is not
	// recorded if there is none.
	maxSuspects = 1000
	// minWriteDelay is the minimum time for which a router waits before it writes evidence that it received from another router.
	// Usually the other router has written it by then. writeDelaySpread is the range of the random time that is added.
	minWriteDelay    = 500 * time.Millisecond
	writeDelaySpread = time.Second
)

// suspectState is a router's information about one request.
type suspectState struct {
	// stored is the record in the store, and version the version of its row. If there is no row, version is zero and only the path
	// of stored is set.
	stored  Record
	version int64
	// changedAt is when this router learned of the latest change. Expiration counts from it.
	changedAt time.Time
	// pending are the crashes that the store may not have. pendingSince is when the first of them was added. From writeAt on, this
	// router writes them to the store. sharedAt is when they were last sent to other routers.
	pending      []masticway.ServerCrash
	pendingSince time.Time
	writeAt      time.Time
	sharedAt     time.Time
	// retried is the number of times that the request has run in quarantine again after a block. It may exceed the number in
	// stored, because the store may not have the latest runs.
	retried int
	// run is this router's current quarantined run. It is nil if there is none.
	run *Run
	// cleared is set if a server has served the request without crashing, so that the row must be deleted.
	cleared bool
	// isLost is set while the store lacks information that it has lost with an earlier era and that this router must write again
	// from writeAt on.
	isLost bool
	// isPart is set if the suspect is a part of prompts; partState is used for parts only.
	isPart bool
	partState
}

// record returns the stored record, combined with the information that the store may not have.
func (s *suspectState) record() Record {
	record := s.stored.WithCrashes(s.pending...)
	record.Retried = max(record.Retried, s.retried)
	if s.isPart {
		return s.partRecord(record)
	}
	return record
}

// mustWrite reports whether other routers must know the evidence. They need not know a request with a single crash during its
// answer, which is not a suspect yet.
func (s *suspectState) mustWrite() bool { return s.isPart || s.record().isSuspect() }

// runStatus reports whether the request is running in quarantine. A run of another router counts for runLease, unless a crash of
// its server is known. If the other router has not reported a result by then, unreported is the run's server.
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

// Registry holds the evidence on all requests during which servers crashed and on the parts of their prompts, and decides on them.
// It is not safe for concurrent use.
type Registry struct {
	self     masticway.Incarnation
	suspects map[masticway.SuspectID]*suspectState
	// random returns a random number from 0 to 1. It spreads the times at which routers write the same evidence.
	random func() float64
	// owns reports whether this router owns a key (see Members).
	owns func(key string) bool
}

// NewRegistry returns an empty registry.
func NewRegistry(self masticway.Incarnation, random func() float64, owns func(key string) bool) *Registry {
	return &Registry{self: self, suspects: map[masticway.SuspectID]*suspectState{}, random: random, owns: owns}
}

// Len returns the number of suspects in the registry.
func (r *Registry) Len() int { return len(r.suspects) }

// Status returns the current status of a request, regardless of the parts of its prompt.
func (r *Registry) Status(now time.Time, d masticway.SuspectID) masticway.SuspectStatus {
	state, ok := r.suspects[d]
	if !ok || state.cleared {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	record := state.record()
	s := masticway.SuspectStatus{Suspicion: masticway.SuspicionNone, Suspect: d, Crashes: record.Crashes}
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

// isProven reports whether a request is proven to crash servers: enough servers crashed during it, and the crashes while it was
// the only suspect on the server have enough weight. A crash that involved two suspects proves nothing about either.
func (r *Registry) isProven(d masticway.SuspectID, record Record) bool {
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
func (r *Registry) hasOtherSuspect(d masticway.SuspectID, server masticway.ServerIncarnation) bool {
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

// QuarantineServers returns the servers on which suspects run in quarantine. The set serious contains those that run a suspect
// during which more than one server has crashed.
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

// RecordCrash records a server crash during a request of this router. It ends the request's quarantined run on that server. If
// the registry is full, the crash may not be recorded.
func (r *Registry) RecordCrash(now time.Time, d masticway.SuspectID, path string, crash masticway.ServerCrash) {
	state := r.getOrAdd(now, d, "")
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

// Merge adds evidence from another router. It reports whether any of it was new and was recorded.
func (r *Registry) Merge(now time.Time, evidence Evidence) bool {
	var missing []masticway.ServerCrash
	state, ok := r.suspects[evidence.Suspect]
	for _, crash := range evidence.Crashes {
		if !ok || !state.record().hasCrash(crash) {
			missing = append(missing, crash)
		}
	}
	if len(missing) == 0 {
		return false
	}
	if state = r.getOrAdd(now, evidence.Suspect, evidence.Crashes[0].Workspace); state == nil {
		return false
	}
	if state.stored.Path == "" {
		state.stored.Path = evidence.Path
	}
	state.retried, state.proven = max(state.retried, evidence.Retried), state.proven || evidence.Proven
	writeAt := now.Add(minWriteDelay + time.Duration(r.random()*float64(writeDelaySpread)))
	state.addCrashes(now, writeAt, missing...)
	r.updateProof(now, evidence.Suspect, state)
	return true
}

// addCrashes adds those crashes that are not recorded yet, as ones that the store may not have. From writeAt on, this router
// writes them to the store.
func (s *suspectState) addCrashes(now, writeAt time.Time, crashes ...masticway.ServerCrash) {
	for _, crash := range crashes {
		if s.record().hasCrash(crash) {
			continue
		}
		if len(s.pending) == 0 {
			s.pendingSince, s.writeAt, s.sharedAt = now, writeAt, time.Time{}
		}
		s.learn(now, crash)
		if writeAt.Before(s.writeAt) {
			s.writeAt = writeAt
		}
		s.pending = Record{Crashes: s.pending}.WithCrashes(crash).Crashes
		s.changedAt = now
	}
}

// getOrAdd returns the state of a suspect, which is new if there was none. It returns nil if the registry is full. The workspace is
// that of the request that accuses a part of its prompt.
func (r *Registry) getOrAdd(now time.Time, d masticway.SuspectID, workspace string) *suspectState {
	if state, ok := r.suspects[d]; ok {
		return state
	}
	if d.IsPart() && !r.hasRoomForPart(now, workspace) {
		return nil
	}
	if len(r.suspects) >= maxSuspects && !r.evict() {
		return nil
	}
	state := &suspectState{changedAt: now, isPart: d.IsPart()}
	state.workspace = workspace
	r.suspects[d] = state
	return state
}

// evict removes, among the suspects with at most one crash that is evidence and no run at this router, the one whose state changed
// longest ago. It reports whether there was one.
func (r *Registry) evict() bool {
	return r.evictOldest(func(state *suspectState) bool { return len(state.record().unrefuted()) <= 1 })
}

// evictOldest removes, among the suspects that may be evicted and have no run at this router, the one whose state changed longest
// ago. It reports whether there was one.
func (r *Registry) evictOldest(mayEvict func(state *suspectState) bool) bool {
	var oldest masticway.SuspectID
	for d, state := range r.suspects {
		if state.run != nil || !mayEvict(state) {
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

// Clear records that a request was served without a crash. If the request has a row in the store, it remains in the registry
// until the row is deleted.
func (r *Registry) Clear(d masticway.SuspectID) {
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

// ApplyRow applies a row of the store, which may be deleted. It ignores a row whose version is not newer than the known one.
func (r *Registry) ApplyRow(now time.Time, row masticway.StoredRow) error {
	d := masticway.SuspectID(row.Key)
	state, known := r.suspects[d]
	if known && row.Version <= state.version {
		return nil
	}
	if row.Deleted {
		r.dropRow(d)
		return nil
	}
	if known && state.cleared && isEraEnded(state.version, row.Version) {
		// The row is from before the request was cleared.
		state.version = row.Version
		return nil
	}
	record, err := DecodeRecord(row)
	if err != nil {
		return err
	}
	workspace := ""
	if len(record.Crashes) > 0 {
		workspace = record.Crashes[0].Workspace
	}
	if state = r.getOrAdd(now, d, workspace); state == nil {
		return nil
	}
	// If this router has cleared the request, another one has added evidence since.
	state.cleared = false
	if isEraEnded(state.version, row.Version) {
		record = r.retain(now, state, record)
	}
	state.setStored(now, record, row.Version)
	r.updateProof(now, d, state)
	return nil
}

// setStored sets the record that is in the store, and drops pending crashes that it contains.
func (s *suspectState) setStored(now time.Time, record Record, version int64) {
	s.stored, s.version, s.changedAt = record, version, now
	s.pending = slices.DeleteFunc(slices.Clone(s.pending), record.hasCrash)
	for _, crash := range record.Crashes {
		s.learn(now, crash)
	}
	s.isLost = s.isLost && s.hasUnstored()
	if record.Run == nil {
		// The store has the result of this router's run.
		s.inconclusive, s.isUnsent = false, false
	}
}

// dropRow records that the store has no row for a request. It removes the request from the registry, unless this router has a run
// of it or crashes that the store may not have.
func (r *Registry) dropRow(d masticway.SuspectID) {
	state, ok := r.suspects[d]
	if !ok {
		return
	}
	if len(state.pending) == 0 && state.run == nil && !state.isLost {
		delete(r.suspects, d)
		return
	}
	state.stored, state.version, state.cleared = Record{Path: state.stored.Path}, 0, false
	if !state.record().isProvable() {
		state.provableSince = time.Time{}
	}
}

// ApplyTable applies a reading of the whole table. A known row that is missing in it has been deleted, unless it is newer than
// the reading. ApplyTable returns the errors of rows that cannot be decoded.
func (r *Registry) ApplyTable(now time.Time, reading masticway.RowReading) (errs []error) {
	present := map[masticway.SuspectID]bool{}
	for _, row := range reading.Rows {
		present[masticway.SuspectID(row.Key)] = true
		if err := r.ApplyRow(now, row); err != nil {
			errs = append(errs, err)
		}
	}
	for d, state := range r.suspects {
		if !present[d] && state.version > 0 && state.version <= reading.Version {
			r.loseRow(now, d, reading.Version)
		}
	}
	return errs
}
