package soaker

import (
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/masticway/masticway/emulator"
)

// event is one fault as drawn: what it meets, between 0 and 1 how bad it is, and how long it lasts.
type event struct {
	kind   string
	target int
	size   float64
	length time.Duration
}

// part returns a part of the most by the event's size, never nothing.
func (e event) part(most int) int { return 1 + int(e.size*float64(most)) }

// fault is a kind of fault: its weight in the draw (without one it is drawn only where it is named), how long it lasts at most, and what it does until it is over.
type fault struct {
	weight int
	most   time.Duration
	do     func(s *run, e event)
}

const (
	gapMost, shortest     = 1400 * time.Millisecond, 150 * time.Millisecond // between the beginnings of two faults; the least length
	restartPause          = 1000                                            // milliseconds, the longest before a process is started again
	failuresMost          = 20                                              // requests that one fault makes a server fail
	routesMost, topUpMost = 4000, 30_000                                    // routes of a configuration, one that a call to the store bears; tokens at once
	allTargets            = 0.8                                             // from this size on a fault of a router meets all
	silentShare           = 0.3                                             // the part of the leaving servers whose row goes without a word
)

// Conditions of a link: slow and cut, and the one that stands for a reset of its connections.
var slow, cut, reset = condition{delay: 200 * time.Millisecond, rate: 256 << 10}, condition{cut: true}, condition{}

// kinds are all kinds of faults by name.
var kinds = map[string]fault{
	"term":              {10, 0, func(s *run, e event) { s.restart(e, plannedTarget, (*process).stop) }},
	"kill":              {5, 0, func(s *run, e event) { s.restart(e, routerTarget, (*process).kill) }},
	"freeze":            {3, 4 * time.Second, (*run).freeze},
	"hangup":            {3, 0, (*run).hangup},
	"callers_cut":       {2, 3 * time.Second, linkFault(toCallers, cut)},
	"callers_slow":      {2, 3 * time.Second, linkFault(toCallers, slow)},
	"callers_reset":     {2, 0, linkFault(toCallers, reset)},
	"store_cut":         {3, 6 * time.Second, linkFault(toStore, cut)},
	"store_link_slow":   {3, 5 * time.Second, linkFault(toStore, slow)},
	"store_link_reset":  {2, 0, linkFault(toStore, reset)},
	"store_busy":        {2, 5 * time.Second, storeFault(emulator.RowFaults{Unavailable: true})},
	"store_silent":      {2, 5 * time.Second, storeFault(emulator.RowFaults{Unresponsive: true})},
	"store_slow":        {2, 5 * time.Second, storeFault(emulator.RowFaults{Delay: 250 * time.Millisecond})},
	"answers_lost":      {2, 3 * time.Second, storeFault(emulator.RowFaults{DropAnswers: 20})},
	"writes_late":       {2, 3 * time.Second, storeFault(emulator.RowFaults{LateWrites: 20, LateWriteDelay: 1500 * time.Millisecond})},
	"history_forgotten": {2, 0, func(s *run, _ event) { s.rows.Compact() }},
	"server_drains":     {4, 0, (*run).drain},
	"server_crashes":    {3, 0, (*run).crash},
	"deadly_request":    {0, deadlyMost, (*run).deadlyRequest},
	"server_leaves":     {0, 0, (*run).leaveByAnswers},
	"server_rests":      {0, restMost, (*run).restServer},
	"server_limits":     {0, limitedMost / 2, (*run).limitServer},
	"server_fails":      {5, 0, (*run).failServer},
	"configure":         {5, 0, func(s *run, _ event) { s.configure(0, 0) }},
	"grow":              {4, 0, func(s *run, e event) { s.configure(e.part(routesMost), 0) }},
	"top_up":            {4, 0, func(s *run, e event) { s.configure(0, e.part(topUpMost), workspaces[e.target%2]) }},
}

// Kinds returns the names of all kinds of faults, in order.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

// meets carries a fault out at the router that it meets, or at all at once.
func (s *run) meets(e event, do func(i int, p *process)) {
	for i, p := range s.processes {
		if i == e.target%s.Routers || e.size > allTargets {
			s.faults.Go(func() { do(i, p) })
		}
	}
}

// restart ends a router and starts it again; one that another fault ends already is left alone.
func (s *run) restart(e event, target func(int) string, end func(*process)) {
	s.meets(e, func(i int, p *process) {
		if !p.operating.TryLock() {
			return
		}
		defer p.operating.Unlock()
		defer s.disturb(e.kind, target(i), 0)()
		end(p)
		time.Sleep(time.Duration(e.part(restartPause)) * time.Millisecond)
		if err := p.start(); err != nil {
			s.violate(promiseAlive, "%s cannot be started: %v", routerTarget(i), err)
		}
		p.awaitReady()
	})
}

// freeze pauses a router's process.
func (s *run) freeze(e event) {
	s.meets(e, func(i int, p *process) {
		defer s.disturb(e.kind, routerTarget(i), 0)()
		p.signal(syscall.SIGSTOP)
		time.Sleep(e.length)
		p.signal(syscall.SIGCONT)
	})
}

// hangup has a router read its settings again, unless it is just being started.
func (s *run) hangup(e event) {
	s.meets(e, func(_ int, p *process) {
		if p.operating.TryLock() {
			defer p.operating.Unlock()
			p.signal(syscall.SIGHUP)
		}
	})
}

// linkFault disturbs one of a router's links; a later fault takes an earlier one's place.
func linkFault(which int, c condition) func(s *run, e event) {
	return func(s *run, e event) {
		s.meets(e, func(i int, p *process) {
			defer s.disturb(e.kind, routerTarget(i), 0)()
			l := p.links[which]
			if c == reset {
				l.reset()
				return
			}
			l.now.Store(&c)
			time.Sleep(e.length)
			l.now.Store(&l.base)
		})
	}
}

// storeFault disturbs the store; a later fault takes an earlier one's place.
func storeFault(f emulator.RowFaults) func(s *run, e event) {
	return func(s *run, e event) {
		defer s.disturb(e.kind, storeTarget, 0)()
		s.rows.SetFaults(f)
		time.Sleep(e.length)
		s.rows.SetFaults(emulator.RowFaults{})
	}
}

// drain lets a server leave, by its word or by the absence of its row, and starts its next life.
func (s *run) drain(e event) {
	old, slot := s.serverOf(e)
	s.startServer(slot)
	if e.size < silentShare {
		old.Deregister(s.rows)
	} else {
		s.register(old, true)
	}
	s.mu.Lock()
	s.leftAt[old.ID] = time.Now()
	s.mu.Unlock()
	time.Sleep(drainBound + servesOn)
	s.disturb(e.kind, old.ID, 0)
	old.Close()
	old.Deregister(s.rows)
}

// crash ends a server at once; its row stays until its silence is noticed.
func (s *run) crash(e event) {
	old, slot := s.serverOf(e)
	s.disturb(e.kind, old.ID, 0)
	old.Close()
	time.Sleep(silentAfter)
	old.Deregister(s.rows)
	s.startServer(slot)
}

// failures are the ways in which a server fails.
var failures = []emulator.OpaqueFault{
	emulator.OpaqueReset, emulator.OpaqueOverloaded, emulator.OpaqueTruncated, emulator.OpaqueWrongServer, emulator.OpaqueError, emulator.OpaqueNoFault,
	emulator.OpaqueHang, emulator.OpaqueUnsigned, emulator.OpaqueWrongRequest, emulator.OpaqueStrayAnswer,
}

// failServer makes a server fail its next requests, each in another way.
func (s *run) failServer(e event) {
	server, _ := s.serverOf(e)
	server.InjectFaults(slices.Repeat(failures, 1+failuresMost/len(failures)+1)[e.target%len(failures):][:e.part(failuresMost-1)]...)
}
