package soaker

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/masticway/masticway/emulator"
)

// faultEvent is one fault as drawn: what it meets, between 0 and 1 how bad it is, and how long it lasts.
type faultEvent struct {
	kind     string
	target   int
	severity float64
	duration time.Duration
}

// scaled returns a part of the most by the event's size, never nothing.
func (e faultEvent) scaled(most int) int { return 1 + int(e.severity*float64(most)) }

// fault is a kind of fault: its weight in the draw (without one it is drawn only where it is named), how long it lasts at most, and what it does until it is over.
type fault struct {
	weight      int
	maxDuration time.Duration
	inject      func(s *soakRun, e faultEvent)
}

const (
	maxGap, minDuration = 1400 * time.Millisecond, 150 * time.Millisecond // between the beginnings of two faults; the least length
	maxRestartPause     = 1000                                            // milliseconds, the longest before a process is started again
	maxFailures         = 20                                              // requests that one fault makes a server fail
	maxRoutes, maxTopUp = 4000, 30_000                                    // routes of a configuration, one that a call to the store bears; tokens at once
	allRoutersSeverity  = 0.8                                             // from this size on a fault of a router meets all
	silentLeaveShare    = 0.3                                             // the part of the leaving servers whose row goes without a word
)

// Conditions of a link: slow and cut, and the one that stands for a reset of its connections.
var slow, cut, reset = condition{delay: 200 * time.Millisecond, rate: 256 << 10}, condition{cut: true}, condition{}

// kinds are all kinds of faults by name.
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
	"store_busy":        {2, 5 * time.Second, storeFault(emulator.RowFaults{Busy: true})},
	"store_silent":      {2, 5 * time.Second, storeFault(emulator.RowFaults{Silent: true})},
	"store_slow":        {2, 5 * time.Second, storeFault(emulator.RowFaults{Slow: 250 * time.Millisecond})},
	"answers_lost":      {2, 3 * time.Second, storeFault(emulator.RowFaults{LoseAnswers: 20})},
	"writes_late":       {2, 3 * time.Second, storeFault(emulator.RowFaults{LateWrites: 20, LateBy: 1500 * time.Millisecond})},
	"history_forgotten": {2, 0, func(s *soakRun, _ faultEvent) { s.rows.Compact() }},
	"server_drains":     {4, 0, (*soakRun).drain},
	"server_crashes":    {3, 0, (*soakRun).crash},
	"deadly_request":    {0, maxDeadlyDuration, (*soakRun).deadlyRequest},
	"server_leaves":     {0, 0, (*soakRun).announceDrain},
	"server_rests":      {0, maxBackoff, (*soakRun).requestBackoff},
	"server_limits":     {0, maxLimitDuration / 2, (*soakRun).limitServer},
	"server_fails":      {5, 0, (*soakRun).failServer},
	"configure":         {5, 0, func(s *soakRun, _ faultEvent) { s.configure(0, 0) }},
	"grow":              {4, 0, func(s *soakRun, e faultEvent) { s.configure(e.scaled(maxRoutes), 0) }},
	"top_up":            {4, 0, func(s *soakRun, e faultEvent) { s.configure(0, e.scaled(maxTopUp), workspaces[e.target%2]) }},
}

// Kinds returns the names of all kinds of faults, in order.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

// forTargets carries a fault out at the router that it meets, or at all at once.
func (s *soakRun) forTargets(e faultEvent, do func(i int, p *process)) {
	for i, p := range s.processes {
		if i == e.target%s.Routers || e.severity > allRoutersSeverity {
			s.faults.Go(func() { do(i, p) })
		}
	}
}

// restart ends a router and starts it again; one that another fault ends already is left alone.
func (s *soakRun) restart(e faultEvent, target func(int) string, end func(*process)) {
	s.forTargets(e, func(i int, p *process) {
		if !p.lifecycleMu.TryLock() {
			return
		}
		defer p.lifecycleMu.Unlock()
		defer s.beginDisturbance(e.kind, target(i), 0)()
		end(p)
		time.Sleep(time.Duration(e.scaled(maxRestartPause)) * time.Millisecond)
		if err := p.start(); err != nil {
			s.reportViolation(promiseAlive, "%s cannot be started: %v", routerTarget(i), err)
		}
		p.awaitReady()
	})
}

// freeze pauses a router's process.
func (s *soakRun) freeze(e faultEvent) {
	s.forTargets(e, func(i int, p *process) {
		defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
		p.signal(syscall.SIGSTOP)
		time.Sleep(e.duration)
		p.signal(syscall.SIGCONT)
	})
}

// hangup has a router read its settings again, unless it is just being started.
func (s *soakRun) hangup(e faultEvent) {
	s.forTargets(e, func(_ int, p *process) {
		if p.lifecycleMu.TryLock() {
			defer p.lifecycleMu.Unlock()
			p.signal(syscall.SIGHUP)
		}
	})
}

// proxyFault disturbs one of a router's links; a later fault takes an earlier one's place.
func proxyFault(which int, c condition) func(s *soakRun, e faultEvent) {
	return func(s *soakRun, e faultEvent) {
		s.forTargets(e, func(i int, p *process) {
			defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
			l := p.proxies[which]
			if c == reset {
				l.reset()
				return
			}
			l.current.Store(&c)
			time.Sleep(e.duration)
			l.current.Store(&l.usual)
		})
	}
}

// storeFault disturbs the store; a later fault takes an earlier one's place.
func storeFault(f emulator.RowFaults) func(s *soakRun, e faultEvent) {
	return func(s *soakRun, e faultEvent) {
		defer s.beginDisturbance(e.kind, storeTarget, 0)()
		s.rows.SetFaults(f)
		time.Sleep(e.duration)
		s.rows.SetFaults(emulator.RowFaults{})
	}
}

// drain lets a server leave, by its word or by the absence of its row, and starts its next life.
func (s *soakRun) drain(e faultEvent) {
	old, slot := s.targetServer(e)
	s.startServer(slot)
	if e.severity < silentLeaveShare {
		old.Deregister(s.rows)
	} else {
		s.register(old, true)
	}
	s.mu.Lock()
	s.drainAcceptedAt[old.ID] = time.Now()
	s.mu.Unlock()
	time.Sleep(maxDrainDelay + extraServingTime)
	s.beginDisturbance(e.kind, old.ID, 0)
	old.Close()
	old.Deregister(s.rows)
}

// crash ends a server at once; its row stays until its silence is noticed.
func (s *soakRun) crash(e faultEvent) {
	old, slot := s.targetServer(e)
	s.beginDisturbance(e.kind, old.ID, 0)
	old.Close()
	time.Sleep(silenceTimeout)
	old.Deregister(s.rows)
	s.startServer(slot)
}

// failures are the ways in which a server fails.
var failures = []emulator.OpaqueFault{
	emulator.OpaqueReset, emulator.OpaqueFull, emulator.OpaqueCut, emulator.OpaqueOther, emulator.OpaqueError, emulator.OpaqueGood,
	emulator.OpaqueHang, emulator.OpaqueForged, emulator.OpaqueForeign, emulator.OpaqueExtra,
}

// failServer makes a server fail its next requests, each in another way.
func (s *soakRun) failServer(e faultEvent) {
	server, _ := s.targetServer(e)
	server.Fail(slices.Repeat(failures, 1+maxFailures/len(failures)+1)[e.target%len(failures):][:e.scaled(maxFailures-1)]...)
}
