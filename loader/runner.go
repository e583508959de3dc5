package loader

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/authenticator"
	"github.com/masticway/masticway/connector"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/measurer"
	"github.com/masticway/masticway/starter"
)

const (
	readyTimeout = 30 * time.Second
	// answerTimeout bounds the wait for answers after the last arrival.
	answerTimeout = 90 * time.Second
	// instanceLag is the lag of the instance list in experiments.
	instanceLag  = 500 * time.Millisecond
	progressStep = 5 * time.Second
	// clientProcess begins the network names of clients.
	clientProcess = "client"
)

// Runner carries out a scenario.
type Runner struct {
	Scenario Scenario
	// Progress takes a line every few seconds.
	Progress io.Writer
	Log      *logrus.Logger
	// Sabotage, for tests, breaks a promise behind the fleet's back before the stand-ins are asked.
	Sabotage func(*starter.Fleet)
}

// tally is what clients saw, by traffic.
type tally struct {
	mu       sync.Mutex
	first    map[string]*hdrhistogram.Histogram
	gaps     map[string]*hdrhistogram.Histogram
	whole    map[string]*hdrhistogram.Histogram
	counts   map[string]*Outcomes
	promises Promises
	// examples are requests whose promise was broken, for explain.
	examples []string
	services []serviceOutcome
}

// serviceOutcome is how a service request ended, to be held against what ran.
type serviceOutcome struct {
	planned planned
	answer  answer
}

func newTally() *tally {
	return &tally{
		first: map[string]*hdrhistogram.Histogram{}, gaps: map[string]*hdrhistogram.Histogram{},
		whole: map[string]*hdrhistogram.Histogram{}, counts: map[string]*Outcomes{},
	}
}

func record(m map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	h, ok := m[name]
	if !ok {
		h = measurer.NewHistogram()
		m[name] = h
	}
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// take counts one request's end.
func (t *tally) take(p planned, a answer, falseRefusal bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := p.traffic.Name
	c, ok := t.counts[name]
	if !ok {
		c = &Outcomes{Codes: map[string]int{}}
		t.counts[name] = c
	}
	c.Requests++
	c.Tries += a.tries
	if p.traffic.Service != "" {
		t.services = append(t.services, serviceOutcome{planned: p, answer: a})
	}
	if a.verdict != verdictOK {
		c.Codes[a.code]++
		c.refuse(a, falseRefusal)
		return
	}
	c.OK++
	if !p.right(a) {
		t.promises.Crossed++
		t.examples = append(t.examples, fmt.Sprintf("wrong answer: request %s key %s completion %d of %d", a.id, p.key, a.usage.Completion, p.tokens))
	}
	if a.usage.Completion < p.tokens {
		c.CutShort++
	}
	record(t.whole, name, a.whole)
	if p.traffic.Service == "" {
		record(t.first, name, a.firstToken)
	}
	for _, g := range a.gaps {
		record(t.gaps, name, g)
	}
}

func (o *Outcomes) refuse(a answer, falseRefusal bool) {
	budget := strings.HasPrefix(a.code, "budget_")
	switch {
	case budget && falseRefusal:
		o.FalseRefusals++
	case budget:
		o.TrueRefusals++
	case strings.HasPrefix(a.code, "limit_"), a.code == "overloaded":
		o.Limited++
	case a.run == masticway.FateUnknown:
		o.Unknown++
	default:
		o.Failed++
	}
}

// checkServices holds each service request's end against how often it ran.
func (t *tally) checkServices(runs map[string]int) {
	for _, s := range t.services {
		n := runs[s.planned.body]
		refused := s.answer.verdict == verdictRefused
		if n > 1 && s.planned.nonRepeatable {
			t.promises.Doubled++
			t.examples = append(t.examples, fmt.Sprintf("ran %d times: request %s key %s", n, s.answer.id, s.planned.key))
		}
		if n > 0 && s.planned.nonRepeatable && s.answer.verdict == verdictBroken {
			t.promises.LostAnswers++
			t.examples = append(t.examples, fmt.Sprintf("ran and was never answered: key %s", s.planned.key))
		}
		if n > 0 && refused && s.answer.run == masticway.FateNotRun {
			t.promises.FalseNotRun++
			t.examples = append(t.examples, fmt.Sprintf("false not run: request %s key %s", s.answer.id, s.planned.key))
		}
	}
}

// Run carries the scenario out and returns its report; the error tells that the experiment itself failed.
func (r Runner) Run(ctx context.Context) (Report, error) {
	s := r.Scenario
	catalog, err := s.catalog()
	if err != nil {
		return Report{}, err
	}
	contracts, err := s.contracts()
	if err != nil {
		return Report{}, err
	}
	fleet, err := starter.StartFleet(r.spec())
	defer fleet.Stop()
	if err != nil {
		return Report{}, fmt.Errorf("starting the fleet: %w", err)
	}
	keys, err := seed(ctx, fleet, s, catalog, contracts)
	if err != nil {
		return Report{}, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.AwaitReady(ready); err != nil {
		return Report{}, err
	}
	e := &experiment{
		runner: r, fleet: fleet, catalog: catalog, keys: keys, contracts: contracts, ledger: newLedger(s, contracts), tally: newTally(),
	}
	e.faults = newFaulter(fleet, e.ledger)
	return e.run(ctx)
}

func (r Runner) spec() starter.FleetSpec {
	s := r.Scenario
	spec := starter.FleetSpec{
		Delay: s.delay, InstanceLag: instanceLag, Router: s.Router, Sidecar: s.Sidecar, Log: r.Log,
	}
	for _, g := range s.Regions {
		spec.Regions = append(spec.Regions, starter.RegionSpec(g))
	}
	for _, g := range s.Engines {
		spec.Engines = append(spec.Engines, starter.EngineGroup{
			Model: g.Model, Count: g.Count, HideCache: g.HideCache,
			Settings: emulator.EngineSettings{
				Capacity: g.Capacity, PrefillTime: g.PrefillTime.Std(), TokenTime: g.TokenTime.Std(),
				CacheBlocks: g.CacheBlocks, ReportLag: g.ReportLag.Std(),
			},
		})
	}
	for _, g := range s.Services {
		spec.Services = append(spec.Services, starter.ServiceGroup(g))
	}
	return spec
}

// delay is the one-way time between two places, written region/zone; the platform has no place.
func (s Scenario) delay(from, to string) time.Duration {
	fromRegion, _, _ := strings.Cut(from, "/")
	toRegion, _, _ := strings.Cut(to, "/")
	switch {
	case fromRegion == clientProcess || toRegion == clientProcess:
		return s.ClientDelay.Std()
	case from == to:
		return 0
	case fromRegion == toRegion || from == "" || to == "":
		return s.ZoneDelay.Std()
	}
	return s.RegionDelay.Std()
}

func seed(ctx context.Context, fleet *starter.Fleet, s Scenario, catalog masticway.Catalog, contracts []masticway.Contract) (map[string]string, error) {
	keys := map[string]string{}
	keyed := make([]masticway.Contract, 0, len(contracts))
	for _, c := range contracts {
		keys[c.Workspace] = authenticator.NewKey()
		keyed = append(keyed, c.WithKeyHashes(authenticator.HashKey(keys[c.Workspace])))
	}
	var budgets []starter.Prepaid
	for _, b := range s.Budgets {
		budgets = append(budgets, starter.Prepaid{Budget: b.ID, Amount: b.Prepaid})
	}
	return keys, fleet.Seed(ctx, catalog, keyed, budgets)
}

// experiment is one run of a scenario on its fleet.
type experiment struct {
	runner  Runner
	fleet   *starter.Fleet
	catalog masticway.Catalog
	keys    map[string]string
	// contracts say which calls must run at most once.
	contracts []masticway.Contract
	ledger    *ledger
	tally     *tally
	faults    *faulter
	clients   []*client
}

func (e *experiment) run(ctx context.Context) (Report, error) {
	s := e.runner.Scenario
	all := plan(s, e.catalog, e.contracts)
	for _, region := range s.Regions {
		dial := e.fleet.Dialer(clientProcess+"-"+region.Name, clientProcess+"/"+region.Name)
		e.clients = append(e.clients, &client{
			fleet: e.fleet, region: region.Name, keys: e.keys, http: connector.NewHTTPClient(connector.DialFunc(dial)),
		})
	}
	reads := e.fleet.Platform.Table.Reads()
	writes := e.fleet.Platform.Table.WritesByKind()
	began := time.Now()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		e.faults.run(ctx, s.Faults, began)
	}()
	e.offer(ctx, all, began)
	readsAfter := e.fleet.Platform.Table.Reads()
	written := e.fleet.Platform.Table.WritesByKind()
	for kind, n := range writes {
		written[kind] -= n
	}
	select {
	case <-faultsDone:
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
	return e.report(ctx, len(all), readsAfter-reads, written)
}

// offer sends all planned requests at their times and waits for their ends.
func (e *experiment) offer(ctx context.Context, all []planned, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, e.runner.Scenario.Duration.Std()+answerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	progress := began.Add(progressStep)
	for i, p := range all {
		if !sleepUntil(ctx, began.Add(p.at)) {
			break
		}
		if now := time.Now(); now.After(progress) {
			fmt.Fprintf(e.runner.Progress, "%s: %s, %d of %d sent\n", e.runner.Scenario.Name, now.Sub(began).Round(time.Second), i, len(all))
			progress = now.Add(progressStep)
		}
		wg.Go(func() { e.one(ctx, p, began.Add(p.at)) })
	}
	wg.Wait()
}

func (e *experiment) one(ctx context.Context, p planned, began time.Time) {
	e.ledger.begin(p)
	a := e.clients[p.region].send(ctx, p, began)
	falseRefusal := false
	if a.verdict == verdictRefused && a.run == masticway.FateNotRun {
		falseRefusal = e.ledger.refused(p)
	}
	e.tally.take(p, a, falseRefusal)
}

func (e *experiment) report(ctx context.Context, requests int, reads int64, writes map[string]int64) (Report, error) {
	if e.runner.Sabotage != nil {
		e.runner.Sabotage(e.fleet)
	}
	upstreams := append(e.fleet.Sidecars(), e.faults.removed...)
	for _, r := range e.fleet.Routers() {
		if !e.fleet.DrainRouter(r.Name) {
			e.faults.cutOff++
		}
	}
	t := e.tally
	t.promises.CutOff = e.faults.cutOff
	t.checkServices(serviceRuns(upstreams))
	money, err := checkMoney(ctx, e.fleet, e.ledger, ranCost(upstreams, e.catalog, e.ledger.budgetOf), &t.promises)
	if err != nil {
		return Report{}, err
	}
	return e.build(requests, reads, writes, money), errors.Join(e.faults.errs...)
}
