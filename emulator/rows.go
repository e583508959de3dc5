package emulator

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// RowFaults are the faults that can be injected into a row store.
type RowFaults struct {
	// Unavailable fails every call, with status 503 over HTTP, without executing it.
	Unavailable bool
	// Unresponsive blocks every call until its context is done, without executing it.
	Unresponsive bool
	// Delay is how long every call waits before it is executed.
	Delay time.Duration
	// DropAnswers is the number of writes that are executed as usual but get no answer.
	DropAnswers int
	// LateWrites is the number of writes that get no answer and are executed only after LateWriteDelay. Expected versions
	// are compared at that time.
	LateWrites     int
	LateWriteDelay time.Duration
}

// RowStore is an in-memory row store.
type RowStore struct {
	mu      sync.Mutex
	rows    map[masticway.RowKey]masticway.StoredRow
	history []masticway.StoredRow // the changes since version compacted, in order
	version int64                 // the version of the last commit, in the current era
	// compacted is the version up to which the history has been discarded.
	compacted int64
	// returnedAt is the version at which the store returned from a copy, zero if it has not.
	returnedAt int64
	faults     RowFaults
	started    time.Time
	now        func() time.Time
	changed    chan struct{} // closed and replaced at each commit or compaction
	// pendingLateWrites is the number of late writes (RowFaults.LateWrites) that have not been executed yet.
	pendingLateWrites int
}

var _ masticway.RowStore = (*RowStore)(nil)

// NewRowStore returns an empty row store. It takes its store time from the clock now.
func NewRowStore(now func() time.Time) *RowStore {
	return &RowStore{rows: map[masticway.RowKey]masticway.StoredRow{}, started: now(), now: now, changed: make(chan struct{})}
}

// RowCopy is a copy of a row store at one moment.
type RowCopy struct {
	rows      map[masticway.RowKey]masticway.StoredRow
	history   []masticway.StoredRow
	version   int64
	compacted int64
	storeTime time.Duration
}

// Copy returns a copy of the store.
func (s *RowStore) Copy() RowCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RowCopy{
		rows: maps.Clone(s.rows), history: slices.Clone(s.history), version: s.version, compacted: s.compacted, storeTime: s.reading().StoreTime,
	}
}

// Return makes the store return from a copy of an earlier state and begins its next era. All commits since the copy are lost,
// their version numbers are given out again, and the store's clock goes back.
func (s *RowStore) Return(c RowCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := masticway.StoreEra(s.version) + 1
	inEra := func(version int64) int64 { return masticway.NewStoreVersion(era, masticway.StoreNumber(version)) }
	s.rows, s.history = map[masticway.RowKey]masticway.StoredRow{}, nil
	for key, r := range c.rows {
		r.Version = inEra(r.Version)
		s.rows[key] = r
	}
	for _, r := range c.history {
		r.Version = inEra(r.Version)
		s.history = append(s.history, r)
	}
	s.version, s.compacted, s.returnedAt, s.started = inEra(c.version), inEra(c.compacted), inEra(c.version), s.now().Add(-c.storeTime)
	s.notifyWatchers()
}

// Rewrite writes again, on behalf of operators and servers, how the rows of some tables were in an earlier state, as far as they
// have not been written since the store returned. It is to be called after Return, with a copy that was made just before.
func (s *RowStore) Rewrite(before RowCopy, tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, lost := range before.rows {
		if now, ok := s.rows[key]; slices.Contains(tables, key.Table) && !s.isWrittenSinceReturn(key) && (!ok || !bytes.Equal(now.Value, lost.Value)) {
			s.commit(masticway.RowWrite{Puts: []masticway.RowPut{{RowKey: key, Value: lost.Value}}})
		}
	}
	for key := range maps.Clone(s.rows) {
		if _, ok := before.rows[key]; slices.Contains(tables, key.Table) && !s.isWrittenSinceReturn(key) && !ok {
			s.commit(masticway.RowWrite{Deletes: []masticway.RowKey{key}})
		}
	}
}

// isWrittenSinceReturn reports whether a row was written or deleted in the current era.
func (s *RowStore) isWrittenSinceReturn(key masticway.RowKey) bool {
	return slices.ContainsFunc(s.history, func(r masticway.StoredRow) bool { return r.RowKey == key && r.Version > s.returnedAt })
}

// currentVersion returns the version of the last commit.
func (s *RowStore) currentVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// SetFaults replaces the store's faults.
func (s *RowStore) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put writes a row on behalf of an operator or server, regardless of the faults, and returns the new version.
func (s *RowStore) Put(key masticway.RowKey, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(masticway.RowWrite{Puts: []masticway.RowPut{{RowKey: key, Value: value}}})
	return s.version
}

// Delete removes a row on behalf of an operator or server, regardless of the faults.
func (s *RowStore) Delete(key masticway.RowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(masticway.RowWrite{Deletes: []masticway.RowKey{key}})
}

// Row returns a row regardless of the faults. If the row does not exist, the result has version zero.
func (s *RowStore) Row(key masticway.RowKey) masticway.StoredRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[key]; ok {
		return r
	}
	return masticway.StoredRow{RowKey: key}
}

// Compact discards the history. Calls of Watch since an earlier version then fail, including those that already wait.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
	s.history = nil
	s.notifyWatchers()
}

// AwaitLateWrites waits until all late writes (RowFaults.LateWrites) have been executed or have failed.
func (s *RowStore) AwaitLateWrites() {
	for s.pendingWrites() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func (s *RowStore) pendingWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingLateWrites
}

// Read returns the rows of one part (partition) of a table, sorted by key. The store's faults apply.
func (s *RowStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	if err := s.injectFault(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.reading()
	for _, r := range s.rows {
		if r.Table == table && r.Part == part {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b masticway.StoredRow) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Write commits a write if the expected versions match, and returns a RowConflictError otherwise. The store's faults apply.
func (s *RowStore) Write(ctx context.Context, w masticway.RowWrite) (masticway.RowReading, error) {
	if err := s.injectFault(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		s.pendingLateWrites++
		time.AfterFunc(s.faults.LateWriteDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pendingLateWrites--
			// No caller waits for the outcome of a late write.
			_, _ = s.apply(w)
		})
		return masticway.RowReading{}, &masticway.OutcomeUnknownError{Service: "rows", Reason: "late"}
	}
	out, err := s.apply(w)
	if s.faults.DropAnswers > 0 {
		s.faults.DropAnswers--
		return masticway.RowReading{}, &masticway.OutcomeUnknownError{Service: "rows", Reason: "answer lost"}
	}
	return out, err
}

// Apply commits a write if the expected versions match, regardless of the faults. Tests use it if they choose the answer to
// the caller themselves.
func (s *RowStore) Apply(w masticway.RowWrite) (masticway.RowReading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(w)
}

// The store takes values of at most maxRowBytes, and writes with at most maxWriteEntries entries and maxWriteBytes bytes of values.
const (
	maxRowBytes     = 64 << 10
	maxWriteEntries = 100
	maxWriteBytes   = 1_000_000
)

// rejected returns the error for a write that is larger than the store takes, else nil.
func rejected(w masticway.RowWrite) error {
	e := &masticway.WriteRejectedError{Rows: len(w.Puts), Reason: "too large"}
	encoded := 0
	for _, p := range w.Puts {
		e.WriteBytes += len(p.Value)
		encoded += base64.StdEncoding.EncodedLen(len(p.Value))
		if len(p.Value) >= e.Bytes {
			e.Row, e.Bytes = p.RowKey, len(p.Value)
		}
	}
	if e.Bytes <= maxRowBytes && encoded <= maxWriteBytes && len(w.Expected)+len(w.Puts)+len(w.Deletes) <= maxWriteEntries {
		return nil
	}
	return errors.Join(&masticway.UnavailableError{Service: "rows", Reason: e.Reason}, e)
}

func (s *RowStore) apply(w masticway.RowWrite) (masticway.RowReading, error) {
	if err := rejected(w); err != nil {
		return masticway.RowReading{}, err
	}
	var current []masticway.StoredRow
	matches := true
	for _, e := range w.Expected {
		r := s.rows[e.RowKey]
		r.RowKey = e.RowKey
		matches = matches && r.Version == e.Version
		if r.Version > 0 {
			current = append(current, r)
		}
	}
	if !matches {
		return masticway.RowReading{}, &masticway.RowConflictError{Rows: current, Version: s.version}
	}
	s.commit(w)
	return s.reading(), nil
}

func (s *RowStore) commit(w masticway.RowWrite) {
	s.version++
	for _, p := range w.Puts {
		row := masticway.StoredRow{RowKey: p.RowKey, Value: p.Value, Version: s.version}
		s.rows[p.RowKey] = row
		s.history = append(s.history, row)
	}
	for _, k := range w.Deletes {
		delete(s.rows, k)
		s.history = append(s.history, masticway.StoredRow{RowKey: k, Version: s.version, Deleted: true})
	}
	s.notifyWatchers()
}

func (s *RowStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits until a table has changes since version f.Since, at most for f.MaxWait, and returns them. The store's faults
// apply. It fails with a HistoryLostError if the changes are no longer kept or are larger than f.MaxBytes. It fails with an
// UnavailableError if ctx is done first.
func (s *RowStore) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	if err := s.injectFault(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	timeout := time.NewTimer(f.MaxWait)
	defer timeout.Stop()
	for {
		out, changed, err := s.changes(f)
		if err != nil || len(out.Rows) > 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return out, nil
		case <-ctx.Done():
			return out, &masticway.UnavailableError{Service: "rows", Reason: ctx.Err().Error()}
		}
	}
}

// changes returns the changes of a table since version f.Since, and a channel that is closed at the next commit or
// compaction.
func (s *RowStore) changes(f masticway.WatchRequest) (masticway.RowReading, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	historyLost := &masticway.HistoryLostError{Table: f.Table, Since: f.Since, Era: masticway.StoreEra(s.version)}
	if f.Since < s.compacted || f.Since > s.version || historyLost.IsEraEnded() {
		return masticway.RowReading{}, nil, historyLost
	}
	out := s.reading()
	for _, r := range s.history {
		if r.Table == f.Table && r.Version > f.Since {
			out.Rows = append(out.Rows, r)
		}
	}
	if f.MaxBytes > 0 && out.Bytes() > f.MaxBytes {
		historyLost.TooLarge = true
		return masticway.RowReading{}, nil, historyLost
	}
	return out, s.changed, nil
}

// reading returns a reading without rows, at the current version and store time.
func (s *RowStore) reading() masticway.RowReading {
	return masticway.RowReading{Version: s.version, StoreTime: s.now().Sub(s.started)}
}

// injectFault applies the faults that concern every call. It waits as they require, and returns an error if the call must
// fail.
func (s *RowStore) injectFault(ctx context.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Unavailable {
		return &masticway.UnavailableError{Service: "rows", Reason: "busy"}
	}
	if f.Unresponsive {
		<-ctx.Done()
		return &masticway.UnavailableError{Service: "rows", Reason: "silent"}
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return &masticway.UnavailableError{Service: "rows", Reason: "slow"}
		}
	}
	return nil
}
