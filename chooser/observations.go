package chooser

import (
	"math"
	"time"

	"github.com/masticway/masticway"
)

const (
	// partLife is how long a prompt part is believed to stay in an engine's memory after its last use.
	partLife = 8 * time.Second
	// delayLife is the time over which what an engine was slower than expected is forgotten.
	delayLife = 1500 * time.Millisecond
	// failureWeight is the weight of the newest answer in a server's share of failures.
	failureWeight = 0.15
	// avoidFirst and avoidMost bound how long a server is passed over that could not be reached.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 2 * time.Second
	// partsKept bounds the prompt parts remembered for one server.
	partsKept = 2048
)

// serverLoad is what a router knows of one server.
type serverLoad struct {
	// born is when the server's present life began, as far as it has said so.
	born     time.Time
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
	// sent is when requests were sent lately, oldest first.
	sent []time.Time
}

func (l *serverLoad) delayed(now time.Time) float64 {
	return l.delay * math.Exp(-now.Sub(l.delayAt).Seconds()/delayLife.Seconds())
}

func (s *Servers) load(id string) *serverLoad {
	l, ok := s.loads[id]
	if !ok {
		l = &serverLoad{parts: map[string]time.Time{}, born: s.born[id]}
		s.loads[id] = l
	}
	return l
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

// Placement is one request at one server; it is given back to Servers as the request goes on.
type Placement struct {
	// load is what was known of the server in the life that it was sent to.
	load   *serverLoad
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
	l.sent = append(l.sentLately(now), now)
	l.reading += unread
	if len(l.parts) > partsKept {
		l.forget(now)
	}
	for _, part := range p.Parts {
		l.parts[part.ID] = now
	}
	return &Placement{load: l, sentAt: now, unread: unread}
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
	l := p.load
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
	l := p.load
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

// Keep forgets the servers that are not among the given ones, which are told with when their lives began, and what was
// known of earlier lives: a server that starts again under its id holds no parts and has no load. It names those.
func (s *Servers) Keep(born map[string]time.Time) (reborn []string) {
	s.born = born
	for id, l := range s.loads {
		began, ok := born[id]
		if !ok && l.inFlight == 0 {
			delete(s.loads, id)
		}
		if ok && !began.Equal(l.born) {
			delete(s.loads, id)
			reborn = append(reborn, id)
		}
	}
	return reborn
}
