package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// MaxRouters is the most routers of a soak, a few hundred processes.
	MaxRouters                  = 200
	callersEach                 = 12                               // callers for each router
	recoveryBound, recoveryPaid = 12 * time.Second, 5_000_000      // requests are served so long after all faults (as the users' deployments have it) and a top-up
	narrowLink, narrowEvery     = 10e6 / 8, 3                      // a machine's narrow link of 10 Mbit/s in bytes a second, in one soak of so many
	eventsMost, pauseMost       = 10, 250 * time.Millisecond       // of a stream, and between two
	graceLeast, graceMore       = 5 * time.Second, 3 * time.Second // routers have so long to end after SIGTERM, or so much more as is usual
	workMost                    = 250 * time.Millisecond           // what other answers take, far less than a router waits before it asks another server
	slowWork, slowEvery         = time.Second, 8                   // more than that, in one soak of so many
)

// Soak is a run as asked for.
type Soak struct {
	Seed               uint64
	Duration           time.Duration
	Routers            int
	Program, Directory string   // the built program, and where settings and logs go
	Kinds              []string // the kinds of faults that are drawn, all when there are none
}

// Report is what a soak saw.
type Report struct {
	Requests, Served, Resumed, Versions, Faults int
	// Starved is how often the machine held a router or the soak up, which excuses what came in that time.
	Starved    int
	Violations []Violation
}

// run is a soak that is under way.
type run struct {
	Soak
	random             *rand.Rand
	log                io.Writer
	rows               *emulator.RowStore
	store              *http.Server
	ledger             *emulator.OpaqueRunLog
	processes          []*process
	routers            map[string]int // the processes by the addresses that callers connect to
	faults             sync.WaitGroup
	events             int           // of a stream
	pause, work, grace time.Duration // between two events, of other answers, and for a router's end
	narrow             bool          // tells that links are narrow

	mu         sync.Mutex
	servers    []*emulator.OpaqueServer // the present lives of all servers
	lives      int                      // the number of all lives
	leftAt     map[string]time.Time     // when the store accepted that a life ends
	saidAt     map[string]time.Time     // when a life began to say in its answers that it ends
	all        []*emulator.OpaqueServer // all lives of servers
	limited    []limitSpan              // the times in which servers named limits
	versions   []version
	prepaid    map[string]int64
	delivered  map[string]int64
	requests   map[string]*request
	spans      map[string][]span
	held       map[int][]heldUp
	violations []Violation
	served     int
	resumed    int
	drawn      int // faults
}

// Run runs the soak; the error says that it could not be carried out, the report what it saw.
func (o Soak) Run(ctx context.Context) (Report, error) {
	// A directory that cannot be made has no log.
	_ = os.MkdirAll(o.Directory, 0o755)
	log, err := os.Create(filepath.Join(o.Directory, "soak.log"))
	if err != nil {
		return Report{}, err
	}
	defer log.Close()
	random, rows := rand.New(rand.NewPCG(o.Seed, 0)), emulator.NewRowStore(time.Now)
	s := &run{
		Soak: o, random: random, log: log, rows: rows, store: &http.Server{Handler: rows.Handler()}, ledger: &emulator.OpaqueRunLog{},
		events: 2 + random.IntN(eventsMost-1), pause: below(random, pauseMost), work: below(random, workMost), grace: graceLeast + time.Duration(random.IntN(2))*graceMore,
		servers: make([]*emulator.OpaqueServer, len(pools)), leftAt: map[string]time.Time{}, saidAt: map[string]time.Time{}, delivered: map[string]int64{},
		prepaid: map[string]int64{"thin": 4_000, "middle": 40_000, "wide": 50_000_000}, requests: map[string]*request{}, routers: map[string]int{}, spans: map[string][]span{}, held: map[int][]heldUp{},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	done := make(chan struct{})
	var load sync.WaitGroup
	s.offer(&load, done)
	s.play(ctx)
	s.faults.Wait()
	s.recover(ctx)
	close(done)
	load.Wait()
	s.judge()
	return Report{Requests: len(s.requests), Served: s.served, Resumed: s.resumed, Versions: len(s.versions), Faults: s.drawn, Starved: s.starved(), Violations: s.violations}, ctx.Err()
}

// start starts store, servers and routers.
func (s *run) start() error {
	listener := listen()
	go func() { _ = s.store.Serve(listener) }()
	var c condition
	if s.random.IntN(narrowEvery) == 0 {
		s.narrow, c.rate = true, narrowLink
	}
	if s.random.IntN(slowEvery) == 0 {
		s.work = slowWork
	}
	s.note("links of %.0f bytes a second, %d events each %s, work of %s, grace of %s", c.rate, s.events, s.pause, s.work, s.grace)
	for slot := range pools {
		s.startServer(slot)
	}
	s.configure(0, 0)
	// Addresses are drawn without the seed, so that soaks at the same time share none.
	subnet := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
	for i := range s.Routers {
		// Each router is told of itself and of the first.
		seeds := []string{fmt.Sprintf("%s%d:%d", subnet, 1, peerPort), fmt.Sprintf("%s%d:%d", subnet, 1+i, peerPort)}
		if err := s.addRouter(fmt.Sprint(subnet, 1+i), listener.Addr().String(), seeds, c); err != nil {
			return err
		}
	}
	for _, p := range s.processes {
		if !p.awaitReady() {
			return fmt.Errorf("%s was not ready within %s", p.settings.Instance, startBound)
		}
	}
	return nil
}

// offer starts callers and probers, and the watch over the machine.
func (s *run) offer(load *sync.WaitGroup, done <-chan struct{}) {
	load.Go(func() { s.watch(done) })
	var addresses []string
	for i, p := range s.processes {
		addresses = append(addresses, p.links[toCallers].Addr().String())
		probes := &prober{caller: s.newCaller("p", i, p.settings.CallerAddress), process: p}
		load.Go(func() { probes.probe(done) })
	}
	for i := range callersEach * s.Routers {
		c := s.newCaller("c", i, addresses...)
		load.Go(func() { c.call(done) })
	}
}

// play draws faults and carries each out beside the others, until the time is over.
func (s *run) play(ctx context.Context) {
	var lots []string
	for _, name := range Kinds() {
		switch {
		case len(s.Kinds) == 0:
			lots = append(lots, slices.Repeat([]string{name}, kinds[name].weight)...)
		case slices.Contains(s.Kinds, name):
			lots = append(lots, slices.Repeat([]string{name}, max(1, kinds[name].weight))...)
		}
	}
	began := time.Now()
	for at := below(s.random, gapMost); at < s.Duration; at += below(s.random, gapMost) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(at))):
		}
		e := event{kind: lots[s.random.IntN(len(lots))], target: s.random.IntN(1 << 16), size: s.random.Float64()}
		e.length = shortest + time.Duration(s.random.Float64()*float64(kinds[e.kind].most))
		s.note("%s target %d size %.2f length %s", e.kind, e.target, e.size, e.length)
		s.drawn++
		s.faults.Go(func() { kinds[e.kind].do(s, e) })
	}
}

// recover checks that each router serves each kind of request again, by the configuration accepted last; what is paid for is
// enough.
func (s *run) recover(ctx context.Context) {
	s.configure(0, recoveryPaid, workspaces...)
	last := s.newest(time.Now())
	var wg sync.WaitGroup
	until := time.Now().Add(recoveryBound)
	for i, p := range s.processes {
		address := p.links[toCallers].Addr().String()
		for j, r := range routes {
			c := s.newCaller("r", i*len(routes)+j, address)
			wg.Go(func() { c.askUntil(ctx, r, until) })
		}
		c := s.newCaller("v", i, address)
		wg.Go(func() { c.awaitVersion(ctx, last, until) })
	}
	wg.Wait()
}

func (s *run) close() {
	for _, p := range s.processes {
		p.close()
	}
	for _, server := range s.servers {
		server.Close()
	}
	_ = s.store.Close()
}
