package examiner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
)

const (
	// claimTimeout bounds how long a suspect waits for the store to make a run apart this router's; a store that is slower
	// counts as away, and the router goes by what it knows itself.
	claimTimeout = 250 * time.Millisecond
	// writeTimeout bounds one write of evidence, maxWriteRows the rows of one.
	writeTimeout = 600 * time.Millisecond
	maxWriteRows = 50
	// writeInterval separates two attempts at the same evidence, idleInterval two looks at what is over.
	writeInterval = 100 * time.Millisecond
	idleInterval  = time.Second
)

// Names of metrics.
const (
	metricSuspects         = "suspects"
	metricCrashes          = "server_ends_under_requests"
	metricQuarantines      = "runs_apart"
	metricLocalQuarantines = "runs_apart_without_store"
	metricProven           = "requests_proven"
	metricCleared          = "requests_cleared"
	metricWrites           = "suspect_writes"
	metricFailures         = "suspect_write_failures"
	metricShared           = "suspects_told"
	metricReceived         = "suspects_heard"
)

// Members knows the other routers.
type Members interface {
	// Owns tells whether this router is the one of all to which a key falls.
	Owns(key string) bool
}

// Parts are what an examiner is made of.
type Parts struct {
	Store    masticway.RowStore
	Messages *messenger.Client
	// Peers names the addresses of other routers.
	Peers   func() []string
	Members Members
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	Self    masticway.Incarnation
}

// Examiner carries out what Register decides.
type Examiner struct {
	Parts
	// suspectCount is the number of beliefs, read by every request.
	suspectCount atomic.Int64
	wake         chan struct{}

	mu       sync.Mutex
	registry *Registry
	changed  chan struct{}
	// provenSince are the requests that were told of as kept from servers.
	provenSince map[masticway.RequestDigest]time.Time
	// tableRead tells that the store's table has been read, first where the list of routers to tell begins.
	tableRead bool
	nextPeer  int
}

var _ masticway.Examiner = (*Examiner)(nil)

// New returns an examiner that knows no suspects.
func New(p Parts) *Examiner {
	return &Examiner{
		Parts: p, wake: make(chan struct{}, 1), registry: NewRegistry(p.Self, rand.Float64), changed: make(chan struct{}),
		provenSince: map[masticway.RequestDigest]time.Time{},
	}
}

// HasNoSuspects tells that there is no suspect.
func (e *Examiner) HasNoSuspects() bool { return e.suspectCount.Load() == 0 }

// Status returns what is believed of a request.
func (e *Examiner) Status(d masticway.RequestDigest) masticway.SuspectStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.Status(e.Clock.Now(), d)
}

// Changed returns a channel that is closed at the next change of a belief.
func (e *Examiner) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// QuarantineServers names the servers at which suspects run apart, and those of serious ones.
func (e *Examiner) QuarantineServers() (all, serious map[masticway.ServerIncarnation]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.QuarantineServers(e.Clock.Now())
}

// update changes beliefs, tells of those that have come or gone, and wakes who waits for them.
func (e *Examiner) update(change func(now time.Time)) {
	e.mu.Lock()
	now := e.Clock.Now()
	change(now)
	e.reportProven(now)
	e.suspectCount.Store(int64(e.registry.Len()))
	e.Metrics.Gauge(metricSuspects, int64(e.registry.Len()))
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// reportProven tells of the requests that are kept from servers from now on, and of those that are not any more.
func (e *Examiner) reportProven(now time.Time) {
	for d, state := range e.registry.suspects {
		if _, reported := e.provenSince[d]; reported || len(state.stored.Crashes)+len(state.pending) < minCrashesToProve {
			continue
		}
		s := e.registry.Status(now, d)
		if s.Suspicion != masticway.SuspicionProven {
			continue
		}
		e.provenSince[d] = now
		e.Metrics.Add(metricProven, 1)
		e.Log.WithFields(logrus.Fields{
			"event": "request_proven", "digest": d, "path": state.stored.Path, "ends": len(s.Crashes), "servers": s.Crashes, "for_ms": s.Remaining.Milliseconds(),
			"row_version": state.version,
		}).Warn("servers end under a request; it is not sent to any")
	}
	for d, since := range e.provenSince {
		s := e.registry.Status(now, d)
		if s.Suspicion == masticway.SuspicionProven {
			continue
		}
		delete(e.provenSince, d)
		e.Log.WithFields(logrus.Fields{
			"event": "request_no_longer_proven", "digest": d, "suspicion": s.Suspicion, "after_ms": now.Sub(since).Milliseconds(),
		}).Info("a request may be sent to servers again")
	}
}

// ReportCrash notes the end of a server under a request.
func (e *Examiner) ReportCrash(d masticway.RequestDigest, path string, crash masticway.ServerCrash) {
	e.Metrics.Add(metricCrashes, 1)
	e.update(func(now time.Time) { e.registry.RecordCrash(now, d, path, crash) })
}

// Clear notes that a server served a suspect well.
func (e *Examiner) Clear(d masticway.RequestDigest) {
	e.Metrics.Add(metricCleared, 1)
	e.update(func(time.Time) { e.registry.Clear(d) })
}

// Release ends a run apart that told nothing.
func (e *Examiner) Release(d masticway.RequestDigest) {
	e.update(func(time.Time) { e.registry.Release(d) })
}

// Claim makes a run apart this router's. Where the store doesn't answer, it goes by what this router knows.
func (e *Examiner) Claim(ctx context.Context, d masticway.RequestDigest, server masticway.ServerIncarnation) bool {
	var c change
	var ok bool
	e.update(func(now time.Time) {
		c.digest = d
		c.record, c.version, ok = e.registry.Claim(now, d, server)
	})
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := e.write(ctx, []change{c})
	if _, conflict := errors.AsType[*masticway.RowConflictError](err); conflict {
		e.update(func(time.Time) { e.registry.Release(d) })
		return false
	}
	e.Metrics.Add(metricQuarantines, 1)
	if err != nil {
		e.Metrics.Add(metricLocalQuarantines, 1)
	}
	e.Log.WithFields(logrus.Fields{
		"event": "run_apart", "digest": d, "path": c.record.Path, "server": server, "ends": len(c.record.Crashes), "row_version": c.version, "error": err,
	}).Info("a suspect runs apart")
	return true
}

// write changes rows and takes what comes of it; it fails with the store's errors.
func (e *Examiner) write(ctx context.Context, changes []change) error {
	w := masticway.RowWrite{}
	for _, c := range changes {
		key := masticway.RowKey{Table: Table, Part: Part, Key: string(c.digest)}
		w.Expected = append(w.Expected, masticway.RowVersion{RowKey: key, Version: c.version})
		if c.deleted {
			w.Deletes = append(w.Deletes, key)
			continue
		}
		w.Puts = append(w.Puts, masticway.RowPut{RowKey: key, Value: c.record.encode()})
	}
	e.Metrics.Add(metricWrites, 1)
	reading, err := e.Store.Write(ctx, w)
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		e.update(func(now time.Time) { e.logErrors(e.registry.ApplyConflict(now, changes, conflict.Rows)) })
		return err
	}
	if err != nil {
		e.Metrics.Add(metricFailures, 1)
		return err
	}
	e.update(func(now time.Time) {
		for _, c := range changes {
			e.registry.ApplyWrite(now, c, reading.Version)
		}
	})
	return nil
}

// Take takes a reading of the store's table; a whole one has all its rows.
func (e *Examiner) Take(whole bool, reading masticway.RowReading) {
	if !whole && len(reading.Rows) == 0 {
		return
	}
	e.update(func(now time.Time) {
		e.tableRead = e.tableRead || whole
		if whole {
			e.logErrors(e.registry.ApplyTable(now, reading))
			return
		}
		for _, row := range reading.Rows {
			if err := e.registry.ApplyRow(now, row); err != nil {
				e.logErrors([]error{err})
			}
		}
	})
}

func (e *Examiner) logErrors(errs []error) {
	for _, err := range errs {
		e.Log.WithFields(logrus.Fields{"event": "suspect_unreadable", "error": err}).Warn("suspect not taken")
	}
}

// Run writes evidence, tells other routers of what the store does not take, and ends beliefs, until the context ends.
func (e *Examiner) Run(ctx context.Context) {
	e.fetchFromPeers(ctx)
	for ctx.Err() == nil {
		pause := idleInterval
		if e.runOnce(ctx) {
			pause = writeInterval
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.Clock.After(pause):
		}
	}
}

// runOnce does what is due and tells whether something is left to do.
func (e *Examiner) runOnce(ctx context.Context) bool {
	if e.HasNoSuspects() {
		return false
	}
	var due, expired []change
	var unshared []Entry
	e.mu.Lock()
	now := e.Clock.Now()
	due = e.registry.DueChanges(now, maxWriteRows)
	if len(due) == 0 {
		expired = e.registry.ExpiredChanges(now, e.Members.Owns)
	}
	unshared = e.registry.Unshared(now)
	e.mu.Unlock()
	failed := false
	for _, changes := range [][]change{due, expired} {
		if len(changes) == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, writeTimeout)
		failed = e.write(bounded, changes[:min(len(changes), maxWriteRows)]) != nil || failed
		cancel()
	}
	if len(unshared) > 0 {
		e.share(ctx, unshared)
	}
	if failed {
		// A store that is away is not asked without a pause, whatever else stirs.
		select {
		case <-ctx.Done():
		case <-e.Clock.After(writeInterval):
		}
	}
	return failed || len(due) > 0
}
