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
	// heartbeatInterval is how often a server writes its row, rowBytes how large it is.
	heartbeatInterval = 3 * time.Second
	rowBytes          = 230
	// callInterval separates two calls of a router about the table.
	callInterval = 150 * time.Millisecond
	// readerCount is how many routers of a zone read for it.
	readerCount = 2
)

var errSilent = errors.New("no answer in time")

// countingStore is a row store that counts what is read of it.
type countingStore struct {
	*emulator.Rows
	bytes, calls atomic.Int64
	// isAway tells that it answers nobody.
	isAway atomic.Bool
}

func (c *countingStore) Read(ctx context.Context, name, part string) (masticway.RowReading, error) {
	return c.count(c.Rows.Read(ctx, name, part))
}

func (c *countingStore) Watch(ctx context.Context, f masticway.WatchRequest) (masticway.RowReading, error) {
	return c.count(c.Rows.Watch(ctx, f))
}

func (c *countingStore) count(reading masticway.RowReading, err error) (masticway.RowReading, error) {
	c.calls.Add(1)
	if c.isAway.Load() {
		return masticway.RowReading{}, &masticway.UnavailableError{Service: "rows"}
	}
	c.bytes.Add(reading.Bytes())
	return reading, err
}

// fleet is a zone of routers that follow the servers' table.
type fleet struct {
	store   *countingStore
	routers []*simRouter
}

// simRouter follows the table as a mirror does.
type simRouter struct {
	fleet  *fleet
	name   string
	number int
	own    *countingStore
	store  *sharer.Store
	// isSilent tells that it answers nobody any more, slow that it does after a while.
	isSilent atomic.Bool
	since    int64

	mu    sync.Mutex
	known map[string]string
}

// Ask carries a question to a reader.
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

// rowState is a row's state, without its number.
func rowState(_ string, value []byte) any {
	state, _, _ := strings.Cut(string(value), " ")
	return state
}

func newFleet(ctx context.Context, routers, servers int) *fleet {
	rows := emulator.NewRows(time.Now)
	f := &fleet{store: &countingStore{Rows: rows}}
	log, _ := test.NewNullLogger()
	for i := range routers {
		r := &simRouter{fleet: f, name: fmt.Sprintf("edge-%d", i), number: i, own: &countingStore{Rows: rows}}
		r.store = sharer.New(sharer.Parts{
			Store: r.own, Readers: f, Clock: emulator.SteadyClock{}, Log: logrus.NewEntry(log), Metrics: measurer.New(),
			Choose: func() ([]string, bool) { return []string{"edge-0", "edge-1"}, r.number < readerCount },
		}, sharer.Table{Name: table, Substance: rowState})
		f.routers = append(f.routers, r)
	}
	for i := range servers {
		go f.writeHeartbeats(ctx, i, servers)
	}
	for _, r := range f.routers {
		go r.follow(ctx)
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

// writeHeartbeats writes a server's row each heartbeat.
func (f *fleet) writeHeartbeats(ctx context.Context, server, servers int) {
	time.Sleep(heartbeatInterval * time.Duration(server) / time.Duration(servers))
	for n := 0; ctx.Err() == nil; n++ {
		f.store.Put(key(server), value("ready", n))
		time.Sleep(heartbeatInterval)
	}
}

// follow keeps what is known of the table up to date.
func (r *simRouter) follow(ctx context.Context) {
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

// state is what the router knows of a server.
func (r *simRouter) state(server int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[key(server).Key]
}

// totals is what all routers have read of the store.
func (f *fleet) totals() (bytes, calls int64) {
	for _, r := range f.routers {
		bytes += r.own.bytes.Load()
		calls += r.own.calls.Load()
	}
	return bytes, calls
}

// waitUntilKnown returns how long it takes until all routers that answer know something of a server; it fails after a while.
func (f *fleet) waitUntilKnown(t *testing.T, server int, want string) time.Duration {
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		missing := 0
		for _, r := range f.routers {
			// Who is cut off or silent need not know.
			if r.state(server) != want && !r.isSilent.Load() && !r.own.isAway.Load() {
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

func (f *fleet) close(stop context.CancelFunc) {
	stop()
	time.Sleep(2 * heartbeatInterval)
}

// TestReadingsGrowWithServersNotWithTheirSquare has zones of routers follow the table in which two servers for each router write all
// heartbeats. Followed by each router, the bytes at the store grow with routers times servers: 16 kB a second for each of 100 routers
// and 65 kB for each of 400.
func TestReadingsGrowWithServersNotWithTheirSquare(t *testing.T) {
	perRouter := map[int]float64{}
	for _, routers := range []int{15, 100, 400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			f := newFleet(ctx, routers, 2*routers)
			time.Sleep(6 * time.Second)
			before, callsBefore := f.totals()
			time.Sleep(10 * time.Second)
			after, callsAfter := f.totals()
			perRouter[routers] = float64(after-before) / 10 / float64(routers)
			t.Logf("%d routers: %.0f bytes a second each, %.2f calls", routers, perRouter[routers], float64(callsAfter-callsBefore)/10/float64(routers))
			f.close(stop)
		})
	}
	// What is cheap is followed by all; what is costly by two.
	qt.Check(t, perRouter[100] < 20_000, qt.IsTrue)
	qt.Check(t, perRouter[400] < 1000, qt.IsTrue)
}

// TestChangesArriveInTime has a server leave, and another come, while readers are well, dead, frozen or cut off from the store: all
// routers know in time, within the 2 s that deployments with the tightest bounds allow.
func TestChangesArriveInTime(t *testing.T) {
	cases := map[string]struct {
		trouble func(f *fleet)
		known   time.Duration
	}{
		"calm":                      {trouble: func(*fleet) {}, known: time.Second},
		"a reader is silent":        {trouble: func(f *fleet) { f.routers[0].isSilent.Store(true) }, known: 1500 * time.Millisecond},
		"both readers are silent":   {trouble: func(f *fleet) { f.routers[0].isSilent.Store(true); f.routers[1].isSilent.Store(true) }, known: 2 * time.Second},
		"a reader is cut off":       {trouble: func(f *fleet) { f.routers[0].own.isAway.Store(true) }, known: 2 * time.Second},
		"both readers are cut off":  {trouble: func(f *fleet) { f.routers[0].own.isAway.Store(true); f.routers[1].own.isAway.Store(true) }, known: 2 * time.Second},
		"one is silent, one is cut": {trouble: func(f *fleet) { f.routers[0].isSilent.Store(true); f.routers[1].own.isAway.Store(true) }, known: 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				f := newFleet(ctx, 100, 900)
				f.store.Put(key(2000), value("ready", 1))
				time.Sleep(8 * time.Second)
				tc.trouble(f)
				f.store.Put(key(1000), value("ready", 1))
				f.store.Put(key(2000), value("draining", 2))
				took := max(f.waitUntilKnown(t, 2000, "draining"), f.waitUntilKnown(t, 1000, "ready"))
				t.Logf("known after %v", took)
				qt.Check(t, took <= tc.known, qt.IsTrue)
				f.store.Delete(key(1000))
				qt.Check(t, f.waitUntilKnown(t, 1000, "") <= 2*time.Second, qt.IsTrue)
				f.close(stop)
			})
		})
	}
}
