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
	// endKnownWithin is how long a request that may run again waits to hear whether its server has ended, a few ways between
	// availability zones; what it learns later counts for the next one.
	endKnownWithin = 50 * time.Millisecond
	// abandonedLooks is how often the server of a run apart that was given up is looked at: for as long as its end counts.
	abandonedLooks = int(innocentAfter/checkFresh) - 1
	// apartWithin bounds the wait of a suspect for its turn, and apartPause is how often it looks without a word.
	apartWithin = 2 * time.Second
	apartPause  = 200 * time.Millisecond
)

// standing returns what is believed of the request. While there is no suspect, nothing is worked out.
func (x *exchange) standing() masticway.SuspectStatus {
	if x.f.examiner.HasNoSuspects() {
		return masticway.SuspectStatus{Suspicion: masticway.SuspicionNone}
	}
	return x.f.examiner.Status(x.digest())
}

// proven tells that the request is not to be sent to any server.
func (x *exchange) proven() (outcome, bool) {
	s := x.standing()
	if s.Suspicion != masticway.SuspicionProven {
		return outcome{}, false
	}
	return atFault(s), true
}

// atFault is the outcome of a request that is proven to end servers.
func atFault(s masticway.SuspectStatus) outcome {
	reason := fmt.Sprintf("%d servers ended under this request, the last one %s", len(s.Crashes), s.Crashes[len(s.Crashes)-1].Server)
	return outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictNone, reason: reason, suspicion: s}
}

// choice is where an attempt goes, and whether the request runs there apart from all other suspects.
type choice struct {
	server masticway.Server
	apart  bool
}

// choose returns where the next attempt goes. There may be nowhere, for a reason.
func (x *exchange) choose(ctx context.Context) (c choice, none outcome, ok bool) {
	if x.f.examiner.HasNoSuspects() {
		return x.chooseAside(ctx)
	}
	until := x.f.clock.Now().Add(apartWithin)
	for {
		changed := x.f.examiner.Changed()
		s := x.standing()
		switch s.Suspicion {
		case masticway.SuspicionNone:
			return x.chooseAside(ctx)
		case masticway.SuspicionProven:
			return choice{}, atFault(s), false
		}
		x.suspected = true
		x.resolve(ctx, s)
		c, found, ok := x.chooseApart(ctx, s)
		if !found {
			return choice{}, x.noServer(), false
		}
		if ok {
			return c, outcome{}, true
		}
		if ctx.Err() != nil || !x.f.clock.Now().Before(until) {
			reason := fmt.Sprintf("%d servers ended under this request, and it waits for its turn to run alone", len(s.Crashes))
			return choice{}, outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictNone, reason: reason, suspicion: s}, false
		}
		x.await(ctx, changed, apartPause)
	}
}

// chooseApart chooses a server where no other suspect runs; found tells that there is a server at all, ok that the request may
// run at it now. Where suspects are at all of them, one under which a single server ended runs as any other request.
func (x *exchange) chooseApart(ctx context.Context, s masticway.SuspectStatus) (c choice, found, ok bool) {
	servers := x.without(x.exclude)
	occupied, _ := x.f.examiner.QuarantineServers()
	server, free := x.place(ctx, freeOf(servers, occupied))
	if free {
		ok = !s.Running && x.f.examiner.Claim(ctx, x.digest(), server.Incarnation())
	} else {
		server, found = x.place(ctx, servers)
		ok = found && !serious(s) && !s.Running
	}
	if (free || found) && !ok {
		x.f.throttler.ReturnPermit(server.Incarnation())
	}
	return choice{server: server, apart: free}, free || found, ok
}

// serious tells that more than one server has ended under a request.
func serious(s masticway.SuspectStatus) bool { return len(s.Crashes) > 1 }

// chooseAside chooses a server where no serious suspect runs, or any if that leaves none.
func (x *exchange) chooseAside(ctx context.Context) (c choice, none outcome, ok bool) {
	servers := x.without(x.exclude)
	if !x.f.examiner.HasNoSuspects() {
		_, serious := x.f.examiner.QuarantineServers()
		if free := freeOf(servers, serious); len(free) > 0 {
			servers = free
		}
	}
	if c.server, ok = x.place(ctx, servers); !ok {
		none = x.noServer()
	}
	return c, none, ok
}

// freeOf returns the servers that are not among some lives.
func freeOf(servers []masticway.Server, lives map[masticway.ServerIncarnation]bool) []masticway.Server {
	if len(lives) == 0 {
		return servers
	}
	free := make([]masticway.Server, 0, len(servers))
	for _, s := range servers {
		if !lives[s.Incarnation()] {
			free = append(free, s)
		}
	}
	return free
}

// resolve finds out what became of a run apart whose router has not told: it may have died.
func (x *exchange) resolve(ctx context.Context, s masticway.SuspectStatus) {
	if s.UnreportedServer == "" {
		return
	}
	for _, server := range x.f.beliefs().Servers[x.q.pool.Name] {
		if server.Incarnation() == s.UnreportedServer && x.ended(ctx, server) {
			x.f.examiner.ReportCrash(x.digest(), x.q.path(), masticway.ServerCrash{Server: s.UnreportedServer, Quarantined: true})
		}
	}
}

// ended tells whether a server has ended, as far as that is known soon.
func (x *exchange) ended(ctx context.Context, s masticway.Server) bool {
	k := x.f.checks.begin(s)
	x.await(ctx, k.done, endKnownWithin)
	select {
	case <-k.done:
		return k.found == conditionEnded
	default:
		return false
	}
}

// examine draws what an attempt's end tells of the request. One that may run again waits for the finding, so that it runs as a
// suspect then.
func (a *attempt) examine(ctx context.Context, out outcome) {
	x := a.x
	switch {
	case out.broken && a.accused():
		noted := a.accuse()
		if x.repeatable() {
			x.await(ctx, noted, endKnownWithin)
		}
	case out.done && x.suspected:
		x.f.examiner.Clear(x.digest())
	case out.abandoned && a.accused():
		a.abandon()
	case a.apart:
		x.f.examiner.Release(x.digest())
	}
	a.apart = false
}

// await waits until a channel is closed, no longer than a time.
func (x *exchange) await(ctx context.Context, closed <-chan struct{}, within time.Duration) {
	select {
	case <-closed:
	case <-ctx.Done():
	case <-x.f.clock.After(within):
	}
}

// accused tells that a server's end may be the request's fault: the server was to stay, and had not answered for long.
func (a *attempt) accused() bool {
	x := a.x
	if !a.firstAt.IsZero() && x.f.clock.Now().Sub(a.firstAt) >= innocentAfter {
		return false
	}
	for _, s := range x.f.beliefs().Servers[a.server.Pool] {
		if s.Incarnation() == a.server.Incarnation() {
			return true
		}
	}
	// It was leaving.
	return false
}

// atServer is the attempt as far as its server's end may be the request's fault.
func (a *attempt) atServer() run {
	end := masticway.ServerCrash{Server: a.server.Incarnation(), Quarantined: a.apart, Answered: !a.firstAt.IsZero()}
	return run{request: a.x.q.ID, digest: a.x.digest(), path: a.x.q.path(), end: end}
}

// accuse notes the end of the attempt's server under the request, if it has ended; the channel it returns is closed then.
func (a *attempt) accuse() <-chan struct{} {
	f, r := a.x.f, a.atServer()
	k := f.checks.begin(a.server)
	noted := make(chan struct{})
	go func() {
		defer close(noted)
		<-k.done
		switch {
		case k.found == conditionEnded:
			f.accuse(r)
		case r.end.Quarantined:
			f.examiner.Release(r.digest)
		}
	}()
	return noted
}

// abandon remembers an attempt that this router gives up, so that it can be accused if its server ends soon. A run apart goes
// on until that is known.
func (a *attempt) abandon() {
	f, r := a.x.f, a.atServer()
	r.abandonedAt = f.clock.Now()
	f.abandoned.add(r)
	if a.apart {
		go f.watch(a.server, r)
	}
}

// watch ends a run apart that was given up, by what becomes of its server.
func (f *Forwarder) watch(s masticway.Server, r run) {
	for range abandonedLooks {
		<-f.clock.After(checkFresh)
		k := f.checks.begin(s)
		<-k.done
		if k.found == conditionEnded {
			f.accuseAbandoned(s.Incarnation())
			return
		}
	}
	if f.abandoned.forget(r) {
		f.examiner.Release(r.digest)
	}
}

// lookFor checks a server that takes no connections, if there are attempts whose fault that may be.
func (f *Forwarder) lookFor(s masticway.Server) {
	if f.abandoned.at(f.clock.Now(), s.Incarnation()) {
		f.checks.begin(s)
	}
}

// accuseAbandoned accuses the requests that were given up at a server shortly before it ended.
func (f *Forwarder) accuseAbandoned(life masticway.ServerIncarnation) {
	for _, r := range f.abandoned.take(f.clock.Now(), life) {
		f.accuse(r)
	}
}

// accuse tells the examiner of a server that ended under a request.
func (f *Forwarder) accuse(r run) {
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

// clearIfProven clears a suspect whose answer has gone on for long enough.
func (a *attempt) clearIfProven() {
	if !a.apart || a.x.f.clock.Now().Sub(a.firstAt) < innocentAfter {
		return
	}
	a.apart, a.x.suspected = false, false
	a.x.f.examiner.Clear(a.x.digest())
}
