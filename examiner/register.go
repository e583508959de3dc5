package examiner

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// firstBlockTime is how long a request at fault is kept from servers at first: where these end under whatever they run, all
	// requests look at fault, and are to be served soon after the servers are mended. It runs apart once more then, and is
	// kept away for repeatBlockTime if a server ends under it, for twice as long each further time, up to maxBlockTime.
	firstBlockTime  = 30 * time.Second
	repeatBlockTime = 10 * time.Minute
	maxBlockTime    = 6 * time.Hour
	// maxDoublings is how often the time doubles at most.
	maxDoublings = 10
	// suspectTTL is how long a request stays a suspect after the last word of it.
	suspectTTL = 2 * time.Minute
	// runLease is how long a run apart keeps others waiting of which nothing is heard: a server that ends under a request does
	// so soon after it has begun, and its router may have died with it.
	runLease = 1500 * time.Millisecond
	// maxEvidenceDelay is how long other routers' evidence may take to arrive that another suspect ran at the same server, which
	// both of them took to be free; a few times what a change of the store takes to reach all.
	maxEvidenceDelay = 300 * time.Millisecond
	// maxSuspects bounds the requests that are remembered; the least suspected goes first.
	maxSuspects = 1000
	// minWriteDelay is how long evidence that another router told is left to that one to write.
	minWriteDelay    = 500 * time.Millisecond
	writeDelaySpread = time.Second
)

// suspectState is what a router believes of one request.
type suspectState struct {
	// stored is the store's record at a version; zero where it has none.
	stored  Record
	version int64
	// changedAt is when this router learnt of the newest change, by which beliefs end.
	changedAt time.Time
	// pending are ends that the store is not known to have, since when, and from when on this router writes them.
	pending      []masticway.ServerCrash
	pendingSince time.Time
	writeAt      time.Time
	sharedAt     time.Time
	// retried is how often it has run apart again after it had been kept from servers, as far as this router knows without
	// the store.
	retried int
	// run is this router's run apart.
	run *Run
	// cleared tells that the row is to go.
	cleared bool
}

// record is the store's record with what it does not have yet.
func (state *suspectState) record() Record {
	record := state.stored.WithCrashes(state.pending...)
	record.Retried = max(record.Retried, state.retried)
	return record
}

// runStatus tells that the request runs apart at a time, and unreported where it did so for too long.
func (state *suspectState) runStatus(now time.Time) (running bool, unreported masticway.ServerIncarnation) {
	if state.run != nil {
		return true, ""
	}
	if state.stored.Run == nil || state.record().hasCrashOf(state.stored.Run.Server) {
		return false, ""
	}
	if now.Sub(state.changedAt) < runLease {
		return true, ""
	}
	return false, state.stored.Run.Server
}

// Registry holds beliefs about requests and decides on them; it is not safe for concurrent use.
type Registry struct {
	self     masticway.Incarnation
	suspects map[masticway.RequestDigest]*suspectState
	// random draws a number from 0 to 1, by which routers do not all write the same evidence at once.
	random func() float64
}

// NewRegistry returns a register without beliefs.
func NewRegistry(self masticway.Incarnation, random func() float64) *Registry {
	return &Registry{self: self, suspects: map[masticway.RequestDigest]*suspectState{}, random: random}
}

// Len returns how many requests there are beliefs about.
func (r *Registry) Len() int { return len(r.suspects) }

// Status returns what is believed of a request.
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
		// Until then it runs nowhere.
		s.Running = true
		return s
	}
	s.Suspicion, s.Remaining = masticway.SuspicionProven, left
	return s
}

// blockTime is how long a request is kept from servers.
func blockTime(record Record) time.Duration {
	if record.Retried == 0 {
		return firstBlockTime
	}
	return min(maxBlockTime, repeatBlockTime<<min(maxDoublings, record.Retried-1))
}

// isProven tells that a request is at fault: enough servers ended under it while it was the only suspect there. Ends that
// another suspect shared prove nothing of either.
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

// hasOtherSuspect tells that a server ended under another suspect's run apart as well.
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

// QuarantineServers names the servers at which suspects run apart, and those of serious ones.
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

// RecordCrash notes the end of a server under a request at this router; it ends a run apart.
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

// Merge takes what another router tells of a request. It tells whether that was new.
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

// addCrashes takes ends that the store is not known to have.
func (state *suspectState) addCrashes(now, writeAt time.Time, crashes ...masticway.ServerCrash) {
	for _, crash := range crashes {
		if state.record().hasCrash(crash) {
			continue
		}
		if len(state.pending) == 0 {
			state.pendingSince, state.writeAt, state.sharedAt = now, writeAt, time.Time{}
		}
		if writeAt.Before(state.writeAt) {
			state.writeAt = writeAt
		}
		state.pending = Record{Crashes: state.pending}.WithCrashes(crash).Crashes
		state.changedAt = now
	}
}

// getOrAdd returns the belief about a request, a new one where there was none; nil where there is no room for it.
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

// evict forgets the least suspected request of which no more than one end is known, the one without news for longest.
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

// Claim begins a run apart and returns the record that makes it this router's and the version that it replaces. It is not
// to run where another run is under way or there is nothing to find out.
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

// Release ends this router's run apart without a finding.
func (r *Registry) Release(d masticway.RequestDigest) {
	if state, ok := r.suspects[d]; ok {
		state.run = nil
	}
}

// Clear notes that a request was served well.
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

// ApplyRow takes a row of the store, or its end.
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
	// Another router knows more since this one cleared it.
	state.cleared = false
	state.setStored(now, record, row.Version)
	return nil
}

// setStored takes the record that the store has now.
func (state *suspectState) setStored(now time.Time, record Record, version int64) {
	state.stored, state.version, state.changedAt = record, version, now
	state.pending = slices.DeleteFunc(slices.Clone(state.pending), record.hasCrash)
}

// dropRow notes that the store has no row of a request.
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

// ApplyTable takes a reading of the whole table: what it leaves out is gone.
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
