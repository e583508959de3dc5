package loader

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/configurer"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

const (
	// drainWatchTime is how long drain watches the upstream of a draining sidecar for new work.
	drainWatchTime = 8 * time.Second
	// applyTimeout limits the wait of configChange until all ready routers have applied the change.
	applyTimeout = 10 * time.Second
	pollInterval = 10 * time.Millisecond
	// recoveryTimeout limits the wait of awaitRecovery until the money of a killed router is returned.
	recoveryTimeout = 40 * time.Second
)

// faultInjector injects the faults of a scenario and measures how the fleet handles them.
type faultInjector struct {
	fleet  *starter.Fleet
	ledger *ledger
	mu     sync.Mutex
	// cutOff counts the graceful shutdowns of routers and sidecars that cut off requests.
	cutOff int
	// drainTimes holds, for each drained sidecar, the time for which its upstream still got new work.
	drainTimes []time.Duration
	// applyTimes holds, for each configuration change, the time until all ready routers had applied it, or at least
	// applyTimeout.
	applyTimes []time.Duration
	// removed holds the sidecars that have been drained. The fleet no longer lists them.
	removed []*starter.FleetSidecar
	// recoveryTimes holds, for each killed router, the time until its money was returned, or at least recoveryTimeout.
	recoveryTimes []time.Duration
	errs          []error
	wg            sync.WaitGroup
}

func newFaultInjector(f *starter.Fleet, l *ledger) *faultInjector {
	return &faultInjector{fleet: f, ledger: l}
}

// run injects each fault at its time, and returns when all faults have ended and been measured. If ctx is done, it injects
// no more faults and ends those that last.
func (f *faultInjector) run(ctx context.Context, faults []Fault, start time.Time) {
	for _, fault := range faults {
		f.wg.Go(func() {
			if !sleepUntil(ctx, start.Add(fault.At.Std())) {
				return
			}
			heal, err := f.inject(ctx, fault)
			if err != nil {
				f.mu.Lock()
				f.errs = append(f.errs, fmt.Errorf("fault %s: %w", fault.Kind, err))
				f.mu.Unlock()
				return
			}
			if heal == nil {
				return
			}
			sleepUntil(ctx, start.Add(fault.At.Std()+fault.Duration.Std()))
			heal()
		})
	}
	f.wg.Wait()
}

// sleepUntil sleeps until a time. It returns false if ctx is done earlier.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// inject injects a fault and returns a function that ends it, or nil if there is nothing to end. For some kinds of faults it
// blocks until the fault is over.
func (f *faultInjector) inject(ctx context.Context, fault Fault) (heal func(), err error) {
	table := f.fleet.Platform.Table
	healTable := func() { table.SetFaults(emulator.TableFaults{}) }
	switch fault.Kind {
	case FaultTableDown:
		table.SetFaults(emulator.TableFaults{Down: true})
		return healTable, nil
	case FaultTableSlow:
		table.SetFaults(emulator.TableFaults{DelayMillis: int(fault.Value)})
		return healTable, nil
	case FaultTableLosesAnswers:
		table.SetFaults(emulator.TableFaults{DropAnswers: int(fault.Value)})
		return healTable, nil
	case FaultObjectsDown:
		f.fleet.Platform.Objects.SetDown(true)
		return func() { f.fleet.Platform.Objects.SetDown(false) }, nil
	case FaultInstancesDown:
		f.fleet.Platform.Instances.SetDown(true)
		return func() { f.fleet.Platform.Instances.SetDown(false) }, nil
	case FaultTopUp:
		return nil, f.topUp(ctx, fault)
	case FaultConfigChange:
		return nil, f.configChange(ctx, fault)
	case FaultRegionCut:
		return f.cutRegion(fault), nil
	case FaultRouterKilled, FaultRouterCut, FaultRouterDrained:
		return f.injectRouterFault(fault)
	}
	return f.injectSidecarFault(fault)
}

// topUp adds the amount of a fault to a prepaid budget, as an operator does.
func (f *faultInjector) topUp(ctx context.Context, fault Fault) error {
	amount := masticway.Amount(fault.Value)
	if _, err := bookkeeper.New(f.fleet.Platform.Table).TopUp(ctx, fault.Target, uuid.NewString(), amount); err != nil {
		return err
	}
	f.ledger.topUp(fault.Target, amount)
	return nil
}

// configChange changes the priority in a workspace's contract. It waits until all ready routers have applied the change, at
// most for applyTimeout, and records how long that took.
func (f *faultInjector) configChange(ctx context.Context, fault Fault) error {
	store := configurer.NewStore(f.fleet.Platform.Table)
	c, _, err := store.Contract(ctx, fault.Target)
	if err != nil {
		return err
	}
	c.Priority = (c.Priority + 1) % 10
	change, err := store.Put(ctx, masticway.Change{ID: uuid.NewString(), Contract: &c}, configurer.AnyRevision)
	if err != nil {
		return err
	}
	start := time.Now()
	for time.Since(start) < applyTimeout {
		if f.isAppliedEverywhere(int64(change.Revision)) {
			break
		}
		time.Sleep(pollInterval)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyTimes = append(f.applyTimes, time.Since(start))
	return nil
}

// isAppliedEverywhere reports whether all ready routers have applied a revision of the configuration.
func (f *faultInjector) isAppliedEverywhere(revision int64) bool {
	for _, r := range f.fleet.Routers() {
		if r.Daemon.IsReady() && r.Metrics.Count("config_revision") < revision {
			return false
		}
	}
	return true
}

// cutRegion cuts a region off from the platform and from the routers of other regions. It returns a function that ends the
// cut.
func (f *faultInjector) cutRegion(fault Fault) func() {
	var inside, outside []string
	for _, r := range f.fleet.Routers() {
		if r.Region == fault.Target {
			inside = append(inside, r.Name)
		} else {
			outside = append(outside, r.Name)
		}
	}
	for _, s := range f.fleet.Sidecars() {
		if s.Region == fault.Target {
			inside = append(inside, s.Name)
		}
	}
	outside = append(outside, starter.PlatformProcess)
	forEachPair := func(set func(a, b string)) {
		for _, a := range inside {
			for _, b := range outside {
				set(a, b)
			}
		}
	}
	forEachPair(f.fleet.Network.Partition)
	return func() { forEachPair(f.fleet.Network.Heal) }
}

// NoTargetError reports a fault whose target does not exist.
type NoTargetError struct {
	Kind   FaultKind
	Target string
}

// Error names the kind of fault and the target.
func (e *NoTargetError) Error() string { return fmt.Sprintf("%s: no target %q", e.Kind, e.Target) }

// pick returns the element of a list that target names, by its index or by a prefix of its name. An empty target names the
// first element.
func pick[T any](list []T, target string, name func(T) string) (T, bool) {
	var none T
	if n, err := strconv.Atoi(target); err == nil && n < len(list) {
		return list[n], true
	}
	for _, v := range list {
		if strings.HasPrefix(name(v), target) {
			return v, true
		}
	}
	return none, false
}

// injectRouterFault injects a fault of a router and returns a function that ends it. For a router that was killed or
// drained, that function starts a new router in its place.
func (f *faultInjector) injectRouterFault(fault Fault) (func(), error) {
	r, ok := pick(f.fleet.Routers(), fault.Target, func(r *starter.FleetRouter) string { return r.Name })
	if !ok {
		return nil, &NoTargetError{Kind: fault.Kind, Target: fault.Target}
	}
	replace := func() {
		if _, err := f.fleet.AddRouter(r.Region, r.Zone); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.errs = append(f.errs, err)
		}
	}
	switch fault.Kind {
	case FaultRouterCut:
		f.fleet.Network.Partition(r.Name, "*")
		return func() { f.fleet.Network.Heal(r.Name, "*") }, nil
	case FaultRouterDrained:
		if !f.fleet.DrainRouter(r.Name) {
			f.mu.Lock()
			f.cutOff++
			f.mu.Unlock()
		}
		return replace, nil
	}
	inc := r.Daemon.Incarnation()
	f.fleet.KillRouter(r.Name)
	killedAt := time.Now()
	f.wg.Go(func() { f.awaitRecovery(inc, killedAt) })
	return replace, nil
}

// awaitRecovery waits until a killed incarnation has no grants left, at most for recoveryTimeout, and records how long that
// took.
func (f *faultInjector) awaitRecovery(inc masticway.Incarnation, killedAt time.Time) {
	book := bookkeeper.New(f.fleet.Platform.Table)
	for time.Since(killedAt) < recoveryTimeout {
		grants, err := book.GrantsOf(context.Background(), inc)
		if err == nil && len(grants) == 0 {
			break
		}
		time.Sleep(pollInterval)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recoveryTimes = append(f.recoveryTimes, time.Since(killedAt))
}

// injectSidecarFault injects a fault of a sidecar or of its upstream and returns a function that ends it. If the fault
// drains the sidecar, it blocks until the drain is over, and the sidecar is not replaced. For FaultSidecarDrained the
// function is nil.
func (f *faultInjector) injectSidecarFault(fault Fault) (func(), error) {
	s, ok := pick(f.fleet.Sidecars(), fault.Target, func(s *starter.FleetSidecar) string { return s.Name })
	if !ok {
		return nil, &NoTargetError{Kind: fault.Kind, Target: fault.Target}
	}
	switch fault.Kind {
	case FaultSidecarCut:
		f.fleet.Network.Partition(s.Name, "*")
		return func() { f.fleet.Network.Heal(s.Name, "*") }, nil
	case FaultSidecarKilled:
		f.fleet.KillSidecar(s.Name, false)
		return func() { _ = f.fleet.StartSidecar(s) }, nil
	case FaultListHidesDraining:
		f.fleet.Platform.Instances.SetDown(true)
		f.drain(s)
		return func() { f.fleet.Platform.Instances.SetDown(false) }, nil
	case FaultSidecarDrained:
		f.drain(s)
		return nil, nil
	case FaultServiceDropsAnswers:
		if s.Service == nil {
			return nil, &NoTargetError{Kind: fault.Kind, Target: fault.Target}
		}
		s.Service.SetFaults(emulator.ServiceFaults{DropAnswers: int(fault.Value)})
		return func() { s.Service.SetFaults(emulator.ServiceFaults{}) }, nil
	}
	if s.Engine == nil {
		return nil, &NoTargetError{Kind: fault.Kind, Target: fault.Target}
	}
	s.Engine.SetFaults(emulator.EngineFaults{Down: fault.Kind == FaultEngineDown, Stall: fault.Kind == FaultEngineStalled})
	return func() { s.Engine.SetFaults(emulator.EngineFaults{}) }, nil
}

// drain shuts a sidecar down gracefully and records for how long the sidecar's upstream still got new work. It blocks for at
// least drainWatchTime.
func (f *faultInjector) drain(s *starter.FleetSidecar) {
	start := time.Now()
	lastRunAt := start
	done := make(chan bool, 1)
	go func() { done <- f.fleet.DrainSidecar(s.Name) }()
	runs := s.Runs()
	for time.Since(start) < drainWatchTime {
		if now := s.Runs(); now != runs {
			runs = now
			lastRunAt = time.Now()
		}
		time.Sleep(pollInterval)
	}
	drained := <-done
	f.mu.Lock()
	defer f.mu.Unlock()
	if !drained {
		f.cutOff++
	}
	f.drainTimes = append(f.drainTimes, lastRunAt.Sub(start))
	f.removed = append(f.removed, s)
}
