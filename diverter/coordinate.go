package diverter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// pollInterval is the interval at which a coordinator whose zone is overloaded or diverted asks the other zones for their
	// loads.
	pollInterval = 300 * time.Millisecond
	// lastZoneWait is how long a coordinator waits for the vote of a single zone after all others have voted.
	lastZoneWait = 300 * time.Millisecond
	// retryInterval is the minimum time from a failed proposal to the next. A random time of up to the same length is added, so
	// that two zones that have refused each other do not ask at the same time again.
	retryInterval = 500 * time.Millisecond
	// logInterval is the minimum interval between two log lines about the conditions for a diversion.
	logInterval = time.Second
)

// proposal is a proposal to divert the zone. own was the zone's load when it began.
type proposal struct {
	// number is the number of the proposal, which increases for each coordinator.
	number int64
	began  time.Time
	span   time.Duration
	own    ownLoad
	// zones is the number of other zones.
	zones int
	// votes delivers the votes.
	votes chan ballot
}

// conditions are the conditions for a diversion that are logged: whether the zone is overloaded, and whether all are met.
type conditions struct{ overloaded, met bool }

// coordinate does what is due for a coordinator. It does nothing unless a majority of the zone's routers report to this one.
func (d *Diverter) coordinate(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, now := &d.state, d.deps.Clock.Now()
	load, known := s.reports.load(now, s.membership.members)
	own, zones := newOwnLoad(load, len(s.membership.members)), len(s.membership.others)
	switch {
	case s.proposal != nil:
		d.checkProposal(ctx, now)
	case !known || zones < minConsents:
		s.plan.metSince = time.Time{}
	case s.diversion.isActive(now):
		d.poll(ctx, now, DivertRequest{Purpose: PurposeHold, Number: s.proposals, Span: s.diversion.until.Sub(now)})
		if s.plan.shouldEndEarly(now) {
			s.diversion.endEarly(now)
			s.plan.othersOverloadedSince = time.Time{}
			d.deps.Log.WithFields(logrus.Fields{"event": "zone_diversion_ended", "zone": d.settings.Zone, "number": s.diversion.number}).
				Warn("other zones are overloaded, so the diversion of this zone ends early")
		}
	case s.consents.givenTo(now) != "" || !s.diversion.rested(now):
		s.plan.metSince = time.Time{}
	default:
		if own.Overloaded {
			d.poll(ctx, now, DivertRequest{Purpose: PurposeQuery})
		}
		propose := s.plan.shouldPropose(now, own)
		d.logConditions(now, own)
		if propose {
			d.propose(ctx, &proposal{began: now, span: s.diversion.nextSpan(now), own: own, zones: zones})
		}
	}
}

// logConditions logs a change of the conditions for a diversion, at most once per logInterval. The caller must hold d.mu.
func (d *Diverter) logConditions(now time.Time, own ownLoad) {
	s := &d.state
	c := conditions{overloaded: own.Overloaded, met: !s.plan.metSince.IsZero()}
	if c == s.logged || now.Sub(s.loggedAt) < logInterval {
		return
	}
	s.logged, s.loggedAt = c, now
	fields := logrus.Fields{
		"event": "zone_conditions", "zone": d.settings.Zone, "overloaded": c.overloaded, "met": c.met, "requests": own.Requests,
		"requests_per_router": own.perRouter, "routers": own.Routers, "unanswered": own.Unanswered,
	}
	for zone, l := range s.plan.current(now) {
		addLoad(fields, zone, l)
	}
	d.deps.Log.WithFields(fields).Info("the conditions for a diversion of this zone have changed")
}

// addLoad adds the load of another zone to the fields of a log line.
func addLoad(fields logrus.Fields, zone string, l ZoneLoad) {
	prefix := "zone_" + zone + "_"
	fields[prefix+"requests"], fields[prefix+"routers"], fields[prefix+"unready"] = l.Requests, l.Routers, l.Unready
	fields[prefix+"overloaded"], fields[prefix+"unanswered"] = l.Overloaded, l.Unanswered
}

// poll sends a request to the coordinators of the other zones if the next poll is due. The caller must hold d.mu.
func (d *Diverter) poll(ctx context.Context, now time.Time, req DivertRequest) {
	s := &d.state
	if now.Before(s.pollAt) || s.unansweredPolls >= maxUnansweredPolls {
		return
	}
	s.pollAt = now.Add(pollInterval)
	s.unansweredPolls++
	others := s.membership.others
	d.wg.Go(func() {
		d.askZones(ctx, others, req)
		d.mu.Lock()
		defer d.mu.Unlock()
		// The state was discarded if diversions ceased to apply during the poll.
		d.state.unansweredPolls = max(0, d.state.unansweredPolls-1)
	})
}

// propose asks the other zones for their consent. The caller must hold d.mu.
func (d *Diverter) propose(ctx context.Context, p *proposal) {
	d.state.proposals = max(d.state.proposals+1, p.began.UnixNano())
	p.votes, p.number = make(chan ballot, 1), d.state.proposals
	d.state.proposal = p
	others := d.state.membership.others
	d.wg.Go(func() {
		p.votes <- d.askZones(ctx, others, DivertRequest{Purpose: PurposeAsk, Number: p.number, Span: p.span})
	})
}

// checkProposal handles the votes on the current proposal if they are known. The caller must hold d.mu.
func (d *Diverter) checkProposal(ctx context.Context, now time.Time) {
	s := &d.state
	p := s.proposal
	var votes ballot
	select {
	case votes = <-p.votes:
	default:
		return
	}
	s.proposal, s.plan.metSince = nil, time.Time{}
	result := votes.judge(p.own, p.zones)
	fields := logrus.Fields{
		"event": "zone_proposal", "zone": d.settings.Zone, "outcome": result, "for_ms": p.span.Milliseconds(), "took_ms": now.Sub(p.began).Milliseconds(),
		"requests": p.own.Requests, "routers": p.own.Routers, "requests_per_router": p.own.perRouter, "unanswered": p.own.Unanswered, "zones": p.zones, "number": s.diversion.number + 1,
	}
	for zone, v := range votes {
		addLoad(fields, zone, v.Load)
		fields["zone_"+zone+"_vote"], fields["zone_"+zone+"_reason"] = v.Vote, v.Reason
	}
	line := d.deps.Log.WithFields(fields)
	switch {
	case s.diversion.isActive(now):
		// The backup or the coordinator of this zone has decided meanwhile. The consents stay until they expire.
		line.Info("this zone was diverted during the proposal")
	case result == outcomeWon && s.consents.givenTo(now) == "":
		s.diversion.start(p.began, d.settings.Instance, p.span)
		line.Warn("diverting this zone")
	default:
		s.plan.retryAt = now.Add(retryInterval + rand.N(retryInterval))
		others := s.membership.others
		d.wg.Go(func() { d.askZones(ctx, others, DivertRequest{Purpose: PurposeRelease, Number: p.number}) })
		line.Info("cannot divert this zone")
	}
}

// answer is the reply of a coordinator of another zone; ok is false if there was none.
type answer struct {
	zone  string
	reply DivertReply
	ok    bool
}

// askZones sends a request to the coordinators and the backups of all other zones, and returns the replies that matter: the votes
// if the request is a proposal, or else the loads. It records the loads at once. It returns when all have replied or messageTimeout
// has passed. The votes are complete when each zone has voted, or when lastZoneWait has passed since all but one have voted.
func (d *Diverter) askZones(ctx context.Context, others map[string][]Router, req DivertRequest) ballot {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	req.Zone, req.Proposer = d.settings.Zone, d.settings.Instance
	answers := make(chan answer, maxCoordinators*len(others))
	asked := 0
	for zone, coordinators := range others {
		for _, r := range coordinators {
			asked++
			d.wg.Go(func() {
				reply, err := d.deps.Messages.Divert(ctx, r.Address, req)
				answers <- answer{zone: zone, reply: reply, ok: err == nil}
			})
		}
	}
	result := ballot{}
	var deadline <-chan time.Time
	for range asked {
		var a answer
		select {
		case a = <-answers:
		case <-deadline:
			return result
		}
		if !a.ok {
			continue
		}
		d.recordLoad(a)
		if _, decided := result[a.zone]; !decided && (a.reply.Vote != VoteAbstain || req.Purpose != PurposeAsk && a.reply.LoadKnown) {
			result[a.zone] = a.reply
		}
		if req.Purpose != PurposeAsk {
			// All coordinators and backups should receive the request.
			continue
		}
		switch len(others) - len(result) {
		case 0:
			return result
		case 1:
			if deadline == nil {
				deadline = d.deps.Clock.After(lastZoneWait)
			}
		}
	}
	return result
}

// recordLoad records the load of another zone.
func (d *Diverter) recordLoad(a answer) {
	if !a.reply.LoadKnown {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.plan.record(d.deps.Clock.Now(), a.zone, a.reply.Load)
}

// AnswerDivert answers a message of the coordinator of another zone.
func (d *Diverter) AnswerDivert(req DivertRequest) DivertReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, now := &d.state, d.deps.Clock.Now()
	if !s.active || req.Zone == "" || req.Zone == d.settings.Zone {
		return DivertReply{Reason: "inactive"}
	}
	var reply DivertReply
	reply.Load, reply.LoadKnown = s.reports.load(now, s.membership.members)
	switch req.Purpose {
	case PurposeAsk:
		reply.Vote, reply.Reason = s.vote(now, req, reply.Load)
		d.deps.Log.WithFields(logrus.Fields{
			"event": "zone_vote", "zone": req.Zone, "proposer": req.Proposer, "vote": reply.Vote, "reason": reply.Reason, "for_ms": req.Span.Milliseconds(),
			"requests": reply.Load.Requests, "routers": reply.Load.Routers, "overloaded": reply.Load.Overloaded,
		}).Info("voted on the diversion of another zone")
	case PurposeHold:
		s.consents.give(now, req.Zone, req.Proposer, req.Number, req.Span+consentMargin)
	case PurposeRelease:
		s.consents.release(now, req.Proposer, req.Number)
	}
	return reply
}

// vote votes on the proposal to divert another zone. own is the load of this zone. A router that does not coordinate this zone at
// the moment abstains, but records its consent, because it may have to take over.
func (s *state) vote(now time.Time, req DivertRequest, own ZoneLoad) (Vote, string) {
	if !s.reports.hasMajority(now, s.membership.members) {
		s.consents.give(now, req.Zone, req.Proposer, req.Number, req.Span+consentMargin)
		return VoteAbstain, "not coordinator"
	}
	switch {
	case own.Routers == 0:
		return VoteAbstain, "no ready router"
	case s.diversion.isActive(now):
		return VoteRefuse, "diverted"
	case own.Overloaded:
		return VoteRefuse, "overloaded"
	case s.proposal != nil:
		return VoteRefuse, "proposing"
	case !s.consents.give(now, req.Zone, req.Proposer, req.Number, req.Span+consentMargin):
		return VoteRefuse, "committed"
	}
	return VoteConsent, ""
}
