package forwarder

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/examiner"
)

const (
	// innocentAfter is the time after the first part of a request's answer in which the request is still considered a possible
	// cause of a server's crash. If this router gave up the run, the time starts when it did. The time is short, because a
	// request that crashes servers does so early.
	innocentAfter = time.Second
	// answerConfirmTime is the time after the first part of an answer in which the parts of the prompt are still considered a
	// possible cause of a server's crash. It is shorter than innocentAfter, because sound parts are refused if it takes long until
	// an answer refutes the evidence against them.
	answerConfirmTime = 200 * time.Millisecond
	// crashCheckTimeout is how long a request waits for the result of a check of a server. It allows for a few round trips
	// between availability zones. A result that comes later takes effect on later requests.
	crashCheckTimeout = 50 * time.Millisecond
	// maxAbandonedChecks is the number of checks of the server of an abandoned quarantined run. The checks are checkTTL apart,
	// and all begin before innocentAfter has passed unless checks take long.
	maxAbandonedChecks = int(innocentAfter/checkTTL) - 1
	// quarantineTimeout is how long a suspect may wait for its turn to run.
	quarantineTimeout = 2 * time.Second
	// quarantinePollInterval is how often a waiting suspect tries again if the examiner reports no change.
	quarantinePollInterval = 200 * time.Millisecond
)

// suspects returns everything in the request that may crash servers.
func (x *exchange) suspects() masticway.Suspects {
	x.suspectsOnce.Do(func() {
		q, workspace := x.q, x.q.account.Workspace
		x.suspectsValue = masticway.Suspects{
			Request: examiner.Digest(examiner.DigestInput{Workspace: workspace, Method: q.method, Host: q.host, Target: q.target, Body: q.body}),
			Path:    q.path(), Parts: examiner.Parts(workspace, q.Parts), Workspace: workspace, Pool: q.pool.Name,
		}
	})
	return x.suspectsValue
}

// suspectStatus returns the examiner's status of the request. It computes no digest if there are no suspects.
func (x *exchange) suspectStatus() masticway.SuspectStatus {
	if x.f.examiner.HasNoSuspects() {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	return x.f.examiner.Status(x.suspects())
}

// provenOutcome returns the outcome of a request that is proven to crash servers and must not be sent. It returns false for other
// requests.
func (x *exchange) provenOutcome() (outcome, bool) {
	s := x.suspectStatus()
	if s.Suspicion != masticway.SuspicionProven {
		return outcome{}, false
	}
	return x.newProvenOutcome(s), true
}

// newProvenOutcome returns the outcome of a request that is proven to crash servers.
func (x *exchange) newProvenOutcome(s masticway.SuspectStatus) outcome {
	reason := fmt.Sprintf("%d servers ended under %s, the last one %s", len(s.Crashes), x.describeSuspect(s.Suspect), s.Crashes[len(s.Crashes)-1].Server)
	return outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: reason, suspect: s}
}

// describeSuspect describes the request or the part of its prompt that is a suspect, for messages.
func (x *exchange) describeSuspect(id masticway.SuspectID) string {
	for _, part := range x.suspects().Parts {
		if part.ID == id {
			return "requests with part " + part.Name + " in their prompts"
		}
	}
	return "this request"
}

// choice is the server of an attempt. quarantined is set if this router has claimed a run of the request in quarantine there (see
// masticway.Examiner.Claim).
type choice struct {
	server      masticway.Server
	quarantined bool
	// run describes the attempt to the coordinator. It is nil if the coordinator was not queried.
	run *masticway.EngineRun
	// level is how far the workspace exceeds its fair share of contended engines (see masticway.EngineChoice).
	level int
}

// choose chooses the server for the next attempt and takes a permit for it. If the request is a suspect that may not run yet,
// choose waits up to quarantineTimeout. If there is no server, it returns an outcome with the reason.
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
			return choice{}, x.newProvenOutcome(s), false
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
			reason := fmt.Sprintf("%d servers ended under %s, and it waits for its turn to run alone", len(s.Crashes), x.describeSuspect(s.Suspect))
			return choice{}, outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: reason, suspect: s}, false
		}
		x.waitFor(ctx, changed, quarantinePollInterval)
	}
}

// chooseForSuspect chooses a server at which no suspect runs and claims a run in quarantine there. If it finds no such server, it
// chooses any server; the request may run there without quarantine if only one server has ended under it and it is not running in
// quarantine elsewhere. found reports whether a server was found, and ok whether the request may run there now. If ok is set, a
// permit for the server has been taken.
func (x *exchange) chooseForSuspect(ctx context.Context, s masticway.SuspectStatus) (c choice, found, ok bool) {
	began := x.f.clock.Now()
	servers := x.candidates(x.tried)
	occupied, _ := x.f.examiner.QuarantineServers()
	server, unoccupied := x.selectServer(ctx, exclude(servers, occupied))
	if unoccupied {
		ok = !s.Running && x.f.examiner.Claim(ctx, x.suspects(), server.Incarnation())
	} else {
		server, found = x.selectServer(ctx, servers)
		ok = found && !isSerious(s) && !s.Running
	}
	if (unoccupied || found) && !ok {
		x.f.throttler.ReturnPermit(server.Incarnation(), began)
	}
	return choice{server: server, quarantined: unoccupied}, unoccupied || found, ok
}

// isSerious reports whether more than one server has ended under a request.
func isSerious(s masticway.SuspectStatus) bool { return len(s.Crashes) > 1 }

// chooseRegular chooses a server and takes a permit for it. It avoids the servers at which a serious suspect runs, unless no
// others are left.
func (x *exchange) chooseRegular(ctx context.Context) (c choice, none outcome, ok bool) {
	servers := x.candidates(x.tried)
	if !x.f.examiner.HasNoSuspects() {
		_, seriousServers := x.f.examiner.QuarantineServers()
		if free := exclude(servers, seriousServers); len(free) > 0 {
			servers = free
		}
	}
	c, none, ok = x.selectCoordinated(ctx, servers, x.mayRefuseFull())
	if !ok && none.code == "" {
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

// resolveUnreported checks the server of a quarantined run whose result was not reported in time, if there is one, and reports a
// crash if the server has ended. The router that had claimed the run may have crashed.
func (x *exchange) resolveUnreported(ctx context.Context, s masticway.SuspectStatus) {
	if s.UnreportedServer == "" {
		return
	}
	for _, server := range x.f.snapshot().Servers[x.q.pool.Name] {
		if server.Incarnation() == s.UnreportedServer && x.hasEnded(ctx, server) {
			suspects := x.suspects()
			suspects.Parts = nil
			x.f.examiner.ReportCrash(suspects, masticway.ServerCrash{Server: s.UnreportedServer, Quarantined: true}, time.Time{})
		}
	}
}

// hasEnded checks a server and reports whether it has ended. It returns false if the check does not finish within
// crashCheckTimeout.
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

// reportToExaminer reports the end of an attempt to the examiner if it matters for suspects. If the connection broke and the
// request is repeatable, it waits up to crashCheckTimeout for the check of the server. If the server has ended, the next attempt
// then runs as a suspect.
func (a *attempt) reportToExaminer(ctx context.Context, out outcome) {
	x := a.x
	switch {
	case out.connectionBroken && a.mayBeAtFault():
		reported := a.reportIfEnded()
		if x.isRepeatable() {
			x.waitFor(ctx, reported, crashCheckTimeout)
		}
	case out.done && x.suspected:
		x.f.examiner.Clear(x.suspects())
		if x.chargeable {
			a.recordAnswer(true)
		}
		if a.quarantined {
			x.f.examiner.Release(x.suspects(), false)
		}
	case out.done && x.chargeable:
		a.recordAnswer(true)
	case out.abandoned && a.mayBeAtFault():
		a.abandon()
	case a.quarantined:
		x.f.examiner.Release(x.suspects(), out.unsent)
	}
	a.quarantined = false
}

// recordAnswer reports to the examiner, once, that the server has answered the request without crashing: the answer is complete, or
// answerConfirmTime has passed since its first part.
func (a *attempt) recordAnswer(isComplete bool) {
	f := a.x.f
	if a.answerRecorded || len(a.x.q.Parts) == 0 || !isComplete && f.clock.Now().Sub(a.firstAt) < answerConfirmTime {
		return
	}
	a.answerRecorded = true
	if !f.examiner.HasNoSuspects() {
		f.examiner.RecordAnswer(a.x.suspects(), a.firstAt)
	}
}

// waitFor waits until the channel is closed, the timeout has passed or the context ends.
func (x *exchange) waitFor(ctx context.Context, closed <-chan struct{}, timeout time.Duration) {
	select {
	case <-closed:
	case <-ctx.Done():
	case <-x.f.clock.After(timeout):
	}
}

// mayBeAtFault reports whether the request may be the cause if the server ends now. It may be unless innocentAfter has passed
// since the first part of its answer, or the server is no longer in the snapshot.
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
	// The server drains or was replaced, so its end is expected.
	return false
}

// serverRun returns the run of the attempt for a report to the examiner. The parts of the prompt are not accused if the server has
// answered for answerConfirmTime.
func (a *attempt) serverRun() serverRun {
	crash := masticway.ServerCrash{Server: a.server.Incarnation(), Quarantined: a.quarantined, Answered: !a.firstAt.IsZero()}
	isConfirmed := a.answerRecorded || !a.firstAt.IsZero() && a.x.f.clock.Now().Sub(a.firstAt) >= answerConfirmTime
	return serverRun{request: a.x.q.ID, suspects: a.x.suspects(), crash: crash, sentAt: a.sentAt, accusesParts: !isConfirmed}
}

// reportIfEnded starts a check of the attempt's server. If the server has ended, it reports a crash; otherwise it releases the
// run if it was quarantined. It does not block: the returned channel is closed after the report or release.
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
		case r.crash.Quarantined:
			f.examiner.Release(r.suspects, false)
		}
	}()
	return done
}

// abandon remembers an attempt that this router gives up, so that it is reported if its server ends soon. A quarantined run stays
// claimed until the server has ended or has survived all checks of watchServer.
func (a *attempt) abandon() {
	f, r := a.x.f, a.serverRun()
	r.abandonedAt = f.clock.Now()
	f.abandoned.add(r)
	if a.quarantined {
		go f.watchServer(a.server, r)
	}
}

// watchServer checks the server of an abandoned quarantined run several times. If the server has ended, it reports a crash for
// each run that was recently abandoned there. If the server has survived all checks, it releases the run.
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
		f.examiner.Release(r.suspects, false)
	}
}

// checkUnreachable checks a server that refuses connections, if there are abandoned runs that may be the cause.
func (f *Forwarder) checkUnreachable(s masticway.Server) {
	if f.abandoned.hasRecent(f.clock.Now(), s.Incarnation()) {
		f.checks.start(s)
	}
}

// reportAbandoned reports a crash for each request that was abandoned at a server less than innocentAfter before the server
// ended.
func (f *Forwarder) reportAbandoned(server masticway.ServerIncarnation) {
	for _, r := range f.abandoned.takeRecent(f.clock.Now(), server) {
		f.reportCrash(r)
	}
}

// reportCrash reports to the examiner that a server crashed while it ran a request, or soon after this router had abandoned the
// run. It also logs the crash.
func (f *Forwarder) reportCrash(r serverRun) {
	accused := r.accused()
	f.examiner.ReportCrash(accused, r.crash, r.sentAt)
	if r.crash.Quarantined && !r.accusesParts {
		f.examiner.Release(r.suspects, false)
	}
	fields := logrus.Fields{
		"event": "server_ended_under_request", "request": r.request, "digest": r.suspects.Request, "path": r.suspects.Path, "server": r.crash.Server,
		"apart": r.crash.Quarantined, "answered": r.crash.Answered, "ends": len(f.examiner.Status(r.suspects).Crashes),
		"workspace": r.suspects.Workspace, "parts": partNames(accused.Parts),
	}
	if !r.abandonedAt.IsZero() {
		fields["abandoned_ms"] = f.clock.Now().Sub(r.abandonedAt).Milliseconds()
	}
	f.log.WithFields(fields).Warn("a server ended while it ran a request")
}

// clearSuspect reports to the examiner that a request running in quarantine is innocent, once innocentAfter has passed since the
// first part of its answer.
func (a *attempt) clearSuspect() {
	if !a.quarantined || a.x.f.clock.Now().Sub(a.firstAt) < innocentAfter {
		return
	}
	a.quarantined, a.x.suspected = false, false
	a.x.f.examiner.Clear(a.x.suspects())
}
