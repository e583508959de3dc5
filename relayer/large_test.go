package relayer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/platform"
)

// prerenderedHandler serves answers that were rendered in advance, so that they start at once even on a busy machine.
func prerenderedHandler(h http.Handler, urls ...string) http.Handler {
	answers := map[string][]byte{}
	for _, u := range urls {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, u, nil))
		answers[u] = recorder.Body.Bytes()
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := answers[r.URL.RequestURI()]
		if !ok {
			http.NotFound(w, r)
			return
		}
		// Writing fails if the caller has left.
		_, _ = w.Write(answer)
	})
}

// steppedClock advances only when the test calls advance. It counts the timers that were set.
type steppedClock struct {
	mu     sync.Mutex
	now    time.Time
	set    int
	timers map[chan time.Time]time.Time
}

func newSteppedClock() *steppedClock {
	return &steppedClock{now: time.Now(), timers: map[chan time.Time]time.Time{}}
}

func (c *steppedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *steppedClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set++
	timer := make(chan time.Time, 1)
	c.timers[timer] = c.now.Add(d)
	return timer
}

func (c *steppedClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for timer, at := range c.timers {
		if !c.now.Before(at) {
			timer <- c.now
			delete(c.timers, timer)
		}
	}
}

// timersSet returns how many timers have been set so far.
func (c *steppedClock) timersSet() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set
}

// awaitTimers waits until more than n timers have been set.
func (c *steppedClock) awaitTimers(t *testing.T, n int) {
	for began := time.Now(); c.timersSet() <= n; time.Sleep(time.Millisecond) {
		if time.Since(began) > 30*time.Second {
			t.Fatalf("%d timers were set, expected more than %d", c.timersSet(), n)
		}
	}
}

// piecewiseServer sends the rendered answer to one request in pieces of the size in which the receiver reads. It sends a piece
// for each value in next.
func piecewiseServer(t *testing.T, h http.Handler, next <-chan struct{}) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		w.Header().Set("Content-Length", strconv.Itoa(recorder.Body.Len()))
		w.(http.Flusher).Flush()
		for recorder.Body.Len() > 0 {
			select {
			case <-next:
			case <-r.Context().Done():
				return
			}
			_, _ = w.Write(recorder.Body.Next(pieceBytes))
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// pieceBytes is the size of the pieces in which the receiver reads an answer. It reports progress after each of them.
const pieceBytes = 16 << 10

// TestNoOtherRouterIsAskedForWhatArrives reads a row whose transfer takes many times as long as the hedge delay, by the router's
// clock, and longer than the answer may take to begin. It guards against hedging a call while its answer is arriving, which
// would only halve the capacity of a slow link. The clock advances only between two pieces of the answer that have both arrived,
// so a busy machine cannot delay a piece beyond a timeout.
func TestNoOtherRouterIsAskedForWhatArrives(t *testing.T) {
	// pause is shorter than the time for which a large answer may pause. begin is shorter than the idle timeout of the receiver,
	// because the last pieces arrive after it.
	const size, begin, pause = 512 << 10, 1200 * time.Millisecond, 200 * time.Millisecond
	cases := map[string]func(ctx context.Context, s masticway.RowStore) (masticway.RowReading, error){
		"a read": func(ctx context.Context, s masticway.RowStore) (masticway.RowReading, error) {
			return s.Read(ctx, "op", "")
		},
		"a watch": func(ctx context.Context, s masticway.RowStore) (masticway.RowReading, error) {
			return s.Watch(ctx, masticway.WatchRequest{Table: "op", MaxWait: 100 * time.Millisecond})
		},
	}
	for name, read := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRouterPair(t)
			f.rows.Put(masticway.RowKey{Table: "op", Key: "large"}, []byte(strings.Repeat("x", size)))
			next := make(chan struct{})
			clock := newSteppedClock()
			store := f.newRouterWithClock(t, platform.NewStore(piecewiseServer(t, f.rows.Handler(), next), begin), clock)
			type result struct {
				reading masticway.RowReading
				err     error
			}
			done := make(chan result, 1)
			began := time.Now()
			go func() {
				reading, err := read(t.Context(), store)
				done <- result{reading: reading, err: err}
			}()
			clock.awaitTimers(t, 0)
			for range size / pieceBytes {
				set := clock.timersSet()
				next <- struct{}{}
				clock.awaitTimers(t, set)
				clock.advance(pause)
				// A hedged call needs some time to reach the other router, before the next piece cancels it.
				time.Sleep(10 * time.Millisecond)
			}
			// The rest of the answer comes only after the time in which it had to begin.
			time.Sleep(begin + 100*time.Millisecond - time.Since(began))
			close(next)
			r := <-done
			qt.Assert(t, r.err, qt.IsNil)
			qt.Check(t, len(r.reading.Rows[0].Value), qt.Equals, size)
			qt.Check(t, f.otherPath.calls.Load(), qt.Equals, int32(0))
		})
	}
}

// TestLargeRelayedReadArrives reads a row through another router over a slow link, while the direct path is down. It guards
// against limiting the transfer to the time in which an answer has to begin.
func TestLargeRelayedReadArrives(t *testing.T) {
	const rate, size, begin = 1 << 20, 512 << 10, 300 * time.Millisecond
	f := newRouterPair(t)
	f.rows.Put(masticway.RowKey{Table: "op", Key: "large"}, []byte(strings.Repeat("x", size)))
	link := emulator.NewBandwidthProxy(rate)
	t.Cleanup(link.Close)
	f.ownPath.mode.Store(pathUnavailable)
	f.takeDirectDown(t)
	var err error
	f.address, err = link.AddTarget(f.address)
	qt.Assert(t, err, qt.IsNil)
	began := time.Now()
	reading, err := f.store.Read(t.Context(), "op", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(reading.Rows[0].Value), qt.Equals, size)
	qt.Check(t, time.Since(began) > begin, qt.IsTrue, qt.Commentf("the answer was too fast for this test"))
}

// startStallingServer serves the handler's answers until stall is called. From then on each answer stops after its first bytes.
func startStallingServer(t *testing.T, h http.Handler, first int) (address string, stall func()) {
	var on atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !on.Load() {
			h.ServeHTTP(w, r)
			return
		}
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		w.Header().Set("Content-Length", strconv.Itoa(recorder.Body.Len()))
		_, _ = w.Write(recorder.Body.Bytes()[:min(first, recorder.Body.Len()-1)])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://"), func() { on.Store(true) }
}

// TestStalledAnswerIsRelayed cuts the direct path in the middle of an answer, while another router reaches the store.
func TestStalledAnswerIsRelayed(t *testing.T) {
	const within = time.Second
	key := masticway.RowKey{Table: "op", Key: "x"}
	cases := map[string]struct {
		size, first int
		call        func(s masticway.RowStore) error
	}{
		"a small read": {size: 1, first: 1, call: func(s masticway.RowStore) error {
			_, err := s.Read(t.Context(), "op", "")
			return err
		}},
		"a large read": {size: 256 << 10, first: 100 << 10, call: func(s masticway.RowStore) error {
			_, err := s.Read(t.Context(), "op", "")
			return err
		}},
		"a watch": {size: 1, first: 1, call: func(s masticway.RowStore) error {
			_, err := s.Watch(t.Context(), masticway.WatchRequest{Table: "op", MaxWait: 100 * time.Millisecond})
			return err
		}},
		"a write": {size: 1, first: 1, call: func(s masticway.RowStore) error {
			_, err := s.Write(t.Context(), masticway.RowWrite{
				Expected: []masticway.RowVersion{{RowKey: key, Version: 1}}, Puts: []masticway.RowPut{{RowKey: key, Value: []byte("w")}},
			})
			if _, conflict := errors.AsType[*masticway.RowConflictError](err); conflict {
				// The write was made on the direct path, which the relayed copy reports as a conflict.
				return nil
			}
			return err
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRouterPair(t)
			f.rows.Put(key, []byte(strings.Repeat("x", tc.size)))
			address, stall := startStallingServer(t, f.rows.Handler(), tc.first)
			s := f.newRouter(t, platform.NewStore(address, 600*time.Millisecond))
			_, err := s.Read(t.Context(), "op", "")
			qt.Assert(t, err, qt.IsNil)
			stall()
			began := time.Now()
			qt.Assert(t, tc.call(s), qt.IsNil)
			qt.Check(t, time.Since(began) < within, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		})
	}
}

// TestRelayStopsWhenPeerLeaves relays a large read through a router that reaches the store over a slow link. It guards against
// transferring the answer after the asking router has given up.
func TestRelayStopsWhenPeerLeaves(t *testing.T) {
	const rate, size = 1 << 20, 4 << 20
	f := newRouterPair(t)
	f.rows.Put(masticway.RowKey{Table: "op", Key: "large"}, []byte(strings.Repeat("x", size)))
	server := httptest.NewServer(prerenderedHandler(f.rows.Handler(), "/-/rows-get?part=&table=op"))
	t.Cleanup(server.Close)
	link := emulator.NewBandwidthProxy(rate)
	t.Cleanup(link.Close)
	address, err := link.AddTarget(strings.TrimPrefix(server.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	f.ownPath.mode.Store(pathUnavailable)
	f.takeDirectDown(t)
	mux := http.NewServeMux()
	f.newRouter(t, platform.NewStore(address, 600*time.Millisecond)).Serve(mux)
	helper := httptest.NewServer(mux)
	t.Cleanup(helper.Close)
	f.address = strings.TrimPrefix(helper.URL, "http://")
	_, err = f.store.Read(t.Context(), "op", "")
	qt.Assert(t, err, qt.IsNotNil)
	time.Sleep(200 * time.Millisecond)
	before := link.ReceivedBytes()
	time.Sleep(time.Second)
	qt.Check(t, link.ReceivedBytes()-before < rate/10, qt.IsTrue, qt.Commentf("%d bytes after the peer had left", link.ReceivedBytes()-before))
}

// TestLargeReadDoesNotRaiseHedgeDelay has a store that falls silent after a read that took a second. It guards against including
// the duration of large answers in the hedge delay.
func TestLargeReadDoesNotRaiseHedgeDelay(t *testing.T) {
	const rate, size = 1 << 20, 768 << 10
	f := newRouterPair(t)
	f.rows.Put(masticway.RowKey{Table: "op", Key: "large"}, []byte(strings.Repeat("x", size)))
	var silent atomic.Bool
	inner := f.rows.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		inner.ServeHTTP(w, r)
	}))
	t.Cleanup(server.CloseClientConnections)
	link := emulator.NewBandwidthProxy(rate)
	t.Cleanup(link.Close)
	address, err := link.AddTarget(strings.TrimPrefix(server.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	s := f.newRouter(t, platform.NewStore(address, 600*time.Millisecond))
	for range 10 {
		_, err = s.Read(t.Context(), "small", "")
		qt.Assert(t, err, qt.IsNil)
	}
	_, err = s.Read(t.Context(), "op", "")
	qt.Assert(t, err, qt.IsNil)
	silent.Store(true)
	began := time.Now()
	_, err = s.Read(t.Context(), "small", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, time.Since(began) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
