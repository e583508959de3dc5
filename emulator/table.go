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

// TableFaults are the faults of a table or object store.
type TableFaults struct {
	// Down refuses everything; nothing is written.
	Down bool `json:"down"`
	// DelayMillis delays every call by so many milliseconds.
	DelayMillis int `json:"slow_ms"`
	// DropAnswers drops the answers to so many commits after they took effect.
	DropAnswers int `json:"lose_answers"`
	// MaxWritesPerSecond bounds the commits; zero means no bound.
	MaxWritesPerSecond int `json:"writes_per_second"`
}

// Table is a transactional table in memory.
type Table struct {
	mu      sync.Mutex
	rows    map[string]masticway.Row
	version int64
	faults  TableFaults
	reads   int64
	byKind  map[string]int64
	second  time.Time
	used    int
}

var _ masticway.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]masticway.Row{}, byKind: map[string]int64{}} }

// SetFaults replaces the table's faults.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Reads returns how many reads were carried out.
func (t *Table) Reads() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// WritesByKind splits the writes by the kind of the first row that each transaction put.
func (t *Table) WritesByKind() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.byKind)
}

func kindOf(tx masticway.Transaction) string {
	if len(tx.Puts) == 0 {
		return ""
	}
	kind, _, _ := strings.Cut(tx.Puts[0].Key, "/")
	return kind
}

func (t *Table) enter() (TableFaults, error) {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.Down {
		return f, &masticway.UnavailableError{Service: "table", Reason: "outage"}
	}
	return f, nil
}

// Get reads a row.
func (t *Table) Get(_ context.Context, key string) (masticway.Row, error) {
	if _, err := t.enter(); err != nil {
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

// Scan reads all rows with a prefix, in order.
func (t *Table) Scan(_ context.Context, prefix string) ([]masticway.Row, error) {
	if _, err := t.enter(); err != nil {
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

// Commit writes a transaction if all its conditions hold.
func (t *Table) Commit(_ context.Context, tx masticway.Transaction) error {
	if _, err := t.enter(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.admit() {
		return &masticway.UnavailableError{Service: "table", Reason: "rate bound"}
	}
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return &masticway.ConflictError{Key: c.Key}
		}
	}
	t.version++
	t.byKind[kindOf(tx)]++
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

func (t *Table) admit() bool {
	if t.faults.MaxWritesPerSecond == 0 {
		return true
	}
	now := time.Now().Truncate(time.Second)
	if now != t.second {
		t.second = now
		t.used = 0
	}
	t.used++
	return t.used <= max(0, t.faults.MaxWritesPerSecond)
}

// ObjectStore is an object store in memory.
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

// Writes returns how many objects were written.
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

// Get reads an object.
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

// List names the objects with a prefix, in order.
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

// InstanceList is an instance list whose readings lag.
type InstanceList struct {
	mu      sync.Mutex
	entries map[string]masticway.Instance
	changes []instanceChange
	version int
	lag     time.Duration
	down    bool
}

type instanceChange struct {
	at       time.Time
	instance masticway.Instance
}

var _ masticway.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns an empty list that shows changes after a lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{entries: map[string]masticway.Instance{}, lag: lag}
}

// SetDown switches an outage on or off.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set records an instance or its new state.
func (l *InstanceList) Set(i masticway.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, instanceChange{at: time.Now(), instance: i})
}

// SetState records a new state of a known instance.
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

// Instances reads the list as it was a lag ago, unless it still has the known version.
func (l *InstanceList) Instances(_ context.Context, known string) (masticway.InstanceReading, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return masticway.InstanceReading{}, &masticway.UnavailableError{Service: "instance list", Reason: "outage"}
	}
	visible := time.Now().Add(-l.lag)
	for len(l.changes) > 0 && !l.changes[0].at.After(visible) {
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
