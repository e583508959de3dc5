package examiner

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// provenFirst is how long a request at fault is kept from servers at first: where these end under whatever they run, all
	// requests look at fault, and are to be served soon after the servers are mended. It runs apart once more then, and is
	// kept away for provenAgain if a server ends under it, for twice as long each further time, up to provenMost.
	provenFirst = 30 * time.Second
	provenAgain = 10 * time.Minute
	provenMost  = 6 * time.Hour
	// retriedCounted is how often the time doubles at most.
	retriedCounted = 10
	// suspectLife is how long a request stays a suspect after the last word of it.
	suspectLife = 2 * time.Minute
	// runLease is how long a run apart keeps others waiting of which nothing is heard: a server that ends under a request does
	// so soon after it has begun, and its router may have died with it.
	runLease = 1500 * time.Millisecond
	// settleTime is how long other routers' evidence may take to arrive that another suspect ran at the same server, which
	// both of them took to be free; a few times what a change of the store takes to reach all.
	settleTime = 300 * time.Millisecond
	// beliefsMost bounds the requests that are remembered; the least suspected goes first.
	beliefsMost = 1000
	// laterLeast is how long evidence that another router told is left to that one to write.
	laterLeast = 500 * time.Millisecond
	laterSpan  = time.Second
)

// belief is what a router believes of one request.
type belief struct {
	// row is the store's record at a version; zero where it has none.
	row     Record
	version int64
	// since is when this router learnt of the newest change, by which beliefs end.
	since time.Time
	// own are ends that the store is not known to have, since when, and from when on this router writes them.
	own    []masticway.ServerCrash
	ownAt  time.Time
	due    time.Time
	toldAt time.Time
	// retried is how often it has run apart again after it had been kept from servers, as far as this router knows without
	// the store.
	retried int
	// run is this router's run apart.
	run *Run
	// cleared tells that the row is to go.
	cleared bool
}

// record is the store's record with what it does not have yet.
func (b *belief) record() Record {
	record := b.row.WithEnds(b.own...)
	record.Retried = max(record.Retried, b.retried)
	return record
}

// running tells that the request runs apart at a time, and unreported where it did so for too long.
func (b *belief) running(now time.Time) (running bool, unreported masticway.ServerIncarnation) {
	if b.run != nil {
		return true, ""
	}
	if b.row.Run == nil || b.record().endedAt(b.row.Run.Server) {
		return false, ""
	}
	if now.Sub(b.since) < runLease {
		return true, ""
	}
	return false, b.row.Run.Server
}

// Register holds beliefs about requests and decides on them; it is not safe for concurrent use.
type Register struct {
	self    masticway.Incarnation
	beliefs map[masticway.RequestDigest]*belief
	// spread draws a number from 0 to 1, by which routers do not all write the same evidence at once.
	spread func() float64
}

// NewRegister returns a register without beliefs.
func NewRegister(self masticway.Incarnation, spread func() float64) *Register {
	return &Register{self: self, beliefs: map[masticway.RequestDigest]*belief{}, spread: spread}
}

// Len returns how many requests there are beliefs about.
func (r *Register) Len() int { return len(r.beliefs) }

// Standing returns what is believed of a request.
func (r *Register) Standing(now time.Time, d masticway.RequestDigest) masticway.SuspectStatus {
	b, ok := r.beliefs[d]
	if !ok || b.cleared {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	record := b.record()
	s := masticway.SuspectStatus{Suspicion: masticway.SuspicionNone, Crashes: record.Ends}
	s.Running, s.UnreportedServer = b.running(now)
	if !record.suspect() {
		return s
	}
	s.Suspicion = masticway.SuspicionQuarantined
	left := b.since.Add(provenFor(record)).Sub(now)
	if left <= 0 || !r.proven(d, record) {
		return s
	}
	if now.Sub(b.since) < settleTime {
		// Until then it runs nowhere.
		s.Running = true
		return s
	}
	s.Suspicion, s.Remaining = masticway.SuspicionProven, left
	return s
}

// provenFor is how long a request is kept from servers.
func provenFor(record Record) time.Duration {
	if record.Retried == 0 {
		return provenFirst
	}
	return min(provenMost, provenAgain<<min(retriedCounted, record.Retried-1))
}

// proven tells that a request is at fault: enough servers ended under it while it was the only suspect there. Ends that
// another suspect shared prove nothing of either.
func (r *Register) proven(d masticway.RequestDigest, record Record) bool {
	if len(record.Ends) < endsToProve {
		return false
	}
	weight := 0
	for _, end := range record.Ends {
		if end.Quarantined && !r.shared(d, end.Server) {
			weight += weightOf(end)
		}
	}
	return weight >= weightToProve
}

// shared tells that a server ended under another suspect's run apart as well.
func (r *Register) shared(d masticway.RequestDigest, server masticway.ServerIncarnation) bool {
	for other, b := range r.beliefs {
		if other == d || b.cleared {
			continue
		}
		if slices.ContainsFunc(b.record().Ends, func(e masticway.ServerCrash) bool { return e.Quarantined && e.Server == server }) {
			return true
		}
	}
	return false
}

// Occupied names the servers at which suspects run apart, and those of serious ones.
func (r *Register) Occupied(now time.Time) (all, serious map[masticway.ServerIncarnation]bool) {
	all, serious = map[masticway.ServerIncarnation]bool{}, map[masticway.ServerIncarnation]bool{}
	for _, b := range r.beliefs {
		if running, _ := b.running(now); !running {
			continue
		}
		run := b.run
		if run == nil {
			run = b.row.Run
		}
		all[run.Server] = true
		if b.record().serious() {
			serious[run.Server] = true
		}
	}
	return all, serious
}

// Ended notes the end of a server under a request at this router; it ends a run apart.
func (r *Register) Ended(now time.Time, d masticway.RequestDigest, path string, end masticway.ServerCrash) {
	b := r.believe(now, d)
	if b == nil {
		return
	}
	b.row.Path = path
	b.cleared = false
	if b.run != nil && b.run.Server == end.Server {
		b.run = nil
	}
	b.add(now, now, end)
}

// Heard takes what another router tells of a request. It tells whether that was new.
func (r *Register) Heard(now time.Time, told Entry) bool {
	var unknown []masticway.ServerCrash
	b, ok := r.beliefs[told.Digest]
	for _, end := range told.Ends {
		if !ok || !b.record().has(end) {
			unknown = append(unknown, end)
		}
	}
	if len(unknown) == 0 {
		return false
	}
	if b = r.believe(now, told.Digest); b == nil {
		return false
	}
	if b.row.Path == "" {
		b.row.Path = told.Path
	}
	b.retried = max(b.retried, told.Retried)
	due := now.Add(laterLeast + time.Duration(r.spread()*float64(laterSpan)))
	b.add(now, due, unknown...)
	return true
}

// add takes ends that the store is not known to have.
func (b *belief) add(now, due time.Time, ends ...masticway.ServerCrash) {
	for _, end := range ends {
		if b.record().has(end) {
			continue
		}
		if len(b.own) == 0 {
			b.ownAt, b.due, b.toldAt = now, due, time.Time{}
		}
		if due.Before(b.due) {
			b.due = due
		}
		b.own = Record{Ends: b.own}.WithEnds(end).Ends
		b.since = now
	}
}

// believe returns the belief about a request, a new one where there was none; nil where there is no room for it.
func (r *Register) believe(now time.Time, d masticway.RequestDigest) *belief {
	if b, ok := r.beliefs[d]; ok {
		return b
	}
	if len(r.beliefs) >= beliefsMost && !r.makeRoom() {
		return nil
	}
	b := &belief{since: now}
	r.beliefs[d] = b
	return b
}

// makeRoom forgets the least suspected request of which no more than one end is known, the one without news for longest.
func (r *Register) makeRoom() bool {
	var least masticway.RequestDigest
	for d, b := range r.beliefs {
		if b.record().serious() || b.run != nil {
			continue
		}
		if least == "" || b.since.Before(r.beliefs[least].since) {
			least = d
		}
	}
	if least == "" {
		return false
	}
	delete(r.beliefs, least)
	return true
}

// Claim begins a run apart and returns the record that makes it this router's and the version that it replaces. It is not
// to run where another run is under way or there is nothing to find out.
func (r *Register) Claim(now time.Time, d masticway.RequestDigest, server masticway.ServerIncarnation) (record Record, version int64, ok bool) {
	s := r.Standing(now, d)
	if s.Suspicion != masticway.SuspicionQuarantined || s.Running {
		return Record{}, 0, false
	}
	b := r.beliefs[d]
	b.run = &Run{Router: r.self, Server: server}
	record = b.record().WithRun(b.run)
	if r.proven(d, record) {
		record.Retried++
		b.retried = record.Retried
	}
	return record, b.version, true
}

// Released ends this router's run apart without a finding.
func (r *Register) Released(d masticway.RequestDigest) {
	if b, ok := r.beliefs[d]; ok {
		b.run = nil
	}
}

// Cleared notes that a request was served well.
func (r *Register) Cleared(d masticway.RequestDigest) {
	b, ok := r.beliefs[d]
	if !ok {
		return
	}
	if b.version == 0 {
		delete(r.beliefs, d)
		return
	}
	b.run, b.own, b.cleared = nil, nil, true
}

// Learn takes a row of the store, or its end.
func (r *Register) Learn(now time.Time, row masticway.StoredRow) error {
	d := masticway.RequestDigest(row.Key)
	b, known := r.beliefs[d]
	if known && row.Version <= b.version {
		return nil
	}
	if row.Deleted {
		r.lost(d)
		return nil
	}
	record, err := ReadRecord(row)
	if err != nil {
		return err
	}
	if b = r.believe(now, d); b == nil {
		return nil
	}
	// Another router knows more since this one cleared it.
	b.cleared = false
	b.set(now, record, row.Version)
	return nil
}

// set takes the record that the store has now.
func (b *belief) set(now time.Time, record Record, version int64) {
	b.row, b.version, b.since = record, version, now
	b.own = slices.DeleteFunc(slices.Clone(b.own), record.has)
}

// lost notes that the store has no row of a request.
func (r *Register) lost(d masticway.RequestDigest) {
	b, ok := r.beliefs[d]
	if !ok {
		return
	}
	if len(b.own) == 0 && b.run == nil {
		delete(r.beliefs, d)
		return
	}
	b.row, b.version, b.cleared = Record{Path: b.row.Path}, 0, false
}

// Listed takes a reading of the whole table: what it leaves out is gone.
func (r *Register) Listed(now time.Time, reading masticway.RowReading) (faults []error) {
	present := map[masticway.RequestDigest]bool{}
	for _, row := range reading.Rows {
		present[masticway.RequestDigest(row.Key)] = true
		if err := r.Learn(now, row); err != nil {
			faults = append(faults, err)
		}
	}
	for d, b := range r.beliefs {
		if !present[d] && b.version > 0 && b.version <= reading.Version {
			r.lost(d)
		}
	}
	return faults
}
