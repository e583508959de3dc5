package chooser

import (
	"math"
	"time"

	"github.com/masticway/masticway"
)

const (
	// partTTL is how long a prompt part is believed to stay in an engine's memory after its last use.
	partTTL = 8 * time.Second
	// delayDecay is the time over which what an engine was slower than expected is forgotten.
	delayDecay = 1500 * time.Millisecond
	// failureWeight is the weight of the newest answer in a server's share of failures.
	failureWeight = 0.15
	// minAvoidTime and maxAvoidTime bound how long a server is passed over that could not be reached.
	minAvoidTime = 300 * time.Millisecond
	maxAvoidTime = 2 * time.Second
	// maxParts bounds the prompt parts remembered for one server.
	maxParts = 2048
)

// serverLoad is what a router knows of one server.
type serverLoad struct {
	// startedAt is when the server's present life began, as far as it has said so.
	startedAt time.Time
	inFlight  int
	// pendingPrefill is the prompt tokens sent that have not yet given a first event.
	pendingPrefill float64
	parts          map[string]time.Time
	// delay is how much later than expected first events came lately, in milliseconds, as of delayAt.
	delay       float64
	delayAt     time.Time
	failureRate float64
	// avoidUntil passes a server over after a connection that could not be made.
	avoidUntil      time.Time
	connectFailures int
	// sendTimes is when requests were sent lately, oldest first.
	sendTimes []time.Time
}

func (l *serverLoad) currentDelay(now time.Time) float64 {
	return l.delay * math.Exp(-now.Sub(l.delayAt).Seconds()/delayDecay.Seconds())
}

func (s *Servers) load(id string) *serverLoad {
	l, ok := s.loads[id]
	if !ok {
		l = &serverLoad{parts: map[string]time.Time{}, startedAt: s.startTimes[id]}
		s.loads[id] = l
	}
	return l
}

// cachedTokens is how many leading tokens of a prompt the engine probably keeps; at its home any shared part counts.
func (l *serverLoad) cachedTokens(now time.Time, p Prompt, home bool) int {
	tokens := 0
	for i, part := range p.Parts {
		shared := i < len(p.Parts)-1
		if at, ok := l.parts[part.ID]; (!ok || now.Sub(at) > partTTL) && (!home || !shared) {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// Placement is one request at one server; it is given back to Servers as the request goes on.
type Placement struct {
	// load is what was known of the server in the life that it was sent to.
	load           *serverLoad
	sentAt         time.Time
	uncached       float64
	firstEventSeen bool
	ended          bool
}

// Sent notes a request that goes to a server.
func (s *Servers) Sent(now time.Time, p Prompt, server string) *Placement {
	l := s.load(server)
	uncached := float64(p.Tokens - l.cachedTokens(now, p, false))
	l.inFlight++
	l.sendTimes = append(l.recentlySent(now), now)
	l.pendingPrefill += uncached
	if len(l.parts) > maxParts {
		l.dropExpiredParts(now)
	}
	for _, part := range p.Parts {
		l.parts[part.ID] = now
	}
	return &Placement{load: l, sentAt: now, uncached: uncached}
}

func (l *serverLoad) dropExpiredParts(now time.Time) {
	for id, at := range l.parts {
		if now.Sub(at) > partTTL {
			delete(l.parts, id)
		}
	}
}

// First notes the first event of an answer.
func (s *Servers) First(now time.Time, p *Placement) {
	if p.firstEventSeen {
		return
	}
	p.firstEventSeen = true
	l := p.load
	l.pendingPrefill = max(0, l.pendingPrefill-p.uncached)
	expected := p.uncached / tokensPerMillisecond
	late := max(0, float64(now.Sub(p.sentAt))/float64(time.Millisecond)-expected-usualFirstEvent)
	l.delay = l.currentDelay(now)*0.6 + late*0.4
	l.delayAt = now
}

// usualFirstEvent is the milliseconds that an idle engine takes for a first event beside the reading of the prompt.
const usualFirstEvent = 60.0

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
	l := p.load
	l.inFlight--
	if !p.firstEventSeen {
		l.pendingPrefill = max(0, l.pendingPrefill-p.uncached)
	}
	if l.inFlight == 0 {
		l.pendingPrefill = 0
	}
	switch v {
	case VerdictGood:
		l.failureRate *= 1 - failureWeight
		l.connectFailures = 0
	case VerdictFailed:
		l.failureRate += (1 - l.failureRate) * failureWeight
	case VerdictUnreached:
		l.failureRate += (1 - l.failureRate) * failureWeight
		l.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(l.connectFailures, 4)))
		l.connectFailures++
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
			others += s.load(server.ID).failureRate
		}
	}
	return s.load(id).failureRate > outlierMargin+others/float64(len(servers)-1)
}

// outlierMargin is how much greater a grey server's share of failures is than that of failures bound to requests.
const outlierMargin = 0.2

// Keep forgets the servers that are not among the given ones, which are told with when their lives began, and what was
// known of earlier lives: a server that starts again under its id holds no parts and has no load. It names those.
func (s *Servers) Keep(startTimes map[string]time.Time) (restarted []string) {
	s.startTimes = startTimes
	for id, l := range s.loads {
		startedAt, ok := startTimes[id]
		if !ok && l.inFlight == 0 {
			delete(s.loads, id)
		}
		if ok && !startedAt.Equal(l.startedAt) {
			delete(s.loads, id)
			restarted = append(restarted, id)
		}
	}
	return restarted
}
