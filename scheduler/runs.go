package scheduler

import (
	"time"

	"github.com/masticway/masticway"
)

const (
	// senderTTL is how long the runs of a sender are kept after its last message. A sender with open runs that has nothing to
	// report sends an empty message each second.
	senderTTL = 3 * time.Second
	// reservationTTL is how long an engine stays reserved for a run that its sender has not reported. The sender of a run whose
	// caller has disconnected during the query reports nothing. Others report within 200 ms, or a second later if a message is lost.
	reservationTTL = 2 * time.Second
	// maxRunTime is how long a run without a deadline is kept if its end is not reported.
	maxRunTime = 2 * time.Minute
	// maxRuns and maxSenders bound the memory. A group of 64 engines with 64 slots each has 4,096 runs.
	maxRuns    = 16384
	maxSenders = 4096
)

// sender is a router that sends queries and reports.
type sender struct {
	heardAt time.Time
	// complete is set when all open runs of the sender are known.
	complete bool
}

// run is one attempt of a request at an engine.
type run struct {
	id        string
	workspace string
	sender    *sender
	engine    *engine
	state     masticway.EngineRunState
	// reported is set if the sender has reported the run. Until then, it is only a reservation.
	reported  bool
	sentAt    time.Time
	expiresAt time.Time
	tokens    int
	output    int
	timeLeft  time.Duration
	parts     []part
	// isPaced is set if the pause between two events is limited.
	isPaced bool
	// uncached is the number of prompt tokens that were not cached at the engine when the run was placed.
	uncached int
	// charged is the number of tokens that were added to the use of the workspace.
	charged int
	// previous and next are the neighbours in the engine's list of pending runs.
	previous, next *run
}

// heard records that something was heard from a sender. It returns nil if there are too many senders.
func (e *Engines) heard(now time.Time, id masticway.Incarnation) *sender {
	s, ok := e.senders[id]
	if !ok {
		if len(e.senders) >= maxSenders {
			return nil
		}
		s = &sender{}
		e.senders[id] = s
	}
	s.heardAt = now
	return s
}

// Touch records that something was heard from a sender. It returns false if the sender must send all its open runs (Replace),
// because it has not done so yet, or its runs have expired since.
func (e *Engines) Touch(now time.Time, sender masticway.Incarnation) (known bool) {
	s := e.heard(now, sender)
	return s != nil && s.complete
}

// defaultTokenLimit limits the size of a run in a pool whose token capacity is unknown.
const defaultTokenLimit = 1 << 20

// limitTokens limits a declared number of tokens to the memory of an engine, so that sums of them cannot overflow.
func (e *Engines) limitTokens(n int) int {
	limit := e.pool.TokenCapacity
	if limit <= 0 {
		limit = defaultTokenLimit
	}
	return min(max(0, n), limit)
}

// newRun returns a run that has not been placed at an engine.
func (e *Engines) newRun(s *sender, r masticway.EngineRun, sentAt time.Time) *run {
	n := &run{
		id: r.ID, workspace: r.Workspace, sender: s, sentAt: sentAt, tokens: e.limitTokens(r.Tokens), output: e.limitTokens(r.Output), timeLeft: r.TimeLeft, isPaced: r.EventGap > 0,
	}
	if n.timeLeft <= 0 {
		n.timeLeft = maxRunTime
	}
	if len(r.Parts) > 0 {
		n.parts = appendParts(make([]part, 0, len(r.Parts)), r.Parts)
	}
	return n
}

// remove removes a run from its engine and from the known runs.
func (e *Engines) remove(r *run) {
	r.engine.remove(r)
	delete(e.runs, r.id)
}

// Expire removes the runs whose time is over, the reservations that were not reported in time, and the senders from which nothing
// was heard for 3 s, with their runs. It also updates the speed classes and the contention. It should be called about four times per second; it looks at each run.
func (e *Engines) Expire(now time.Time) {
	for id, s := range e.senders {
		if now.Sub(s.heardAt) >= senderTTL {
			s.complete = false
			delete(e.senders, id)
		}
	}
	for _, r := range e.runs {
		if !now.Before(r.expiresAt) || now.Sub(r.sender.heardAt) >= senderTTL {
			e.remove(r)
		}
	}
	e.ended.expire(now)
	e.shares.expire(now)
	for _, n := range e.engines {
		n.evictParts(now)
	}
	e.updateSpeeds(now)
	e.updateContention(now)
}
