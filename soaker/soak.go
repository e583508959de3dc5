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
	"sync/atomic"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// MaxRouters is the largest number of routers for which a soak is meant, because each router is a process. Run does not
	// enforce it.
	MaxRouters       = 200
	callersPerRouter = 12
	// recoveryTimeout is the time after all faults within which requests must be served again, as in the users' deployments.
	// recoveryTokens is how many tokens are paid to each workspace at its start.
	recoveryTimeout, recoveryTokens = 12 * time.Second, 5_000_000
	// narrowBandwidth is the bandwidth (10 Mbit/s, in bytes per second) of each router's connections to the store, in each
	// direction, in soaks with narrow links. On average, one of narrowEvery soaks has them.
	narrowBandwidth, narrowEvery = 10e6 / 8, 3
	// maxEvents is the largest number of events of a stream, and maxEventPause the longest pause between two events. Each
	// soak draws its own values.
	maxEvents, maxEventPause = 10, 250 * time.Millisecond
	// minGrace is the grace period of routers after SIGTERM. Half of the soaks add extraGrace, which gives the usual grace
	// period.
	minGrace, extraGrace = 5 * time.Second, 3 * time.Second
	// maxWork is the longest time that servers usually take for answers that are not streams. It is far shorter than the
	// time that a router waits before it tries another server.
	maxWork = 250 * time.Millisecond
	// slowWork is the time that servers take for answers that are not streams in one of slowEvery soaks, on average.
	slowWork, slowEvery = time.Second, 8
)

// Soak configures a soak.
type Soak struct {
	Seed               uint64
	Duration           time.Duration // the time in which faults begin, without the start and the checks after the faults
	Routers            int           // the number of routers
	Program, Directory string        // the path of the built program; the directory for settings and logs
	Kinds              []string      // the kinds of faults that are drawn; if empty, all that have a weight
	// SharesLoad makes a deployment in which the routers coordinate load: they are in several availability zones, streams allow
	// only short pauses, and plain servers take few connections.
	SharesLoad bool
}

// Report is the result of a soak.
type Report struct {
	// Requests counts the requests that were made, including probes and resumed requests. Served counts the complete answers
	// with status 200. Resumed counts the requests that resumed an answer and got events. Versions counts the accepted
	// versions of the configuration. Faults counts the faults that were drawn.
	Requests, Served, Resumed, Versions, Faults int
	// Retried counts the requests that try again one that failed.
	Retried int
	// Repeated counts those of them that have the ID of the refused one.
	Repeated int
	// Continued counts the streams of which several tries of a caller brought events; their order was checked over all of these.
	Continued int
	// Sound counts the sound requests beside those with a deadly part whose answers were checked.
	Sound int
	// Starved counts the polls at which a router or the soak had waited too long for a processor, once for each router
	// concerned. If something is late or missing at these times, it is no violation. The exception is the check after all
	// faults.
	Starved int
	// Left counts the requests whose callers left before they were answered. Waited counts the requests of callers that waited
	// while a router was stopped, WaitedAnswered those of them that got a whole answer or refusal in time, and WaitedServed those
	// that were served.
	Left, Waited, WaitedAnswered, WaitedServed int
	Violations                                 []Violation
}

// soakRun is the state of a running soak.
type soakRun struct {
	Soak
	random             *rand.Rand
	log                io.Writer
	rows               *emulator.RowStore
	store              *http.Server
	ledger             *emulator.OpaqueRunLog
	processes          []*process
	routers            map[string]int // the index of each process, by its own address for callers and by its proxy's
	routerOf           sync.Map       // the index of the router that each request was sent to, by id
	deliveries         deliveries
	faults             sync.WaitGroup // the faults that still last
	crowdMu, slowMu    sync.Mutex     // held while there are additional callers, or slow readers
	returnMu           sync.Mutex     // held from when a copy of the store is made until the store has returned from it
	crowds, slowFaults int            // the number of such faults; each is protected by its mutex
	events             int            // number of events per stream
	pause, work, grace time.Duration  // the pause between two events; the duration of other answers; the grace period of routers
	narrow             bool           // network links to the store are narrow

	mu               sync.Mutex
	servers          []*emulator.OpaqueServer // the current server of each slot
	zones            map[string]string        // the availability zone of each server, by ID
	incarnations     int                      // the number of servers that have been started
	slotVersions     []int                    // the software version of each slot's current or next server
	serverSpans      map[string]serverSpan    // when each server serves, by ID
	drainAcceptedAt  map[string]time.Time     // when the store accepted that a server's row is draining or removed, by server ID
	drainAnnouncedAt map[string]time.Time     // when a server started to announce in its answers that it drains, by server ID
	all              []*emulator.OpaqueServer // all servers that have been started
	limits           []limitInterval          // the ended intervals in which servers advertised rate limits
	versions         []version
	prepaid          map[string]int64          // tokens by workspace
	maxPrepaid       map[string]int64          // the most tokens that each workspace has had prepaid
	pending          map[string]int64          // the most tokens that the requests in progress may cost, by workspace
	keys             map[string]string         // the current key of each workspace, empty while it has none
	isChanging       map[string]bool           // workspaces whose keys or budgets are being changed
	keysIssued       int                       // the number of keys that were given to workspaces later
	workspaceFaults  int                       // the number of faults with more callers of a workspace
	delivered        map[string]int64          // tokens that callers got, by workspace, without abandoned answers
	abandoned        map[string]int64          // tokens of answers that callers abandoned, by workspace
	requests         map[sending]*request      // by id and path
	disturbances     map[string][]interval     // by target: a router, a server or the store
	delays           map[int][]schedulingDelay // by index of the router
	violations       []Violation
	slowReads        []slowRead // the requests of slow readers that were served
	loadStartedAt    time.Time  // when the callers started
	served           int
	resumed, retried int
	repeated         int // the number of requests that have the ID of a refused one
	continued        int // the number of streams of which several tries brought events
	faultsDrawn      int
	// The copies of refusals that servers send, by pool.
	lateCopies    map[string]emulator.LateCopies
	activeParts   atomic.Int32
	handoverStops atomic.Int32 // the number of faults in which routers are stopped in handovers
	deadlyParts   int          // the number of faults with a deadly part
	leavingFaults int          // the number of faults in which callers leave
	// The number of requests whose callers left, of those whose callers waited, and of those of them that were answered and served.
	left, waited, waitedAnswered, waitedServed int
	sound                                      int // the number of sound requests beside them that were checked
}

// Run runs the soak and returns its report. It returns an error if the soak could not be carried out or ctx is done.
func (o Soak) Run(ctx context.Context) (Report, error) {
	// If this fails, so does creating the log.
	_ = os.MkdirAll(o.Directory, 0o755)
	log, err := os.Create(filepath.Join(o.Directory, "soak.log"))
	if err != nil {
		return Report{}, err
	}
	defer log.Close()
	random, rows := rand.New(rand.NewPCG(o.Seed, 0)), emulator.NewRowStore(time.Now)
	s := &soakRun{
		Soak: o, random: random, log: log, rows: rows, store: &http.Server{Handler: rows.Handler()}, ledger: &emulator.OpaqueRunLog{},
		events: 2 + random.IntN(maxEvents-1), pause: randomUpTo(random, maxEventPause), work: randomUpTo(random, maxWork), grace: minGrace + time.Duration(random.IntN(2))*extraGrace,
		servers: make([]*emulator.OpaqueServer, len(pools)), zones: map[string]string{}, slotVersions: firstVersions(o.hasReleases()), serverSpans: map[string]serverSpan{}, drainAcceptedAt: map[string]time.Time{}, drainAnnouncedAt: map[string]time.Time{}, delivered: map[string]int64{}, abandoned: map[string]int64{},
		prepaid: map[string]int64{"thin": 4_000, "middle": 40_000, "wide": 50_000_000, singleWorkspace: 2_000_000}, maxPrepaid: map[string]int64{}, pending: map[string]int64{}, keys: firstKeys(), isChanging: map[string]bool{}, requests: map[sending]*request{}, routers: map[string]int{}, disturbances: map[string][]interval{}, delays: map[int][]schedulingDelay{},
		lateCopies: map[string]emulator.LateCopies{},
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
	return Report{Requests: len(s.requests), Served: s.served, Resumed: s.resumed, Retried: s.retried, Repeated: s.repeated, Continued: s.continued, Sound: s.sound, Versions: len(s.versions), Faults: s.faultsDrawn, Starved: s.starvationCount(), Left: s.left, Waited: s.waited, WaitedAnswered: s.waitedAnswered, WaitedServed: s.waitedServed, Violations: s.violations}, ctx.Err()
}

// firstKeys returns the first key of each workspace.
func firstKeys() map[string]string {
	keys := map[string]string{}
	for _, workspace := range append(slices.Clone(workspaces), singleWorkspace) {
		keys[workspace] = emulator.DeploymentKey(workspace, 0)
	}
	return keys
}

// start starts the store, the servers and the routers, and waits until all routers are ready.
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
	if s.SharesLoad {
		s.work = maxWork
	}
	s.logf("store links of %.0f bytes/s (0 is unlimited), %d events per stream every %s, other answers take %s, grace period %s", c.rate, s.events, s.pause, s.work, s.grace)
	for slot := range pools {
		s.startServer(slot)
	}
	s.configure(0, 0)
	// The subnet does not depend on the seed, so that concurrent soaks with the same seed rarely share addresses.
	subnet := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
	for i := range s.Routers {
		// The peer seeds of a router are the peer addresses of the first router and of itself.
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

// startLoad starts the callers, the probers and the watch for starvation in load. All of them end after done is closed.
func (s *soakRun) startLoad(load *sync.WaitGroup, done <-chan struct{}) {
	s.loadStartedAt = time.Now()
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

// injectFaults draws faults and starts each at its time, until the duration of the soak is over or ctx is done. Faults run
// concurrently. Some may still last when injectFaults returns.
func (s *soakRun) injectFaults(ctx context.Context) {
	var weightedKinds []string
	for _, name := range Kinds() {
		switch {
		case len(s.Kinds) == 0:
			weightedKinds = append(weightedKinds, slices.Repeat([]string{name}, kinds[name].weight)...)
		case slices.Contains(s.Kinds, name):
			weightedKinds = append(weightedKinds, slices.Repeat([]string{name}, max(1, kinds[name].weight))...)
		}
	}
	start := time.Now()
	for at := randomUpTo(s.random, maxGap); at < s.Duration; at += randomUpTo(s.random, maxGap) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(at))):
		}
		e := faultEvent{kind: weightedKinds[s.random.IntN(len(weightedKinds))], target: s.random.IntN(1 << 16), severity: s.random.Float64()}
		e.duration = minDuration + time.Duration(s.random.Float64()*float64(kinds[e.kind].maxDuration))
		s.logf("%s target %d severity %.2f duration %s", e.kind, e.target, e.severity, e.duration)
		s.faultsDrawn++
		s.faults.Go(func() { kinds[e.kind].inject(s, e) })
	}
}

// checkRecovery pays tokens to all workspaces and then checks that each router serves requests to each route again and applies
// the last accepted configuration.
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
