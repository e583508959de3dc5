package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
)

const (
	// maxDirectRate is the traffic, in bytes per second, above which a router stops watching a table itself and asks readers
	// instead. It is a large share of the bandwidth for control traffic. The router watches the table itself again when the
	// traffic that a reader reports is below half of maxDirectRate.
	maxDirectRate = 32 << 10
	// rateSpan is the time constant of the average traffic: older traffic counts less, by a factor of e for each rateSpan.
	rateSpan = 5 * time.Second
	// maxRequestWait is the maximum time for which a reader waits for a change before it replies. replyMargin is the additional
	// time that the reply may take to arrive.
	maxRequestWait = 400 * time.Millisecond
	replyMargin    = 300 * time.Millisecond
	// maxReaderAge is the maximum age of a reader's last reading of the store. The replies of a reader with an older one are not
	// used.
	maxReaderAge = time.Second
	// readerBackoff is how long a router does not ask a reader after a failed request to it.
	readerBackoff = 5 * time.Second
)

// Names of metrics.
const (
	metricAsked    = "shared_asked"
	metricFailed   = "shared_failed"
	metricAnswered = "shared_answered"
)

// Table is one part, that is, partition, of a table that is shared.
type Table struct {
	Name, Part string
	Projection Projection
}

// Dependencies holds the dependencies of a store.
type Dependencies struct {
	Store   masticway.RowStore
	Readers Readers
	// Choose returns the addresses of the zone's readers, in the order in which they are asked, and whether this router is one of
	// them. There are no addresses until the membership of the routers is known.
	Choose  func() (addresses []string, own bool)
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
}

// Store is a row store that reads some tables through other routers if watching them directly causes too much traffic. It also
// serves the other routers that read through this one.
type Store struct {
	masticway.RowStore
	deps   Dependencies
	tables map[string]*sharedTable
}

// sharedTable is the state of one shared table. Its lock guards all fields.
type sharedTable struct {
	Table
	mu         sync.Mutex
	view       *view
	directRate byteRate
	// viaReaders is set if this router reads the table through readers. retryAt holds the readers that failed and the times until
	// which they are not asked.
	viaReaders bool
	retryAt    map[string]time.Time
}

var _ masticway.RowStore = (*Store)(nil)

// New returns a store that shares the given tables.
func New(p Dependencies, tables ...Table) *Store {
	s := &Store{RowStore: p.Store, deps: p, tables: map[string]*sharedTable{}}
	for _, t := range tables {
		s.tables[t.Name] = &sharedTable{Table: t, view: newView(t.Projection), retryAt: map[string]time.Time{}}
	}
	return s
}

// Read returns the rows of one part of a table. The rows of a shared table may come from a reader. They may then be up to
// maxReaderAge old, and each is as of its last relevant change.
func (s *Store) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	t, ok := s.tables[table]
	if !ok || part != t.Part {
		return s.RowStore.Read(ctx, table, part)
	}
	if reply, ok := s.askReaders(ctx, t, Request{Table: table, Part: part, Whole: true}); ok {
		return reply.agedReading(), nil
	}
	began := s.deps.Clock.Now()
	reading, err := s.RowStore.Read(ctx, table, part)
	if err == nil {
		t.recordReading(s.deps.Clock.Now(), began, true, reading)
	}
	return reading, err
}

// Watch returns the changes of a table. If the table is shared, they may come from a reader. Then they are only the relevant
// changes, may be up to maxReaderAge old, and Watch waits for them only up to maxRequestWait.
func (s *Store) Watch(ctx context.Context, req masticway.WatchRequest) (masticway.RowReading, error) {
	t, ok := s.tables[req.Table]
	if !ok {
		return s.RowStore.Watch(ctx, req)
	}
	if reply, ok := s.askReaders(ctx, t, Request{Table: req.Table, Part: t.Part, Since: req.Since, Wait: min(req.MaxWait, maxRequestWait)}); ok {
		if reply.Status == StatusHistoryLost || req.MaxBytes > 0 && reply.Reading.Bytes() > req.MaxBytes {
			return masticway.RowReading{}, &masticway.HistoryLostError{Table: req.Table, Since: req.Since, TooLarge: reply.Status != StatusHistoryLost}
		}
		return reply.agedReading(), nil
	}
	began := s.deps.Clock.Now()
	reading, err := s.RowStore.Watch(ctx, req)
	if err == nil {
		t.recordReading(s.deps.Clock.Now(), began, false, reading)
	}
	return reading, err
}

// askReaders asks the zone's readers in turn until one replies with recent data. It returns false if this router must read the
// table from the store itself.
func (s *Store) askReaders(ctx context.Context, t *sharedTable, req Request) (Reply, bool) {
	addresses, own := s.deps.Choose()
	if own {
		t.useDirect()
		return Reply{}, false
	}
	if !t.useReaders(s.deps.Clock.Now()) {
		return Reply{}, false
	}
	for _, address := range addresses {
		if !t.canAsk(s.deps.Clock.Now(), address) {
			continue
		}
		s.deps.Metrics.Add(metricAsked, 1)
		reply, err := s.deps.Readers.Ask(ctx, address, req)
		if err == nil && reply.Status != StatusUnavailable && reply.Age <= maxReaderAge {
			t.updateReaderRate(reply.Rate)
			return reply, true
		}
		if ctx.Err() != nil {
			return Reply{}, false
		}
		s.deps.Metrics.Add(metricFailed, 1)
		t.backOff(s.deps.Clock.Now(), address)
		s.deps.Log.WithFields(logrus.Fields{
			"event": "reader_left", "table": t.Name, "reader": address, "verdict": reply.Status, "age_ms": reply.Age.Milliseconds(), "error": err,
		}).Info("a reader cannot serve the table")
	}
	return Reply{}, false
}

// HandleRequest handles a request of another router, to which this router is a reader. It may wait up to maxRequestWait for a
// relevant change.
func (s *Store) HandleRequest(ctx context.Context, req Request) Reply {
	t, ok := s.tables[req.Table]
	if !ok || req.Part != t.Part {
		return Reply{Status: StatusUnavailable}
	}
	s.deps.Metrics.Add(metricAnswered, 1)
	reply, changed := t.reply(s.deps.Clock.Now(), req)
	if reply.Status != StatusOK || req.Whole || req.Wait <= 0 || len(reply.Reading.Rows) > 0 {
		return reply
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-s.deps.Clock.After(min(req.Wait, maxRequestWait)):
	}
	reply, _ = t.reply(s.deps.Clock.Now(), req)
	return reply
}

// reply returns the reply according to the current view, and a channel that is closed at the next relevant change.
func (t *sharedTable) reply(now time.Time, req Request) (Reply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := Reply{Status: StatusOK, Age: now.Sub(t.view.readAt), CallAge: now.Sub(t.view.calledAt), Rate: t.directRate.rate(now)}
	switch {
	case t.viaReaders || t.view.version == 0 || reply.Age > maxReaderAge:
		reply.Status = StatusUnavailable
	case !req.Whole && t.view.version < req.Since:
		// The requesting router has recently read from the store itself.
		reply.Reading = masticway.RowReading{Version: req.Since}
	case req.Whole:
		reply.Reading = t.view.all()
	default:
		reading, ok := t.view.changesSince(req.Since)
		if !ok {
			reply.Status = StatusHistoryLost
		}
		reply.Reading = reading
	}
	return reply, t.view.changed
}

// recordReading updates the view from a reading that this router has made of the store by a call that began at a time. whole is set if
// the reading contains all rows.
func (t *sharedTable) recordReading(now, began time.Time, whole bool, reading masticway.RowReading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole {
		t.view.replace(now, began, reading)
		return
	}
	t.directRate.add(now, reading.Bytes())
	t.view.update(now, began, reading)
}

// useDirect records that this router watches the table itself.
func (t *sharedTable) useDirect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.viaReaders = false
}

// useReaders reports whether the table must be read through readers. It switches to readers if watching the table directly causes
// too much traffic.
func (t *sharedTable) useReaders(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.viaReaders && t.directRate.rate(now) > maxDirectRate {
		t.viaReaders = true
	}
	return t.viaReaders
}

// updateReaderRate switches back to watching the table directly if rate is low. rate is the traffic, in bytes per second, that
// watching the table causes at a reader.
func (t *sharedTable) updateReaderRate(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate < maxDirectRate/2 {
		t.viaReaders = false
		t.directRate = byteRate{}
	}
}

// canAsk reports whether a reader may be asked now.
func (t *sharedTable) canAsk(now time.Time, reader string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.retryAt[reader])
}

// backOff records that a request to a reader has failed, so that the reader is not asked for readerBackoff.
func (t *sharedTable) backOff(now time.Time, reader string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAt[reader] = now.Add(readerBackoff)
}
