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
	// quietWatch is how long a leaving upstream is watched for new work.
	quietWatch = 8 * time.Second
	// forceWatch is how long a change may take to be in force everywhere.
	forceWatch = 10 * time.Second
	watchPause = 10 * time.Millisecond
	// recoverTimeout bounds the wait for a dead router's money.
	recoverTimeout = 40 * time.Second
)

// faulter brings a scenario's faults about, and watches what the fleet makes of them.
type faulter struct {
	fleet   *starter.Fleet
	ledger  *ledger
	mu      sync.Mutex
	cutOff  int
	quiet   []time.Duration
	inForce []time.Duration
	removed []*starter.FleetSidecar
	// recovered is how long each dead router's money took to be back.
	recovered []time.Duration
	errs      []error
	wg        sync.WaitGroup
}

func newFaulter(f *starter.Fleet, l *ledger) *faulter { return &faulter{fleet: f, ledger: l} }

// run carries all faults out at their times; it returns when the last has ended.
func (f *faulter) run(ctx context.Context, faults []Fault, began time.Time) {
	for _, fault := range faults {
		f.wg.Go(func() {
			if !sleepUntil(ctx, began.Add(fault.At.Std())) {
				return
			}
			heal, err := f.strike(ctx, fault)
			if err != nil {
				f.mu.Lock()
				f.errs = append(f.errs, fmt.Errorf("fault %s: %w", fault.Kind, err))
				f.mu.Unlock()
				return
			}
			if heal == nil {
				return
			}
			sleepUntil(ctx, began.Add(fault.At.Std()+fault.For.Std()))
			heal()
		})
	}
	f.wg.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// strike brings a fault about and returns what ends it, or nothing.
func (f *faulter) strike(ctx context.Context, fault Fault) (heal func(), err error) {
	table := f.fleet.Platform.Table
	calm := func() { table.SetFaults(emulator.TableFaults{}) }
	switch fault.Kind {
	case FaultTableDown:
		table.SetFaults(emulator.TableFaults{Down: true})
		return calm, nil
	case FaultTableSlow:
		table.SetFaults(emulator.TableFaults{DelayMillis: int(fault.Value)})
		return calm, nil
	case FaultTableLosesAnswers:
		table.SetFaults(emulator.TableFaults{DropAnswers: int(fault.Value)})
		return calm, nil
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
		return f.strikeRouter(fault)
	}
	return f.strikeSidecar(fault)
}

func (f *faulter) topUp(ctx context.Context, fault Fault) error {
	amount := masticway.Amount(fault.Value)
	if _, err := bookkeeper.New(f.fleet.Platform.Table).TopUp(ctx, fault.Target, uuid.NewString(), amount); err != nil {
		return err
	}
	f.ledger.topUp(fault.Target, amount)
	return nil
}

// configChange puts a workspace's contract anew and watches until every router has applied it.
func (f *faulter) configChange(ctx context.Context, fault Fault) error {
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
	began := time.Now()
	for time.Since(began) < forceWatch {
		if f.everywhere(int64(change.Revision)) {
			break
		}
		time.Sleep(watchPause)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce = append(f.inForce, time.Since(began))
	return nil
}

func (f *faulter) everywhere(revision int64) bool {
	for _, r := range f.fleet.Routers() {
		if r.Daemon.IsReady() && r.Metrics.Count("config_revision") < revision {
			return false
		}
	}
	return true
}

// cutRegion cuts a region off from the platform and from all other regions.
func (f *faulter) cutRegion(fault Fault) func() {
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
	each := func(set func(a, b string)) {
		for _, a := range inside {
			for _, b := range outside {
				set(a, b)
			}
		}
	}
	each(f.fleet.Network.Partition)
	return func() { each(f.fleet.Network.Heal) }
}

// NoTargetError reports a fault whose target does not exist.
type NoTargetError struct {
	Kind   FaultKind
	Target string
}

// Error names fault and target.
func (e *NoTargetError) Error() string { return fmt.Sprintf("%s: no target %q", e.Kind, e.Target) }

// pick chooses from a list by number or by the start of a name; the empty target is the first.
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

func (f *faulter) strikeRouter(fault Fault) (func(), error) {
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
	dead := r.Daemon.Incarnation()
	f.fleet.KillRouter(r.Name)
	died := time.Now()
	f.wg.Go(func() { f.watchRecovery(dead, died) })
	return replace, nil
}

// watchRecovery waits until a dead incarnation has no money any more.
func (f *faulter) watchRecovery(inc masticway.Incarnation, died time.Time) {
	book := bookkeeper.New(f.fleet.Platform.Table)
	for time.Since(died) < recoverTimeout {
		grants, err := book.GrantsOf(context.Background(), inc)
		if err == nil && len(grants) == 0 {
			break
		}
		time.Sleep(watchPause)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recovered = append(f.recovered, time.Since(died))
}

func (f *faulter) strikeSidecar(fault Fault) (func(), error) {
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
	case FaultListHidesLeaving:
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

// drain ends a sidecar gracefully and watches for the last new work that its upstream gets.
func (f *faulter) drain(s *starter.FleetSidecar) {
	began := time.Now()
	last := began
	done := make(chan bool, 1)
	go func() { done <- f.fleet.DrainSidecar(s.Name) }()
	runs := s.Runs()
	for time.Since(began) < quietWatch {
		if now := s.Runs(); now != runs {
			runs = now
			last = time.Now()
		}
		time.Sleep(watchPause)
	}
	clean := <-done
	f.mu.Lock()
	defer f.mu.Unlock()
	if !clean {
		f.cutOff++
	}
	f.quiet = append(f.quiet, last.Sub(began))
	f.removed = append(f.removed, s)
}
