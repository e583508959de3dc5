package soaker

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/masticway/masticway/emulator"
)

// faultEvent is a fault that has been drawn. Its target, such as a router or a server slot, follows from the number target.
// severity is from 0 to 1.
type faultEvent struct {
	kind     string
	target   int
	severity float64
	duration time.Duration
}

// scaled returns a number from 1 to max that grows with the fault's severity.
func (e faultEvent) scaled(max int) int { return 1 + int(e.severity*float64(max)) }

// fault is a kind of fault. weight is its weight in the draw; a kind with weight zero is drawn only if Soak.Kinds names it.
// maxDuration is its longest duration beyond minDuration. inject injects the fault. If inject returns before the fault is
// over, the rest of the fault runs in soakRun.faults.
type fault struct {
	weight      int
	maxDuration time.Duration
	inject      func(s *soakRun, e faultEvent)
}

const (
	// maxGap is the longest time between the starts of two faults. minDuration is the shortest duration of a fault that has
	// one.
	maxGap, minDuration = 1400 * time.Millisecond, 150 * time.Millisecond
	// maxRestartPause is the longest pause, in milliseconds, before a process is started again.
	maxRestartPause = 1000
	// One server_fails fault makes a server fail fewer than maxFailures requests.
	maxFailures = 20
	// maxRoutes is the largest number of extra paths of a configuration, so that one call to the store can carry it.
	// maxTopUp is the largest number of tokens of one top-up.
	maxRoutes, maxTopUp = 4000, 30_000
	// allRoutersSeverity is the severity above which a fault of routers affects all of them.
	allRoutersSeverity = 0.8
	// removedRowShare is the share of draining servers whose row is removed instead of marked as draining.
	removedRowShare = 0.3
)

// slow, cut and reset are conditions of a proxy. reset is only a marker: for it, proxyFault resets the proxy's connections.
var slow, cut, reset = condition{delay: 200 * time.Millisecond, rate: 256 << 10}, condition{cut: true}, condition{}

// kinds has all kinds of faults by name.
var kinds = map[string]fault{
	"term":              {10, 0, func(s *soakRun, e faultEvent) { s.restart(e, plannedTarget, (*process).stop) }},
	"kill":              {5, 0, func(s *soakRun, e faultEvent) { s.restart(e, routerTarget, (*process).kill) }},
	"freeze":            {3, 4 * time.Second, (*soakRun).freeze},
	"hangup":            {3, 0, (*soakRun).hangup},
	"callers_cut":       {2, 3 * time.Second, proxyFault(callerProxy, cut)},
	"callers_slow":      {2, 3 * time.Second, proxyFault(callerProxy, slow)},
	"callers_reset":     {2, 0, proxyFault(callerProxy, reset)},
	"store_cut":         {3, 6 * time.Second, proxyFault(storeProxy, cut)},
	"store_link_slow":   {3, 5 * time.Second, proxyFault(storeProxy, slow)},
	"store_link_reset":  {2, 0, proxyFault(storeProxy, reset)},
	"store_busy":        {2, 5 * time.Second, storeFault(emulator.RowFaults{Unavailable: true})},
	"store_silent":      {2, 5 * time.Second, storeFault(emulator.RowFaults{Unresponsive: true})},
	"store_slow":        {2, 5 * time.Second, storeFault(emulator.RowFaults{Delay: 250 * time.Millisecond})},
	"hot_workspace":     {0, 4 * time.Second, (*soakRun).heatWorkspace},
	"one_router":        {0, 4 * time.Second, (*soakRun).sendToOneRouter},
	"keys_revoked":      {0, 2 * time.Second, (*soakRun).revokeKeys},
	"budget_lowered":    {0, 2 * time.Second, (*soakRun).lowerBudget},
	manyKind:            {0, 0, func(s *soakRun, _ faultEvent) { s.configure(0, manyTokens, manyWorkspaces()...) }},
	"store_link_silent": {0, 0, (*soakRun).silenceStoreLinks},
	"answers_lost":      {2, 3 * time.Second, storeFault(emulator.RowFaults{DropAnswers: 20})},
	"writes_late":       {2, 3 * time.Second, storeFault(emulator.RowFaults{LateWrites: 20, LateWriteDelay: 1500 * time.Millisecond})},
	"history_forgotten": {2, 0, func(s *soakRun, _ faultEvent) { s.rows.Compact() }},
	returnKind:          {0, maxReturnOutage - minDuration, (*soakRun).returnStore},
	leavingKind:         {0, 0, (*soakRun).leave},
	"router_throttled":  {0, 4 * time.Second, (*soakRun).throttle},
	stallKind:           {0, maxStall - minDuration, (*soakRun).stallServer},
	stopKind:            {0, maxStopWatch - minDuration, (*soakRun).stopInHandovers},
	"servers_slow":      {0, maxServerDelay, (*soakRun).slowServers},
	slowReadersKind:     {0, maxReadPause - minDuration, (*soakRun).readSlowly},
	"crowd":             {0, 2 * time.Second, (*soakRun).crowd},
	"odd_rows":          {0, 2 * time.Second, (*soakRun).writeOddRows},
	"server_drains":     {4, 0, (*soakRun).drain},
	"server_crashes":    {3, 0, (*soakRun).crash},
	"deadly_request":    {0, maxDeadlyDuration, (*soakRun).deadlyRequest},
	deadlyPartKind:      {0, maxDeadlyPartDuration - minDuration, (*soakRun).deadlyPart},
	fewPartsKind:        {0, maxDeadlyPartDuration - minDuration, (*soakRun).deadlyPart},
	"server_leaves":     {0, 0, (*soakRun).announceDrain},
	"server_rests":      {0, maxBackoff, (*soakRun).requestBackoff},
	"server_limits":     {0, maxLimitDuration / 2, (*soakRun).limitServer},
	releaseKind:         {0, 0, (*soakRun).release},
	stoppedReleaseKind:  {0, maxReleaseStop - minDuration, (*soakRun).releaseBesideStop},
	aloneReleaseKind:    {0, maxReleaseStop - minDuration, (*soakRun).releaseBesideStop},
	endsKind:            {0, 0, (*soakRun).endInStream},
	"continues_anew":    {0, 3 * time.Second, continueWrongly(emulator.OpaqueContinuesAnew)},
	"continues_early":   {0, 3 * time.Second, continueWrongly(emulator.OpaqueContinuesEarly)},
	"continues_late":    {0, 3 * time.Second, continueWrongly(emulator.OpaqueContinuesLate)},
	"servers_reject":    {0, 4 * time.Second, (*soakRun).rejectRequests},
	"server_fails":      {5, 0, (*soakRun).failServer},
	copiesKind:          {6, 5 * time.Second, (*soakRun).copyRefusals},
	restartKind:         {4, 0, (*soakRun).restartServer},
	"configure":         {5, 0, func(s *soakRun, _ faultEvent) { s.configure(0, 0) }},
	"grow":              {4, 0, func(s *soakRun, e faultEvent) { s.configure(e.scaled(maxRoutes), 0) }},
	"top_up":            {4, 0, func(s *soakRun, e faultEvent) { s.configure(0, e.scaled(maxTopUp), workspaces[e.target%2]) }},
}

// Kinds returns the sorted names of all kinds of faults.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

// forTargets starts do in a goroutine of s.faults for each router that a fault affects. That is one router, or all routers
// if the fault's severity is above allRoutersSeverity.
func (s *soakRun) forTargets(e faultEvent, do func(i int, p *process)) {
	for i, p := range s.processes {
		if i == e.target%s.Routers || e.severity > allRoutersSeverity {
			s.faults.Go(func() { do(i, p) })
		}
	}
}

// restart ends each affected router with the function end and starts it again. It skips a router that another fault is
// restarting or reloading. The disturbance is recorded under the name that target returns for the router.
func (s *soakRun) restart(e faultEvent, target func(int) string, end func(*process)) {
	s.forTargets(e, func(i int, p *process) {
		if !p.lifecycleMu.TryLock() {
			return
		}
		defer p.lifecycleMu.Unlock()
		defer s.beginDisturbance(e.kind, target(i), 0)()
		end(p)
		time.Sleep(time.Duration(e.scaled(maxRestartPause)) * time.Millisecond)
		p.startAgain()
	})
}

// freeze suspends the processes of the affected routers with SIGSTOP for the duration of the fault.
func (s *soakRun) freeze(e faultEvent) {
	s.forTargets(e, func(i int, p *process) {
		defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
		p.signal(syscall.SIGSTOP)
		time.Sleep(e.duration)
		p.signal(syscall.SIGCONT)
	})
}

// hangup makes each affected router reload its settings. It skips a router that another fault is restarting or reloading.
func (s *soakRun) hangup(e faultEvent) {
	s.forTargets(e, func(_ int, p *process) {
		if p.lifecycleMu.TryLock() {
			defer p.lifecycleMu.Unlock()
			p.signal(syscall.SIGHUP)
		}
	})
}

// proxyFault returns a fault that changes the condition of one proxy (callerProxy or storeProxy) of each affected router. If
// two such faults of a proxy overlap, the later replaces the earlier, and the first to end ends both.
func proxyFault(which int, c condition) func(s *soakRun, e faultEvent) {
	return func(s *soakRun, e faultEvent) {
		s.forTargets(e, func(i int, p *process) {
			defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
			if which == callerProxy {
				defer s.beginDisturbance(e.kind, callerLinkTarget(i), 0)()
			}
			target := p.proxies[which]
			if c == reset {
				target.reset()
				return
			}
			target.current.Store(&c)
			time.Sleep(e.duration)
			target.current.Store(&target.usual)
		})
	}
}

// silenceStoreLinks makes all open connections of all routers to the store silent for good.
func (s *soakRun) silenceStoreLinks(e faultEvent) {
	for i, p := range s.processes {
		end := s.beginDisturbance(e.kind, routerTarget(i), 0)
		p.proxies[storeProxy].silence()
		end()
	}
}

// storeFault returns a fault of the store. If two of them overlap, the later replaces the earlier, and the first to end ends
// both.
func storeFault(f emulator.RowFaults) func(s *soakRun, e faultEvent) {
	return func(s *soakRun, e faultEvent) {
		defer s.beginDisturbance(e.kind, storeTarget, 0)()
		s.rows.SetFaults(f)
		time.Sleep(e.duration)
		s.rows.SetFaults(emulator.RowFaults{})
	}
}

// drain starts a new server in a slot and drains the old one, by marking its row as draining or by removing the row. The old
// server serves until extraServingTime after the time at which routers must have noticed.
func (s *soakRun) drain(e faultEvent) {
	old, slot := s.targetServer(e)
	s.endServer(old.ID)
	s.startServer(slot)
	if e.severity < removedRowShare {
		old.Deregister(s.rows)
	} else {
		s.register(old, true)
	}
	s.mu.Lock()
	s.drainAcceptedAt[old.ID] = time.Now()
	s.mu.Unlock()
	time.Sleep(maxDrainDelay + extraServingTime)
	s.beginDisturbance(e.kind, old.ID, 0)
	s.endServer(old.ID)
	old.Close()
	old.Deregister(s.rows)
}

// crash ends a server at once. Its row stays for silenceTimeout, as if missing heartbeats were noticed only then. After that
// a new server takes its slot.
func (s *soakRun) crash(e faultEvent) {
	old, slot := s.targetServer(e)
	s.beginDisturbance(e.kind, old.ID, 0)
	s.endServer(old.ID)
	old.Close()
	time.Sleep(silenceTimeout)
	old.Deregister(s.rows)
	s.startServer(slot)
}

// failures are the faults that failServer injects in turn. Each is a way to fail a request without a crash, except
// OpaqueNoFault.
var failures = []emulator.OpaqueFault{
	emulator.OpaqueReset, emulator.OpaqueOverloaded, emulator.OpaqueTruncated, emulator.OpaqueWrongServer, emulator.OpaqueError, emulator.OpaqueNoFault,
	emulator.OpaqueHang, emulator.OpaqueUnsigned, emulator.OpaqueWrongRequest, emulator.OpaqueStrayAnswer,
	emulator.OpaqueStatusZero, emulator.OpaqueBlankInName, emulator.OpaqueTwoFramings,
}

// failServer makes a server fail its next requests, each in the next way of failures. Among them, one of len(failures)
// requests is answered properly.
func (s *soakRun) failServer(e faultEvent) {
	server, _ := s.targetServer(e)
	server.InjectFaults(slices.Repeat(failures, 1+maxFailures/len(failures)+1)[e.target%len(failures):][:e.scaled(maxFailures-1)]...)
}
