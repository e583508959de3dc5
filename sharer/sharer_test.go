package sharer_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/sharer"
)

const (
	table = "servers"
	// heartbeatInterval is how often a server writes its row, and rowBytes the size of the row.
	heartbeatInterval = 3 * time.Second
	rowBytes          = 230
	// callInterval is the time between two calls of a router for the table.
	callInterval = 150 * time.Millisecond
	// readerCount is the number of readers in a zone.
	readerCount = 2
)

var errSilent = errors.New("no answer in time")

// countingStore is a row store that counts its calls and the bytes read.
type countingStore struct {
	*emulator.RowStore
	bytes, calls atomic.Int64
	// isDown is set if the store fails all calls of this router.
	isDown atomic.Bool
}

func (c *countingStore) Read(ctx context.Context, name, part string) (masticway.RowReading, error) {
	return c.count(c.RowStore.Read(ctx, name, part))
}

func (c *countingStore) Watch(ctx context.Context, req masticway.WatchRequest) (masticway.RowReading, error) {
	return c.count(c.RowStore.Watch(ctx, req))
}

func (c *countingStore) count(reading masticway.RowReading, err error) (masticway.RowReading, error) {
	c.calls.Add(1)
	if c.isDown.Load() {
		return masticway.RowReading{}, &masticway.UnavailableError{Service: "rows"}
	}
	c.bytes.Add(reading.Bytes())
	return reading, err
}

// fleet is a zone of routers that watch the table of servers.
type fleet struct {
	store   *countingStore
	routers []*simRouter
}

// simRouter watches the table and keeps a copy of it.
type simRouter struct {
	fleet  *fleet
	name   string
	number int
	own    *countingStore
	store  *sharer.Store
	// isSilent is set if the router replies to no requests.
	isSilent atomic.Bool
	// since is the version of the copy. known holds the states of the servers, by row key.
	since int64

	mu    sync.Mutex
	known map[string]string
}

// Ask sends a request to a reader.
func (f *fleet) Ask(ctx context.Context, address string, req sharer.Request) (sharer.Reply, error) {
	for _, r := range f.routers {
		if r.name != address {
			continue
		}
		if r.isSilent.Load() {
			time.Sleep(req.Wait + 300*time.Millisecond)
			return sharer.Reply{}, errSilent
		}
		return r.store.HandleRequest(ctx, req), nil
	}
	return sharer.Reply{}, errSilent
}

// rowState returns the state in a row, without the heartbeat number.
func rowState(_ string, value []byte) any {
	state, _, _ := strings.Cut(string(value), " ")
	return state
}

func newFleet(ctx context.Context, routers, servers int) *fleet {
	rows := emulator.NewRowStore(time.Now)
	f := &fleet{store: &countingStore{RowStore: rows}}
	log, _ := test.NewNullLogger()
	for i := range routers {
		r := &simRouter{fleet: f, name: fmt.Sprintf("edge-%d", i), number: i, own: &countingStore{RowStore: rows}}
		r.store = sharer.New(sharer.Dependencies{
			Store: r.own, Readers: f, Clock: emulator.MonotonicClock{}, Log: logrus.NewEntry(log), Metrics: measurer.New(),
			Choose: func() ([]string, bool) { return []string{"edge-0", "edge-1"}, r.number < readerCount },
		}, sharer.Table{Name: table, Projection: rowState})
		f.routers = append(f.routers, r)
	}
	for i := range servers {
		go f.writeHeartbeats(ctx, i, servers)
	}
	for _, r := range f.routers {
		go r.watch(ctx)
	}
	return f
}

func key(server int) masticway.RowKey {
	return masticway.RowKey{Table: table, Key: fmt.Sprintf("i-%d", server)}
}

func value(state string, number int) []byte {
	v := fmt.Sprintf("%s %d ", state, number)
	return []byte(v + strings.Repeat("x", max(0, rowBytes-len(v))))
}

// writeHeartbeats writes a server's row at each heartbeat.
func (f *fleet) writeHeartbeats(ctx context.Context, server, servers int) {
	time.Sleep(heartbeatInterval * time.Duration(server) / time.Duration(servers))
	for n := 0; ctx.Err() == nil; n++ {
		f.store.Put(key(server), value("ready", n))
		time.Sleep(heartbeatInterval)
	}
}

// watch keeps the router's copy of the table up to date.
func (r *simRouter) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if r.since == 0 {
			reading, err := r.store.Read(ctx, table, "")
			if err == nil {
				r.apply(true, reading)
			}
		} else {
			reading, err := r.store.Watch(ctx, masticway.WatchRequest{Table: table, Since: r.since, MaxWait: 900 * time.Millisecond, MaxBytes: 16 << 10})
			var lost *masticway.HistoryLostError
			switch {
			case errors.As(err, &lost):
				r.since = 0
				continue
			case err == nil:
				r.apply(false, reading)
			}
		}
		time.Sleep(callInterval)
	}
}

func (r *simRouter) apply(whole bool, reading masticway.RowReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if whole {
		r.known = map[string]string{}
	}
	r.since = max(r.since, reading.Version)
	for _, row := range reading.Rows {
		if row.Deleted {
			delete(r.known, row.Key)
			continue
		}
		r.known[row.Key], _, _ = strings.Cut(string(row.Value), " ")
	}
}

// state returns a server's state in the router's copy.
func (r *simRouter) state(server int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[key(server).Key]
}

// totals returns the bytes that all routers have read from the store, and the number of their calls.
func (f *fleet) totals() (bytes, calls int64) {
	for _, r := range f.routers {
		bytes += r.own.bytes.Load()
		calls += r.own.calls.Load()
	}
	return bytes, calls
}

// waitUntilKnown waits until all working routers know a state of a server, and returns how long this took. It fails after 10 s.
func (f *fleet) waitUntilKnown(t *testing.T, server int, want string) time.Duration {
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		missing := 0
		for _, r := range f.routers {
			// Routers that are cut off or silent need not know it.
			if r.state(server) != want && !r.isSilent.Load() && !r.own.isDown.Load() {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not all routers know that server %d is %q", server, want)
	return 0
}

func (f *fleet) stop(cancel context.CancelFunc) {
	cancel()
	time.Sleep(2 * heartbeatInterval)
}

// TestReadingsGrowWithServersNotWithTheirSquare guards against store traffic that grows with the number of routers times the
// number of servers. There are two servers for each router, and all heartbeats are written to the table. If each router watched
// the table, each would read 16 kB per second with 100 routers, and 65 kB with 400.
func TestReadingsGrowWithServersNotWithTheirSquare(t *testing.T) {
	perRouter := map[int]float64{}
	for _, routers := range []int{15, 100, 400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFleet(ctx, routers, 2*routers)
			time.Sleep(6 * time.Second)
			before, callsBefore := f.totals()
			time.Sleep(10 * time.Second)
			after, callsAfter := f.totals()
			perRouter[routers] = float64(after-before) / 10 / float64(routers)
			t.Logf("%d routers: %.0f bytes and %.2f calls per second each", routers, perRouter[routers], float64(callsAfter-callsBefore)/10/float64(routers))
			f.stop(cancel)
		})
	}
	// All routers watch a table that causes little traffic, but only the two readers one that causes much.
	qt.Check(t, perRouter[100] < 20_000, qt.IsTrue)
	qt.Check(t, perRouter[400] < 1000, qt.IsTrue)
}

// TestChangesArriveInTime changes the state of one server, and adds and removes another, while readers work, hang or are cut off
// from the store. All routers must know of each change within the 2 s that deployments with the tightest limits allow.
func TestChangesArriveInTime(t *testing.T) {
	cases := map[string]struct {
		disturb  func(f *fleet)
		maxDelay time.Duration
	}{
		"no disturbance":            {disturb: func(*fleet) {}, maxDelay: time.Second},
		"a reader is silent":        {disturb: func(f *fleet) { f.routers[0].isSilent.Store(true) }, maxDelay: 1500 * time.Millisecond},
		"both readers are silent":   {disturb: func(f *fleet) { f.routers[0].isSilent.Store(true); f.routers[1].isSilent.Store(true) }, maxDelay: 2 * time.Second},
		"a reader is cut off":       {disturb: func(f *fleet) { f.routers[0].own.isDown.Store(true) }, maxDelay: 2 * time.Second},
		"both readers are cut off":  {disturb: func(f *fleet) { f.routers[0].own.isDown.Store(true); f.routers[1].own.isDown.Store(true) }, maxDelay: 2 * time.Second},
		"one is silent, one is cut": {disturb: func(f *fleet) { f.routers[0].isSilent.Store(true); f.routers[1].own.isDown.Store(true) }, maxDelay: 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, 100, 900)
				f.store.Put(key(2000), value("ready", 1))
				time.Sleep(8 * time.Second)
				tc.disturb(f)
				f.store.Put(key(1000), value("ready", 1))
				f.store.Put(key(2000), value("draining", 2))
				took := max(f.waitUntilKnown(t, 2000, "draining"), f.waitUntilKnown(t, 1000, "ready"))
				t.Logf("all routers know after %v", took)
				qt.Check(t, took <= tc.maxDelay, qt.IsTrue)
				f.store.Delete(key(1000))
				qt.Check(t, f.waitUntilKnown(t, 1000, "") <= 2*time.Second, qt.IsTrue)
				f.stop(cancel)
			})
		})
	}
}
