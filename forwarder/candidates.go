package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

// without lists the servers that may get the request, without some.
func (x *exchange) without(some map[string]bool) []masticway.Server {
	known := x.f.beliefs().Servers[x.q.pool.Name]
	servers := make([]masticway.Server, 0, len(known))
	for _, s := range known {
		if !some[s.ID] && x.allowedAt(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// allowedAt tells that the allowed regions of the request's route and workspace both let it run at a server. A server in a zone
// whose region is not known is in none of them.
func (x *exchange) allowedAt(s masticway.Server) bool {
	region := x.f.settings.Regions[s.Zone]
	for _, regions := range [][]string{x.q.route.Regions, x.q.account.Regions} {
		if len(regions) > 0 && !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// admissionsMost bounds the servers with limits that are tried for one choice, each of which may take a question to another router.
const admissionsMost = 3

// place chooses one of some servers that may get a request more by what it says itself; there may be none.
func (x *exchange) place(ctx context.Context, servers []masticway.Server) (masticway.Server, bool) {
	servers = x.f.throttler.Available(servers)
	for range admissionsMost {
		s, ok := x.pick(servers)
		if !ok || x.f.throttler.Admit(ctx, s.Incarnation()) {
			return s, ok
		}
		servers = slices.DeleteFunc(slices.Clone(servers), func(o masticway.Server) bool { return o.ID == s.ID })
	}
	return x.pick(x.f.throttler.Unlimited(servers))
}

// pick chooses one of some servers, a cold one only where no warm one is left; there may be none.
func (x *exchange) pick(servers []masticway.Server) (masticway.Server, bool) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	now := x.f.clock.Now()
	warm, cold := x.f.servers.Warm(now, servers, x.q.pool.MaxColdRate, x.f.bank.Owns)
	for _, some := range [][]masticway.Server{warm, cold} {
		if len(some) > 0 {
			i, _ := x.f.servers.Choose(now, x.q.pool.IsEngine, x.q.prompt, some)
			return some[i], true
		}
	}
	return masticway.Server{}, false
}

// noServer is the outcome of a request that no server can get now.
func (x *exchange) noServer() outcome {
	out := outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictNone, reason: "no server is known or left to ask"}
	if held, ok := x.heldBack(); ok {
		return held
	}
	now := x.f.clock.Now()
	var soonest time.Time
	for _, s := range x.without(x.exclude) {
		if s.IsCold(now) && (soonest.IsZero() || s.ColdUntil.Before(soonest)) {
			soonest = s.ColdUntil
		}
	}
	if !soonest.IsZero() {
		out.reason, out.after, out.code = "all that may get it are cold", soonest.Sub(now), codeServersCold
	}
	return out
}

// heldBack is the outcome of a request of which all servers that may get it take none now, by what they say themselves; false where one
// does.
func (x *exchange) heldBack() (out outcome, ok bool) {
	var soonest masticway.Server
	var least masticway.Throttling
	for _, s := range x.without(nil) {
		h, held := x.f.throttler.Throttling(s.Incarnation())
		if !held {
			return outcome{}, false
		}
		if !ok || h.Remaining < least.Remaining {
			soonest, least, ok = s, h, true
		}
	}
	if !ok {
		return outcome{}, false
	}
	out = outcome{fate: masticway.FateNotRun, verdict: chooser.VerdictNone, reason: least.Reason, code: codeServersLimited}
	if least.BackoffRequested {
		out.code = codeServersResting
	}
	out.after = x.f.throttler.RetryAfter(soonest.Incarnation())
	return out, true
}
