package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// candidates lists the servers that may get the request, without some.
func (x *exchange) candidates(excluded map[string]bool) []masticway.Server {
	known := x.f.snapshot().Servers[x.q.pool.Name]
	servers := make([]masticway.Server, 0, len(known))
	for _, s := range known {
		if !excluded[s.ID] && x.isAllowedAt(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// isAllowedAt tells that the allowed regions of the request's route and workspace both let it run at a server. A server in a zone
// whose region is not known is in none of them.
func (x *exchange) isAllowedAt(s masticway.Server) bool {
	region := x.f.settings.Regions[s.Zone]
	for _, regions := range [][]string{x.q.route.Regions, x.q.account.Regions} {
		if len(regions) > 0 && !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// maxAdmissionTries bounds the servers with limits that are tried for one choice, each of which may take a question to another router.
const maxAdmissionTries = 3

// selectServer chooses one of some servers that may get a request more by what it says itself; there may be none.
func (x *exchange) selectServer(ctx context.Context, servers []masticway.Server) (masticway.Server, bool) {
	servers = x.f.throttler.Available(servers)
	for range maxAdmissionTries {
		s, ok := x.cheapestServer(servers)
		if !ok || x.f.throttler.Admit(ctx, s.Incarnation()) {
			return s, ok
		}
		servers = slices.DeleteFunc(slices.Clone(servers), func(o masticway.Server) bool { return o.ID == s.ID })
	}
	return x.cheapestServer(x.f.throttler.Unlimited(servers))
}

// cheapestServer chooses one of some servers, a cold one only where no warm one is left; there may be none.
func (x *exchange) cheapestServer(servers []masticway.Server) (masticway.Server, bool) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := x.f.clock.Now()
	warm, cold := x.f.servers.Warm(now, servers, x.q.pool.MaxColdRate, x.f.budgets.Owns)
	for _, group := range [][]masticway.Server{warm, cold} {
		if len(group) > 0 {
			i, _ := x.f.servers.Choose(now, x.q.pool.IsEngine, x.q.prompt, group)
			return group[i], true
		}
	}
	return masticway.Server{}, false
}

// noServerOutcome is the outcome of a request that no server can get now.
func (x *exchange) noServerOutcome() outcome {
	out := outcome{fate: masticway.FateNotRun, result: chooser.VerdictNone, reason: "no server is known or left to ask"}
	if throttled, ok := x.throttledOutcome(); ok {
		return throttled
	}
	now := x.f.clock.Now()
	var soonest time.Time
	for _, s := range x.candidates(x.tried) {
		if s.IsCold(now) && (soonest.IsZero() || s.ColdUntil.Before(soonest)) {
			soonest = s.ColdUntil
		}
	}
	if !soonest.IsZero() {
		out.reason, out.retryAfter, out.code = "all that may get it are cold", soonest.Sub(now), codeServersCold
	}
	return out
}

// throttledOutcome is the outcome of a request of which all servers that may get it take none now, by what they say themselves; false where one
// does.
func (x *exchange) throttledOutcome() (out outcome, ok bool) {
	var soonest masticway.Server
	var shortest masticway.Throttling
	for _, s := range x.candidates(nil) {
		t, isThrottled := x.f.throttler.Throttling(s.Incarnation())
		if !isThrottled {
			return outcome{}, false
		}
		if !ok || t.Remaining < shortest.Remaining {
			soonest, shortest, ok = s, t, true
		}
	}
	if !ok {
		return outcome{}, false
	}
	out = outcome{fate: masticway.FateNotRun, result: chooser.VerdictNone, reason: shortest.Reason, code: codeServersLimited}
	if shortest.BackoffRequested {
		out.code = codeServersBackingOff
	}
	out.retryAfter = x.f.throttler.RetryAfter(soonest.Incarnation())
	return out, true
}
