package emulator

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// TableFaults are the faults that can be injected into a table.
type TableFaults struct {
	// Down fails every call without executing it.
	Down bool `json:"down"`
	// DelayMillis is how long every call waits before it is executed, in milliseconds.
	DelayMillis int `json:"slow_ms"`
	// DropAnswers is the number of commits that take effect but get no answer.
	DropAnswers int `json:"lose_answers"`
	// MaxWritesPerSecond is the maximum number of commits per second, including those that fail because of a conflict. Zero
	// means no limit. A negative number allows no commits.
	MaxWritesPerSecond int `json:"writes_per_second"`
}

// Table is an in-memory transactional table.
type Table struct {
	mu           sync.Mutex
	rows         map[string]masticway.Row
	version      int64
	faults       TableFaults
	reads        int64
	writesByKind map[string]int64
	window       time.Time // the current second, for MaxWritesPerSecond
	windowWrites int       // the number of commits in window
}

var _ masticway.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]masticway.Row{}, writesByKind: map[string]int64{}}
}

// SetFaults replaces the table's faults.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Reads returns how many calls of Get and Scan have been executed. Calls that failed because of a fault do not count.
func (t *Table) Reads() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// WritesByKind returns the number of committed transactions by kind. The kind of a transaction is the prefix of the key of
// its first put, up to the first slash.
func (t *Table) WritesByKind() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.writesByKind)
}

// kindOf returns the kind of a transaction, or the empty string if it puts no row.
func kindOf(tx masticway.Transaction) string {
	if len(tx.Puts) == 0 {
		return ""
	}
	kind, _, _ := strings.Cut(tx.Puts[0].Key, "/")
	return kind
}

// injectFault waits for the injected delay and returns the faults. It returns an error if the table is down.
func (t *Table) injectFault() (TableFaults, error) {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.Down {
		return f, &masticway.UnavailableError{Service: "table", Reason: "outage"}
	}
	return f, nil
}

// Get returns a row. If the row does not exist, the result has version zero.
func (t *Table) Get(_ context.Context, key string) (masticway.Row, error) {
	if _, err := t.injectFault(); err != nil {
		return masticway.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if row, ok := t.rows[key]; ok {
		return row, nil
	}
	return masticway.Row{Key: key}, nil
}

// Scan returns all rows whose key has a prefix, sorted by key.
func (t *Table) Scan(_ context.Context, prefix string) ([]masticway.Row, error) {
	if _, err := t.injectFault(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows := []masticway.Row{}
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit commits a transaction if all its conditions are met. It returns a ConflictError otherwise. A put without a value
// deletes the row.
func (t *Table) Commit(_ context.Context, tx masticway.Transaction) error {
	if _, err := t.injectFault(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.allowWrite() {
		return &masticway.UnavailableError{Service: "table", Reason: "rate bound"}
	}
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return &masticway.ConflictError{Key: c.Key}
		}
	}
	t.version++
	t.writesByKind[kindOf(tx)]++
	for _, p := range tx.Puts {
		if p.Value == nil {
			delete(t.rows, p.Key)
			continue
		}
		t.rows[p.Key] = masticway.Row{Key: p.Key, Version: t.version, Value: slices.Clone(p.Value)}
	}
	if t.faults.DropAnswers > 0 {
		t.faults.DropAnswers--
		return &masticway.OutcomeUnknownError{Service: "table", ID: tx.ID, Reason: "answer lost"}
	}
	return nil
}

// allowWrite reports whether MaxWritesPerSecond allows one more commit, and counts it if there is a limit.
func (t *Table) allowWrite() bool {
	if t.faults.MaxWritesPerSecond == 0 {
		return true
	}
	now := time.Now().Truncate(time.Second)
	if now != t.window {
		t.window = now
		t.windowWrites = 0
	}
	t.windowWrites++
	return t.windowWrites <= max(0, t.faults.MaxWritesPerSecond)
}

// ObjectStore is an in-memory object store.
type ObjectStore struct {
	mu     sync.Mutex
	data   map[string][]byte
	down   bool
	writes int64
}

var _ masticway.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{data: map[string][]byte{}} }

// SetDown switches an outage on or off.
func (o *ObjectStore) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// Writes returns the number of executed writes.
func (o *ObjectStore) Writes() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writes
}

// Put writes an object.
func (o *ObjectStore) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return &masticway.UnavailableError{Service: "object store", Reason: "outage"}
	}
	o.writes++
	o.data[name] = slices.Clone(data)
	return nil
}

// Get returns the data of an object. It returns a NotFoundError if the object does not exist.
func (o *ObjectStore) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, &masticway.UnavailableError{Service: "object store", Reason: "outage"}
	}
	data, ok := o.data[name]
	if !ok {
		return nil, &masticway.NotFoundError{Kind: "object", Name: name}
	}
	return data, nil
}

// List returns the sorted names of the objects with a prefix.
func (o *ObjectStore) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, &masticway.UnavailableError{Service: "object store", Reason: "outage"}
	}
	names := []string{}
	for n := range o.data {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names, nil
}

// InstanceList is an instance list that shows changes only after a lag.
type InstanceList struct {
	mu      sync.Mutex
	entries map[string]masticway.Instance // the instances as the list shows them, by instance ID
	changes []instanceChange              // the changes that the list does not show yet, oldest first
	version int
	lag     time.Duration
	down    bool
}

type instanceChange struct {
	at       time.Time
	instance masticway.Instance
}

var _ masticway.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns an empty list that shows each change after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{entries: map[string]masticway.Instance{}, lag: lag}
}

// SetDown switches an outage on or off.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set records a new or changed instance, which the list shows after its lag.
func (l *InstanceList) Set(i masticway.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, instanceChange{at: time.Now(), instance: i})
}

// SetState records the new state of an instance, which the list shows after its lag. It returns false if there is no such
// instance.
func (l *InstanceList) SetState(id string, s masticway.InstanceState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.entries[id]
	for _, c := range l.changes {
		if c.instance.ID == id {
			instance, ok = c.instance, true
		}
	}
	if ok {
		instance.State = s
		l.changes = append(l.changes, instanceChange{at: time.Now(), instance: instance})
	}
	return ok
}

// Instances returns the list with all changes that are at least as old as the lag. If known is the current version of the
// list, it returns only the version.
func (l *InstanceList) Instances(_ context.Context, known string) (masticway.InstanceReading, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return masticway.InstanceReading{}, &masticway.UnavailableError{Service: "instance list", Reason: "outage"}
	}
	visibleUntil := time.Now().Add(-l.lag)
	for len(l.changes) > 0 && !l.changes[0].at.After(visibleUntil) {
		c := l.changes[0]
		l.changes = l.changes[1:]
		l.entries[c.instance.ID] = c.instance
		l.version++
	}
	version := strconv.Itoa(l.version)
	if version == known {
		return masticway.InstanceReading{Version: version, Unchanged: true}, nil
	}
	list := make([]masticway.Instance, 0, len(l.entries))
	for _, i := range l.entries {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b masticway.Instance) int { return strings.Compare(a.ID, b.ID) })
	return masticway.InstanceReading{Version: version, Instances: list}, nil
}
