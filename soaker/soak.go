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
	// MostRouters is the most routers of a soak, a few hundred processes.
	MostRouters                     = 200
	callersPerRouter                = 12                               // callers for each router
	recoveryTimeout, recoveryTokens = 12 * time.Second, 5_000_000      // requests are served so long after all faults (as the users' deployments have it) and a top-up
	narrowBandwidth, narrowEvery    = 10e6 / 8, 3                      // a machine's narrow link of 10 Mbit/s in bytes a second, in one soak of so many
	maxEvents, maxEventPause        = 10, 250 * time.Millisecond       // of a stream, and between two
	minGrace, extraGrace            = 5 * time.Second, 3 * time.Second // routers have so long to end after SIGTERM, or so much more as is usual
	maxWork                         = 250 * time.Millisecond           // what other answers take, far less than a router waits before it asks another server
	slowWork, slowEvery             = time.Second, 8                   // more than that, in one soak of so many
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

// soakRun is a soak that is under way.
type soakRun struct {
	Soak
	random             *rand.Rand
	log                io.Writer
	rows               *emulator.Rows
	store              *http.Server
	ledger             *emulator.OpaqueLedger
	processes          []*process
	routers            map[string]int // the processes by the addresses that callers connect to
	faults             sync.WaitGroup
	events             int           // of a stream
	pause, work, grace time.Duration // between two events, of other answers, and for a router's end
	narrow             bool          // tells that links are narrow

	mu               sync.Mutex
	servers          []*emulator.OpaqueServer // the present lives of all servers
	incarnations     int                      // the number of all lives
	drainAcceptedAt  map[string]time.Time     // when the store accepted that a life ends
	drainAnnouncedAt map[string]time.Time     // when a life began to say in its answers that it ends
	all              []*emulator.OpaqueServer // all lives of servers
	limits           []limitInterval          // the times in which servers named limits
	versions         []version
	prepaid          map[string]int64
	delivered        map[string]int64
	requests         map[string]*request
	disturbances     map[string][]interval
	delays           map[int][]schedulingDelay
	violations       []Violation
	served           int
	resumed          int
	faultsDrawn      int // faults
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
	random, rows := rand.New(rand.NewPCG(o.Seed, 0)), emulator.NewRows(time.Now)
	s := &soakRun{
		Soak: o, random: random, log: log, rows: rows, store: &http.Server{Handler: rows.Handler()}, ledger: &emulator.OpaqueLedger{},
		events: 2 + random.IntN(maxEvents-1), pause: randomUpTo(random, maxEventPause), work: randomUpTo(random, maxWork), grace: minGrace + time.Duration(random.IntN(2))*extraGrace,
		servers: make([]*emulator.OpaqueServer, len(pools)), drainAcceptedAt: map[string]time.Time{}, drainAnnouncedAt: map[string]time.Time{}, delivered: map[string]int64{},
		prepaid: map[string]int64{"thin": 4_000, "middle": 40_000, "wide": 50_000_000}, requests: map[string]*request{}, routers: map[string]int{}, disturbances: map[string][]interval{}, delays: map[int][]schedulingDelay{},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	done := make(chan struct{})
	var load sync.WaitGroup
	s.startLoad(&load, done)
	s.injectFaults(ctx)
	s.faults.Wait()
	s.checkRecovery(ctx)
	close(done)
	load.Wait()
	s.checkRuns()
	return Report{Requests: len(s.requests), Served: s.served, Resumed: s.resumed, Versions: len(s.versions), Faults: s.faultsDrawn, Starved: s.starvationCount(), Violations: s.violations}, ctx.Err()
}

// start starts store, servers and routers.
func (s *soakRun) start() error {
	listener := listen()
	go func() { _ = s.store.Serve(listener) }()
	var c condition
	if s.random.IntN(narrowEvery) == 0 {
		s.narrow, c.rate = true, narrowBandwidth
	}
	if s.random.IntN(slowEvery) == 0 {
		s.work = slowWork
	}
	s.logf("links of %.0f bytes a second, %d events each %s, work of %s, grace of %s", c.rate, s.events, s.pause, s.work, s.grace)
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
			return fmt.Errorf("%s was not ready within %s", p.settings.Instance, startTimeout)
		}
	}
	return nil
}

// startLoad starts callers and probers, and the watch over the machine.
func (s *soakRun) startLoad(load *sync.WaitGroup, done <-chan struct{}) {
	load.Go(func() { s.watchStarvation(done) })
	var addresses []string
	for i, p := range s.processes {
		addresses = append(addresses, p.proxies[callerProxy].Addr().String())
		probes := &prober{caller: s.newCaller("p", i, p.settings.CallerAddress), process: p}
		load.Go(func() { probes.probe(done) })
	}
	for i := range callersPerRouter * s.Routers {
		c := s.newCaller("c", i, addresses...)
		load.Go(func() { c.sendUntil(done) })
	}
}

// injectFaults draws faults and carries each out beside the others, until the time is over.
func (s *soakRun) injectFaults(ctx context.Context) {
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
	for at := randomUpTo(s.random, maxGap); at < s.Duration; at += randomUpTo(s.random, maxGap) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(at))):
		}
		e := faultEvent{kind: lots[s.random.IntN(len(lots))], target: s.random.IntN(1 << 16), severity: s.random.Float64()}
		e.duration = minDuration + time.Duration(s.random.Float64()*float64(kinds[e.kind].maxDuration))
		s.logf("%s target %d size %.2f length %s", e.kind, e.target, e.severity, e.duration)
		s.faultsDrawn++
		s.faults.Go(func() { kinds[e.kind].inject(s, e) })
	}
}

// checkRecovery checks that each router serves each kind of request again, by the configuration accepted last; what is paid for is
// enough.
func (s *soakRun) checkRecovery(ctx context.Context) {
	s.configure(0, recoveryTokens, workspaces...)
	last := s.newestVersion(time.Now())
	var wg sync.WaitGroup
	until := time.Now().Add(recoveryTimeout)
	for i, p := range s.processes {
		address := p.proxies[callerProxy].Addr().String()
		for j, r := range routes {
			c := s.newCaller("r", i*len(routes)+j, address)
			wg.Go(func() { c.sendUntilServed(ctx, r, until) })
		}
		c := s.newCaller("v", i, address)
		wg.Go(func() { c.awaitVersion(ctx, last, until) })
	}
	wg.Wait()
}

func (s *soakRun) close() {
	for _, p := range s.processes {
		p.close()
	}
	for _, server := range s.servers {
		server.Close()
	}
	_ = s.store.Close()
}
