package scheduler_test

import (
	"fmt"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/scheduler"
)

const (
	// readyAfter and readyGap decide when an owner's knowledge is complete: after it has received messages for readyAfter without
	// a gap of readyGap.
	readyAfter = time.Second
	readyGap   = 3 * time.Second
)

// peerMessage is a message of a sender to an owner.
type peerMessage struct {
	sender  int
	reports []masticway.EngineReport
	resync  bool
	run     *masticway.EngineRun
}

type peerReply struct {
	ready, needsResync bool
	choice             masticway.EngineChoice
}

// ownerModel is a router that tracks the engines for the others.
type ownerModel struct {
	w       *world
	engines *scheduler.Engines
	// since is when the current series of messages began, and heard when the last one came.
	since, heard time.Duration
	isHeard      bool
	// replyDelay is the additional time until it replies; unreachable is set while no message reaches it or leaves it.
	replyDelay  time.Duration
	unreachable bool
}

func newOwnerModel(w *world) *ownerModel {
	o := &ownerModel{w: w, engines: scheduler.NewEngines(scheduler.Policy{RankShare: localPolicy.RankShare, ZoneTokenCost: localPolicy.ZoneTokenCost})}
	o.engines.Sync(w.time(), w.pool, w.servers)
	return o
}

func incarnation(router int) masticway.Incarnation {
	return masticway.Incarnation(fmt.Sprintf("router-%d~1", router))
}

// handle applies a message, except for reports that are delivered apart, and replies.
func (o *ownerModel) handle(m peerMessage) peerReply {
	now := o.w.time()
	if !o.isHeard || o.w.now-o.heard > readyGap {
		o.since, o.isHeard = o.w.now, true
	}
	o.heard = o.w.now
	known := o.engines.Touch(now, incarnation(m.sender))
	if m.resync {
		o.engines.Replace(now, incarnation(m.sender), m.reports)
	} else {
		o.record(m.sender, m.reports)
	}
	reply := peerReply{ready: o.w.now-o.since >= readyAfter, needsResync: !known && !m.resync}
	if m.run != nil && reply.ready {
		reply.choice = o.engines.Place(now, incarnation(m.sender), *m.run, nil, nil)
	}
	return reply
}

func (o *ownerModel) record(sender int, reports []masticway.EngineReport) {
	for _, r := range reports {
		o.engines.Record(o.w.time(), incarnation(sender), r)
	}
}
