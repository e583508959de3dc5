package soaker

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// leavingKind is the name of the fault in which callers leave a router while it gets little or no processor time.
	leavingKind = "callers_leave"
	// leavingCallers is the number of callers that leave in such a fault, each leavePatience after it has sent a request. As many as
	// waitingCallers wait for their answers, for waitingTime longer than the fault lasts.
	leavingCallers, waitingCallers = 40, 12
	leavePatience, waitingTime     = 320 * time.Millisecond, 3 * time.Second
	// maxLeavePause is the longest pause of a leaving caller between two requests.
	maxLeavePause = 200 * time.Millisecond
	// leavingStreamBase is the lowest number of the random streams (newCaller) of these callers.
	leavingStreamBase = 4 << 20
	// minStop and maxStop bound the time for which a router is stopped at once. stopPause is the pause between two stops in a series.
	minStop, maxStop, stopPause = 600 * time.Millisecond, 1600 * time.Millisecond, 120 * time.Millisecond
	// A router with little processor time runs for runTime of every runPeriod.
	runTime, runPeriod = 150 * time.Millisecond, time.Second
	// maxServerDelay is the longest time that plain servers take for an answer while they are slow, beyond minDuration.
	maxServerDelay = 2 * time.Second
	// goneSlack is how long after a caller has left its request may still reach a server, as in the users' deployments.
	goneSlack = 500 * time.Millisecond
	// soakTarget is the name under which starvation of the soak itself is recorded.
	soakTarget = "soak"
)

// callerLinkTarget returns the name under which disturbances of the network between a router and its callers are recorded.
func callerLinkTarget(i int) string { return "callers-" + routerTarget(i) }

// stopPattern is how a router is kept from serving its callers.
type stopPattern int

// The patterns: one stop, several stops one after the other, little processor time, and a restart.
const (
	stopOnce stopPattern = iota
	stopInSeries
	runShortly
	restartRouter
	stopPatterns
)

// stopsInSeries is the number of stops of stopInSeries.
const stopsInSeries = 3

// suspend keeps a process from running for a time: once, in several stops, or for most of every runPeriod of twice that time.
func (p *process) suspend(pattern stopPattern, length time.Duration) {
	stop := func(d time.Duration) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}
	switch pattern {
	case stopOnce:
		stop(length)
	case stopInSeries:
		for range stopsInSeries {
			stop(length / stopsInSeries)
			time.Sleep(stopPause)
		}
	default:
		for until := time.Now().Add(2 * length); time.Now().Before(until); {
			stop(runPeriod - runTime)
			time.Sleep(runTime)
		}
	}
}

// throttle gives the affected routers little processor time for the duration of the fault.
func (s *soakRun) throttle(e faultEvent) {
	s.forTargets(e, func(i int, p *process) {
		defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
		p.suspend(runShortly, e.duration/2)
	})
}

// slowServers makes the current servers take long for answers that are not streams, for the duration of the fault.
func (s *soakRun) slowServers(e faultEvent) {
	s.mu.Lock()
	servers := append(s.servers[:0:0], s.servers...)
	s.mu.Unlock()
	s.logf("servers take %s", e.duration)
	for _, server := range servers {
		server.EnableEcho(e.duration)
	}
	time.Sleep(e.duration)
	for _, server := range servers {
		server.EnableEcho(s.work)
	}
}

// leave keeps the affected routers from running, or restarts them, while many of their callers leave and others wait.
func (s *soakRun) leave(e faultEvent) {
	s.forTargets(e, func(i int, p *process) {
		pattern := stopPattern(e.target/s.Routers) % stopPatterns
		if pattern == restartRouter {
			if p.lifecycleMu.TryLock() {
				defer p.lifecycleMu.Unlock()
			} else {
				// Another fault is restarting the router.
				pattern = stopOnce
			}
		}
		length := minStop + time.Duration(e.severity*float64(maxStop-minStop))
		s.mu.Lock()
		stream := leavingStreamBase + s.leavingFaults*(leavingCallers+waitingCallers)
		s.leavingFaults++
		s.mu.Unlock()
		callers := make([]*caller, leavingCallers+waitingCallers)
		var ready sync.WaitGroup
		for j := range callers {
			callers[j] = s.newLeavingCaller(stream+j, p.settings.CallerAddress, j%4 < 2)
			if j%2 == 0 {
				ready.Go(func() { callers[j].sendPatiently(length) })
			}
		}
		ready.Wait()
		defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
		over := make(chan struct{})
		var load sync.WaitGroup
		for j, c := range callers {
			if j < leavingCallers {
				load.Go(func() { c.leaveRepeatedly(over) })
			} else {
				load.Go(func() { c.wait(over, length, p, pattern != restartRouter) })
			}
		}
		if pattern == restartRouter {
			p.kill()
			p.startAgain()
		} else {
			p.suspend(pattern, length)
		}
		close(over)
		load.Wait()
	})
}

// newLeavingCaller returns a caller with a connection of its own to a router, which it resets when it leaves if resets is set.
func (s *soakRun) newLeavingCaller(stream int, address string, resets bool) *caller {
	c := s.newCaller("l", stream, address)
	c.transport.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		d := &net.Dialer{Timeout: connectTimeout}
		if resets {
			d.Control = resetOnClose
		}
		return s.dial(ctx, d, network, address)
	}
	return c
}

// resetOnClose makes the kernel reset a connection when it is closed.
func resetOnClose(_, _ string, raw syscall.RawConn) error {
	var err error
	failed := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	return errors.Join(failed, err)
}

// leaveRepeatedly sends requests and leaves early until over is closed. Some of the requests declare how early, and some repeat at
// once.
func (c *caller) leaveRepeatedly(over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(randomUpTo(c.random, maxLeavePause)):
		}
		r := routes[c.random.IntN(len(routes))]
		q := &request{route: r, timeLimit: leavePatience, waitTimeout: leavePatience, prompt: c.random.IntN(maxPrompt), declared: maxEvents}
		if c.random.IntN(2) == 0 {
			q.timeLimit = maxTimeLimit
		}
		if !r.anonymous {
			q.workspace = workspaces[len(workspaces)-1]
		}
		q.body = strings.Repeat("x", int(math.Pow(maxBodyBytes, c.random.Float64())))
		c.send(q, r.name)
	}
}

// sendPatiently sends a request to a plain service with enough time to be served after a stop of the given length, and returns
// it with its outcome.
func (c *caller) sendPatiently(stop time.Duration) *request {
	r := routes[plainRoute]
	q := &request{route: r, timeLimit: (3*stop + waitingTime).Truncate(time.Millisecond)}
	q.waitTimeout = q.timeLimit + answerSlack
	c.send(q, r.name)
	return q
}

// wait sends requests to a process until over is closed. If counts is set, it counts them and those that were served, unless the
// process was told to end or did not listen yet.
func (c *caller) wait(over <-chan struct{}, stop time.Duration, p *process, counts bool) {
	for {
		stops, stopping := p.stops()
		q := c.sendPatiently(stop)
		if after, _ := p.stops(); counts && !stopping && after == stops && q.outcome != outcomeUnsent {
			c.soak.countWaiting(q)
		}
		select {
		case <-over:
			return
		case <-time.After(maxLeavePause):
		}
	}
}

// countWaiting counts a request of a caller that waited while a router was stopped.
func (s *soakRun) countWaiting(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waited++
	switch {
	case q.outcome != outcomeAnswered:
		s.logf("its caller waited and got no answer: %s", q)
	case q.status == http.StatusOK:
		s.waitedAnswered++
		s.waitedServed++
	default:
		s.waitedAnswered++
	}
}

// checkGone checks that no request reached a server more than goneSlack after its caller had left, and that servers were told no
// more time than was left. It counts the callers that left.
func (s *soakRun) checkGone() {
	for _, q := range s.requests {
		if q.outcome == outcomeTimedOut {
			s.left++
		}
	}
	for _, server := range s.all {
		for _, a := range server.Arrivals() {
			q := s.requests[sending{a.ID, a.Path}]
			if q == nil || q.outcome != outcomeTimedOut && q.outcome != outcomeUnsent {
				continue
			}
			if late := a.ReceivedAt.Sub(q.endedAt); late > goneSlack && s.hasSeenCaller(q, a.ReceivedAt) {
				s.reportViolation(promiseGone, "%s got a request %s after its caller had left: %s", server.ID, late.Round(time.Millisecond), q)
			}
		}
	}
	for _, r := range s.ledger.Runs() {
		q := s.requests[sendingOf(r)]
		if q == nil {
			continue
		}
		// The time that a server is told counts from the head of the request, that of the router from when its kernel had bytes of it.
		left := q.timeLimit - r.HeadAt.Sub(s.deliveredAt(q))
		if r.TimeLeft > max(0, left)+timingSlack && s.hasSeenCaller(q, r.HeadAt) {
			s.reportViolation(promiseGone, "%s was given %s at %s, when %s were left: %s", r.Server, r.TimeLeft, r.HeadAt.UTC().Format(clockFormat), left, q)
		}
	}
}

// hasSeenCaller reports whether the network between a caller and its router, and the soak itself, were undisturbed from when a
// request was sent until a time.
func (s *soakRun) hasSeenCaller(q *request, until time.Time) bool {
	return s.isUndisturbed(q.sentAt.Add(-timingSlack), until, callerLinkTarget(q.router), soakTarget)
}
