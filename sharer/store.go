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
	// costlyRate is what following a table may cost a router's link, in bytes a second, before it asks readers: a good part of
	// what control may take. Below half of it the table is followed directly again.
	costlyRate = 32 << 10
	// rateSpan is the time over which that cost is averaged.
	rateSpan = 5 * time.Second
	// askWait is how long a reader may wait for a change, answerMargin how long its answer may take beyond that; a reader that
	// is frozen is left within their sum.
	askWait      = 400 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	// oldest is how long ago a reader may have heard from the store.
	oldest = time.Second
	// leftFor is how long a reader that failed is not asked again.
	leftFor = 5 * time.Second
)

// Names of metrics.
const (
	metricAsked    = "shared_asked"
	metricFailed   = "shared_failed"
	metricAnswered = "shared_answered"
)

// Table is one part of a table that is shared.
type Table struct {
	Name, Part string
	Substance  Substance
}

// Parts are what a store is made of.
type Parts struct {
	Store   masticway.RowStore
	Readers Readers
	// Choose names the addresses of the zone's readers, best first, and whether this router is one of them; there are none
	// before the routers are counted.
	Choose  func() (addresses []string, own bool)
	Clock   masticway.Clock
	Log     *logrus.Entry
	Metrics *measurer.Set
}

// Store is a row store of which some tables are read through other routers where that is cheaper. It also answers those that
// read through this one.
type Store struct {
	masticway.RowStore
	parts  Parts
	tables map[string]*shared
}

// shared is what is known of one table; its lock guards all of it.
type shared struct {
	Table
	mu   sync.Mutex
	view *view
	cost cost
	// through tells that the table is read through readers, left which of these are not asked, and until when.
	through bool
	left    map[string]time.Time
}

var _ masticway.RowStore = (*Store)(nil)

// New returns a store that shares some tables.
func New(p Parts, tables ...Table) *Store {
	s := &Store{RowStore: p.Store, parts: p, tables: map[string]*shared{}}
	for _, t := range tables {
		s.tables[t.Name] = &shared{Table: t, view: newView(t.Substance), left: map[string]time.Time{}}
	}
	return s
}

// Read returns the rows of one part of a table.
func (s *Store) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	t, ok := s.tables[table]
	if !ok || part != t.Part {
		return s.RowStore.Read(ctx, table, part)
	}
	if reply, ok := s.ask(ctx, t, Ask{Table: table, Part: part, Whole: true}); ok {
		return reply.Reading, nil
	}
	reading, err := s.RowStore.Read(ctx, table, part)
	if err == nil {
		t.read(s.parts.Clock.Now(), true, reading)
	}
	return reading, err
}

// Watch returns the changes of a table; of a shared one, those in substance.
func (s *Store) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	t, ok := s.tables[f.Table]
	if !ok {
		return s.RowStore.Watch(ctx, f)
	}
	if reply, ok := s.ask(ctx, t, Ask{Table: f.Table, Part: t.Part, Since: f.Since, Wait: min(f.MaxWait, askWait)}); ok {
		if reply.Verdict == VerdictLost || f.MaxBytes > 0 && reply.Reading.Bytes() > f.MaxBytes {
			return masticway.RowReading{}, &masticway.HistoryLostError{Table: f.Table, Since: f.Since, TooLarge: reply.Verdict != VerdictLost}
		}
		return reply.Reading, nil
	}
	reading, err := s.RowStore.Watch(ctx, f)
	if err == nil {
		t.read(s.parts.Clock.Now(), false, reading)
	}
	return reading, err
}

// ask asks the zone's readers in turn; false when the table is to be read directly.
func (s *Store) ask(ctx context.Context, t *shared, ask Ask) (Reply, bool) {
	addresses, own := s.parts.Choose()
	if own {
		t.followDirectly()
		return Reply{}, false
	}
	if !t.costly(s.parts.Clock.Now()) {
		return Reply{}, false
	}
	for _, address := range addresses {
		if !t.mayAsk(s.parts.Clock.Now(), address) {
			continue
		}
		s.parts.Metrics.Add(metricAsked, 1)
		reply, err := s.parts.Readers.Ask(ctx, address, ask)
		if err == nil && reply.Verdict != VerdictAway && reply.Age <= oldest {
			t.heard(reply.Rate)
			return reply, true
		}
		if ctx.Err() != nil {
			return Reply{}, false
		}
		s.parts.Metrics.Add(metricFailed, 1)
		t.leave(s.parts.Clock.Now(), address)
		s.parts.Log.WithFields(logrus.Fields{
			"event": "reader_left", "table": t.Name, "reader": address, "verdict": reply.Verdict, "age_ms": reply.Age.Milliseconds(), "error": err,
		}).Info("a reader does not answer for the table")
	}
	return Reply{}, false
}

// Reply answers another router.
func (s *Store) Reply(ctx context.Context, ask Ask) Reply {
	t, ok := s.tables[ask.Table]
	if !ok || ask.Part != t.Part {
		return Reply{Verdict: VerdictAway}
	}
	s.parts.Metrics.Add(metricAnswered, 1)
	reply, changed := t.reply(s.parts.Clock.Now(), ask)
	if reply.Verdict != VerdictKnown || ask.Whole || ask.Wait <= 0 || len(reply.Reading.Rows) > 0 {
		return reply
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-s.parts.Clock.After(min(ask.Wait, askWait)):
	}
	reply, _ = t.reply(s.parts.Clock.Now(), ask)
	return reply
}

// reply returns what is known now, and what is closed with the next change.
func (t *shared) reply(now time.Time, ask Ask) (Reply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := Reply{Verdict: VerdictKnown, Age: now.Sub(t.view.at), Rate: t.cost.rate(now)}
	switch {
	case t.through || t.view.reached == 0 || reply.Age > oldest:
		reply.Verdict = VerdictAway
	case !ask.Whole && t.view.reached < ask.Since:
		// Who asks has read the store itself a moment ago.
		reply.Reading = masticway.RowReading{Version: ask.Since}
	case ask.Whole:
		reply.Reading = t.view.all()
	default:
		reading, ok := t.view.since(ask.Since)
		if !ok {
			reply.Verdict = VerdictLost
		}
		reply.Reading = reading
	}
	return reply, t.view.changed
}

// read takes what was read directly.
func (t *shared) read(now time.Time, whole bool, reading masticway.RowReading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole {
		t.view.replace(now, reading)
		return
	}
	t.cost.add(now, reading.Bytes())
	t.view.update(now, reading)
}

// followDirectly notes that this router follows the table itself.
func (t *shared) followDirectly() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.through = false
}

// costly tells that the table costs too much to follow it directly.
func (t *shared) costly(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.through && t.cost.rate(now) > costlyRate {
		t.through = true
	}
	return t.through
}

// heard takes what following costs a reader, which knows when it has become cheap.
func (t *shared) heard(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate < costlyRate/2 {
		t.through = false
		t.cost = cost{}
	}
}

func (t *shared) mayAsk(now time.Time, reader string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.left[reader])
}

func (t *shared) leave(now time.Time, reader string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left[reader] = now.Add(leftFor)
}
