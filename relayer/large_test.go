package relayer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// TestNoOtherRouterIsAskedForWhatArrives reads a row whose transfer takes many times as long as the hedge delay. A call may be
// hedged if its answer does not begin, but not while the answer is arriving.
func TestNoOtherRouterIsAskedForWhatArrives(t *testing.T) {
	const rate, size, begin = 1 << 20, 512 << 10, 300 * time.Millisecond
	cases := map[string]struct {
		read       func(s masticway.RowStore) (masticway.RowReading, error)
		directDown bool
	}{
		"a read": {read: func(s masticway.RowStore) (masticway.RowReading, error) { return s.Read(t.Context(), "op", "") }},
		"a watch": {read: func(s masticway.RowStore) (masticway.RowReading, error) {
			return s.Watch(t.Context(), masticway.WatchRequest{Table: "op", MaxWait: 100 * time.Millisecond})
		}},
		"a relayed read": {
			read: func(s masticway.RowStore) (masticway.RowReading, error) { return s.Read(t.Context(), "op", "") }, directDown: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRouterPair(t)
			f.rows.Put(masticway.RowKey{Table: "op", Key: "large"}, []byte(strings.Repeat("x", size)))
			server := httptest.NewServer(prerenderedHandler(f.rows.Handler(), "/-/rows-get?part=&table=op", "/-/rows-feed?since_rev=0&table=op&wait_ms=100"))
			t.Cleanup(server.Close)
			link := emulator.NewBandwidthProxy(rate)
			t.Cleanup(link.Close)
			address, err := link.AddTarget(strings.TrimPrefix(server.URL, "http://"))
			qt.Assert(t, err, qt.IsNil)
			store := f.newRouter(t, platform.NewStore(address, begin))
			if tc.directDown {
				f.ownPath.mode.Store(pathUnavailable)
				f.takeDirectDown(t)
				store = f.store
				f.address, err = link.AddTarget(f.address)
				qt.Assert(t, err, qt.IsNil)
			}
			asked := f.otherPath.calls.Load()
			began := time.Now()
			reading, err := tc.read(store)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(reading.Rows[0].Value), qt.Equals, size)
			qt.Check(t, time.Since(began) > begin, qt.IsTrue, qt.Commentf("the answer was too fast for this test"))
			if !tc.directDown {
				qt.Check(t, f.otherPath.calls.Load(), qt.Equals, asked)
			}
		})
	}
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
