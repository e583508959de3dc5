package chooser

import (
	"time"

	"github.com/masticway/masticway"
)

const (
	// TokensPerMillisecond is the assumed prefill speed of an engine, in tokens per millisecond. If an engine is slower, its
	// serverLoad.delay grows.
	TokensPerMillisecond = 35.0
	// RunningCost is the cost, in milliseconds, of each request in flight at an engine. Each request slows down the engine's
	// steps.
	RunningCost = 1.5
	// zoneCost is the fixed cost, in milliseconds, of a server in another availability zone than the router.
	zoneCost = 3.0
	// failureCost is the cost, in milliseconds, of a failure rate of 1. Lower rates cost proportionally less. A server that is
	// avoided because it was unreachable costs another ten times this amount.
	failureCost = 600.0
	// plainCost is the cost, in milliseconds, of each request in flight at a plain service.
	plainCost = 15.0
)

// ServerPolicy configures the costs of a server for its rank and its availability zone, and the limit for cold servers.
type ServerPolicy struct {
	// RankShare is the share of the prefill time of a prompt's shared parts that each rank adds to the cost of a server. A
	// server's rank is its position by rendezvous weight for the prompt. The home, the server that all routers prefer for the
	// prompt, has rank zero. Without ranks, each router would choose a different server when the home is overloaded, and the
	// parts would be prefilled again at each of these servers. With five routers and 18 engines, a share of 0.8 reduced the
	// number of tokens that were prefilled again by a third.
	RankShare float64
	// ZoneTokenCost is the cost, in milliseconds, of each output token that a request may have, if the server is in another
	// availability zone. A long answer to a prompt with few shared tokens should come from the router's zone. A prompt that is
	// cached by an engine in another zone should go there. With 0.04, a sixth less traffic crosses zones.
	ZoneTokenCost float64
	// Cold is the rate limit for requests to cold servers.
	Cold ColdRateLimit
}

// cost returns the cost of a server for a prompt, in milliseconds, without the cost of its rank.
func (s *Servers) cost(now time.Time, isEngine bool, p Prompt, server masticway.Server, isHome bool) float64 {
	l := s.load(server.ID)
	cost := l.failurePenalty(now)
	if server.Zone != p.Zone {
		cost += s.policy.ZoneCost(p.Output)
	}
	if !isEngine {
		return cost + float64(l.inFlight)*plainCost
	}
	uncached := float64(p.Tokens - l.cachedTokens(now, p, isHome))
	return cost + (uncached+l.pendingPrefill)/TokensPerMillisecond + float64(l.inFlight)*RunningCost + l.currentDelay(now)
}

// ZoneCost returns the cost, in milliseconds, of a server in another availability zone than the router, for a request with at
// most the given number of output tokens.
func (s ServerPolicy) ZoneCost(output int) float64 { return zoneCost + s.ZoneTokenCost*float64(output) }

// RankCost returns the cost, in milliseconds, that each rank up to MaxRank adds to a server for a prompt, at the given prefill
// speed in tokens per millisecond. It grows with the number of tokens that can be shared, because it is then more important that all
// routers fall back from the home to the same servers.
func (s ServerPolicy) RankCost(p Prompt, tokensPerMillisecond float64) float64 {
	return s.RankShare * float64(p.SharedTokens()) / tokensPerMillisecond
}

// SharedTokens returns the number of the prompt's tokens that other requests may share: those of all parts but the last.
func (p Prompt) SharedTokens() int {
	tokens := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		tokens += part.Tokens
	}
	return tokens
}
