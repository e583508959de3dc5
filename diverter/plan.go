package diverter

import (
	"time"
)

const (
	// holdTime is how long the conditions for a diversion must hold, and earlyEndTime how long other zones must be overloaded to
	// end it early.
	holdTime     = 500 * time.Millisecond
	earlyEndTime = time.Second
	// minExcess is the minimum ratio of the zone's requests per router to the mean of the other zones.
	minExcess = 1.5
	// minRelief is the minimum ratio of the zone's requests per router to those of the consenting zones' routers after the
	// diversion. With four equal zones it is reached by a zone with 5/12 of all callers. A ratio of 1.5 would be reached only by
	// half of all callers, whereas a zone with 45% of them was measured to lose a tenth of its score.
	minRelief = 1.25
	// minConsents is the minimum number of consenting zones, and maxUnreachable the maximum number of other zones that do not
	// answer. Of two proposing zones at least one therefore needs the consent of a zone that has consented to the other one.
	minConsents    = 2
	maxUnreachable = 1
	// loadTTL is the maximum age of what is known of another zone's load.
	loadTTL = 2 * time.Second
)

// plan decides when a zone's coordinator proposes a diversion and when it ends one early.
type plan struct {
	// others is the newest known load of the other zones.
	others map[string]knownLoad
	// metSince is since when the conditions have been met, and othersOverloadedSince since when the diversion should end early.
	// They are zero if that is not the case.
	metSince, othersOverloadedSince time.Time
	// retryAt is the earliest time of the next proposal after one that failed.
	retryAt time.Time
}

type knownLoad struct {
	ZoneLoad
	at time.Time
}

// record records the load of another zone.
func (p *plan) record(now time.Time, zone string, l ZoneLoad) {
	if p.others == nil {
		p.others = map[string]knownLoad{}
	}
	p.others[zone] = knownLoad{ZoneLoad: l, at: now}
}

// current returns the loads of the other zones that are not outdated. Zones without a ready router are missing.
func (p *plan) current(now time.Time) map[string]ZoneLoad {
	all := map[string]ZoneLoad{}
	for zone, l := range p.others {
		if now.Sub(l.at) < loadTTL && l.Routers > 0 {
			all[zone] = l.ZoneLoad
		}
	}
	return all
}

// shouldPropose updates metSince and reports whether a diversion of the zone with the given load should be proposed.
func (p *plan) shouldPropose(now time.Time, own ownLoad) bool {
	if !own.Overloaded || !own.exceeds(p.current(now)) {
		p.metSince = time.Time{}
		return false
	}
	if p.metSince.IsZero() {
		p.metSince = now
	}
	return now.Sub(p.metSince) >= holdTime && !now.Before(p.retryAt)
}

// exceeds reports whether the zone has minExcess times as many requests per router as the mean of at least minConsents other zones,
// and a diversion to all of them would relieve it.
func (l ownLoad) exceeds(others map[string]ZoneLoad) bool {
	sum, n := 0.0, 0
	known := ballot{}
	for zone, o := range others {
		sum += o.perRouter()
		n++
		known[zone] = DivertReply{Vote: VoteConsent, Load: o}
	}
	return n >= minConsents && l.perRouter >= minExcess*sum/float64(n) && known.judge(l, n) == outcomeWon
}

// shouldEndEarly updates othersOverloadedSince and reports whether the diversion of the zone should end early: because minConsents of
// the other zones with a known load are overloaded, or all of them if they are fewer. If the load of none is known, nobody may be able
// to serve the zone's callers.
func (p *plan) shouldEndEarly(now time.Time) bool {
	known := p.current(now)
	overloaded := 0
	for _, l := range known {
		if l.Overloaded {
			overloaded++
		}
	}
	if overloaded < min(minConsents, len(known)) {
		p.othersOverloadedSince = time.Time{}
		return false
	}
	if p.othersOverloadedSince.IsZero() {
		p.othersOverloadedSince = now
	}
	return now.Sub(p.othersOverloadedSince) >= earlyEndTime
}

// ballot holds the answers of the other zones to a proposal, by zone. Zones that did not answer or abstained are missing.
type ballot map[string]DivertReply

// outcome of a ballot.
type outcome string

const (
	outcomeWon         outcome = "won"
	outcomeRefused     outcome = "refused"
	outcomeUnreachable outcome = "unreachable"
	outcomeNoCapacity  outcome = "no_capacity"
)

// judge decides on the proposal of a zone with the given load. zones is the number of other zones.
func (b ballot) judge(own ownLoad, zones int) outcome {
	total, consents, routers := own.total, 0, 0
	for _, r := range b {
		switch r.Vote {
		case VoteRefuse:
			return outcomeRefused
		case VoteConsent:
			consents++
			total += r.Load.Requests
			routers += r.Load.Routers
		}
	}
	switch {
	case consents < minConsents || zones-consents > maxUnreachable:
		return outcomeUnreachable
	case total/float64(max(1, routers)) > own.perRouter/minRelief:
		return outcomeNoCapacity
	}
	return outcomeWon
}
