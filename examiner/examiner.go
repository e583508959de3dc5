package examiner

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
)

const (
	// claimTimeout is the timeout of the write that reserves a quarantined run in the store. If it passes, the store is
	// considered unavailable, and the router acts on its own information.
	claimTimeout = 250 * time.Millisecond
	// writeTimeout is the timeout of one write of evidence, and maxWriteRows the maximum number of rows in one write.
	writeTimeout = 600 * time.Millisecond
	maxWriteRows = 50
	// writeInterval is the pause after a failed write. It is also the maximum pause between two calls of runOnce if the first of
	// them had evidence to write. Otherwise the maximum pause is idleInterval.
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
	metricPartCrashes      = "server_ends_under_parts"
	metricPartsProven      = "parts_proven"
	metricPartsRefuted     = "parts_answered"
	metricShared           = "suspects_told"
	metricReceived         = "suspects_heard"
)

// Members provides the membership of the routers.
type Members interface {
	// OwnsKey reports whether this router owns a key. Routers that know the same routers agree on the owner.
	OwnsKey(key string) bool
}

// Dependencies holds the dependencies of an examiner.
type Dependencies struct {
	Store    masticway.RowStore
	Messages *messenger.Client
	// Peers returns the addresses of other routers.
	Peers   func() []string
	Members Members
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
	Self    masticway.Incarnation
}

// Examiner applies the decisions of Registry, and exchanges evidence with the store and other routers.
type Examiner struct {
	Dependencies
	// suspectCount is the number of suspects in the registry. Every request reads it, and needs no lock if it is zero.
	suspectCount atomic.Int64
	wake         chan struct{}

	mu       sync.Mutex
	registry *Registry
	changed  chan struct{}
	// provenSince holds the suspects that have been logged as proven to crash servers, and when each was logged.
	provenSince map[masticway.SuspectID]time.Time
	// tableRead is set once the store's table has been read. nextPeer is the index, in the list of peers, of the peer that is
	// contacted next.
	tableRead bool
	nextPeer  int
}

var _ masticway.Examiner = (*Examiner)(nil)

// New returns an examiner without suspects.
func New(p Dependencies) *Examiner {
	return &Examiner{
		Dependencies: p, wake: make(chan struct{}, 1), registry: NewRegistry(p.Self, rand.Float64, p.Members.OwnsKey), changed: make(chan struct{}),
		provenSince: map[masticway.SuspectID]time.Time{},
	}
}

// HasNoSuspects reports whether the registry is empty: this router knows of no server crash during any request.
func (e *Examiner) HasNoSuspects() bool { return e.suspectCount.Load() == 0 }

// Status returns the current status of a request.
func (e *Examiner) Status(s masticway.Suspects) masticway.SuspectStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.StatusOf(e.Clock.Now(), s)
}

// Changed returns a channel that is closed at the next change of the registry. The status of a request may also change because
// time passes; the channel does not signal this.
func (e *Examiner) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// QuarantineServers returns the servers on which suspects run in quarantine. The set serious contains those that run a suspect
// during which more than one server has crashed.
func (e *Examiner) QuarantineServers() (all, serious map[masticway.ServerIncarnation]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.QuarantineServers(e.Clock.Now())
}

// update calls change, which may modify the registry, with the lock held. It logs the requests that become proven or cease to be,
// and wakes Run and the goroutines that wait for the channel of Changed.
func (e *Examiner) update(change func(now time.Time)) {
	e.mu.Lock()
	now := e.Clock.Now()
	change(now)
	e.logProven(now)
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

// logProven logs the suspects that have become proven since its last call, and those that are no longer proven. The caller must
// hold the lock.
func (e *Examiner) logProven(now time.Time) {
	for d, state := range e.registry.suspects {
		if _, reported := e.provenSince[d]; reported || len(state.stored.Crashes)+len(state.pending) < minCrashesToProve || !e.registry.isBlocked(now, d, state) {
			continue
		}
		e.provenSince[d] = now
		event, message, metric := "request_proven", "a request crashes servers and is not sent to any", metricProven
		if state.isPart {
			event, message, metric = "part_proven", "a part of prompts crashes servers, and requests with it are not sent to any", metricPartsProven
		}
		record := state.record()
		e.Metrics.Add(metric, 1)
		e.Log.WithFields(logrus.Fields{
			"event": event, "digest": d, "path": state.stored.Path, "ends": len(record.Crashes), "servers": record.Crashes,
			"retried": record.Retried, "row_version": state.version,
		}).Warn(message)
	}
	for d, since := range e.provenSince {
		state, ok := e.registry.suspects[d]
		if ok && e.registry.isBlocked(now, d, state) {
			continue
		}
		delete(e.provenSince, d)
		event := "request_no_longer_proven"
		if d.IsPart() {
			event = "part_no_longer_proven"
		}
		e.Log.WithFields(logrus.Fields{"event": event, "digest": d, "known": ok, "after_ms": now.Sub(since).Milliseconds()}).Info("a suspect may be sent to servers again")
	}
}

// ReportCrash records a server crash during a request that was sent to the server at the given time.
func (e *Examiner) ReportCrash(s masticway.Suspects, crash masticway.ServerCrash, sentAt time.Time) {
	e.Metrics.Add(metricCrashes, 1)
	e.Metrics.Add(metricPartCrashes, int64(len(s.Parts)))
	e.update(func(now time.Time) {
		e.registry.RecordCrash(now, s.Request, s.Path, crash)
		for _, part := range s.Parts {
			e.registry.RecordPartCrash(now, part, s, crash, sentAt)
		}
	})
}

// Clear records that a server has served a request without crashing. If the request has a row in the store, Run deletes it later.
func (e *Examiner) Clear(s masticway.Suspects) {
	e.Metrics.Add(metricCleared, 1)
	e.update(func(time.Time) { e.registry.Clear(s.Request) })
}

// RecordAnswer records that a server began to answer a request at the given time and has not crashed since.
func (e *Examiner) RecordAnswer(s masticway.Suspects, begunAt time.Time) {
	e.mu.Lock()
	accused := slices.DeleteFunc(slices.Clone(s.Parts), func(part masticway.SuspectPart) bool { return !e.registry.IsAccused(part.ID) })
	e.mu.Unlock()
	if len(accused) == 0 {
		return
	}
	e.Metrics.Add(metricPartsRefuted, int64(len(accused)))
	e.update(func(now time.Time) {
		for _, part := range accused {
			e.registry.RefutePart(now, part.ID, s.Pool, begunAt)
		}
	})
}

// Release records that this router's quarantined run of a suspect is over and gave no evidence. The caller must check that the
// run gave neither a crash nor a complete answer. isUnsent must be set if the request was not sent to the server.
func (e *Examiner) Release(s masticway.Suspects, isUnsent bool) {
	e.update(func(time.Time) {
		e.registry.Release(s.Request)
		for _, part := range s.Parts {
			e.registry.ReleasePart(part.ID, isUnsent)
		}
	})
}

// Claim reserves a run in quarantine for this router. It writes the reservation to the store, and may block up to claimTimeout.
// If the store fails or does not reply in time, the router acts on its own information, unless the request has a part that is
// proven to crash servers: each router could then run one. Claim returns false if the request must not run in quarantine now, or
// if another router has changed a suspect's row in the store.
func (e *Examiner) Claim(ctx context.Context, s masticway.Suspects, server masticway.ServerIncarnation) bool {
	var changes []change
	var ok bool
	e.update(func(now time.Time) { changes, ok = e.registry.ClaimAll(now, s, server) })
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := e.write(ctx, changes)
	_, conflict := errors.AsType[*masticway.RowConflictError](err)
	hasPart := slices.ContainsFunc(changes, func(c change) bool { return c.suspect.IsPart() })
	if conflict || err != nil && hasPart {
		e.update(func(now time.Time) {
			for _, c := range changes {
				e.registry.DropClaim(now, c.suspect)
			}
		})
		return false
	}
	e.Metrics.Add(metricQuarantines, 1)
	if err != nil {
		e.Metrics.Add(metricLocalQuarantines, 1)
	}
	for _, c := range changes {
		e.Log.WithFields(logrus.Fields{
			"event": "run_apart", "digest": c.suspect, "path": c.record.Path, "server": server, "ends": len(c.record.Crashes), "row_version": c.version, "error": err,
		}).Info("a suspect runs in quarantine")
	}
	return true
}

// write writes changes to the store and applies the result to the registry. It returns the store's errors.
func (e *Examiner) write(ctx context.Context, changes []change) error {
	w := masticway.RowWrite{}
	for _, c := range changes {
		key := masticway.RowKey{Table: Table, Part: Part, Key: string(c.suspect)}
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
		e.update(func(now time.Time) {
			e.logErrors(e.registry.ApplyConflict(now, changes, conflict.Rows, conflict.Version))
		})
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

// ApplyReading applies a reading of the store's table. If whole is set, the reading contains all rows.
func (e *Examiner) ApplyReading(whole bool, reading masticway.RowReading) {
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
		e.Log.WithFields(logrus.Fields{"event": "suspect_unreadable", "error": err}).Warn("cannot decode a suspect")
	}
}

// Run first fetches the evidence that another router has. Until the context ends, it then writes evidence to the store, sends
// other routers the evidence that the store has not accepted in time, and removes expired suspects.
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

// runOnce performs the work that is due. It reports whether a write has failed or there is more to write soon.
func (e *Examiner) runOnce(ctx context.Context) bool {
	if e.HasNoSuspects() {
		return false
	}
	var due, expired []change
	var unshared []Evidence
	e.mu.Lock()
	now := e.Clock.Now()
	due = e.registry.DueChanges(now, maxWriteRows)
	if len(due) == 0 {
		expired = e.registry.ExpiredChanges(now, e.Members.OwnsKey)
	}
	unshared = e.registry.Unshared(now)
	hasPending := e.registry.HasPending()
	e.mu.Unlock()
	failed := false
	// A conflict about a popular part must not hold up the evidence on requests.
	parts, requests := splitParts(due)
	for _, changes := range [][]change{requests, parts, expired} {
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
		// An unavailable store is not called again without a pause, even if wake is signaled.
		select {
		case <-ctx.Done():
		case <-e.Clock.After(writeInterval):
		}
	}
	return failed || len(due) > 0 || hasPending
}
