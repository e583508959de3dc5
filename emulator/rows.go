package emulator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// RowFaults are the faults of a row store.
type RowFaults struct {
	// Unavailable answers 503 to everything; nothing is done.
	Unavailable bool
	// Unresponsive lets every call hang until its caller gives up; nothing is done.
	Unresponsive bool
	// Delay delays every call.
	Delay time.Duration
	// DropAnswers makes so many writes and gives no answer to them.
	DropAnswers int
	// LateWrites gives no answer to so many writes and makes them after LateWriteDelay, if their expectations still hold.
	LateWrites     int
	LateWriteDelay time.Duration
}

// RowStore is a row store in memory.
type RowStore struct {
	mu      sync.Mutex
	rows    map[masticway.RowKey]masticway.StoredRow
	log     []masticway.StoredRow
	version int64
	// forgotten is the version up to which changes are no longer kept.
	forgotten int64
	faults    RowFaults
	started   time.Time
	now       func() time.Time
	changed   chan struct{}
	// late is the number of writes that are still to be made.
	late int
}

var _ masticway.RowStore = (*RowStore)(nil)

// NewRowStore returns an empty row store with a steady clock.
func NewRowStore(now func() time.Time) *RowStore {
	return &RowStore{rows: map[masticway.RowKey]masticway.StoredRow{}, started: now(), now: now, changed: make(chan struct{})}
}

// SetFaults replaces the store's faults.
func (s *RowStore) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put writes a row as an operator or server would, whatever the faults.
func (s *RowStore) Put(key masticway.RowKey, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(masticway.RowWrite{Puts: []masticway.RowPut{{RowKey: key, Value: value}}})
	return s.version
}

// Delete removes a row as an operator or server would.
func (s *RowStore) Delete(key masticway.RowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(masticway.RowWrite{Deletes: []masticway.RowKey{key}})
}

// Row returns a row, with version zero when there is none.
func (s *RowStore) Row(key masticway.RowKey) masticway.StoredRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[key]; ok {
		return r
	}
	return masticway.StoredRow{RowKey: key}
}

// Compact forgets the history.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.log = nil
	s.wake()
}

// AwaitLateWrites returns when all late writes have been made or refused.
func (s *RowStore) AwaitLateWrites() {
	for s.lateWrites() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func (s *RowStore) lateWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// Read returns the rows of one part of a table.
func (s *RowStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	if err := s.fault(ctx); err != nil {
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

// Write commits a write, or does what the faults say.
func (s *RowStore) Write(ctx context.Context, w masticway.RowWrite) (masticway.RowReading, error) {
	if err := s.fault(ctx); err != nil {
		return masticway.RowReading{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		s.late++
		time.AfterFunc(s.faults.LateWriteDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.late--
			// Nobody waits for the outcome of a late write.
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

// Apply commits a write whatever the faults; tests use it to decide themselves what is answered.
func (s *RowStore) Apply(w masticway.RowWrite) (masticway.RowReading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(w)
}

func (s *RowStore) apply(w masticway.RowWrite) (masticway.RowReading, error) {
	var current []masticway.StoredRow
	holds := true
	for _, e := range w.Expected {
		r := s.rows[e.RowKey]
		r.RowKey = e.RowKey
		holds = holds && r.Version == e.Version
		if r.Version > 0 {
			current = append(current, r)
		}
	}
	if !holds {
		return masticway.RowReading{}, &masticway.RowConflictError{Rows: current}
	}
	s.commit(w)
	return s.reading(), nil
}

func (s *RowStore) commit(w masticway.RowWrite) {
	s.version++
	for _, p := range w.Puts {
		row := masticway.StoredRow{RowKey: p.RowKey, Value: p.Value, Version: s.version}
		s.rows[p.RowKey] = row
		s.log = append(s.log, row)
	}
	for _, k := range w.Deletes {
		delete(s.rows, k)
		s.log = append(s.log, masticway.StoredRow{RowKey: k, Version: s.version, Deleted: true})
	}
	s.wake()
}

func (s *RowStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch returns the changes of a table.
func (s *RowStore) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	if err := s.fault(ctx); err != nil {
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

func (s *RowStore) changes(f masticway.WatchRequest) (masticway.RowReading, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := &masticway.HistoryLostError{Table: f.Table, Since: f.Since}
	if f.Since < s.forgotten {
		return masticway.RowReading{}, nil, lost
	}
	out := s.reading()
	for _, r := range s.log {
		if r.Table == f.Table && r.Version > f.Since {
			out.Rows = append(out.Rows, r)
		}
	}
	if f.MaxBytes > 0 && out.Bytes() > f.MaxBytes {
		lost.TooLarge = true
		return masticway.RowReading{}, nil, lost
	}
	return out, s.changed, nil
}

func (s *RowStore) reading() masticway.RowReading {
	return masticway.RowReading{Version: s.version, StoreTime: s.now().Sub(s.started)}
}

// fault does what the faults say of every call.
func (s *RowStore) fault(ctx context.Context) error {
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
