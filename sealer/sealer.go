package sealer

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Settings configure a sealer.
type Settings struct {
	Self masticway.Incarnation
	// AnswerTTL is the time for which a finished run with its answer is kept, so that routers can attach to it. The run is
	// dropped earlier if MaxAnswerBytes is exceeded. AnswerTTL is also the time for which a refused run is remembered.
	AnswerTTL time.Duration
	// MaxAnswerBytes limits the total text size of the answers of the finished runs that are kept.
	MaxAnswerBytes int
	// OrphanTimeout is the time without readers after which a run is stopped. It does not apply to non-repeatable runs.
	OrphanTimeout time.Duration
	// MaxRuns limits the number of runs in progress.
	MaxRuns int
}

// verifyAheadInterval is the minimum time between two verifications of one router that VerifyAhead requests.
const verifyAheadInterval = 200 * time.Millisecond

// maxKeptChanges limits the number of configuration changes that are kept for routers with an older revision. Those routers
// must read still earlier changes from the table.
const maxKeptChanges = 64

// Effect is an action that the caller must carry out: a Send, a Start, a Stop or a Verify.
type Effect interface{ effect() }

// Send asks the caller to send a message to the router with the incarnation To. If there is no link to that router, the
// caller must drop the message.
type Send struct {
	To      masticway.Incarnation
	Message any
}

// Start asks the caller to start a run at the upstream. When the run ends, the caller must call RecordEnd.
type Start struct {
	Run  masticway.RunKey
	Call masticway.Call
}

// Stop asks the caller to cancel a run at the upstream. The caller must still call RecordEnd when the run has ended.
type Stop struct{ Run masticway.RunKey }

// Verify asks the caller to read an incarnation's links row. The caller must pass the resulting status to ApplyVerification.
type Verify struct{ Incarnation masticway.Incarnation }

func (Send) effect()   {}
func (Start) effect()  {}
func (Stop) effect()   {}
func (Verify) effect() {}

// IncarnationStatus is the status of an incarnation according to its links row in the table.
type IncarnationStatus string

// The statuses of an incarnation. StatusSealed means that the row is sealed or does not exist. StatusUnlinked means that the
// row does not contain this sidecar. StatusUnknown means that the row could not be read.
const (
	StatusOpen     IncarnationStatus = "open"
	StatusSealed   IncarnationStatus = "sealed"
	StatusUnlinked IncarnationStatus = "unlinked"
	StatusUnknown  IncarnationStatus = "unknown"
)

// run is a run that this sidecar has accepted.
type run struct {
	dispatch Dispatch
	// prompt and tokens are the numbers of tokens of the prompt and of the answer so far.
	prompt int
	tokens int
	// bytes is the size of the answer's text so far.
	bytes int
	// bound is the maximum cost. It is reduced when the prompt has been counted.
	bound  masticway.Amount
	chunks []masticway.Chunk
	// final is nil while the run is in progress.
	final   *RunResult
	endedAt time.Time
	// orphanedAt is when the run lost its last reader. It is zero if the run has a reader.
	orphanedAt time.Time
	readers    map[masticway.Incarnation]bool
	// boundReached is set if the run has been stopped because its cost would have exceeded Dispatch.Bound.
	boundReached bool
	cancelled    bool
}

// pending is a dispatch that waits for the verification of its payer or sender.
type pending struct {
	dispatch Dispatch
	from     masticway.Incarnation
}

// Sealer is the state of one sidecar. It is not safe for concurrent use.
type Sealer struct {
	settings Settings
	// runs holds the runs in progress and the finished ones that are kept.
	runs map[masticway.RunKey]*run
	// byID holds the newest run of each identity.
	byID map[masticway.Identity]masticway.RunKey
	// refused holds the runs that must not start, because this sidecar has refused them or reported them as not found, and
	// since when.
	refused map[masticway.RunKey]time.Time
	// statuses holds the statuses of the verified and sealed incarnations: StatusOpen or StatusSealed.
	statuses map[masticway.Incarnation]IncarnationStatus
	// verifiedAheadAt is when VerifyAhead last requested the verification of each router that is not verified yet.
	verifiedAheadAt map[masticway.Incarnation]time.Time
	// waiting holds the dispatches that wait for a verification, by the incarnation to verify.
	waiting map[masticway.Incarnation][]pending
	// totals holds the cost of the finished runs by grant.
	totals map[masticway.GrantKey]masticway.Amount
	// running is the number of runs in progress.
	running int
	// ended lists the finished runs that are kept, the oldest first. keptBytes is the size of their answers' texts.
	ended     []masticway.RunKey
	keptBytes int
	draining  bool
	// revision is the newest known configuration revision. changes holds the latest changes up to it, at most
	// maxKeptChanges.
	revision masticway.Revision
	changes  []masticway.Change
}

// New returns a sealer without runs.
func New(s Settings) *Sealer {
	return &Sealer{
		settings:        s,
		runs:            map[masticway.RunKey]*run{},
		byID:            map[masticway.Identity]masticway.RunKey{},
		refused:         map[masticway.RunKey]time.Time{},
		statuses:        map[masticway.Incarnation]IncarnationStatus{},
		verifiedAheadAt: map[masticway.Incarnation]time.Time{},
		waiting:         map[masticway.Incarnation][]pending{},
		totals:          map[masticway.GrantKey]masticway.Amount{},
	}
}

// Dispatch accepts or refuses a run. If the payer or the sender has not been verified, it queues the dispatch and requests
// the verification. It confirms a repeated dispatch again without starting another run.
func (s *Sealer) Dispatch(now time.Time, d Dispatch, from masticway.Incarnation) []Effect {
	if r, ok := s.runs[d.Run]; ok {
		if r.dispatch.Hold != d.Hold {
			return []Effect{Send{To: from, Message: Refused{Run: d.Run, Reason: ReasonDuplicate, Existing: &d.Run}}}
		}
		// The dispatch has been repeated; it must not start another run.
		r.readers[from] = true
		return []Effect{Send{To: from, Message: Accepted{Run: d.Run}}}
	}
	if refusal, ok := s.refuse(d); ok {
		s.refused[d.Run] = now
		return []Effect{Send{To: from, Message: refusal}}
	}
	for _, inc := range []masticway.Incarnation{d.Grant.Payer, d.Sender} {
		switch s.statuses[inc] {
		case StatusOpen:
		case StatusSealed:
			s.refused[d.Run] = now
			return []Effect{Send{To: from, Message: Refused{Run: d.Run, Reason: ReasonSealed, Fenced: inc}}}
		default:
			s.waiting[inc] = append(s.waiting[inc], pending{dispatch: d, from: from})
			if len(s.waiting[inc]) > 1 {
				return nil
			}
			return []Effect{Verify{Incarnation: inc}}
		}
	}
	return s.start(d, from)
}

// refuse returns a refusal and true if the run cannot be accepted for a reason other than the status of its payer or sender.
func (s *Sealer) refuse(d Dispatch) (Refused, bool) {
	if _, ok := s.refused[d.Run]; ok {
		return Refused{Run: d.Run, Reason: ReasonCancelled}, true
	}
	if s.draining {
		return Refused{Run: d.Run, Reason: ReasonDraining}, true
	}
	if d.Revision < s.revision {
		return Refused{Run: d.Run, Reason: ReasonStale, Changes: s.ChangesAfter(d.Revision)}, true
	}
	if existing, ok := s.byID[d.Run.Identity]; ok && s.blocksIdentity(existing) {
		return Refused{Run: d.Run, Reason: ReasonDuplicate, Existing: &existing}, true
	}
	if s.running >= s.settings.MaxRuns {
		return Refused{Run: d.Run, Reason: ReasonFull}, true
	}
	return Refused{}, false
}

// blocksIdentity reports whether a run prevents another run with its identity. It does if it is in progress, has a complete
// answer, or is non-repeatable and may have run.
func (s *Sealer) blocksIdentity(k masticway.RunKey) bool {
	r, ok := s.runs[k]
	if !ok {
		return false
	}
	return r.final == nil || r.final.Complete || (r.dispatch.NonRepeatable && r.final.Fate != masticway.FateNotRun)
}

func (s *Sealer) start(d Dispatch, from masticway.Incarnation) []Effect {
	s.runs[d.Run] = &run{dispatch: d, bound: d.Bound, readers: map[masticway.Incarnation]bool{from: true}}
	s.byID[d.Run.Identity] = d.Run
	s.running++
	return []Effect{Send{To: from, Message: Accepted{Run: d.Run}}, Start{Run: d.Run, Call: d.Call}}
}

// VerifyAhead requests the verification of a linked router before its first dispatch, so that a later outage of the table
// does not block that dispatch. It does nothing if the router has been verified or sealed, if a dispatch already waits for
// its verification, or within verifyAheadInterval of the last request.
func (s *Sealer) VerifyAhead(now time.Time, inc masticway.Incarnation) []Effect {
	st := s.statuses[inc]
	if st == StatusOpen || st == StatusSealed || now.Sub(s.verifiedAheadAt[inc]) < verifyAheadInterval || len(s.waiting[inc]) > 0 {
		return nil
	}
	s.verifiedAheadAt[inc] = now
	return []Effect{Verify{Incarnation: inc}}
}

// ApplyVerification applies the status of an incarnation that was read from the table, and decides on the dispatches that
// waited for it. An incarnation that has been sealed at this sidecar stays sealed.
func (s *Sealer) ApplyVerification(now time.Time, inc masticway.Incarnation, st IncarnationStatus) []Effect {
	waiting := s.waiting[inc]
	delete(s.waiting, inc)
	if s.statuses[inc] == StatusSealed {
		st = StatusSealed
	}
	if st == StatusOpen || st == StatusSealed {
		s.statuses[inc] = st
		delete(s.verifiedAheadAt, inc)
	}
	var effects []Effect
	for _, p := range waiting {
		if st == StatusOpen || st == StatusSealed {
			effects = append(effects, s.Dispatch(now, p.dispatch, p.from)...)
			continue
		}
		reason := ReasonUnverified
		if st == StatusUnlinked {
			reason = ReasonUnlinked
		}
		s.refused[p.dispatch.Run] = now
		effects = append(effects, Send{To: p.from, Message: Refused{Run: p.dispatch.Run, Reason: reason, Fenced: inc}})
	}
	return effects
}

// RecordPromptCount records the prompt's true token count and lowers the run's maximum cost accordingly. It sends the counts
// of prompt and cached tokens and the new maximum to the run's readers.
func (s *Sealer) RecordPromptCount(k masticway.RunKey, prompt, cached int) []Effect {
	r, ok := s.runs[k]
	if !ok || r.final != nil {
		return nil
	}
	r.prompt = prompt
	d := r.dispatch
	maxCost := d.cost(masticway.Usage{Prompt: prompt, Completion: d.Call.MaxOutput - d.Call.Resumed})
	r.bound = min(r.bound, maxCost)
	return s.sendToReaders(r, PromptCount{Run: k, Prompt: prompt, Bound: r.bound, Cached: cached})
}

// RecordChunk records the next chunk of an answer and sends it to the run's readers. If a model run with this chunk would
// cost more than Dispatch.Bound, it stops the run instead, and drops this chunk and all later ones.
func (s *Sealer) RecordChunk(k masticway.RunKey, c masticway.Chunk) []Effect {
	r, ok := s.runs[k]
	if !ok || r.final != nil || r.boundReached {
		return nil
	}
	d := r.dispatch
	if d.Call.Service == "" && d.cost(masticway.Usage{Prompt: r.prompt, Completion: r.tokens + c.Tokens}) > d.Bound {
		r.boundReached = true
		return []Effect{Stop{Run: k}}
	}
	c.Index = len(r.chunks)
	r.tokens += c.Tokens
	r.bytes += len(c.Text)
	r.chunks = append(r.chunks, c)
	return s.sendToReaders(r, Frame{Run: k, Chunk: c})
}

// RecordEnd ends a run. It adds the run's cost, at most Dispatch.Bound, to the grant's total and sends the result to the
// run's readers. If failure is not nil, the run has failed, unless this sidecar stopped it because of its bound.
func (s *Sealer) RecordEnd(now time.Time, k masticway.RunKey, o masticway.Outcome, failure *masticway.UpstreamError) []Effect {
	r, ok := s.runs[k]
	if !ok || r.final != nil {
		return nil
	}
	d := r.dispatch
	usage := masticway.Usage{Prompt: r.prompt, Completion: r.tokens}
	f := &RunResult{Run: k, Hold: d.Hold, Chunks: len(r.chunks), Fate: masticway.FateRan, Outcome: o}
	f.Outcome.Usage = usage
	switch {
	case failure == nil || r.boundReached:
		f.Complete = !r.cancelled
		f.Cost = d.cost(usage)
		if r.boundReached {
			f.Outcome.Reason = "length"
		}
	case !failure.Started:
		f.Fate = masticway.FateNotRun
		f.Disrupted = true
		f.Outcome.Reason = failure.Reason
	default:
		f.Disrupted = !r.cancelled
		f.UpstreamEnded = failure.NotListening
		f.Outcome.Reason = failure.Reason
		f.Cost = d.cost(usage)
		if d.Call.Service != "" {
			f.Fate = masticway.FateUnknown
		}
	}
	f.Cost = min(f.Cost, d.Bound)
	r.final = f
	r.endedAt = now
	s.running--
	s.totals[d.Grant] += f.Cost
	s.ended = append(s.ended, k)
	s.keptBytes += r.bytes
	effects := s.sendToReaders(r, *f)
	s.evict(now)
	return effects
}

// sendToReaders sends a message to all readers of a run.
func (s *Sealer) sendToReaders(r *run, message any) []Effect {
	effects := make([]Effect, 0, len(r.readers))
	for _, to := range sortedReaders(r.readers) {
		effects = append(effects, Send{To: to, Message: message})
	}
	return effects
}

// sortedReaders returns the readers in a fixed order, so that the same events give the same effects.
func sortedReaders(readers map[masticway.Incarnation]bool) []masticway.Incarnation {
	if len(readers) == 1 {
		for to := range readers {
			return []masticway.Incarnation{to}
		}
	}
	list := make([]masticway.Incarnation, 0, len(readers))
	for to := range readers {
		list = append(list, to)
	}
	slices.Sort(list)
	return list
}

// Drain makes the sealer refuse all new runs. Runs in progress continue.
func (s *Sealer) Drain() { s.draining = true }

// IsDraining reports whether new runs are refused.
func (s *Sealer) IsDraining() bool { return s.draining }

// Running returns the number of runs in progress.
func (s *Sealer) Running() int { return s.running }

// ApplyChanges applies configuration changes, which must be in order. Changes up to the current revision are ignored.
func (s *Sealer) ApplyChanges(changes []masticway.Change) {
	for _, c := range changes {
		if c.Revision <= s.revision {
			continue
		}
		s.revision = c.Revision
		s.changes = append(s.changes, c)
		if len(s.changes) > maxKeptChanges {
			s.changes = s.changes[1:]
		}
	}
}

// AdvanceRevision advances to a newer revision without its changes, which are not available. From then on, routers with an
// older revision are refused without getting the changes up to it.
func (s *Sealer) AdvanceRevision(r masticway.Revision) {
	if r <= s.revision {
		return
	}
	s.revision = r
	// The kept changes have a gap now and must not be handed out as if they were complete.
	s.changes = nil
}

// Revision returns the newest configuration revision known to this sidecar.
func (s *Sealer) Revision() masticway.Revision { return s.revision }

// ChangesAfter returns the kept changes that are newer than a revision. Changes that are no longer kept are missing.
func (s *Sealer) ChangesAfter(r masticway.Revision) []masticway.Change {
	i := slices.IndexFunc(s.changes, func(c masticway.Change) bool { return c.Revision > r })
	if i < 0 {
		return nil
	}
	return slices.Clone(s.changes[i:])
}
