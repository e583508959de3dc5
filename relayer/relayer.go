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

	// minHedgeDelay and maxHedgeDelay bound the hedge delay: how long the store may take before another router is asked as well.
	// They are many times the store's typical latency of 4 ms, and a fraction of the time for which a request may wait for its
	// budget. Between these bounds, the delay is hedgeLatencyFactor times the mean latency of direct calls. It grows with the
	// latency because hedging slows down a store that is already slow for all routers.
	minHedgeDelay      = 60 * time.Millisecond
	maxHedgeDelay      = 400 * time.Millisecond
	hedgeLatencyFactor = 3
	// watchHedgeDelay is added to the maximum wait of a watch to get its hedge delay.
	watchHedgeDelay = 250 * time.Millisecond
	// directDownAfter is how long all direct calls must have failed before the direct path counts as down. Rate-limited calls are
	// not counted (see rateLimitedCalls). While the path is down, calls are relayed at once. A single failure does not predict
	// the result of the next call.
	directDownAfter = 100 * time.Millisecond
	// rateLimitedAfter and rateLimitedCalls determine when rate limiting makes the direct path count as down: the store has
	// rejected at least rateLimitedCalls calls because of its rate limit, over at least rateLimitedAfter, without a definite
	// result in between. Both are large because relaying calls to a store that is over its rate doubles its load. A store that
	// rejects half of the calls at random rejects eight in a row only about once in 250 times.
	rateLimitedAfter = 400 * time.Millisecond
	rateLimitedCalls = 8
	// probeInterval is the minimum time between two direct calls while the direct path is down. In this state, no direct call is
	// started while maxProbes or more are in progress. maxProbes is larger than one because a call that is lost in a network
	// partition must not delay the call that finds that the store is reachable again.
	probeInterval = 120 * time.Millisecond
	maxProbes     = 4
	// relayTimeout is how long the answer of each router that is asked may take to begin, in addition to the maximum wait of a
	// watch. It allows for the store's answer and two round trips between availability zones.
	relayTimeout = 400 * time.Millisecond
	// directGrace is how long a direct call may still take after the relayed attempt has failed.
	directGrace = 200 * time.Millisecond
	// maxPeersAsked is the maximum number of routers that are asked each time a call is relayed.
	maxPeersAsked = 2
)

// Names of metrics.
const (
	metricRelayed        = "store_calls_relayed"
	metricRelayFailed    = "store_calls_not_relayed"
	metricServedForPeers = "store_calls_for_others"
	metricRateLimited    = "store_calls_over_rate"
	metricRejected       = "store_writes_rejected"
)

// Store is a row store that is reached directly or through another router.
type Store struct {
	direct  masticway.RowStore
	client  *messenger.Client
	clock   masticway.Clock
	log     *logrus.Entry
	metrics *measurer.Set

	// calls counts this router's own direct calls in progress. ctx ends them, and the writes for other routers.
	calls  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// peers returns the addresses of other routers. onRestored is called when direct calls work again.
	peers      func() []string
	onRestored func()
	// observeVersion is called with the store's version in each result, see OnVersion.
	observeVersion func(version int64)
	// observeLatency is called with the duration of direct calls, see OnDirectCall.
	observeLatency func(took time.Duration, answered bool)
	// lastSuccess is when a direct call last got a definite result. failingSince is zero if no direct call has failed after
	// lastSuccess. Otherwise it is when the first of the failed calls was sent, or lastSuccess if that is later.
	lastSuccess  time.Time
	failingSince time.Time
	// rateLimitedCount is the number of rate-limited direct calls since the last definite result. rateLimitedSince is when the
	// first of them was sent.
	rateLimitedSince time.Time
	rateLimitedCount int
	// meanLatency is the moving average of the latency of direct calls with a definite result, without watches and large answers.
	meanLatency time.Duration
	// directDown is set while the direct path counts as down. directInFlight is the number of direct calls in progress, including
	// those for other routers. lastProbe is when plan last allowed a direct call.
	directDown     bool
	directInFlight int
	lastProbe      time.Time
	// firstPeer is the index, modulo the number of peers, of the first peer to ask. It advances if none of the peers that were
	// asked could help.
	firstPeer int
}

var _ masticway.RowStore = (*Store)(nil)

// New returns a Store whose direct calls go to the store direct. It relays no calls until SetPeers is called.
func New(direct masticway.RowStore, m *messenger.Client, clock masticway.Clock, log *logrus.Entry, metrics *measurer.Set) *Store {
	s := &Store{direct: direct, client: m, clock: clock, log: log, metrics: metrics, peers: func() []string { return nil }, onRestored: func() {}, observeVersion: func(int64) {}, observeLatency: func(time.Duration, bool) {}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close cancels this router's direct calls in progress and waits for them. It also cancels the calls for other routers, but does
// not wait for these.
func (s *Store) Close() {
	s.cancel()
	s.calls.Wait()
}

// Cancel ends the calls in progress, and all later ones, without a definite result.
func (s *Store) Cancel() { s.cancel() }

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

// OnVersion sets a function that is called with the store's version in the results of this router's calls, direct or relayed, from
// which a component learns of a new era of the store.
func (s *Store) OnVersion(observe func(version int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeVersion = observe
}

// OnDirectCall sets a function that is called with the duration of direct calls and whether the store answered. A call that
// failed within minHedgeDelay counts as answered. Watches, rate-limited calls, canceled calls and large answers that arrived are
// not reported.
func (s *Store) OnDirectCall(observe func(took time.Duration, answered bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLatency = observe
}

// Read returns the rows of one part of a table.
func (s *Store) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	return readOutcome(s.call(ctx, storeCall{Table: table, Part: part}))
}

// Write commits a write. The write must expect the version of a row that it changes. Otherwise its two copies, direct and
// relayed, could both take effect.
func (s *Store) Write(ctx context.Context, w masticway.RowWrite) (masticway.RowReading, error) {
	return s.call(ctx, storeCall{Write: &w})
}

// Watch returns the changes of a table since the request's version. If there are none yet, it waits for them, at most for the
// request's maximum wait.
func (s *Store) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	return readOutcome(s.call(ctx, storeCall{Table: f.Table, Watch: true, Since: f.Since, MaxWait: f.MaxWait, MaxBytes: f.MaxBytes}))
}

// readOutcome replaces an error that reports an unknown outcome by one that reports an unavailable store, because a read has no
// effect.
func readOutcome(reading masticway.RowReading, err error) (masticway.RowReading, error) {
	if unknown, ok := errors.AsType[*masticway.OutcomeUnknownError](err); ok {
		return reading, &masticway.UnavailableError{Service: serviceName, Reason: unknown.Reason}
	}
	return reading, err
}

// result is the result of a direct or a relayed attempt to make a call.
type result struct {
	reading masticway.RowReading
	err     error
}

// isDefinite reports whether the store has answered the call: with success, a conflict or lost history. No other attempt can get
// a better result.
func (r result) isDefinite() bool {
	if r.err == nil {
		return true
	}
	if _, ok := errors.AsType[*masticway.RowConflictError](r.err); ok {
		return true
	}
	if _, ok := errors.AsType[*masticway.WriteRejectedError](r.err); ok {
		return true
	}
	_, ok := errors.AsType[*masticway.HistoryLostError](r.err)
	return ok
}

// isRateLimited reports whether the store rejected the call because its rate limit was exceeded.
func (r result) isRateLimited() bool {
	refused, ok := errors.AsType[*masticway.UnavailableError](r.err)
	return ok && refused.RateLimited
}

// call makes a call directly. If the direct call gets no result within the hedge delay, it makes the call through another router
// as well. While the direct path is down, it relays the call at once. If the direct call fails earlier and the path is not down,
// the call is not relayed.
func (s *Store) call(ctx context.Context, c storeCall) (masticway.RowReading, error) {
	p := startCall(ctx, s, c)
	defer p.cancelRelay()
	reading, err := p.wait()
	s.noteRejected(err)
	if version := answeredVersion(reading, err); version > 0 {
		s.mu.Lock()
		observe := s.observeVersion
		s.mu.Unlock()
		observe(version)
	}
	return reading, err
}

// noteRejected logs and counts a write that the store does not take as it is.
func (s *Store) noteRejected(err error) {
	rejected, ok := errors.AsType[*masticway.WriteRejectedError](err)
	if !ok {
		return
	}
	s.metrics.Add(metricRejected, 1)
	s.log.WithFields(logrus.Fields{
		"event": "store_write_rejected", "table": rejected.Row.Table, "part": rejected.Row.Part, "row": rejected.Row.Key, "row_bytes": rejected.Bytes,
		"rows": rejected.Rows, "write_bytes": rejected.WriteBytes, "reason": rejected.Reason,
	}).Error("the store does not take a write")
}

// answeredVersion returns the version of the store that the result of a call shows, zero if there is none.
func answeredVersion(reading masticway.RowReading, err error) int64 {
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		return conflict.Version
	}
	if historyLost, ok := errors.AsType[*masticway.HistoryLostError](err); ok {
		return masticway.NewStoreVersion(historyLost.Era, 0)
	}
	return reading.Version
}

// worseOf returns the worse of two results that are not definite. A result with an unknown outcome is worse, because the other
// attempt's failure does not make that outcome certain. If a's outcome is not unknown, worseOf returns b.
func worseOf(a, b result) result {
	if _, ok := errors.AsType[*masticway.OutcomeUnknownError](a.err); ok {
		return a
	}
	return b
}

// plan decides whether to make a call directly and whether to relay it at once. If it allows the direct call, it records the time
// in lastProbe. While the direct path is down, calls are relayed at once, and direct calls are made only as probes (see
// probeInterval).
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

// callDirect makes a direct call and records its result for the state of the direct path. The call continues even if a relayed
// attempt has got a result first, because it still shows whether the store serves this router. It is canceled only if ctx ends.
// It calls progress whenever more of a large answer has arrived.
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

// recordLatency records and reports the latency of a direct call with a definite result, unless it is a watch.
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

// recordFailedLatency reports the duration of a direct call that failed, other than by rate limiting, unless it is a watch.
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

// recordRateLimited records a direct call that the store rejected because its rate limit was exceeded. Enough of them count as a
// failure (see rateLimitedCalls).
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

// recordFailure records the failure of a direct call. It marks the direct path as down if all direct calls have failed for
// directDownAfter.
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

// recordSuccess records a direct call with a definite result and marks the direct path as up.
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
