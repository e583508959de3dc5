package chooser

import (
	"math"
	"time"

	"github.com/masticway/masticway"
)

const (
	// PartTTL is how long a prompt part is assumed to stay in an engine's cache after its last use.
	PartTTL = 8 * time.Second
	// delayDecay is the time constant of the exponential decay of serverLoad.delay.
	delayDecay = 1500 * time.Millisecond
	// failureWeight is the weight of the newest result in the moving average of a server's failure rate.
	failureWeight = 0.15
	// minAvoidTime and maxAvoidTime are the bounds of the backoff: how long a server is avoided after a connection to it failed.
	minAvoidTime = 300 * time.Millisecond
	maxAvoidTime = 2 * time.Second
	// partsCleanupSize is the number of prompt parts stored for one server above which expired ones are removed. It is not an
	// upper bound: parts that have not expired are kept.
	partsCleanupSize = 2048
)

// serverLoad is a router's information about one server.
type serverLoad struct {
	// startedAt is the start time of the server's current incarnation. It is zero if the server has not reported it.
	startedAt time.Time
	inFlight  int
	// pendingPrefill is the estimated number of uncached prompt tokens in requests that have not yet produced a first event.
	pendingPrefill float64
	// parts holds, by part ID, when a request with the prompt part was last sent to the server.
	parts map[string]time.Time
	// delay is how much later than expected recent first events arrived, as a moving average in milliseconds at the time delayAt.
	// It decays from then on.
	delay   float64
	delayAt time.Time
	// failureRate is the share of requests that failed, from 0 to 1, as a moving average.
	failureRate float64
	// avoidUntil is the time until which the server is avoided because a connection to it failed.
	avoidUntil time.Time
	// connectFailures is the number of failed connections since the last successful request.
	connectFailures int
	// sendTimes are the times of recent requests to the server, oldest first. recentlySent drops times older than coldWindow.
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

// cachedTokens estimates the number of leading prompt tokens in the engine's cache. At the home of the prompt (isHome), all parts
// but the last are assumed to be cached.
func (l *serverLoad) cachedTokens(now time.Time, p Prompt, isHome bool) int {
	tokens := 0
	for i, part := range p.Parts {
		shared := i < len(p.Parts)-1
		if at, ok := l.parts[part.ID]; (!ok || now.Sub(at) > PartTTL) && (!isHome || !shared) {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// Placement is one request at one server. The caller passes it to the methods of Servers that record the progress of the request.
type Placement struct {
	// load is the information about the server's incarnation at the time of sending.
	load   *serverLoad
	sentAt time.Time
	// uncached is the estimated number of prompt tokens that were not cached at the server when the request was sent.
	uncached       float64
	firstEventSeen bool
	ended          bool
}

// RecordSent records that a request was sent to a server, and that its prompt parts are now likely to be cached there.
func (s *Servers) RecordSent(now time.Time, p Prompt, server string) *Placement {
	l := s.load(server)
	uncached := float64(p.Tokens - l.cachedTokens(now, p, false))
	l.inFlight++
	l.sendTimes = append(l.recentlySent(now), now)
	l.pendingPrefill += uncached
	if len(l.parts) > partsCleanupSize {
		l.dropExpiredParts(now)
	}
	for _, part := range p.Parts {
		l.parts[part.ID] = now
	}
	return &Placement{load: l, sentAt: now, uncached: uncached}
}

func (l *serverLoad) dropExpiredParts(now time.Time) {
	for id, at := range l.parts {
		if now.Sub(at) > PartTTL {
			delete(l.parts, id)
		}
	}
}

// RecordFirstEvent records that the first event of a request's answer has arrived. Further calls for the request have no effect.
func (s *Servers) RecordFirstEvent(now time.Time, p *Placement) {
	if p.firstEventSeen {
		return
	}
	p.firstEventSeen = true
	l := p.load
	l.pendingPrefill = max(0, l.pendingPrefill-p.uncached)
	expected := p.uncached / TokensPerMillisecond
	late := max(0, float64(now.Sub(p.sentAt))/float64(time.Millisecond)-expected-usualFirstEvent)
	l.delay = l.currentDelay(now)*0.6 + late*0.4
	l.delayAt = now
}

// usualFirstEvent is the expected time in milliseconds from sending a request to the first event of its answer, without the
// prefill.
const usualFirstEvent = 60.0

// Result classifies the end of a request by what it says about the health of its server.
type Result int

// The results of a request.
const (
	ResultSuccess Result = iota
	// ResultNeutral is for requests whose result says nothing about the server, such as those that the caller aborted.
	ResultNeutral
	ResultFailure
	// ResultUnreachable is for requests whose connection could not be established.
	ResultUnreachable
)

// RecordEnd records the end of a request and its result. Further calls for the request have no effect.
func (s *Servers) RecordEnd(now time.Time, p *Placement, v Result) {
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
	case ResultSuccess:
		l.failureRate *= 1 - failureWeight
		l.connectFailures = 0
	case ResultFailure:
		l.failureRate += (1 - l.failureRate) * failureWeight
	case ResultUnreachable:
		l.failureRate += (1 - l.failureRate) * failureWeight
		l.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(l.connectFailures, 4)))
		l.connectFailures++
	}
}

// IsOutlier reports whether a server's failure rate exceeds the average rate of the other servers of its pool by more than
// outlierMargin. servers must be all servers of the pool. IsOutlier returns false if there is only one.
func (s *Servers) IsOutlier(id string, servers []masticway.Server) bool {
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

// outlierMargin is the difference in failure rates above which failures are attributed to the server. Failures that are caused by
// requests affect all servers alike, so the difference stays smaller.
const outlierMargin = 0.2

// SyncIncarnations sets the start times of the servers' current incarnations, by server ID. It removes the information about
// servers that are not in the map and have no requests in flight. It also removes the information about a server's earlier
// incarnation, with another start time, because a restarted server has an empty cache and no load. It returns the IDs of these
// restarted servers.
func (s *Servers) SyncIncarnations(startTimes map[string]time.Time) (restarted []string) {
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
