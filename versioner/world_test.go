package versioner

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() time.Time                         { return time.Now() }
func (bubbleClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// simRouter is a router of a simulated fleet.
type simRouter struct {
	*Versioner
	world   *world
	address string
	// The router is down until downUntil. It reaches neither the store nor other routers until cutUntil, the store not until
	// storeAwayUntil, and other routers not until aloneUntil.
	downUntil, cutUntil, storeAwayUntil, aloneUntil time.Time
	// Its reads of the configuration get no answer until configurationAwayUntil.
	configurationAwayUntil time.Time
	// seen is the router's view of the versions that serve.
	seen []string
	// stop ends the incarnation's background work.
	stop context.CancelFunc
}

// world is a simulated fleet, and a pool whose servers are replaced by servers of other versions.
type world struct {
	mu      sync.Mutex
	rng     *rand.Rand
	routers map[string]*simRouter
	// versions are those that serve.
	versions []string
	// messages counts the messages between routers, and storeCalls the routers' calls to the store.
	messages, storeCalls int
	rows                 *emulator.RowStore
}

// simStore is the store as a router reaches it.
type simStore struct {
	masticway.RowStore
	from *simRouter
}

// reach waits for the time that a call takes. It fails if the router does not reach the store.
func (s simStore) reach() error {
	w := s.from.world
	w.mu.Lock()
	w.storeCalls++
	reachable := time.Now().After(s.from.cutUntil) && time.Now().After(s.from.storeAwayUntil)
	w.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if !reachable {
		return &masticway.UnavailableError{}
	}
	return nil
}

func (s simStore) Read(ctx context.Context, table, part string) (masticway.RowReading, error) {
	if err := s.reach(); err != nil {
		return masticway.RowReading{}, err
	}
	return s.RowStore.Read(ctx, table, part)
}

func (s simStore) Write(ctx context.Context, write masticway.RowWrite) (masticway.RowReading, error) {
	if err := s.reach(); err != nil {
		return masticway.RowReading{}, err
	}
	return s.RowStore.Write(ctx, write)
}

var errUnreachable = errors.New("unreachable")

// link is the connection of a router to others.
type link struct{ from *simRouter }

// reach returns another router after the time that a message takes, if it can be reached.
func (l link) reach(ctx context.Context, address string) (*simRouter, error) {
	w := l.from.world
	w.mu.Lock()
	w.messages++
	to, now := w.routers[address], time.Now()
	reachable := to != nil && now.After(to.downUntil) && now.After(to.cutUntil) && now.After(l.from.cutUntil) && now.After(to.aloneUntil) && now.After(l.from.aloneUntil)
	delay := time.Duration(1+w.rng.IntN(5)) * time.Millisecond
	w.mu.Unlock()
	if !reachable {
		<-ctx.Done()
		return nil, errUnreachable
	}
	time.Sleep(delay)
	return to, nil
}

func (l link) Record(ctx context.Context, address string, records []Record) error {
	to, err := l.reach(ctx, address)
	if err == nil {
		to.keep(records)
	}
	return err
}

func (l link) Find(ctx context.Context, address string, s Stream) (Reply, error) {
	to, err := l.reach(ctx, address)
	if err != nil {
		return Reply{}, err
	}
	return to.reply(s), nil
}

// known returns the addresses of the routers that have been up within 12 s, in no order.
func (w *world) known() (addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, r := range w.routers {
		if time.Until(r.downUntil) < time.Hour {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Members counts the routers that RankedAddresses ranks.
func (r *simRouter) Members() int { return len(r.world.known()) }

// RankedAddresses ranks all routers that have been up within 12 s.
func (r *simRouter) RankedAddresses(key string, limit int) []string {
	known := r.world.known()
	slices.SortFunc(known, func(x, y string) int { return int(weight(key, y)>>1) - int(weight(key, x)>>1) })
	return known[:min(limit, len(known))]
}

// weight returns the rendezvous weight of an address for a key.
func weight(key, address string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, key+"|"+address+"|"+key)
	return h.Sum64()
}

// start begins a new incarnation of a router.
func (w *world) start(address string) {
	r := &simRouter{world: w, address: address}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.Versioner = New(Dependencies{
		Routers: link{r}, Members: r, Peers: func() []string { return nil }, Store: simStore{w.rows, r}, Clock: bubbleClock{}, Log: logrus.NewEntry(log), Metrics: measurer.New(), Address: address,
	})
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go r.Run(ctx)
	w.mu.Lock()
	if old := w.routers[address]; old != nil {
		old.stop()
		r.cutUntil, r.storeAwayUntil, r.aloneUntil = old.cutUntil, old.storeAwayUntil, old.aloneUntil
	}
	w.routers[address] = r
	w.mu.Unlock()
}

// read lets all routers that reach the store read the servers.
func (w *world) read() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range w.routers {
		if now.Before(r.downUntil) || now.Before(r.cutUntil) || now.Before(r.storeAwayUntil) {
			continue
		}
		if !slices.Equal(r.seen, w.versions) {
			r.seen = slices.Clone(w.versions)
			r.Update(testDeployment, serversOf(r.seen...))
		}
		r.RecordReading(now)
		if now.After(r.configurationAwayUntil) {
			r.RecordConfigurationReading(now)
		}
	}
}

// resumableRoute returns a route with resumable streams.
func resumableRoute(path string, shares ...masticway.TrafficShare) masticway.Route {
	return masticway.Route{Name: path, Prefix: path, RetryPolicy: masticway.RetryByResuming, Timeout: 4 * time.Second, Shares: shares}
}

// shareOf returns a share of a pool.
func shareOf(pool string, weight int) masticway.TrafficShare {
	return masticway.TrafficShare{Pool: pool, Weight: weight}
}

// up returns the routers that run, in a fixed order.
func (w *world) up() (all []*simRouter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range len(w.routers) {
		if r := w.routers[fmt.Sprint(i)]; time.Now().After(r.downUntil) && len(r.seen) > 0 {
			all = append(all, r)
		}
	}
	return all
}

// disrupt brings about one disruption that the random numbers choose.
func (w *world) disrupt(releases bool) {
	w.mu.Lock()
	kind, part := w.rng.IntN(5), []float64{0.1, 0.4}[w.rng.IntN(2)]
	var chosen []string
	for i := range len(w.routers) {
		if w.rng.Float64() < part {
			chosen = append(chosen, fmt.Sprint(i))
		}
	}
	until := time.Now().Add(time.Duration(1+w.rng.IntN(10_000)) * time.Millisecond)
	w.mu.Unlock()
	for _, address := range chosen {
		switch kind {
		case 0, 1:
			w.start(address)
			w.mu.Lock()
			w.routers[address].downUntil = time.Now().Add(300 * time.Millisecond)
			w.mu.Unlock()
		case 2:
			w.mu.Lock()
			w.routers[address].cutUntil = until
			w.mu.Unlock()
		case 3:
			w.mu.Lock()
			w.routers[address].storeAwayUntil = until
			w.mu.Unlock()
		}
	}
	if kind != 4 || !releases {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// A release: a version is added, or the oldest one is gone.
	if len(w.versions) < 3 && w.rng.IntN(2) == 0 {
		w.versions = append(slices.Clone(w.versions), fmt.Sprintf("v%d", w.rng.IntN(1000)))
	} else if len(w.versions) > 1 {
		w.versions = slices.Clone(w.versions[1:])
	}
}

// losePower ends all routers at once. They start again soon.
func (w *world) losePower() {
	for i := range len(w.routers) {
		address := fmt.Sprint(i)
		w.start(address)
		w.mu.Lock()
		w.routers[address].downUntil = time.Now().Add(800 * time.Millisecond)
		w.mu.Unlock()
	}
}

// outcome counts what became of the streams that were resumed.
type outcome struct{ resumed, mixed, unknown int }

// add adds what became of other streams.
func (o *outcome) add(other outcome) {
	o.resumed, o.mixed, o.unknown = o.resumed+other.resumed, o.mixed+other.mixed, o.unknown+other.unknown
}

// serveStreams begins a stream, resumes it at other routers once or twice, and returns what became of it.
func (w *world) serveStream(id string) (o outcome) {
	routers := w.up()
	if len(routers) == 0 {
		return o
	}
	w.mu.Lock()
	first := routers[w.rng.IntN(len(routers))]
	version := first.seen[w.rng.IntN(len(first.seen))]
	resumptions, pause := 1+w.rng.IntN(2), time.Duration(w.rng.IntN(2000))*time.Millisecond
	w.mu.Unlock()
	first.Versioner.Record(context.Background(), "p", id, version)
	for range resumptions {
		time.Sleep(pause)
		routers = w.up()
		if len(routers) == 0 {
			return o
		}
		w.mu.Lock()
		at := routers[w.rng.IntN(len(routers))]
		w.mu.Unlock()
		o.add(w.resume(at, id, version))
		if o.mixed+o.unknown > 0 {
			return o
		}
		at.Versioner.Record(context.Background(), "p", id, version)
	}
	return o
}

// TestStreamsAreNeverMixed guards against routers that tell a wrong version for a stream, while routers die, are cut off or lose the
// store, and versions come and go; and against routers that tell none although they could know it.
func TestStreamsAreNeverMixed(t *testing.T) {
	for _, size := range []struct{ routers, seeds, streams int }{{1, 4, 30}, {5, 12, 20}, {30, 4, 20}, {300, 1, 20}} {
		for name, tc := range map[string]struct{ releases, losses bool }{
			"releases": {releases: true}, "one version": {}, "releases and losses of power": {releases: true, losses: true}, "one version and losses of power": {losses: true},
		} {
			releases := tc.releases
			t.Run(fmt.Sprintf("%d routers, %s", size.routers, name), func(t *testing.T) {
				var total outcome
				messages, streams, storeCalls := 0, 0, 0
				for seed := range size.seeds {
					synctest.Test(t, func(t *testing.T) {
						w := &world{rng: rand.New(rand.NewPCG(uint64(seed), uint64(size.routers))), routers: map[string]*simRouter{}, versions: []string{"v1"}, rows: emulator.NewRowStore(time.Now)}
						for i := range size.routers {
							w.start(fmt.Sprint(i))
						}
						var mu sync.Mutex
						var wg sync.WaitGroup
						for at := range 200 {
							w.read()
							if at > 60 && at%7 == 0 {
								w.disrupt(releases)
							}
							if tc.losses && at > 60 && at%35 == 0 {
								w.losePower()
							}
							for k := range size.streams / 10 {
								streams++
								wg.Go(func() {
									o := w.serveStream(fmt.Sprintf("%d-%d", at, k))
									mu.Lock()
									defer mu.Unlock()
									total.add(o)
								})
							}
							time.Sleep(500 * time.Millisecond)
						}
						wg.Wait()
						for _, r := range w.routers {
							r.stop()
						}
						time.Sleep(deliveryTimeout)
						w.mu.Lock()
						defer w.mu.Unlock()
						messages, storeCalls = messages+w.messages, storeCalls+w.storeCalls
					})
				}
				t.Logf("%+v, %.2f messages and %.3f calls to the store a stream", total, float64(messages)/float64(streams), float64(storeCalls)/float64(streams))
				qt.Assert(t, total.mixed, qt.Equals, 0)
				if size.routers > 1 {
					qt.Assert(t, total.resumed >= total.unknown, qt.IsTrue, qt.Commentf("%+v", total))
				}
			})
		}
	}
}
