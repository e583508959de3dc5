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
	// innocentAfter is how long an answer has to go on until its request is not taken for the cause of what happens to the
	// server: a request that ends servers does so when it begins.
	innocentAfter = time.Second
	// crashCheckTimeout is how long a request that may run again waits to hear whether its server has ended, a few ways between
	// availability zones; what it learns later counts for the next one.
	crashCheckTimeout = 50 * time.Millisecond
	// maxAbandonedChecks is how often the server of a run apart that was given up is looked at: for as long as its end counts.
	maxAbandonedChecks = int(innocentAfter/checkTTL) - 1
	// quarantineTimeout bounds the wait of a suspect for its turn, and quarantinePollInterval is how often it looks without a word.
	quarantineTimeout      = 2 * time.Second
	quarantinePollInterval = 200 * time.Millisecond
)

// suspectStatus returns what is believed of the request. While there is no suspect, nothing is worked out.
func (x *exchange) suspectStatus() masticway.SuspectStatus {
	if x.f.examiner.HasNoSuspects() {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	return x.f.examiner.Status(x.digest())
}

// provenOutcome tells that the request is not to be sent to any server.
func (x *exchange) provenOutcome() (outcome, bool) {
	s := x.suspectStatus()
	if s.Suspicion != masticway.SuspicionProven {
		return outcome{}, false
	}
	return newProvenOutcome(s), true
}

// newProvenOutcome is the outcome of a request that is proven to end servers.
func newProvenOutcome(s masticway.SuspectStatus) outcome {
	reason := fmt.Sprintf("%d servers ended under this request, the last one %s", len(s.Crashes), s.Crashes[len(s.Crashes)-1].Server)
	return outcome{fate: masticway.FateNotRun, result: chooser.VerdictNone, reason: reason, suspect: s}
}

// choice is where an attempt goes, and whether the request runs there apart from all other suspects.
type choice struct {
	server      masticway.Server
	quarantined bool
}

// choose returns where the next attempt goes. There may be nowhere, for a reason.
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
			return choice{}, outcome{fate: masticway.FateNotRun, result: chooser.VerdictNone, reason: reason, suspect: s}, false
		}
		x.waitFor(ctx, changed, quarantinePollInterval)
	}
}

// chooseForSuspect chooses a server where no other suspect runs; found tells that there is a server at all, ok that the request may
// run at it now. Where suspects are at all of them, one under which a single server ended runs as any other request.
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

// isSerious tells that more than one server has ended under a request.
func isSerious(s masticway.SuspectStatus) bool { return len(s.Crashes) > 1 }

// chooseRegular chooses a server where no serious suspect runs, or any if that leaves none.
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

// exclude returns the servers that are not among some lives.
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

// resolveUnreported finds out what became of a run apart whose router has not told: it may have died.
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

// hasEnded tells whether a server has ended, as far as that is known soon.
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

// reportToExaminer draws what an attempt's end tells of the request. One that may run again waits for the finding, so that it runs as a
// suspect then.
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

// waitFor waits until a channel is closed, no longer than a time.
func (x *exchange) waitFor(ctx context.Context, closed <-chan struct{}, timeout time.Duration) {
	select {
	case <-closed:
	case <-ctx.Done():
	case <-x.f.clock.After(timeout):
	}
}

// mayBeAtFault tells that a server's end may be the request's fault: the server was to stay, and had not answered for long.
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
	// It was leaving.
	return false
}

// serverRun is the attempt as far as its server's end may be the request's fault.
func (a *attempt) serverRun() serverRun {
	end := masticway.ServerCrash{Server: a.server.Incarnation(), Quarantined: a.quarantined, Answered: !a.firstAt.IsZero()}
	return serverRun{request: a.x.q.ID, digest: a.x.digest(), path: a.x.q.path(), end: end}
}

// reportIfEnded notes the end of the attempt's server under the request, if it has ended; the channel it returns is closed then.
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

// abandon remembers an attempt that this router gives up, so that it can be accused if its server ends soon. A run apart goes
// on until that is known.
func (a *attempt) abandon() {
	f, r := a.x.f, a.serverRun()
	r.abandonedAt = f.clock.Now()
	f.abandoned.add(r)
	if a.quarantined {
		go f.watchServer(a.server, r)
	}
}

// watchServer ends a run apart that was given up, by what becomes of its server.
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

// checkUnreachable checks a server that takes no connections, if there are attempts whose fault that may be.
func (f *Forwarder) checkUnreachable(s masticway.Server) {
	if f.abandoned.hasRecent(f.clock.Now(), s.Incarnation()) {
		f.checks.start(s)
	}
}

// reportAbandoned accuses the requests that were given up at a server shortly before it ended.
func (f *Forwarder) reportAbandoned(server masticway.ServerIncarnation) {
	for _, r := range f.abandoned.takeRecent(f.clock.Now(), server) {
		f.reportCrash(r)
	}
}

// reportCrash tells the examiner of a server that ended under a request.
func (f *Forwarder) reportCrash(r serverRun) {
	f.examiner.ReportCrash(r.digest, r.path, r.end)
	fields := logrus.Fields{
		"event": "server_ended_under_request", "request": r.request, "digest": r.digest, "path": r.path, "server": r.end.Server, "apart": r.end.Quarantined,
		"answered": r.end.Answered, "ends": len(f.examiner.Status(r.digest).Crashes),
	}
	if !r.abandonedAt.IsZero() {
		fields["abandoned_ms"] = f.clock.Now().Sub(r.abandonedAt).Milliseconds()
	}
	f.log.WithFields(fields).Warn("a server ended under a request")
}

// clearSuspect clears a suspect whose answer has gone on for long enough.
func (a *attempt) clearSuspect() {
	if !a.quarantined || a.x.f.clock.Now().Sub(a.firstAt) < innocentAfter {
		return
	}
	a.quarantined, a.x.suspected = false, false
	a.x.f.examiner.Clear(a.x.digest())
}
