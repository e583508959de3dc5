package soaker

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// callersEach is the number of callers for each router.
	callersEach = 12
	// recoveryBound is how long after all faults requests are served again (recovery_s of the sheets), after each workspace
	// got recoveryPaid tokens more.
	recoveryBound, recoveryPaid = 12 * time.Second, 5_000_000
	// narrowLink is a machine's link where it is narrow: 10 Mbit/s, in bytes a second; one soak in narrowEvery has it.
	narrowLink, narrowEvery = 10e6 / 8, 3
	// eventsMost, pauseMost and workMost bound what answers take, to a few seconds.
	eventsMost, pauseMost, workMost = 10, 250 * time.Millisecond, 1500 * time.Millisecond
)

// graces are how long routers have to end after SIGTERM, the least and the usual of the sheets.
var graces = []time.Duration{5 * time.Second, 8 * time.Second}

// Soak is a run as asked for.
type Soak struct {
	Seed     uint64
	Duration time.Duration
	Routers  int
	// Program is the built program, Directory where settings and logs go.
	Program, Directory string
	// Kinds are the kinds of faults that are drawn, all when there are none.
	Kinds []string
}

// Report is what a soak saw.
type Report struct {
	Requests, Served, Versions, Faults int
	Violations                         []Violation
}

// run is a soak that is under way.
type run struct {
	Soak
	random    *rand.Rand
	log       io.Writer
	rows      *emulator.Rows
	store     *http.Server
	ledger    *emulator.OpaqueLedger
	processes []*process
	// routers finds a process by the addresses that callers connect to.
	routers map[string]int
	faults  sync.WaitGroup
	// events and pause are how streams are answered, work is the time that other answers take.
	events      int
	pause, work time.Duration
	// grace is how long a router has to end after SIGTERM.
	grace time.Duration

	mu sync.Mutex
	// servers are the present lives of all servers, lives counts all, leftAt is when the store accepted that one ends.
	servers    []*emulator.OpaqueServer
	lives      int
	leftAt     map[string]time.Time
	versions   []version
	prepaid    map[string]int64
	delivered  map[string]int64
	requests   map[string]*request
	spans      map[string][]span
	violations []Violation
}

// Run runs the soak; the error says that it could not be carried out, the report what it saw.
func (o Soak) Run(ctx context.Context) (Report, error) {
	log, err := os.Create(filepath.Join(o.Directory, "soak.log"))
	if err != nil {
		return Report{}, err
	}
	defer log.Close()
	random, rows := rand.New(rand.NewPCG(o.Seed, 0)), emulator.NewRows(time.Now)
	s := &run{
		Soak: o, random: random, log: log, rows: rows, store: &http.Server{Handler: rows.Handler()}, ledger: &emulator.OpaqueLedger{},
		events: 2 + random.IntN(eventsMost-1), pause: below(random, pauseMost), work: below(random, workMost),
		grace:   graces[random.IntN(len(graces))],
		servers: make([]*emulator.OpaqueServer, len(pools)), leftAt: map[string]time.Time{}, delivered: map[string]int64{},
		prepaid: map[string]int64{"thin": 4_000, "middle": 40_000, "wide": 50_000_000}, requests: map[string]*request{}, routers: map[string]int{}, spans: map[string][]span{},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	events, done := s.schedule(), make(chan struct{})
	var load sync.WaitGroup
	s.offer(&load, done)
	s.play(ctx, events)
	s.faults.Wait()
	s.recover(ctx)
	close(done)
	load.Wait()
	s.judge()
	report := Report{Requests: len(s.requests), Versions: len(s.versions), Faults: len(events), Violations: s.violations}
	for _, q := range s.requests {
		if q.outcome == outcomeAnswered && q.status == http.StatusOK {
			report.Served++
		}
	}
	return report, ctx.Err()
}

// start starts store, servers and routers.
func (s *run) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = s.store.Serve(listener) }()
	for slot := range pools {
		s.startServer(slot)
	}
	s.configure(0, 0)
	var c condition
	if s.random.IntN(narrowEvery) == 0 {
		c.rate = narrowLink
	}
	s.note("links of %.0f bytes a second, %d events each %s, work of %s, grace of %s", c.rate, s.events, s.pause, s.work, s.grace)
	// Addresses are drawn without the seed, so that soaks at the same time share none.
	subnet := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
	var seeds []string
	for i := range s.Routers {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", subnet, 1+i, peerPort))
	}
	for i := range s.Routers {
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

// schedule draws all faults.
func (s *run) schedule() (events []event) {
	var lots []string
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		if len(s.Kinds) == 0 || slices.Contains(s.Kinds, name) {
			lots = append(lots, slices.Repeat([]string{name}, kinds[name].weight)...)
		}
	}
	for at := time.Duration(0); ; {
		at += time.Duration(s.random.Int64N(int64(gapMost)))
		if at > s.Duration {
			return events
		}
		e := event{at: at, kind: lots[s.random.IntN(len(lots))], target: s.random.IntN(1 << 16), size: s.random.Float64()}
		e.length = shortest + time.Duration(s.random.Float64()*float64(kinds[e.kind].most))
		events = append(events, e)
	}
}

// offer starts callers and probers.
func (s *run) offer(load *sync.WaitGroup, done <-chan struct{}) {
	var addresses []string
	for i, p := range s.processes {
		addresses = append(addresses, p.callers.Addr().String())
		probes := s.newProber(i, p)
		load.Go(func() { probes.probe(done) })
	}
	for i := range callersEach * s.Routers {
		c := s.newCaller("c", i, addresses...)
		load.Go(func() { c.call(done) })
	}
}

// play carries the faults out, each at its time.
func (s *run) play(ctx context.Context, events []event) {
	began := time.Now()
	for _, e := range events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(e.at))):
		}
		s.note("%s target %d size %.2f length %s", e.kind, e.target, e.size, e.length)
		s.faults.Go(func() { kinds[e.kind].do(s, e) })
	}
}

// recover checks that each router serves each kind of request again; what is paid for is enough.
func (s *run) recover(ctx context.Context) {
	s.configure(0, recoveryPaid, workspaces...)
	var wg sync.WaitGroup
	until := time.Now().Add(recoveryBound)
	for i, p := range s.processes {
		for j, r := range routes {
			c := s.newCaller("r", i*len(routes)+j, p.callers.Addr().String())
			wg.Go(func() { c.askUntil(ctx, r, until) })
		}
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
