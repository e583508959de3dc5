package soaker

import (
	"syscall"
	"time"

	"github.com/masticway/masticway/emulator"
)

// event is one fault as drawn.
type event struct {
	at     time.Duration
	kind   string
	target int
	// size is between 0 and 1, length how long the fault lasts.
	size   float64
	length time.Duration
}

// fault is a kind of fault: its weight in the draw, how long it lasts at most, and what it does until it is over.
type fault struct {
	weight int
	most   time.Duration
	do     func(s *run, e event) error
}

const (
	// gapMost is the longest time between the beginnings of two faults, shortest the least length of one.
	gapMost  = 1400 * time.Millisecond
	shortest = 150 * time.Millisecond
	// restartPause is the longest pause before a process that has ended is started again.
	restartPause = time.Second
	// delayMost and slowRate are the worst of a slow link: so long for each chunk, and so many bytes a second.
	delayMost = 300 * time.Millisecond
	slowRate  = 64 << 10
	// storeDelay is the worst of a slow store, lateBy of late writes.
	storeDelay = 400 * time.Millisecond
	lateBy     = 3 * time.Second
	// writesMost bounds the writes of one fault whose answers are lost or which come late, failuresMost the requests that
	// one makes a server fail.
	writesMost   = 30
	failuresMost = 20
	// fillersMost is by how many routes a configuration grows at most at once, topUpMost by how many tokens a budget.
	fillersMost = 2000
	topUpMost   = 60_000
	// allTargets is the size from which on a fault of a router's link meets all of them.
	allTargets = 0.8
)

// kinds are all kinds of faults by name.
var kinds = map[string]fault{
	"term":              {10, 0, func(s *run, e event) error { return s.restart(e, plannedTarget, (*process).stop) }},
	"kill":              {4, 0, func(s *run, e event) error { return s.restart(e, routerTarget, (*process).kill) }},
	"kill_all":          {1, 0, (*run).killAll},
	"freeze":            {3, 4 * time.Second, (*run).freeze},
	"hangup":            {3, 0, (*run).hangup},
	"callers_cut":       {2, 3 * time.Second, linkFault(callersLink, cutLink)},
	"callers_slow":      {2, 3 * time.Second, linkFault(callersLink, slowLink)},
	"callers_reset":     {2, 0, linkFault(callersLink, resetLink)},
	"store_cut":         {3, 6 * time.Second, linkFault(storeLink, cutLink)},
	"store_link_slow":   {3, 5 * time.Second, linkFault(storeLink, slowLink)},
	"store_link_reset":  {2, 0, linkFault(storeLink, resetLink)},
	"store_busy":        {2, 5 * time.Second, storeFault(func(event) emulator.RowFaults { return emulator.RowFaults{Busy: true} })},
	"store_silent":      {2, 5 * time.Second, storeFault(func(event) emulator.RowFaults { return emulator.RowFaults{Silent: true} })},
	"store_slow":        {2, 5 * time.Second, storeFault(slowStore)},
	"answers_lost":      {2, 3 * time.Second, storeFault(func(e event) emulator.RowFaults { return emulator.RowFaults{LoseAnswers: e.part(writesMost)} })},
	"writes_late":       {2, 3 * time.Second, storeFault(lateWrites)},
	"history_forgotten": {2, 0, func(s *run, _ event) error { s.rows.Compact(); return nil }},
	"server_drains":     {4, 0, func(s *run, e event) error { return s.park.drain(e.target%len(pools), e.size < 0.3) }},
	"server_crashes":    {3, 0, func(s *run, e event) error { return s.park.crash(e.target % len(pools)) }},
	"server_fails":      {5, 0, (*run).failServer},
	"configure":         {5, 0, func(s *run, _ event) error { return s.configure(0, 0) }},
	"grow":              {2, 0, func(s *run, e event) error { return s.configure(e.part(fillersMost), 0) }},
	"top_up":            {4, 0, func(s *run, e event) error { return s.configure(0, int64(e.part(topUpMost)), workspaces[e.target%2]) }},
}

// part returns a part of the most, by the event's size.
func (e event) part(most int) int { return 1 + int(e.size*float64(most)) }

func (e event) partOf(most time.Duration) time.Duration { return time.Duration(e.size * float64(most)) }

// restart ends a router and starts it again; one that another fault ends already is left alone.
func (s *run) restart(e event, target func(int) string, end func(*process)) error {
	i := e.target % len(s.processes)
	p := s.processes[i]
	if !p.operating.TryLock() {
		return nil
	}
	defer p.operating.Unlock()
	defer s.record.disturb(e.kind, target(i))()
	end(p)
	time.Sleep(e.partOf(restartPause))
	if err := p.start(); err != nil {
		return err
	}
	p.awaitReady()
	return nil
}

func (s *run) killAll(e event) error {
	for i := range s.processes {
		s.do(func() error {
			return s.restart(event{kind: e.kind, target: i, size: e.size}, routerTarget, (*process).kill)
		})
	}
	return nil
}

// freeze pauses a router's process.
func (s *run) freeze(e event) error {
	i := e.target % len(s.processes)
	defer s.record.disturb(e.kind, routerTarget(i))()
	s.processes[i].signal(syscall.SIGSTOP)
	time.Sleep(e.length)
	s.processes[i].signal(syscall.SIGCONT)
	return nil
}

// hangup has a router read its settings again, which differ in the least level of its log.
func (s *run) hangup(e event) error {
	p := s.processes[e.target%len(s.processes)]
	if !p.operating.TryLock() {
		return nil
	}
	defer p.operating.Unlock()
	p.settings.LogLevel = []string{"info", "debug"}[int(2*e.size)]
	if err := p.write(); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

func callersLink(p *process) *link { return p.callers }
func storeLink(p *process) *link   { return p.store }

func cutLink(l *link, e event) { l.apply(condition{cut: true}, e.length) }
func slowLink(l *link, e event) {
	l.apply(condition{delay: e.partOf(delayMost), rate: slowRate}, e.length)
}
func resetLink(l *link, _ event) { l.reset() }

// linkFault disturbs a link of one router, or of all at once.
func linkFault(which func(*process) *link, how func(*link, event)) func(s *run, e event) error {
	return func(s *run, e event) error {
		for i, p := range s.processes {
			if i == e.target%len(s.processes) || e.size > allTargets {
				s.do(func() error {
					defer s.record.disturb(e.kind, routerTarget(i))()
					how(which(p), e)
					return nil
				})
			}
		}
		return nil
	}
}

func slowStore(e event) emulator.RowFaults { return emulator.RowFaults{Slow: e.partOf(storeDelay)} }

func lateWrites(e event) emulator.RowFaults {
	return emulator.RowFaults{LateWrites: e.part(writesMost), LateBy: e.partOf(lateBy)}
}

// storeFault disturbs the store; a later fault takes an earlier one's place.
func storeFault(f func(e event) emulator.RowFaults) func(s *run, e event) error {
	return func(s *run, e event) error {
		defer s.record.disturb(e.kind, storeTarget)()
		s.rows.SetFaults(f(e))
		time.Sleep(e.length)
		s.rows.SetFaults(emulator.RowFaults{})
		return nil
	}
}

// failServer makes a server fail its next requests, in each way that there is.
func (s *run) failServer(e event) error {
	all := []emulator.OpaqueFault{
		emulator.OpaqueReset, emulator.OpaqueFull, emulator.OpaqueCut, emulator.OpaqueOther, emulator.OpaqueError, emulator.OpaqueGood,
		emulator.OpaqueHang, emulator.OpaqueForged, emulator.OpaqueForeign, emulator.OpaqueExtra,
	}
	var faults []emulator.OpaqueFault
	for i := range e.part(failuresMost) {
		faults = append(faults, all[(e.target+i)%len(all)])
	}
	s.park.at(e.target % len(pools)).Fail(faults...)
	return nil
}

// configure writes the next version.
func (s *run) configure(fillers int, paid int64, to ...string) error {
	number, bytes := s.operator.write(fillers, paid, to...)
	s.record.note("version %d accepted, %d bytes, %d routes more, %d paid to %v", number, bytes, fillers, paid, to)
	return nil
}
