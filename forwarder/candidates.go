package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// candidates returns the servers of the request's pool in the snapshot, without those whose IDs are excluded. It leaves out
// servers in regions where the request may not run, and those that cannot continue the stream.
func (x *exchange) candidates(excluded map[string]bool) []masticway.Server {
	known := x.f.snapshot().Servers[x.q.pool.Name]
	servers := make([]masticway.Server, 0, len(known))
	for _, s := range known {
		if !excluded[s.ID] && x.isAllowedAt(s) && x.canContinueStream(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// isAllowedAt reports whether both the route and the workspace allow the request to run in the server's region. If they restrict
// the regions, a server in a zone whose region is unknown is not allowed.
func (x *exchange) isAllowedAt(s masticway.Server) bool {
	region := x.f.settings.Regions[s.Zone]
	for _, regions := range [][]string{x.q.route.Regions, x.q.account.Regions} {
		if len(regions) > 0 && !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// maxAdmissionTries is the maximum number of servers for which selectServer requests a permit. Each request for a permit may need
// a call to other routers.
const maxAdmissionTries = 3

// selectServer chooses a server and takes a permit for one request to it. The caller must return the permit if it does not send
// the request. selectServer may block while the throttler asks other routers for a permit. If it gets none for maxAdmissionTries
// servers, it considers only servers without a rate limit. It returns false if it finds no server.
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

// cheapestServer returns the warm server with the least expected cost. If there is no warm one, it returns the cheapest of the
// cold servers to which this router may send now. It returns false if there is no such server either.
func (x *exchange) cheapestServer(servers []masticway.Server) (masticway.Server, bool) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := x.f.clock.Now()
	prompt := x.q.prompt
	prompt.HomeWeights = x.f.coordinator.HomeWeights(x.q.pool.Name)
	warm, cold := x.f.servers.Eligible(now, servers, x.q.pool.MaxColdRate, x.f.budgets.OwnsKey)
	for _, group := range [][]masticway.Server{warm, cold} {
		if len(group) > 0 {
			i, _ := x.f.servers.Choose(now, x.q.pool.IsEngine, prompt, group)
			return group[i], true
		}
	}
	return masticway.Server{}, false
}

// noServerOutcome returns the outcome of a request that no server can take now. If it is known when a server will take requests
// again, the outcome's retryAfter is the time until then.
func (x *exchange) noServerOutcome() outcome {
	out := outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: "no server is known or left to ask"}
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

// throttledOutcome returns the outcome of a request if all its candidate servers, including those already tried, are at their
// rate limits or have asked for backoff. It returns false if any of them may get a request, or if there are none. If it returns
// true, it may also reserve a time at which this caller should retry (see masticway.Throttler.RetryAfter).
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
	out = outcome{fate: masticway.FateNotRun, result: chooser.ResultNeutral, reason: shortest.Reason, code: codeServersLimited}
	if shortest.BackoffRequested {
		out.code = codeServersBackingOff
	}
	out.retryAfter = x.f.throttler.RetryAfter(soonest.Incarnation())
	return out, true
}
