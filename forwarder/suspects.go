package forwarder

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

const (
	// innocentAfter is how long an answer must last until its request is no longer taken for the cause of a crash. A request that
	// crashes servers does so early.
	innocentAfter = time.Second
	// crashCheckTimeout is how long a repeatable request waits for the check whether its server has ended, a few round trips
	// between availability zones. A later result counts for the next request.
	crashCheckTimeout = 50 * time.Millisecond
	// maxAbandonedChecks is how often the server of an abandoned quarantined run is checked. Together the checks cover the time
	// in which a crash counts.
	maxAbandonedChecks = int(innocentAfter/checkTTL) - 1
	// quarantineTimeout bounds the wait of a suspect for its turn to run. quarantinePollInterval is how often it tries again if
	// the examiner reports no change.
	quarantineTimeout      = 2 * time.Second
	quarantinePollInterval = 200 * time.Millisecond
)

// suspectStatus returns what the examiner believes about the request. It computes no digest while there are no suspects.
func (x *exchange) suspectStatus() masticway.SuspectStatus {
	if x.f.examiner.HasNoSuspects() {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	return x.f.examiner.Status(x.digest())
}

// provenOutcome returns the outcome of a request that must not be sent to any server. It returns false for other requests.
func (x *exchange) provenOutcome() (outcome, bool) {
	s := x.suspectStatus()
	if s.Suspicion != masticway.SuspicionProven {
		return outcome{}, false
	}
	return newProvenOutcome(s), true
}

// newProvenOutcome returns the outcome of a request that is proven to crash servers.
func newProvenOutcome(s masticway.SuspectStatus) outcome {
	reason := fmt.Sprintf("%d servers ended under this request, the last one %s", len(s.Crashes), s.Crashes[len(s.Crashes)-1].Server)
	return outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: reason, suspect: s}
}

// choice is the server of an attempt. The request is quarantined if no other suspect runs there.
type choice struct {
	server      masticway.Server
	quarantined bool
}

// choose returns the server for the next attempt. If there is none, the outcome has the reason.
func (x *exchange) choose(ctx context.Context) (c choice, none outcome, ok bool) {
	if x.f.examiner.HasNoSuspects() {
		return x.chooseRegular(ctx)
	}
	deadline := x.f.clock.Now().Add(quarantineTimeout)
	for {
		changed := x.f.examiner.Changed()
		s := x.suspectStatus()
		switch s.Suspicion {
		case masticway.SuspicionNone:
			return x.chooseRegular(ctx)
		case masticway.SuspicionProven:
			return choice{}, newProvenOutcome(s), false
		}
		x.suspected = true
		x.resolveUnreported(ctx, s)
		c, found, ok := x.chooseForSuspect(ctx, s)
		if !found {
			return choice{}, x.noServerOutcome(), false
		}
		if ok {
			return c, outcome{}, true
		}
		if ctx.Err() != nil || !x.f.clock.Now().Before(deadline) {
			reason := fmt.Sprintf("%d servers ended under this request, and it waits for its turn to run alone", len(s.Crashes))
			return choice{}, outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: reason, suspect: s}, false
		}
		x.waitFor(ctx, changed, quarantinePollInterval)
	}
}

// chooseForSuspect chooses a server at which no other suspect runs. found reports whether there is any server, ok whether the
// request may run there now. If suspects run at all servers, a request under which only one server crashed runs like any other.
func (x *exchange) chooseForSuspect(ctx context.Context, s masticway.SuspectStatus) (c choice, found, ok bool) {
	servers := x.candidates(x.tried)
	occupied, _ := x.f.examiner.QuarantineServers()
	server, unoccupied := x.selectServer(ctx, exclude(servers, occupied))
	if unoccupied {
		ok = !s.Running && x.f.examiner.Claim(ctx, x.digest(), server.Incarnation())
	} else {
		server, found = x.selectServer(ctx, servers)
		ok = found && !isSerious(s) && !s.Running
	}
	if (unoccupied || found) && !ok {
		x.f.throttler.ReturnPermit(server.Incarnation())
	}
	return choice{server: server, quarantined: unoccupied}, unoccupied || found, ok
}

// isSerious reports whether more than one server has crashed under a request.
func isSerious(s masticway.SuspectStatus) bool { return len(s.Crashes) > 1 }

// chooseRegular chooses a server at which no serious suspect runs, or any server if there is no such one.
func (x *exchange) chooseRegular(ctx context.Context) (c choice, none outcome, ok bool) {
	servers := x.candidates(x.tried)
	if !x.f.examiner.HasNoSuspects() {
		_, seriousServers := x.f.examiner.QuarantineServers()
		if free := exclude(servers, seriousServers); len(free) > 0 {
			servers = free
		}
	}
	if c.server, ok = x.selectServer(ctx, servers); !ok {
		none = x.noServerOutcome()
	}
	return c, none, ok
}

// exclude returns the servers without the excluded ones.
func exclude(servers []masticway.Server, excluded map[masticway.ServerIncarnation]bool) []masticway.Server {
	if len(excluded) == 0 {
		return servers
	}
	remaining := make([]masticway.Server, 0, len(servers))
	for _, s := range servers {
		if !excluded[s.Incarnation()] {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// resolveUnreported checks a server whose quarantined run was not reported on. The router that ran it may have died.
func (x *exchange) resolveUnreported(ctx context.Context, s masticway.SuspectStatus) {
	if s.UnreportedServer == "" {
		return
	}
	for _, server := range x.f.snapshot().Servers[x.q.pool.Name] {
		if server.Incarnation() == s.UnreportedServer && x.hasEnded(ctx, server) {
			x.f.examiner.ReportCrash(x.digest(), x.q.path(), masticway.ServerCrash{Server: s.UnreportedServer, Quarantined: true})
		}
	}
}

// hasEnded reports whether a server is known to have ended within crashCheckTimeout.
func (x *exchange) hasEnded(ctx context.Context, s masticway.Server) bool {
	k := x.f.checks.start(s)
	x.waitFor(ctx, k.done, crashCheckTimeout)
	select {
	case <-k.done:
		return k.result == conditionEnded
	default:
		return false
	}
}

// reportToExaminer reports the end of an attempt to the examiner. A repeatable request waits for the result, so that its next
// attempt runs as a suspect if the server crashed.
func (a *attempt) reportToExaminer(ctx context.Context, out outcome) {
	x := a.x
	switch {
	case out.connectionBroken && a.mayBeAtFault():
		reported := a.reportIfEnded()
		if x.isRepeatable() {
			x.waitFor(ctx, reported, crashCheckTimeout)
		}
	case out.done && x.suspected:
		x.f.examiner.Clear(x.digest())
	case out.abandoned && a.mayBeAtFault():
		a.abandon()
	case a.quarantined:
		x.f.examiner.Release(x.digest())
	}
	a.quarantined = false
}

// waitFor waits until the channel is closed, but not longer than the given time.
func (x *exchange) waitFor(ctx context.Context, closed <-chan struct{}, timeout time.Duration) {
	select {
	case <-closed:
	case <-ctx.Done():
	case <-x.f.clock.After(timeout):
	}
}

// mayBeAtFault reports whether the request may be the cause if the server ends: the server was in service, and its answer had not
// lasted for innocentAfter.
func (a *attempt) mayBeAtFault() bool {
	x := a.x
	if !a.firstAt.IsZero() && x.f.clock.Now().Sub(a.firstAt) >= innocentAfter {
		return false
	}
	for _, s := range x.f.snapshot().Servers[a.server.Pool] {
		if s.Incarnation() == a.server.Incarnation() {
			return true
		}
	}
	// The server was leaving.
	return false
}

// serverRun returns the run of the attempt for a report to the examiner.
func (a *attempt) serverRun() serverRun {
	end := masticway.ServerCrash{Server: a.server.Incarnation(), Quarantined: a.quarantined, Answered: !a.firstAt.IsZero()}
	return serverRun{request: a.x.q.ID, digest: a.x.digest(), path: a.x.q.path(), end: end}
}

// reportIfEnded checks the attempt's server and reports a crash if it has ended. The returned channel is closed when that is
// done.
func (a *attempt) reportIfEnded() <-chan struct{} {
	f, r := a.x.f, a.serverRun()
	k := f.checks.start(a.server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-k.done
		switch {
		case k.result == conditionEnded:
			f.reportCrash(r)
		case r.end.Quarantined:
			f.examiner.Release(r.digest)
		}
	}()
	return done
}

// abandon remembers an attempt that this router gives up, so that it is reported if its server ends soon. A quarantined run stays
// claimed until that is known.
func (a *attempt) abandon() {
	f, r := a.x.f, a.serverRun()
	r.abandonedAt = f.clock.Now()
	f.abandoned.add(r)
	if a.quarantined {
		go f.watchServer(a.server, r)
	}
}

// watchServer checks the server of an abandoned quarantined run, and ends the quarantine once the server has ended or survived.
func (f *Forwarder) watchServer(s masticway.Server, r serverRun) {
	for range maxAbandonedChecks {
		<-f.clock.After(checkTTL)
		k := f.checks.start(s)
		<-k.done
		if k.result == conditionEnded {
			f.reportAbandoned(s.Incarnation())
			return
		}
	}
	if f.abandoned.remove(r) {
		f.examiner.Release(r.digest)
	}
}

// checkUnreachable checks a server that refuses connections, if there are abandoned runs that may be the cause.
func (f *Forwarder) checkUnreachable(s masticway.Server) {
	if f.abandoned.hasRecent(f.clock.Now(), s.Incarnation()) {
		f.checks.start(s)
	}
}

// reportAbandoned reports a crash for each request that was abandoned at the server shortly before it ended.
func (f *Forwarder) reportAbandoned(server masticway.ServerIncarnation) {
	for _, r := range f.abandoned.takeRecent(f.clock.Now(), server) {
		f.reportCrash(r)
	}
}

// reportCrash reports to the examiner that a server ended under a request.
func (f *Forwarder) reportCrash(r serverRun) {
	f.examiner.ReportCrash(r.digest, r.path, r.end)
	fields := logrus.Fields{
		"event": "server_ended_under_request", "request": r.request, "digest": r.digest, "path": r.path, "server": r.end.Server, "apart": r.end.Quarantined,
		"answered": r.end.Answered, "ends": len(f.examiner.Status(r.digest).Crashes),
	}
	if !r.abandonedAt.IsZero() {
		fields["abandoned_ms"] = f.clock.Now().Sub(r.abandonedAt).Milliseconds()
	}
	f.log.WithFields(fields).Warn("a server ended while it ran a request")
}

// clearSuspect reports a quarantined request as innocent once its answer has lasted long enough.
func (a *attempt) clearSuspect() {
	if !a.quarantined || a.x.f.clock.Now().Sub(a.firstAt) < innocentAfter {
		return
	}
	a.quarantined, a.x.suspected = false, false
	a.x.f.examiner.Clear(a.x.digest())
}
