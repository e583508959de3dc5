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

	// minHedgeDelay and maxHedgeDelay bound how long the store may take before another router is asked as well: many times its
	// usual 4 ms, a fraction of what a caller waits for money. In between it is hedgeLatencyFactor the time that direct calls
	// take at present: where the store is slow for everybody, asking others only makes it slower.
	minHedgeDelay      = 60 * time.Millisecond
	maxHedgeDelay      = 400 * time.Millisecond
	hedgeLatencyFactor = 3
	// watchHedgeDelay is the same for a followed table, beyond the wait that was asked for.
	watchHedgeDelay = 250 * time.Millisecond
	// directDownAfter is how long every direct call must have failed, other than by a refusal for the rate, before others are
	// asked at once: a single failure says nothing of the next call.
	directDownAfter = 100 * time.Millisecond
	// rateLimitedAfter and rateLimitedCalls are how long, and in how many calls, the store must have refused everything for its rate
	// before this counts as being turned away. A store that refuses every second call refuses so many in a row once in
	// 250 times; asking others for a store over its rate doubles its load.
	rateLimitedAfter = 400 * time.Millisecond
	rateLimitedCalls = 8
	// probeInterval separates two direct calls while the store turns this router away, and maxProbes bounds those under
	// way: one that a cut has swallowed does not keep the next from finding the store back.
	probeInterval = 120 * time.Millisecond
	maxProbes     = 4
	// relayTimeout is how long the answer to one call through another router may take to begin: a store's answer and two
	// ways between availability zones.
	relayTimeout = 400 * time.Millisecond
	// directGrace is how long the direct way may still take once no other router could help.
	directGrace = 200 * time.Millisecond
	// maxPeersAsked bounds the routers that are asked for one call.
	maxPeersAsked = 2
)

// Names of metrics.
const (
	metricRelayed        = "store_calls_relayed"
	metricRelayFailed    = "store_calls_not_relayed"
	metricServedForPeers = "store_calls_for_others"
	metricRateLimited    = "store_calls_over_rate"
)

// Store is a row store that is reached directly, or through another router.
type Store struct {
	direct  masticway.RowStore
	client  *messenger.Client
	clock   masticway.Clock
	log     *logrus.Entry
	metrics *measurer.Set

	// calls are the direct calls under way, which end with the store's own context.
	calls  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// peers names the addresses of other routers, back is told when direct calls work again.
	peers      func() []string
	onRestored func()
	// observeLatency is told how long direct calls took.
	observeLatency func(took time.Duration, answered bool)
	// lastSuccess is when a direct call last had a definite end, failingSince since when none had, zero while they do.
	lastSuccess  time.Time
	failingSince time.Time
	// rateLimitedSince and busy are since when and how often the store has refused for its rate and done nothing else.
	rateLimitedSince time.Time
	rateLimitedCount int
	// meanLatency is the moving average of what a direct call with a definite end takes.
	meanLatency time.Duration
	// directDown tells that direct calls have failed for a while; straight counts those under way.
	directDown     bool
	directInFlight int
	lastProbe      time.Time
	// firstPeer is where the list of routers begins; it moves on when none of those asked could help.
	firstPeer int
}

var _ masticway.RowStore = (*Store)(nil)

// New returns a store over a direct one; it knows no other routers yet.
func New(direct masticway.RowStore, m *messenger.Client, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set) *Store {
	s := &Store{direct: direct, client: m, clock: clock, log: log, metrics: metrics, peers: func() []string { return nil }, onRestored: func() {}, observeLatency: func(time.Duration, bool) {}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close ends the calls that are under way.
func (s *Store) Close() {
	s.cancel()
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
	s.onRestored = f
}

// Measure has a function told how long each direct call takes but those that wait for changes or whose answer is large, and
// whether there was an answer.
func (s *Store) Measure(observe func(took time.Duration, answered bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLatency = observe
}

// Read returns the rows of one part of a table.
func (s *Store) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	return readOutcome(s.call(ctx, storeCall{Table: table, Part: part}))
}

// Write commits a write; it must expect a version of a row that it puts.
func (s *Store) Write(ctx context.Context, w masticway.RowWrite) (masticway.RowReading, error) {
	return s.call(ctx, storeCall{Write: &w})
}

// Watch returns the changes of a table.
func (s *Store) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	return readOutcome(s.call(ctx, storeCall{Table: f.Table, Watch: true, Since: f.Since, MaxWait: f.MaxWait, MaxBytes: f.MaxBytes}))
}

// readOutcome turns an unknown outcome into the certainty that a reading changes nothing.
func readOutcome(reading masticway.RowReading, err error) (masticway.RowReading, error) {
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

// isDefinite tells that no other way can bring more.
func (r result) isDefinite() bool {
	if r.err == nil {
		return true
	}
	if _, ok := errors.AsType[*masticway.RowConflictError](r.err); ok {
		return true
	}
	_, ok := errors.AsType[*masticway.HistoryLostError](r.err)
	return ok
}

// isRateLimited tells that the store refused for its rate.
func (r result) isRateLimited() bool {
	refused, ok := errors.AsType[*masticway.UnavailableError](r.err)
	return ok && refused.RateLimited
}

// call carries an order out directly and, when that fails or takes long, through another router.
func (s *Store) call(ctx context.Context, c storeCall) (masticway.RowReading, error) {
	w := startCall(ctx, s, c)
	defer w.cancelRelay()
	return w.wait()
}

// worseOf keeps an unknown outcome unknown, whatever the other way said.
func worseOf(a, b result) result {
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](a.err); ok {
		return a
	}
	return b
}

// plan tells whether a call is to be made directly, which is only a probe while the store turns this router away, and
// whether others are to be asked at once.
func (s *Store) plan(call storeCall) (direct, relayNow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.directDown && (call.Watch || s.directInFlight >= maxProbes || now.Sub(s.lastProbe) < probeInterval) {
		return false, true
	}
	s.lastProbe = now
	return true, s.directDown
}

// startDirect makes a direct call. It outlives its caller: when another router was faster, its end still tells whether
// the store answers this one; it ends with the context alone. It calls progress whenever more of a large answer arrives.
func (s *Store) callDirect(ctx context.Context, call storeCall, progress func()) result {
	sentAt := s.clock.Now()
	s.addInFlight(1)
	large := false
	r := call.run(receiver.WithProgress(ctx, func() {
		large = true
		progress()
	}), s.direct)
	s.addInFlight(-1)
	switch {
	case r.isDefinite():
		if !large {
			// What a large answer takes says nothing of when the next one should begin.
			s.recordLatency(call, sentAt)
		}
		s.recordSuccess()
	case ctx.Err() != nil:
		// It was not the store that ended it.
	case r.isRateLimited():
		s.recordRateLimited(sentAt, r.err)
	default:
		s.recordFailedLatency(call, sentAt)
		s.recordFailure(sentAt, r.err)
	}
	return r
}

// recordLatency notes how long a direct call took.
func (s *Store) recordLatency(call storeCall, sentAt time.Time) {
	if call.Watch {
		return
	}
	s.mu.Lock()
	took, measured := s.clock.Now().Sub(sentAt), s.observeLatency
	s.meanLatency += (took - s.meanLatency) / 8
	s.mu.Unlock()
	measured(took, true)
}

// recordFailedLatency notes how long a direct call took that got no answer, or that the store did not carry out.
func (s *Store) recordFailedLatency(call storeCall, sentAt time.Time) {
	if call.Watch {
		return
	}
	s.mu.Lock()
	took, measured := s.clock.Now().Sub(sentAt), s.observeLatency
	s.mu.Unlock()
	measured(took, took < minHedgeDelay)
}

// hedgeDelay is how long the direct way may take alone.
func (s *Store) hedgeDelay(call storeCall) time.Duration {
	if call.Watch {
		return call.MaxWait + watchHedgeDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeLatencyFactor*s.meanLatency))
}

// recordRateLimited notes a call that the store refused for its rate.
func (s *Store) recordRateLimited(sentAt time.Time, cause error) {
	s.metrics.Add(metricRateLimited, 1)
	s.mu.Lock()
	if s.rateLimitedCount == 0 {
		s.rateLimitedSince = sentAt
	}
	s.rateLimitedCount++
	isDown := s.rateLimitedCount >= rateLimitedCalls && s.clock.Now().Sub(s.rateLimitedSince) >= rateLimitedAfter
	s.mu.Unlock()
	if isDown {
		s.recordFailure(sentAt, cause)
	}
}

// addInFlight notes that a direct call has begun or ended.
func (s *Store) addInFlight(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directInFlight += change
}

func (s *Store) isDirectDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directDown
}

// isDirectDown notes a direct call that was sent at a time and failed.
func (s *Store) recordFailure(sentAt time.Time, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = sentAt
	}
	if s.failingSince.Before(s.lastSuccess) {
		// A feed that broke off says nothing of the time in which other calls worked.
		s.failingSince = s.lastSuccess
	}
	if s.directDown || s.clock.Now().Sub(s.failingSince) < directDownAfter {
		return
	}
	s.directDown = true
	s.log.WithFields(logrus.Fields{"event": "store_turned_away", "error": cause, "routers": len(s.peers())}).Warn("store does not answer this router; others are asked")
}

func (s *Store) recordSuccess() {
	s.mu.Lock()
	wasDown, onRestored := s.directDown, s.onRestored
	s.directDown = false
	s.rateLimitedCount = 0
	s.lastSuccess, s.failingSince = s.clock.Now(), time.Time{}
	s.mu.Unlock()
	if !wasDown {
		return
	}
	onRestored()
	s.log.WithFields(logrus.Fields{"event": "store_direct"}).Info("store answers this router again")
}
