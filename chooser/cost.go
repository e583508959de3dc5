package chooser

import (
	"time"

	"github.com/masticway/masticway"
)

const (
	// tokensPerMillisecond is the prefill speed assumed of an engine until its answers have told.
	tokensPerMillisecond = 35.0
	// runningCost is the milliseconds that one more running request adds to an engine's steps.
	runningCost = 1.5
	// zoneCost is the milliseconds that any answer from another availability zone may be worth.
	zoneCost = 3.0
	// failureCost is the milliseconds that a server which always fails seems farther away.
	failureCost = 600.0
	// plainCost is the milliseconds that one request under way at a plain service costs the next.
	plainCost = 15.0
)

// ServerPolicy weighs what speaks against a server beside its load.
type ServerPolicy struct {
	// RankShare is the part of the time for reading a prompt's shared parts that each further rank of a server costs.
	// Without ranks each router leaves a crowded home for a server of its own choice, and the parts are read again there;
	// with five routers and 18 engines a share of 0.8 took a third off the tokens that were read again.
	RankShare float64
	// ZoneTokenCost is the milliseconds that each token of an answer from another availability zone may cost: a long
	// answer to a prompt with little to share is better made nearby, one whose prompt another zone's engine has read is
	// not. With 0.04 a sixth less crosses zones.
	ZoneTokenCost float64
	// Cold bounds what a cold server gets.
	Cold ColdBound
}

func (s *Servers) cost(now time.Time, engine bool, p Prompt, server masticway.Server, home bool) float64 {
	l := s.load(server.ID)
	cost := l.failureRate * failureCost
	if now.Before(l.avoidUntil) {
		cost += failureCost * 10
	}
	if server.Zone != p.Zone {
		cost += zoneCost + s.policy.ZoneTokenCost*float64(p.Output)
	}
	if !engine {
		return cost + float64(l.inFlight)*plainCost
	}
	uncached := float64(p.Tokens - l.cachedTokens(now, p, home))
	return cost + (uncached+l.pendingPrefill)/tokensPerMillisecond + float64(l.inFlight)*runningCost + l.currentDelay(now)
}

// rankCost is what each rank of a server costs a prompt, in milliseconds: the more there is to share, the more it matters
// that all routers leave the home for the same servers.
func (s *Servers) rankCost(p Prompt) float64 {
	return s.policy.RankShare * float64(p.sharedTokens()) / tokensPerMillisecond
}

// sharedTokens is how many of the prompt's tokens other requests may have too.
func (p Prompt) sharedTokens() int {
	tokens := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		tokens += part.Tokens
	}
	return tokens
}
