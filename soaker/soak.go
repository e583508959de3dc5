package soaker

import (
	"context"
	"errors"
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
	callersEach = 8
	// startBound is how long the routers may take to be ready at first.
	startBound = 20 * time.Second
	// recoveryBound is how long after all faults requests are served again (recovery_s of the sheets), after each workspace
	// got recoveryPaid tokens more.
	recoveryBound = 12 * time.Second
	recoveryPaid  = 5_000_000
	// narrowLink is a machine's link where it is narrow: 10 Mbit/s, in bytes a second; one soak in narrowEvery has it.
	narrowLink  = 10e6 / 8
	narrowEvery = 4
)

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
	Requests, Served, Versions int
	Faults                     map[string]int
	Violations                 []Violation
}

// run is a soak that is under way.
type run struct {
	Soak
	random    *rand.Rand
	record    *record
	rows      *emulator.Rows
	store     *http.Server
	park      *park
	operator  *operator
	processes []*process

	faults  sync.WaitGroup
	mu      sync.Mutex
	failure error
}

// Run runs the soak; the error says that it could not be carried out, the report what it saw.
func (o Soak) Run(ctx context.Context) (Report, error) {
	log, err := os.Create(filepath.Join(o.Directory, "soak.log"))
	if err != nil {
		return Report{}, err
	}
	defer log.Close()
	s := &run{Soak: o, random: rand.New(rand.NewPCG(o.Seed, 1)), record: newRecord(log), rows: emulator.NewRows(time.Now)}
	s.operator = newOperator(s.rows, rand.New(rand.NewPCG(o.Seed, 2)))
	s.park = &park{
		rows: s.rows, record: s.record, ledger: &emulator.OpaqueLedger{}, slots: make([]*emulator.OpaqueServer, len(pools)), leftAt: map[string]time.Time{},
		events: 3 + s.random.IntN(8), pause: time.Duration(2+s.random.IntN(120)) * time.Millisecond, work: time.Duration(s.random.IntN(150)) * time.Millisecond,
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	events := s.schedule()
	done := make(chan struct{})
	var load sync.WaitGroup
	s.offer(&load, done)
	s.play(ctx, events)
	s.faults.Wait()
	s.recover(ctx)
	close(done)
	load.Wait()
	s.judge()
	return s.report(events), errors.Join(s.failure, ctx.Err())
}

// start starts store, servers and routers.
func (s *run) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.store = &http.Server{Handler: s.rows.Handler()}
	go func() { _ = s.store.Serve(listener) }()
	for slot := range pools {
		if err := s.park.start(slot); err != nil {
			return err
		}
	}
	_ = s.configure(0, 0)
	var base condition
	if s.random.IntN(narrowEvery) == 0 {
		base.rate = narrowLink
	}
	s.record.note("links of %.0f bytes a second, %d events each %s, work of %s", base.rate, s.park.events, s.park.pause, s.park.work)
	// Each router has an address of its own, drawn without the seed, so that soaks at the same time share none.
	var ips, seeds []string
	for i := range s.Routers {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+i))
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], peerPort))
	}
	for i, ip := range ips {
		store, err := newLink(listener.Addr().String(), base)
		if err != nil {
			return err
		}
		p, err := newProcess(s, i, ip, seeds, store)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	overdue := time.AfterFunc(startBound, s.release)
	for _, p := range s.processes {
		p.awaitReady()
	}
	if !overdue.Stop() {
		return fmt.Errorf("the routers were not ready within %s", startBound)
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
	for i := range s.processes {
		p := &prober{caller: caller{soak: s, name: fmt.Sprintf("p%d", i), router: i}}
		load.Go(func() { p.probe(done) })
	}
	for i := range callersEach * s.Routers {
		c := &caller{soak: s, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(s.Seed, uint64(100+i)))}
		load.Go(func() { c.call(done) })
	}
}

// play carries the faults out, each at its time.
func (s *run) play(ctx context.Context, events []event) {
	began := time.Now()
	for _, e := range events {
		if !wait(ctx, time.Until(began.Add(e.at))) {
			return
		}
		s.record.note("%s target %d size %.2f length %s", e.kind, e.target, e.size, e.length.Round(time.Millisecond))
		s.do(func() error { return kinds[e.kind].do(s, e) })
	}
	wait(ctx, time.Until(began.Add(s.Duration)))
}

// wait returns after a time, or false when the context ended before.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// do carries a part of a fault out beside the others.
func (s *run) do(f func() error) {
	s.faults.Go(func() {
		err := f()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failure = errors.Join(s.failure, err)
	})
}

// recover checks that each router serves each kind of request again; what is paid for is enough.
func (s *run) recover(ctx context.Context) {
	_ = s.configure(0, recoveryPaid, workspaces...)
	began := time.Now()
	for i, p := range s.processes {
		for _, r := range routes {
			c := &caller{soak: s, name: fmt.Sprintf("r%d-%s", i, r.name), random: s.random}
			for status := 0; status != http.StatusOK && ctx.Err() == nil; {
				if time.Since(began) > recoveryBound {
					s.record.violate(promiseRecovered, "router-%d served no %q within %s after all faults", i, r.name, recoveryBound)
					break
				}
				if c.connect(i, p.callers.Addr().String()) {
					status = c.ask(r).status
					c.drop()
				}
				wait(ctx, unreachedPause)
			}
		}
	}
	s.record.note("recovered after %s", time.Since(began).Round(time.Millisecond))
}

func (s *run) report(events []event) Report {
	r := Report{Requests: len(s.record.requests), Versions: len(s.operator.versions), Faults: map[string]int{}, Violations: s.record.violations}
	for _, q := range s.record.requests {
		if q.outcome == outcomeAnswered && q.status == http.StatusOK {
			r.Served++
		}
	}
	for _, e := range events {
		r.Faults[e.kind]++
	}
	return r
}

// Print writes the report.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%d requests, %d served, %d versions, faults %v, %d violation(s)\n", r.Requests, r.Served, r.Versions, r.Faults, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(out, "  ", v)
	}
}

// release lets nothing wait for routers any longer.
func (s *run) release() {
	for _, p := range s.processes {
		p.over.Store(true)
	}
}

func (s *run) close() {
	s.release()
	for _, p := range s.processes {
		p.close()
	}
	if s.store != nil {
		_ = s.store.Close()
	}
	for _, server := range s.park.slots {
		if server != nil {
			server.Close()
		}
	}
}
