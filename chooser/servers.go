package chooser

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

const (
	// tokensPerMillisecond is the prefill speed assumed of an engine until its answers have told.
	tokensPerMillisecond = 35.0
	// runningCost is the milliseconds that one more running request adds to an engine's steps.
	runningCost = 1.5
	// ranksCounted is how many ranks count.
	ranksCounted = 6
	// zoneCost is the milliseconds that any answer from another availability zone may be worth.
	zoneCost = 3.0
	// partLife is how long a prompt part is believed to stay in an engine's memory after its last use.
	partLife = 8 * time.Second
	// delayLife is the time over which what an engine was slower than expected is forgotten.
	delayLife = 1500 * time.Millisecond
	// failureWeight is the weight of the newest answer in a server's share of failures, failureCost the milliseconds
	// that a server which always fails seems farther away.
	failureWeight = 0.15
	failureCost   = 600.0
	// avoidFirst and avoidMost bound how long a server is passed over that could not be reached.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 2 * time.Second
	// plainCost is the milliseconds that one request under way at a plain service costs the next.
	plainCost = 15.0
	// partsKept bounds the prompt parts remembered for one server.
	partsKept = 2048
)

// Prompt describes a request to be placed at one of a pool's servers.
type Prompt struct {
	Tokens int
	// Output is the most tokens that the answer may have.
	Output int
	Parts  []masticway.PromptPart
	// Zone is the router's availability zone.
	Zone string
}

// home is the part by which all routers gather requests at one engine: the last one that others may share.
func (p Prompt) home() (string, bool) {
	switch len(p.Parts) {
	case 0:
		return "", false
	case 1:
		return p.Parts[0].ID, true
	}
	return p.Parts[len(p.Parts)-2].ID, true
}

// serverLoad is what a router knows of one server.
type serverLoad struct {
	inFlight int
	// reading is the prompt tokens sent that have not yet given a first event.
	reading float64
	parts   map[string]time.Time
	// delay is how much later than expected first events came lately, in milliseconds, as of delayAt.
	delay    float64
	delayAt  time.Time
	failures float64
	// avoidUntil passes a server over after a connection that could not be made.
	avoidUntil time.Time
	misses     int
}

func (l *serverLoad) delayed(now time.Time) float64 {
	return l.delay * math.Exp(-now.Sub(l.delayAt).Seconds()/delayLife.Seconds())
}

// Servers places requests at servers that are reached without a sidecar, from the router's own observations only;
// it is not safe for concurrent use.
type Servers struct {
	policy ServerPolicy
	loads  map[string]*serverLoad
	turn   int
}

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
}

// NewServers returns a placement that has observed nothing.
func NewServers(p ServerPolicy) *Servers {
	return &Servers{policy: p, loads: map[string]*serverLoad{}}
}

func (s *Servers) load(id string) *serverLoad {
	l, ok := s.loads[id]
	if !ok {
		l = &serverLoad{parts: map[string]time.Time{}}
		s.loads[id] = l
	}
	return l
}

// Choose returns the index of the server with the least expected cost in milliseconds, or -1 without one.
func (s *Servers) Choose(now time.Time, engine bool, p Prompt, servers []masticway.Server) (int, float64) {
	s.turn++
	var ranks []int
	if part, ok := p.home(); ok && engine {
		ranks = rankServers(part, servers)
	}
	rankCost := s.rankCost(p)
	best, least := -1, 0.0
	for i := range servers {
		// Equal costs take turns.
		k := (i + s.turn) % len(servers)
		cost := s.cost(now, engine, p, servers[k], ranks != nil && ranks[k] == 0)
		if ranks != nil {
			cost += float64(min(ranks[k], ranksCounted)) * rankCost
		}
		if best < 0 || cost < least {
			best, least = k, cost
		}
	}
	return best, least
}

func (s *Servers) cost(now time.Time, engine bool, p Prompt, server masticway.Server, home bool) float64 {
	l := s.load(server.ID)
	cost := l.failures * failureCost
	if now.Before(l.avoidUntil) {
		cost += failureCost * 10
	}
	if server.Zone != p.Zone {
		cost += zoneCost + s.policy.ZoneTokenCost*float64(p.Output)
	}
	if !engine {
		return cost + float64(l.inFlight)*plainCost
	}
	unread := float64(p.Tokens - l.cached(now, p, home))
	return cost + (unread+l.reading)/tokensPerMillisecond + float64(l.inFlight)*runningCost + l.delayed(now)
}

// cached is how many leading tokens of a prompt the engine probably keeps; at its home any shared part counts.
func (l *serverLoad) cached(now time.Time, p Prompt, home bool) int {
	tokens := 0
	for i, part := range p.Parts {
		shared := i < len(p.Parts)-1
		if at, ok := l.parts[part.ID]; (!ok || now.Sub(at) > partLife) && (!home || !shared) {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// rankServers orders servers by their rendezvous weights for a part, so that all routers agree without a word on its
// home, rank zero, and on where its requests go when that is crowded.
func rankServers(part string, servers []masticway.Server) []int {
	hash := xxhash.Sum64String(part)
	weights := make([]uint64, len(servers))
	order := make([]int, len(servers))
	for i, server := range servers {
		weights[i] = rendezvous(hash, server.ID)
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(weights[y], weights[x]) })
	ranks := make([]int, len(servers))
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}

// rankCost is what each rank of a server costs a prompt, in milliseconds: the more there is to share, the more it matters
// that all routers leave the home for the same servers.
func (s *Servers) rankCost(p Prompt) float64 {
	return s.policy.RankShare * float64(p.shared()) / tokensPerMillisecond
}

// shared is how many of the prompt's tokens other requests may have too.
func (p Prompt) shared() int {
	tokens := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		tokens += part.Tokens
	}
	return tokens
}

// Placement is one request at one server; it is given back to Servers as the request goes on.
type Placement struct {
	Server string
	sentAt time.Time
	unread float64
	first  bool
	ended  bool
}

// Sent notes a request that goes to a server.
func (s *Servers) Sent(now time.Time, p Prompt, server string) *Placement {
	l := s.load(server)
	unread := float64(p.Tokens - l.cached(now, p, false))
	l.inFlight++
	l.reading += unread
	if len(l.parts) > partsKept {
		l.forget(now)
	}
	for _, part := range p.Parts {
		l.parts[part.ID] = now
	}
	return &Placement{Server: server, sentAt: now, unread: unread}
}

func (l *serverLoad) forget(now time.Time) {
	for id, at := range l.parts {
		if now.Sub(at) > partLife {
			delete(l.parts, id)
		}
	}
}

// First notes the first event of an answer.
func (s *Servers) First(now time.Time, p *Placement) {
	if p.first {
		return
	}
	p.first = true
	l := s.load(p.Server)
	l.reading = max(0, l.reading-p.unread)
	expected := p.unread / tokensPerMillisecond
	late := max(0, float64(now.Sub(p.sentAt))/float64(time.Millisecond)-expected-firstEventUsual)
	l.delay = l.delayed(now)*0.6 + late*0.4
	l.delayAt = now
}

// firstEventUsual is the milliseconds that an idle engine takes for a first event beside the reading of the prompt.
const firstEventUsual = 60.0

// Verdict is how a request ended, as far as it says something of its server.
type Verdict int

// The verdicts on a server.
const (
	VerdictGood Verdict = iota
	// VerdictNone is for requests that ended for reasons of their caller.
	VerdictNone
	VerdictFailed
	// VerdictUnreached is for connections that could not be made.
	VerdictUnreached
)

// Ended notes the end of a request.
func (s *Servers) Ended(now time.Time, p *Placement, v Verdict) {
	if p.ended {
		return
	}
	p.ended = true
	l := s.load(p.Server)
	l.inFlight--
	if !p.first {
		l.reading = max(0, l.reading-p.unread)
	}
	if l.inFlight == 0 {
		l.reading = 0
	}
	switch v {
	case VerdictGood:
		l.failures *= 1 - failureWeight
		l.misses = 0
	case VerdictFailed:
		l.failures += (1 - l.failures) * failureWeight
	case VerdictUnreached:
		l.failures += (1 - l.failures) * failureWeight
		l.avoidUntil = now.Add(min(avoidMost, avoidFirst<<min(l.misses, 4)))
		l.misses++
	}
}

// Suspect tells that a server fails more often than the others of its pool by a clear margin.
func (s *Servers) Suspect(id string, servers []masticway.Server) bool {
	if len(servers) < 2 {
		return false
	}
	others := 0.0
	for _, server := range servers {
		if server.ID != id {
			others += s.load(server.ID).failures
		}
	}
	return s.load(id).failures > suspectMargin+others/float64(len(servers)-1)
}

// suspectMargin is how much greater a grey server's share of failures is than that of failures bound to requests.
const suspectMargin = 0.2

// Keep forgets the servers that are not among the given ones.
func (s *Servers) Keep(ids map[string]bool) {
	for id, l := range s.loads {
		if !ids[id] && l.inFlight == 0 {
			delete(s.loads, id)
		}
	}
}
