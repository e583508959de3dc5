package follower_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/follower"
	"github.com/masticway/masticway/logger"
	"github.com/masticway/masticway/measurer"
)

// connectionStore is a row store over connections that can go silent while new ones work.
type connectionStore struct {
	rows *emulator.RowStore
	// timeout is how long a call waits beyond its maximum wait.
	timeout time.Duration

	mu sync.Mutex
	// delay is how late the store answers.
	delay time.Duration
	// silenced is closed when the open connections go silent. idleSilent is set while a call may meet one of these.
	silenced   chan struct{}
	idleSilent bool
	// away is set while the store answers nobody, and refuses if it refuses calls instead.
	away, refuses bool
}

func (s *connectionStore) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// silence makes all open connections silent for good.
func (s *connectionStore) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silenced)
	s.silenced, s.idleSilent = make(chan struct{}), true
}

func (s *connectionStore) setAway(away, refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.refuses = away, refuses
}

func (s *connectionStore) CloseIdleConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleSilent = false
}

var errUnavailable = &masticway.UnavailableError{Service: "rows", Reason: "no answer"}

// do makes a call on a connection that is open already, if there is one.
func (s *connectionStore) do(ctx context.Context, wait time.Duration, call func(ctx context.Context) (masticway.RowReading, error)) (masticway.RowReading, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+s.timeout)
	defer cancel()
	s.mu.Lock()
	silenced, isSilent, away, refuses, delay := s.silenced, s.idleSilent, s.away, s.refuses, s.delay
	s.mu.Unlock()
	if refuses {
		return masticway.RowReading{}, errUnavailable
	}
	inner, stop := context.WithCancel(callCtx)
	defer stop()
	type result struct {
		reading masticway.RowReading
		err     error
	}
	results := make(chan result, 1)
	if !isSilent && !away {
		go func() {
			select {
			case <-inner.Done():
				results <- result{err: errUnavailable}
				return
			case <-time.After(delay):
			}
			reading, err := call(inner)
			results <- result{reading, err}
		}()
		select {
		case r := <-results:
			return r.reading, r.err
		case <-silenced:
		case <-callCtx.Done():
		}
	}
	<-callCtx.Done()
	if ctx.Err() == nil {
		s.CloseIdleConnections()
	}
	return masticway.RowReading{}, errUnavailable
}

func (s *connectionStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	return s.do(ctx, 0, func(ctx context.Context) (masticway.RowReading, error) { return s.rows.Read(ctx, table, part) })
}

func (s *connectionStore) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	return s.do(ctx, f.MaxWait, func(ctx context.Context) (masticway.RowReading, error) { return s.rows.Watch(ctx, f) })
}

func (s *connectionStore) Write(context.Context, masticway.RowWrite) (masticway.RowReading, error) {
	return masticway.RowReading{}, errors.New("not used")
}

func (s *connectionStore) Probe(ctx context.Context, table string) (int64, error) {
	s.mu.Lock()
	away, refuses, delay := s.away, s.refuses, s.delay
	s.mu.Unlock()
	if refuses {
		return 0, errUnavailable
	}
	if away {
		<-ctx.Done()
		return 0, errUnavailable
	}
	select {
	case <-ctx.Done():
		return 0, errUnavailable
	case <-time.After(delay):
	}
	reading, err := s.rows.Read(ctx, table, "")
	return reading.Version, err
}

// TestSilentConnectionsAreNoOutage guards against taking connections that have gone silent for an outage of the store, after which a
// server that has left gets requests for the whole grace period. How long the calls on silent connections take does not matter.
func TestSilentConnectionsAreNoOutage(t *testing.T) {
	cases := map[string]struct {
		timeout, delay time.Duration
		// again is how long after the first silence there is a second one, if it is not zero.
		again time.Duration
		// within is how long after the silence the server must be out of use.
		within time.Duration
	}{
		"as the calls are":               {timeout: 700 * time.Millisecond, within: 1700 * time.Millisecond},
		"calls that take longer":         {timeout: 1100 * time.Millisecond, within: 1700 * time.Millisecond},
		"calls that take far longer":     {timeout: 3 * time.Second, within: 1700 * time.Millisecond},
		"late answers":                   {timeout: 1100 * time.Millisecond, delay: 500 * time.Millisecond, within: 3500 * time.Millisecond},
		"later answers":                  {timeout: 1100 * time.Millisecond, delay: 900 * time.Millisecond, within: 4500 * time.Millisecond},
		"a second silence":               {timeout: 700 * time.Millisecond, again: time.Second, within: 2900 * time.Millisecond},
		"a second silence just after it": {timeout: 1100 * time.Millisecond, again: 1300 * time.Millisecond, within: 2900 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, f, stop := followConnections(t, tc.timeout)
				defer stop()
				for range 6 {
					putServer(s.rows, "i-2", 0)
					await(t, f, "the server is there", 10*time.Second, func(n int) bool { return n == 2 })
					time.Sleep(3 * time.Second)
					s.silence()
					s.setDelay(tc.delay)
					silentAt := time.Now()
					time.Sleep(500 * time.Millisecond)
					s.rows.Delete(serverRow("i-2", 0, masticway.ServerReady).RowKey)
					if tc.again > 0 {
						time.Sleep(time.Until(silentAt.Add(tc.again)))
						s.silence()
					}
					await(t, f, "the server is out of use", tc.within-time.Since(silentAt), func(n int) bool { return n == 1 })
					s.setDelay(0)
				}
			})
		})
	}
}

// TestServersAreKeptAfterOutage guards against the loss of servers whose registrations have expired in an outage of the store.
func TestServersAreKeptAfterOutage(t *testing.T) {
	for name, refuses := range map[string]bool{"without answers": false, "refused": true} {
		for _, lasts := range []time.Duration{2100 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, 9 * time.Second} {
			t.Run(name+" "+lasts.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, f, stop := followConnections(t, 700*time.Millisecond)
					defer stop()
					putServer(s.rows, "i-2", 0)
					await(t, f, "the server is there", 10*time.Second, func(n int) bool { return n == 2 })
					time.Sleep(3 * time.Second)
					s.setAway(true, refuses)
					s.silence()
					time.Sleep(lasts)
					s.rows.Delete(serverRow("i-2", 0, masticway.ServerReady).RowKey)
					s.setAway(false, false)
					s.CloseIdleConnections()
					time.Sleep(1500 * time.Millisecond)
					qt.Assert(t, f.Snapshot().Servers["p"], qt.HasLen, 2)
					putServer(s.rows, "i-2", 1)
					time.Sleep(4 * time.Second)
					qt.Assert(t, f.Snapshot().Servers["p"], qt.HasLen, 2)
				})
			})
		}
	}
}

// TestStalledRouterAssumesOutage guards against the loss of servers whose registrations expired while this process did not run and could
// not find out whether the store answered.
func TestStalledRouterAssumesOutage(t *testing.T) {
	f := follower.New(nil, nil, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Snapshot) {})
	f.ProbeWith(&connectionStore{})
	r := follower.NewRegistry(decoder{})
	now := time.Unix(0, 0)
	r.RecordContact(now, 1)
	r.RecordStall(3 * time.Second)
	qt.Assert(t, r.RecordContact(now.Add(3*time.Second), 2), qt.IsTrue)
}

// followConnections starts a follower of a store with one server that sends a heartbeat each second.
func followConnections(t *testing.T, timeout time.Duration) (*connectionStore, *follower.Follower, func()) {
	s := &connectionStore{rows: emulator.NewRowStore(time.Now), timeout: timeout, silenced: make(chan struct{})}
	f := follower.New(s, s, decoder{}, masticway.SystemClock{}, logger.Discard().WithField("", ""), measurer.New(), func(follower.Snapshot) {})
	f.ProbeWith(s)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() {
		for beat := int64(0); ctx.Err() == nil; beat++ {
			putServer(s.rows, "i-1", beat)
			time.Sleep(time.Second)
		}
	})
	putConfiguration(s.rows, 1)
	return s, f, func() {
		cancel()
		wg.Wait()
	}
}

func putServer(rows *emulator.RowStore, id string, beat int64) {
	row := serverRow(id, beat, masticway.ServerReady)
	rows.Put(row.RowKey, row.Value)
}

// await waits until a condition on the number of servers is met.
func await(t *testing.T, f *follower.Follower, description string, limit time.Duration, isMet func(servers int) bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if isMet(len(f.Snapshot().Servers["p"])) {
			return
		}
	}
	t.Fatalf("%s: not within %s, %d servers", description, limit, len(f.Snapshot().Servers["p"]))
}
