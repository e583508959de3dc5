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
	// answerTimeout limits the wait for answers after the end of the scenario's duration.
	answerTimeout = 90 * time.Second
	// instanceLag is the time after which the instance list of an experiment shows a change.
	instanceLag = 500 * time.Millisecond
	// progressInterval is the minimum time between two lines of progress.
	progressInterval = 5 * time.Second
	// clientProcess is the prefix of the clients' names and locations in the network.
	clientProcess = "client"
)

// Runner runs a scenario.
type Runner struct {
	Scenario Scenario
	// Progress gets a line every few seconds while requests are sent.
	Progress io.Writer
	Log      *logrus.Logger
	// InjectViolation is nil except in tests. It is called after the load and before the checks. It changes what the
	// emulated upstreams report as run, so that a promise seems to be broken.
	InjectViolation func(*starter.Fleet)
}

// tally collects the outcomes that clients saw, by the name of the traffic, and counts violations of promises.
type tally struct {
	mu           sync.Mutex
	firstTokens  map[string]*hdrhistogram.Histogram
	tokenGaps    map[string]*hdrhistogram.Histogram
	wholeAnswers map[string]*hdrhistogram.Histogram
	outcomes     map[string]*Outcomes
	promises     Promises
	// examples describes requests for which a promise was broken. It contains their ids for the explain command.
	examples []string
	services []serviceOutcome
}

// serviceOutcome is the outcome of a request to a service, to be compared with what ran.
type serviceOutcome struct {
	planned plannedRequest
	answer  answer
}

func newTally() *tally {
	return &tally{
		firstTokens: map[string]*hdrhistogram.Histogram{}, tokenGaps: map[string]*hdrhistogram.Histogram{},
		wholeAnswers: map[string]*hdrhistogram.Histogram{}, outcomes: map[string]*Outcomes{},
	}
}

// record adds a duration to the histogram with a name, and creates the histogram if needed.
func record(m map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	h, ok := m[name]
	if !ok {
		h = measurer.NewHistogram()
		m[name] = h
	}
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// add counts the outcome of a request. If the answer is wrong, it also counts a violation. falseRefusal is set if the budget
// could have paid for a refused request.
func (t *tally) add(p plannedRequest, a answer, falseRefusal bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := p.traffic.Name
	o, ok := t.outcomes[name]
	if !ok {
		o = &Outcomes{Codes: map[string]int{}}
		t.outcomes[name] = o
	}
	o.Requests++
	o.Attempts += a.attempts
	if p.traffic.Service != "" {
		t.services = append(t.services, serviceOutcome{planned: p, answer: a})
	}
	if a.outcome != outcomeOK {
		o.Codes[a.code]++
		o.countFailure(a, falseRefusal)
		return
	}
	o.OK++
	if !p.isCorrect(a) {
		t.promises.Crossed++
		t.examples = append(t.examples, fmt.Sprintf("wrong answer: request %s key %s completion %d of %d", a.id, p.key, a.usage.Completion, p.tokens))
	}
	if a.usage.Completion < p.tokens {
		o.CutShort++
	}
	record(t.wholeAnswers, name, a.whole)
	if p.traffic.Service == "" {
		record(t.firstTokens, name, a.firstToken)
	}
	for _, g := range a.tokenGaps {
		record(t.tokenGaps, name, g)
	}
}

// countFailure counts a request without success.
func (o *Outcomes) countFailure(a answer, falseRefusal bool) {
	lacksMoney := strings.HasPrefix(a.code, "budget_")
	switch {
	case lacksMoney && falseRefusal:
		o.FalseRefusals++
	case lacksMoney:
		o.TrueRefusals++
	case strings.HasPrefix(a.code, "limit_"), a.code == "overloaded":
		o.Limited++
	case a.fate == masticway.FateUnknown:
		o.Unknown++
	default:
		o.Failed++
	}
}

// checkServiceRuns compares the outcome of each request to a service with how often the request ran, and counts violations.
// runs holds the number of runs by request body.
func (t *tally) checkServiceRuns(runs map[string]int) {
	for _, s := range t.services {
		n := runs[s.planned.body]
		refused := s.answer.outcome == outcomeRefused
		if n > 1 && s.planned.nonRepeatable {
			t.promises.Doubled++
			t.examples = append(t.examples, fmt.Sprintf("ran %d times: request %s key %s", n, s.answer.id, s.planned.key))
		}
		if n > 0 && s.planned.nonRepeatable && s.answer.outcome == outcomeBroken {
			t.promises.LostAnswers++
			t.examples = append(t.examples, fmt.Sprintf("ran, but was never answered: key %s", s.planned.key))
		}
		if n > 0 && refused && s.answer.fate == masticway.FateNotRun {
			t.promises.FalseNotRun++
			t.examples = append(t.examples, fmt.Sprintf("reported as not run, but ran: request %s key %s", s.answer.id, s.planned.key))
		}
	}
}

// Run runs the scenario and returns its report. It returns an error only if the experiment itself failed. Broken promises
// and missed expectations are only in the report.
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
	e.faults = newFaultInjector(fleet, e.ledger)
	return e.run(ctx)
}

// spec returns the fleet of the scenario.
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

// delay returns the one-way network delay between two locations. A location is written as region/zone. The location of the
// platform is empty, and those of clients begin with clientProcess.
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

// seed writes the catalog, the contracts and the budgets to the fleet's platform. It returns a new API key for each
// workspace.
func seed(ctx context.Context, fleet *starter.Fleet, s Scenario, catalog masticway.Catalog, contracts []masticway.Contract) (map[string]string, error) {
	keys := map[string]string{}
	withKeys := make([]masticway.Contract, 0, len(contracts))
	for _, c := range contracts {
		keys[c.Workspace] = authenticator.NewKey()
		withKeys = append(withKeys, c.WithKeyHashes(authenticator.HashKey(keys[c.Workspace])))
	}
	var budgets []starter.Prepaid
	for _, b := range s.Budgets {
		budgets = append(budgets, starter.Prepaid{Budget: b.ID, Amount: b.Prepaid})
	}
	return keys, fleet.Seed(ctx, catalog, withKeys, budgets)
}

// experiment is one run of a scenario on its fleet.
type experiment struct {
	runner  Runner
	fleet   *starter.Fleet
	catalog masticway.Catalog
	keys    map[string]string
	// contracts define which requests must run at most once.
	contracts []masticway.Contract
	ledger    *ledger
	tally     *tally
	faults    *faultInjector
	clients   []*client
}

// run sends the planned load, injects the faults and returns the report.
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
	start := time.Now()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		e.faults.run(ctx, s.Faults, start)
	}()
	e.offerLoad(ctx, all, start)
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
	return e.finish(ctx, len(all), readsAfter-reads, written)
}

// offerLoad sends all planned requests at their times and waits for their outcomes. It cancels the requests that are still
// open answerTimeout after the end of the scenario's duration.
func (e *experiment) offerLoad(ctx context.Context, all []plannedRequest, start time.Time) {
	ctx, cancel := context.WithTimeout(ctx, e.runner.Scenario.Duration.Std()+answerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	progress := start.Add(progressInterval)
	for i, p := range all {
		if !sleepUntil(ctx, start.Add(p.arrival)) {
			break
		}
		if now := time.Now(); now.After(progress) {
			fmt.Fprintf(e.runner.Progress, "%s: %s, %d of %d sent\n", e.runner.Scenario.Name, now.Sub(start).Round(time.Second), i, len(all))
			progress = now.Add(progressInterval)
		}
		wg.Go(func() { e.sendOne(ctx, p, start.Add(p.arrival)) })
	}
	wg.Wait()
}

// sendOne sends a planned request, with retries, and counts its outcome.
func (e *experiment) sendOne(ctx context.Context, p plannedRequest, arrival time.Time) {
	e.ledger.addDemand(p)
	a := e.clients[p.region].send(ctx, p, arrival)
	falseRefusal := false
	if a.outcome == outcomeRefused && a.fate == masticway.FateNotRun {
		falseRefusal = e.ledger.withdrawDemand(p)
	}
	e.tally.add(p, a, falseRefusal)
}

// finish calls InjectViolation, shuts the routers down gracefully, checks the promises and returns the report.
func (e *experiment) finish(ctx context.Context, requests int, reads int64, writes map[string]int64) (Report, error) {
	if e.runner.InjectViolation != nil {
		e.runner.InjectViolation(e.fleet)
	}
	upstreams := append(e.fleet.Sidecars(), e.faults.removed...)
	for _, r := range e.fleet.Routers() {
		if !e.fleet.DrainRouter(r.Name) {
			e.faults.cutOff++
		}
	}
	t := e.tally
	t.promises.CutOff = e.faults.cutOff
	t.checkServiceRuns(serviceRuns(upstreams))
	money, err := checkMoney(ctx, e.fleet, e.ledger, costOfRuns(upstreams, e.catalog, e.ledger.budgetOf), &t.promises)
	if err != nil {
		return Report{}, err
	}
	return e.buildReport(requests, reads, writes, money), errors.Join(e.faults.errs...)
}
