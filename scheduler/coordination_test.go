package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// messageDelay is the one-way delay of a message between routers.
	messageDelay = 1500 * time.Microsecond
	flushDelay   = 50 * time.Millisecond
	queryTimeout = 20 * time.Millisecond
	// resendDelay is how long a report waits for its acknowledgement before it is part of another message.
	resendDelay = 25 * time.Millisecond
	maxReports  = 256
	// minSkip and maxSkip bound how long a sender skips an owner that did not reply. The time doubles with each failure.
	minSkip = time.Second
	maxSkip = 8 * time.Second
	// keepalive is the longest time without a message from a sender with open runs.
	keepalive = time.Second
	// memberTimeout is the time after which a dead router is no longer a member.
	memberTimeout = 3 * time.Second
	// ownerRouter and backupRouter are the first members by rank; nextRouter is the one after them.
	ownerRouter, backupRouter, nextRouter = 7, 18, 28
)

// reportFault changes the delivery of reports. The queries in the same messages are delivered as usual.
type reportFault struct {
	lostShare float64
	doubled   bool
	late      time.Duration
}

// runRecord is what a sender knows of one of its runs.
type runRecord struct {
	run             masticway.EngineRun
	server          masticway.ServerIncarnation
	state           masticway.EngineRunState
	reached, sentAt time.Duration
	firstAt         time.Duration
	events          int
	// placedBy is the router whose choice is used, or -1.
	placedBy int
	// reported is the time of the last message with the current state, and pending is set until that is acknowledged.
	reported time.Duration
	pending  bool
}

// senderModel is the part of a router that queries and informs owners.
type senderModel struct {
	s      *sharedChoice
	router int
	runs   map[string]*runRecord
	// order holds the IDs of runs in the order in which they began.
	order     []string
	skipUntil map[int]time.Duration
	failures  map[int]int
	target    int
	lastSent  time.Duration
	flushing  bool
	// needsResync is set if the next message must be a full resync.
	needsResync bool
}

// sharedChoice chooses by package scheduler at the owner, and by local estimates while no owner replies.
type sharedChoice struct {
	w       *world
	local   *localChoice
	senders [routerCount]*senderModel
	owners  map[int]*ownerModel
	members []int
	fault   reportFault
	rng     *rand.Rand
	// byOwner and byRouter count the choices.
	byOwner, byRouter int
}

func newSharedChoice(w *world) *sharedChoice {
	s := &sharedChoice{
		w: w, local: newLocalChoice(w), owners: map[int]*ownerModel{}, members: []int{ownerRouter, backupRouter, nextRouter},
		rng: rand.New(rand.NewPCG(7, 7)),
	}
	for _, i := range s.members {
		s.owners[i] = newOwnerModel(w)
	}
	for i := range s.senders {
		s.senders[i] = &senderModel{s: s, router: i, runs: map[string]*runRecord{}, skipUntil: map[int]time.Duration{}, failures: map[int]int{}, target: -1}
	}
	s.every(250*time.Millisecond, func() {
		for _, i := range s.members {
			s.owners[i].engines.Expire(w.time())
		}
		for _, m := range s.senders {
			m.keepAlive()
		}
	})
	s.every(2*time.Second, func() {
		if o := s.owners[s.members[0]]; !w.dead[s.members[0]] && !o.unreachable {
			s.owners[s.members[1]].engines.AdoptSpeeds(w.time(), o.engines.Speeds())
		}
	})
	return s
}

func (s *sharedChoice) every(d time.Duration, run func()) {
	s.w.after(d, func() {
		run()
		if s.w.now < runTime+10*time.Second {
			s.every(d, run)
		}
	})
}

func (s *sharedChoice) choose(r *request) {
	m := s.senders[r.router]
	target := m.currentTarget()
	if target < 0 {
		s.chooseLocally(r)
		return
	}
	run := s.engineRun(r)
	answered := false
	s.w.after(queryTimeout, func() {
		if !answered && !r.cut {
			answered = true
			m.fail(target)
			s.chooseLocally(r)
		}
	})
	m.send(target, &run, func(reply peerReply) {
		if answered || r.cut {
			return
		}
		answered = true
		i := slices.IndexFunc(s.w.servers, func(v masticway.Server) bool { return v.Incarnation() == reply.choice.Server })
		switch {
		case reply.choice.Full:
			s.w.refuse(r)
		case !reply.ready || i < 0:
			s.chooseLocally(r)
		default:
			s.byOwner++
			s.setUrgency(r, reply.choice.Level)
			s.begin(r, i, target)
		}
	})
}

func (s *sharedChoice) engineRun(r *request) masticway.EngineRun {
	k := requestKinds[r.kind]
	return masticway.EngineRun{
		ID: r.id, Workspace: r.workspace, Rank: k.rank, Tokens: r.tokens, Output: r.output(), Parts: r.parts, Zone: s.w.zones[r.router],
		EventGap: k.eventGap, Objective: k.objective, TimeLeft: k.timeLimit - (s.w.now - r.arrival),
	}
}

func (s *sharedChoice) chooseLocally(r *request) {
	s.byRouter++
	s.setUrgency(r, 0)
	s.begin(r, s.local.best(r), -1)
}

func (s *sharedChoice) setUrgency(r *request, level int) {
	if s.w.urgency != nil {
		r.urgency = s.w.urgency(requestKinds[r.kind].rank, level)
	}
}

// begin sends a request to an engine and reports it.
func (s *sharedChoice) begin(r *request, engine, placedBy int) {
	s.local.sent(r, engine)
	s.w.send(r, engine)
	m := s.senders[r.router]
	m.runs[r.id] = &runRecord{
		run: s.engineRun(r), server: s.w.servers[engine].Incarnation(), reached: s.w.now, sentAt: s.w.now, placedBy: placedBy,
		pending: true, reported: -time.Hour,
	}
	m.order = append(m.order, r.id)
	m.startFlush()
}

func (s *sharedChoice) firstEvent(r *request) {
	s.local.firstEvent(r)
	m := s.senders[r.router]
	c := m.runs[r.id]
	c.firstAt = s.w.now
	m.reach(c, masticway.EngineRunStreaming)
}

func (s *sharedChoice) end(r *request) {
	s.local.end(r)
	m := s.senders[r.router]
	c := m.runs[r.id]
	c.events = (r.output() + tokensPerEvent - 1) / tokensPerEvent
	m.reach(c, masticway.EngineRunEnded)
}

// routerDied makes the next member an owner once the others notice.
func (s *sharedChoice) routerDied(router int) {
	s.senders[router] = &senderModel{s: s, router: router, runs: map[string]*runRecord{}, skipUntil: map[int]time.Duration{}, failures: map[int]int{}, target: -1}
	s.w.after(memberTimeout, func() {
		s.members = slices.DeleteFunc(s.members, func(i int) bool { return i == router })
	})
}

func (m *senderModel) reach(c *runRecord, state masticway.EngineRunState) {
	c.state, c.reached, c.pending, c.reported = state, m.s.w.now, true, -time.Hour
	m.startFlush()
}

// currentTarget returns the owner or the backup, whichever is the first that is not skipped, or -1.
func (m *senderModel) currentTarget() int {
	for _, t := range m.s.members[:2] {
		if m.s.w.now >= m.skipUntil[t] {
			return t
		}
	}
	return -1
}

func (m *senderModel) fail(target int) {
	w := m.s.w
	if w.now < m.skipUntil[target] {
		return
	}
	m.skipUntil[target] = w.now + min(maxSkip, minSkip<<min(m.failures[target], 10))
	m.failures[target]++
	// The owner may have missed any report.
	m.target = -1
}

func (m *senderModel) startFlush() {
	if m.flushing {
		return
	}
	m.flushing = true
	m.s.w.after(flushDelay, func() {
		m.flushing = false
		if !slices.ContainsFunc(m.order, func(id string) bool { return m.runs[id].pending }) {
			return
		}
		m.notify()
		// Reports that are not acknowledged by then are sent again.
		m.startFlush()
	})
}

func (m *senderModel) keepAlive() {
	if len(m.order) > 0 && m.s.w.now-m.lastSent > keepalive && !m.s.w.dead[m.router] {
		m.notify()
	}
}

// notify sends the pending reports without a query.
func (m *senderModel) notify() {
	target := m.currentTarget()
	if target < 0 || m.s.w.dead[m.router] {
		return
	}
	answered := false
	m.s.w.after(queryTimeout, func() {
		if !answered {
			m.fail(target)
		}
	})
	m.send(target, nil, func(peerReply) { answered = true })
}

// send sends a message with the pending reports and calls done when the reply arrives.
func (m *senderModel) send(target int, run *masticway.EngineRun, done func(peerReply)) {
	s, w := m.s, m.s.w
	if target != m.target {
		// The new target has heard nothing or only outdated states of this sender's runs.
		m.target, m.needsResync = target, true
	}
	m.lastSent = w.now
	msg := peerMessage{sender: m.router, run: run, resync: m.needsResync}
	m.needsResync = false
	var sent []*runRecord
	msg.reports, sent = m.takeReports(target, msg.resync)
	sentAt := w.now
	acknowledge := func() { m.acknowledge(sent, sentAt) }
	if target == m.router {
		reply := s.owners[target].handle(msg)
		acknowledge()
		done(reply)
		return
	}
	if !msg.resync && len(msg.reports) > 0 && s.fault != (reportFault{}) {
		s.deliverApart(target, msg, acknowledge)
		msg.reports, acknowledge = nil, func() {}
	}
	o := s.owners[target]
	w.after(messageDelay+o.replyDelay, func() {
		if w.dead[target] || o.unreachable || w.dead[m.router] {
			return
		}
		reply := o.handle(msg)
		w.after(messageDelay, func() {
			if w.dead[m.router] || o.unreachable {
				return
			}
			// A reply after the timeout proves that the owner lives, but not that it is fast enough.
			if w.now-sentAt <= queryTimeout {
				delete(m.failures, target)
			}
			m.needsResync = m.needsResync || reply.needsResync
			acknowledge()
			done(reply)
		})
	})
}

// deliverApart delivers the reports of a message under the fault of the run.
func (s *sharedChoice) deliverApart(target int, msg peerMessage, acknowledge func()) {
	deliver := func(d time.Duration) {
		s.w.after(d, func() {
			if s.w.dead[target] || s.owners[target].unreachable {
				return
			}
			s.owners[target].record(msg.sender, msg.reports)
			s.w.after(messageDelay, acknowledge)
		})
	}
	if s.rng.Float64() < s.fault.lostShare {
		return
	}
	deliver(messageDelay + s.fault.late)
	if s.fault.doubled {
		deliver(messageDelay + s.fault.late + 70*time.Millisecond)
	}
}

// takeReports returns the reports that a message to a target carries: all open runs for a full resync, otherwise those whose
// state was not sent lately.
func (m *senderModel) takeReports(target int, resync bool) ([]masticway.EngineReport, []*runRecord) {
	now := m.s.w.now
	var reports []masticway.EngineReport
	var sent []*runRecord
	for _, id := range m.order {
		c := m.runs[id]
		if resync && c.state == masticway.EngineRunEnded || !resync && (!c.pending || now-c.reported < resendDelay) {
			continue
		}
		if !resync && len(reports) == maxReports {
			break
		}
		r := masticway.EngineReport{Run: id, Server: c.server, State: c.state, Age: now - c.reached}
		if c.firstAt > 0 {
			r.FirstEventAfter = c.firstAt - c.sentAt
		}
		if c.state == masticway.EngineRunEnded {
			r.Events = c.events
			if c.firstAt > 0 {
				r.StreamedFor = c.reached - c.firstAt
			}
		}
		if resync || c.placedBy != target {
			r.Details = &c.run
		}
		c.reported = now
		reports, sent = append(reports, r), append(sent, c)
	}
	return reports, sent
}

// acknowledge marks the states that were sent at a time as known to the target, and forgets ended runs.
func (m *senderModel) acknowledge(sent []*runRecord, at time.Duration) {
	for _, c := range sent {
		if c.reached <= at {
			c.pending = false
		}
	}
	m.order = slices.DeleteFunc(m.order, func(id string) bool {
		c := m.runs[id]
		if c.state != masticway.EngineRunEnded || c.pending {
			return false
		}
		delete(m.runs, id)
		return true
	})
}
