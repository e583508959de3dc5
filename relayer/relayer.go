package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/messenger"
	"github.com/masticway/masticway/receiver"
)

const (
	serviceName = "row store"

	// relayLeast and relayMost bound how long the store may take before another router is asked as well: many times its
	// usual 4 ms, a fraction of what a caller waits for money. In between it is relayTimes the time that direct calls
	// take at present: where the store is slow for everybody, asking others only makes it slower.
	relayLeast = 60 * time.Millisecond
	relayMost  = 400 * time.Millisecond
	relayTimes = 3
	// followAfter is the same for a followed table, beyond the wait that was asked for.
	followAfter = 250 * time.Millisecond
	// awayAfter is how long every direct call must have failed, other than by a refusal for the rate, before others are
	// asked at once: a single failure says nothing of the next call.
	awayAfter = 100 * time.Millisecond
	// busyAfter and busyCalls are how long, and in how many calls, the store must have refused everything for its rate
	// before this counts as being turned away. A store that refuses every second call refuses so many in a row once in
	// 250 times; asking others for a store over its rate doubles its load.
	busyAfter = 400 * time.Millisecond
	busyCalls = 8
	// probePause separates two direct calls while the store turns this router away, and probesMost bounds those under
	// way: one that a cut has swallowed does not keep the next from finding the store back.
	probePause = 120 * time.Millisecond
	probesMost = 4
	// relayTimeout is how long the answer to one call through another router may take to begin: a store's answer and two
	// ways between availability zones.
	relayTimeout = 400 * time.Millisecond
	// graceAfter is how long the direct way may still take once no other router could help.
	graceAfter = 200 * time.Millisecond
	// routersAsked bounds the routers that are asked for one call.
	routersAsked = 2
)

// Names of metrics.
const (
	metricRelayed  = "store_calls_relayed"
	metricUnhelped = "store_calls_not_relayed"
	metricHelped   = "store_calls_for_others"
	metricBusy     = "store_calls_over_rate"
)

// Store is a row store that is reached directly, or through another router.
type Store struct {
	direct   masticway.RowStore
	messages *messenger.Client
	clock    masticway.Clock
	log      *logrus.Entry
	metrics  *measurer.Set

	// calls are the direct calls under way, which end with the store's own context.
	calls sync.WaitGroup
	own   context.Context
	end   context.CancelFunc

	mu sync.Mutex
	// peers names the addresses of other routers, back is told when direct calls work again.
	peers func() []string
	back  func()
	// measured is told how long direct calls took.
	measured func(took time.Duration, answered bool)
	// workedAt is when a direct call last had a definite end, failingSince since when none had, zero while they do.
	workedAt     time.Time
	failingSince time.Time
	// busySince and busy are since when and how often the store has refused for its rate and done nothing else.
	busySince time.Time
	busy      int
	// usual is the moving average of what a direct call with a definite end takes.
	usual time.Duration
	// away tells that direct calls have failed for a while; straight counts those under way.
	away     bool
	straight int
	probedAt time.Time
	// first is where the list of routers begins; it moves on when none of those asked could help.
	first int
}

var _ masticway.RowStore = (*Store)(nil)

// New returns a store over a direct one; it knows no other routers yet.
func New(direct masticway.RowStore, m *messenger.Client, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set) *Store {
	s := &Store{direct: direct, messages: m, clock: clock, log: log, metrics: metrics, peers: func() []string { return nil }, back: func() {}, measured: func(time.Duration, bool) {}}
	s.own, s.end = context.WithCancel(context.Background())
	return s
}

// Close ends the calls that are under way.
func (s *Store) Close() {
	s.end()
	s.calls.Wait()
}

// Ask tells where other routers are found.
func (s *Store) Ask(peers func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
}

// WhenBack has a function called whenever direct calls work again.
func (s *Store) WhenBack(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = f
}

// Measure has a function told how long each direct call takes but those that wait for changes or whose answer is large, and
// whether there was an answer.
func (s *Store) Measure(measured func(took time.Duration, answered bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measured = measured
}

// Read returns the rows of one part of a table.
func (s *Store) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	return onlyRead(s.call(ctx, order{Table: table, Part: part}))
}

// Write commits a write; it must expect a version of a row that it puts.
func (s *Store) Write(ctx context.Context, w masticway.RowWrite) (masticway.RowReading, error) {
	return s.call(ctx, order{Write: &w})
}

// Watch returns the changes of a table.
func (s *Store) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	return onlyRead(s.call(ctx, order{Table: f.Table, Follow: true, Since: f.Since, Wait: f.MaxWait, AtMost: f.MaxBytes}))
}

// onlyRead turns an unknown outcome into the certainty that a reading changes nothing.
func onlyRead(reading masticway.RowReading, err error) (masticway.RowReading, error) {
	if unknown, ok := errors.AsType[*masticway.OutcomeUnknownError](err); ok {
		return reading, &masticway.UnavailableError{Service: serviceName, Reason: unknown.Reason}
	}
	return reading, err
}

// result is how one way ended.
type result struct {
	reading masticway.RowReading
	err     error
}

// definite tells that no other way can bring more.
func (r result) definite() bool {
	if r.err == nil {
		return true
	}
	if _, ok := errors.AsType[*masticway.RowConflictError](r.err); ok {
		return true
	}
	_, ok := errors.AsType[*masticway.HistoryLostError](r.err)
	return ok
}

// busy tells that the store refused for its rate.
func (r result) busy() bool {
	refused, ok := errors.AsType[*masticway.UnavailableError](r.err)
	return ok && refused.RateLimited
}

// call carries an order out directly and, when that fails or takes long, through another router.
func (s *Store) call(ctx context.Context, o order) (masticway.RowReading, error) {
	w := newWays(ctx, s, o)
	defer w.leave()
	return w.end()
}

// worse keeps an unknown outcome unknown, whatever the other way said.
func worse(a, b result) result {
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](a.err); ok {
		return a
	}
	return b
}

// choose tells whether a call is to be made directly, which is only a probe while the store turns this router away, and
// whether others are to be asked at once.
func (s *Store) choose(o order) (direct, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.away && (o.Follow || s.straight >= probesMost || now.Sub(s.probedAt) < probePause) {
		return false, true
	}
	s.probedAt = now
	return true, s.away
}

// goStraight makes a direct call. It outlives its caller: when another router was faster, its end still tells whether
// the store answers this one; it ends with the context alone. It calls progress whenever more of a large answer arrives.
func (s *Store) goStraight(ctx context.Context, o order, progress func()) result {
	sentAt := s.clock.Now()
	s.count(1)
	large := false
	r := o.carryOut(receiver.WithProgress(ctx, func() {
		large = true
		progress()
	}), s.direct)
	s.count(-1)
	switch {
	case r.definite():
		if !large {
			// What a large answer takes says nothing of when the next one should begin.
			s.took(o, sentAt)
		}
		s.regained()
	case ctx.Err() != nil:
		// It was not the store that ended it.
	case r.busy():
		s.refused(sentAt, r.err)
	default:
		s.failed(o, sentAt)
		s.turnedAway(sentAt, r.err)
	}
	return r
}

// took notes how long a direct call took.
func (s *Store) took(o order, sentAt time.Time) {
	if o.Follow {
		return
	}
	s.mu.Lock()
	took, measured := s.clock.Now().Sub(sentAt), s.measured
	s.usual += (took - s.usual) / 8
	s.mu.Unlock()
	measured(took, true)
}

// failed notes how long a direct call took that got no answer, or that the store did not carry out.
func (s *Store) failed(o order, sentAt time.Time) {
	if o.Follow {
		return
	}
	s.mu.Lock()
	took, measured := s.clock.Now().Sub(sentAt), s.measured
	s.mu.Unlock()
	measured(took, took < relayLeast)
}

// patience is how long the direct way may take alone.
func (s *Store) patience(o order) time.Duration {
	if o.Follow {
		return o.Wait + followAfter
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(relayMost, max(relayLeast, relayTimes*s.usual))
}

// refused notes a call that the store refused for its rate.
func (s *Store) refused(sentAt time.Time, cause error) {
	s.metrics.Add(metricBusy, 1)
	s.mu.Lock()
	if s.busy == 0 {
		s.busySince = sentAt
	}
	s.busy++
	turnedAway := s.busy >= busyCalls && s.clock.Now().Sub(s.busySince) >= busyAfter
	s.mu.Unlock()
	if turnedAway {
		s.turnedAway(sentAt, cause)
	}
}

// count notes that a direct call has begun or ended.
func (s *Store) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.straight += change
}

func (s *Store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// turnedAway notes a direct call that was sent at a time and failed.
func (s *Store) turnedAway(sentAt time.Time, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = sentAt
	}
	if s.failingSince.Before(s.workedAt) {
		// A feed that broke off says nothing of the time in which other calls worked.
		s.failingSince = s.workedAt
	}
	if s.away || s.clock.Now().Sub(s.failingSince) < awayAfter {
		return
	}
	s.away = true
	s.log.WithFields(logrus.Fields{"event": "store_turned_away", "error": cause, "routers": len(s.peers())}).Warn("store does not answer this router; others are asked")
}

func (s *Store) regained() {
	s.mu.Lock()
	was, back := s.away, s.back
	s.away = false
	s.busy = 0
	s.workedAt, s.failingSince = s.clock.Now(), time.Time{}
	s.mu.Unlock()
	if !was {
		return
	}
	back()
	s.log.WithFields(logrus.Fields{"event": "store_direct"}).Info("store answers this router again")
}
