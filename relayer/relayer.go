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

	// minHedgeDelay and maxHedgeDelay bound how long the store may take before another router is asked as well. They are many
	// times its typical 4 ms and a fraction of what a caller waits for its budget. Between them the delay is hedgeLatencyFactor
	// times the current latency of direct calls: if the store is slow for all routers, hedging only makes it slower.
	minHedgeDelay      = 60 * time.Millisecond
	maxHedgeDelay      = 400 * time.Millisecond
	hedgeLatencyFactor = 3
	// watchHedgeDelay is the hedge delay of a watch, in addition to its maximum wait.
	watchHedgeDelay = 250 * time.Millisecond
	// directDownAfter is how long all direct calls must have failed, other than by rate limiting, before calls are relayed at
	// once. A single failure does not predict the result of the next call.
	directDownAfter = 100 * time.Millisecond
	// rateLimitedAfter and rateLimitedCalls are for how long, and in how many calls, the store must have rejected every call for
	// its rate before the direct path counts as down. A store that rejects every second call rejects that many in a row once in
	// 250 times. Relaying the calls to a store that is over its rate doubles its load.
	rateLimitedAfter = 400 * time.Millisecond
	rateLimitedCalls = 8
	// probeInterval is the time between two direct calls while the direct path is down, and maxProbes the number of them in
	// progress. More than one is needed because a call that is lost in a partition must not keep the next one from finding that
	// the store is reachable again.
	probeInterval = 120 * time.Millisecond
	maxProbes     = 4
	// relayTimeout is how long the answer to a relayed call may take to begin: the store's answer and two round trips between
	// availability zones.
	relayTimeout = 400 * time.Millisecond
	// directGrace is how long a direct call may still take after no other router could help.
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

// Store is a row store that is reached directly or through another router.
type Store struct {
	direct  masticway.RowStore
	client  *messenger.Client
	clock   masticway.Clock
	log     *logrus.Entry
	metrics *measurer.Set

	// calls are the direct calls in progress. They end with ctx.
	calls  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// peers returns the addresses of other routers. onRestored is called when direct calls work again.
	peers      func() []string
	onRestored func()
	// observeLatency is called with the duration of direct calls.
	observeLatency func(took time.Duration, answered bool)
	// lastSuccess is when a direct call last got a definite result. failingSince is when the first of the direct calls that
	// failed since then was sent; it is zero if none failed.
	lastSuccess  time.Time
	failingSince time.Time
	// rateLimitedSince and rateLimitedCount are the time of the first and the number of rate-limited calls since the last
	// definite result.
	rateLimitedSince time.Time
	rateLimitedCount int
	// meanLatency is the moving average of the latency of direct calls with a definite result.
	meanLatency time.Duration
	// directDown is set if direct calls have failed for a while. directInFlight counts the direct calls in progress.
	directDown     bool
	directInFlight int
	lastProbe      time.Time
	// firstPeer is the index of the first peer to ask. It advances if none of the peers that were asked could help.
	firstPeer int
}

var _ masticway.RowStore = (*Store)(nil)

// New returns a Store that calls a direct one. It knows no peers until Ask is called.
func New(direct masticway.RowStore, m *messenger.Client, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set) *Store {
	s := &Store{direct: direct, client: m, clock: clock, log: log, metrics: metrics, peers: func() []string { return nil }, onRestored: func() {}, observeLatency: func(time.Duration, bool) {}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close cancels the direct calls in progress and waits for them.
func (s *Store) Close() {
	s.cancel()
	s.calls.Wait()
}

// SetPeers sets the function that returns the addresses of other routers.
func (s *Store) SetPeers(peers func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
}

// OnRestored sets a function that is called whenever direct calls work again.
func (s *Store) OnRestored(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRestored = f
}

// OnDirectCall sets a function that is called with the duration of direct calls, and whether the store answered. A call that failed
// within minHedgeDelay counts as answered. Watches, large answers and rate-limited calls are not measured.
func (s *Store) OnDirectCall(observe func(took time.Duration, answered bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLatency = observe
}

// Read returns the rows of one part of a table.
func (s *Store) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	return readOutcome(s.call(ctx, storeCall{Table: table, Part: part}))
}

// Write commits a write. The write must expect a version of a row that it puts; otherwise it could be made twice.
func (s *Store) Write(ctx context.Context, w masticway.RowWrite) (masticway.RowReading, error) {
	return s.call(ctx, storeCall{Write: &w})
}

// Watch returns the changes of a table.
func (s *Store) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	return readOutcome(s.call(ctx, storeCall{Table: f.Table, Watch: true, Since: f.Since, MaxWait: f.MaxWait, MaxBytes: f.MaxBytes}))
}

// readOutcome replaces an unknown outcome by an unavailable store, because a read has no effect.
func readOutcome(reading masticway.RowReading, err error) (masticway.RowReading, error) {
	if unknown, ok := errors.AsType[*masticway.OutcomeUnknownError](err); ok {
		return reading, &masticway.UnavailableError{Service: serviceName, Reason: unknown.Reason}
	}
	return reading, err
}

// result is the result of one attempt.
type result struct {
	reading masticway.RowReading
	err     error
}

// isDefinite reports whether no other attempt can get a better result.
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

// isRateLimited reports whether the store rejected the call for its rate.
func (r result) isRateLimited() bool {
	refused, ok := errors.AsType[*masticway.UnavailableError](r.err)
	return ok && refused.RateLimited
}

// call makes a call directly and, if that fails or takes long, through another router.
func (s *Store) call(ctx context.Context, c storeCall) (masticway.RowReading, error) {
	p := startCall(ctx, s, c)
	defer p.cancelRelay()
	return p.wait()
}

// worseOf returns an unknown outcome if there is one, since the other attempt's failure does not make it certain.
func worseOf(a, b result) result {
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](a.err); ok {
		return a
	}
	return b
}

// plan reports whether to make a call directly and whether to relay it at once. While the direct path is down, a direct call is
// only a probe.
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

// callDirect makes a direct call. It may outlast its caller: if another router is faster, the result still shows whether the
// store serves this router. It ends early only if ctx does. It calls progress whenever more of a large answer arrives.
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
			// The duration of a large answer does not predict when the next answer begins.
			s.recordLatency(call, sentAt)
		}
		s.recordSuccess()
	case ctx.Err() != nil:
		// The call was canceled, so its failure says nothing about the store.
	case r.isRateLimited():
		s.recordRateLimited(sentAt, r.err)
	default:
		s.recordFailedLatency(call, sentAt)
		s.recordFailure(sentAt, r.err)
	}
	return r
}

// recordLatency records the latency of a direct call with a definite result.
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

// recordFailedLatency reports the duration of a direct call that failed, other than by rate limiting.
func (s *Store) recordFailedLatency(call storeCall, sentAt time.Time) {
	if call.Watch {
		return
	}
	s.mu.Lock()
	took, measured := s.clock.Now().Sub(sentAt), s.observeLatency
	s.mu.Unlock()
	measured(took, took < minHedgeDelay)
}

// hedgeDelay returns how long a direct call may take before it is relayed as well.
func (s *Store) hedgeDelay(call storeCall) time.Duration {
	if call.Watch {
		return call.MaxWait + watchHedgeDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeLatencyFactor*s.meanLatency))
}

// recordRateLimited records a call that the store rejected for its rate.
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

// addInFlight adds to the number of direct calls in progress.
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

// recordFailure records the failure of a direct call that was sent at sentAt.
func (s *Store) recordFailure(sentAt time.Time, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = sentAt
	}
	if s.failingSince.Before(s.lastSuccess) {
		// A watch that started long ago may fail although other calls have succeeded since.
		s.failingSince = s.lastSuccess
	}
	if s.directDown || s.clock.Now().Sub(s.failingSince) < directDownAfter {
		return
	}
	s.directDown = true
	s.log.WithFields(logrus.Fields{"event": "store_turned_away", "error": cause, "routers": len(s.peers())}).Warn("direct path to the store is down; calls are relayed")
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
	s.log.WithFields(logrus.Fields{"event": "store_direct"}).Info("direct path to the store is restored")
}
