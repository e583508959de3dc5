package sealer

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Settings are the tunables of a sealer.
type Settings struct {
	Self masticway.Incarnation
	// KeepFor is how long a finished answer can be attached to.
	KeepFor time.Duration
	// KeepBytes bounds the memory of finished answers.
	KeepBytes int
	// OrphanAfter is how long a repeatable run goes on with no reader.
	OrphanAfter time.Duration
	// MaxRuns bounds the runs in progress.
	MaxRuns int
}

// verifyAheadInterval separates two looks at a router whose durable set does not hold this sidecar yet.
const verifyAheadInterval = 200 * time.Millisecond

// maxKeptChanges bounds the configuration changes handed to stale routers; older ones come from the table.
const maxKeptChanges = 64

// Effect is something that the shell must do; it is one of the types below.
type Effect interface{ effect() }

// Send delivers one message to the router that is linked as To.
type Send struct {
	To      masticway.Incarnation
	Message any
}

// Start begins a run at the upstream.
type Start struct {
	Run  masticway.RunKey
	Call masticway.Call
}

// Stop cancels a run at the upstream; Finished still follows.
type Stop struct{ Run masticway.RunKey }

// Verify reads an incarnation's links row; the answer comes back by Verified.
type Verify struct{ Incarnation masticway.Incarnation }

func (Send) effect()   {}
func (Start) effect()  {}
func (Stop) effect()   {}
func (Verify) effect() {}

// Standing is what the table says of an incarnation.
type Standing string

// The standings of an incarnation at this sidecar.
const (
	StandingOpen     Standing = "open"
	StandingSealed   Standing = "sealed"
	StandingUnlinked Standing = "unlinked"
	StandingUnknown  Standing = "unknown"
)

type run struct {
	dispatch     Dispatch
	prompt       int
	tokens       int
	bytes        int
	bound        masticway.Amount
	chunks       []masticway.Chunk
	final        *Final
	endedAt      time.Time
	orphanedAt   time.Time
	readers      map[masticway.Incarnation]bool
	boundReached bool
	cancelled    bool
}

type pending struct {
	dispatch Dispatch
	from     masticway.Incarnation
}

// Sealer is the state of one sidecar; it is not safe for concurrent use.
type Sealer struct {
	settings Settings
	runs     map[masticway.RunKey]*run
	byID     map[masticway.Identity]masticway.RunKey
	// refused holds runs that must never start, because someone was told so.
	refused  map[masticway.RunKey]time.Time
	statuses map[masticway.Incarnation]Standing
	// verifiedAheadAt is when a linked router was last verified without work at hand.
	verifiedAheadAt map[masticway.Incarnation]time.Time
	waiting         map[masticway.Incarnation][]pending
	totals          map[masticway.GrantKey]masticway.Amount
	running         int
	ended           []masticway.RunKey
	keptBytes       int
	draining        bool
	revision        masticway.Revision
	changes         []masticway.Change
}

// New returns a sealer that has run nothing.
func New(s Settings) *Sealer {
	return &Sealer{
		settings:        s,
		runs:            map[masticway.RunKey]*run{},
		byID:            map[masticway.Identity]masticway.RunKey{},
		refused:         map[masticway.RunKey]time.Time{},
		statuses:        map[masticway.Incarnation]Standing{},
		verifiedAheadAt: map[masticway.Incarnation]time.Time{},
		waiting:         map[masticway.Incarnation][]pending{},
		totals:          map[masticway.GrantKey]masticway.Amount{},
	}
}

// Dispatch takes or refuses a run; nothing starts before payer and sender are verified.
func (s *Sealer) Dispatch(now time.Time, d Dispatch, from masticway.Incarnation) []Effect {
	if r, ok := s.runs[d.Run]; ok {
		if r.dispatch.Hold != d.Hold {
			return []Effect{Send{To: from, Message: Refused{Run: d.Run, Reason: ReasonDuplicate, Existing: &d.Run}}}
		}
		// The same dispatch came twice: the first one counts.
		r.readers[from] = true
		return []Effect{Send{To: from, Message: Accepted{Run: d.Run}}}
	}
	if refusal, ok := s.refuse(d); ok {
		s.refused[d.Run] = now
		return []Effect{Send{To: from, Message: refusal}}
	}
	for _, inc := range []masticway.Incarnation{d.Grant.Payer, d.Sender} {
		switch s.statuses[inc] {
		case StandingOpen:
		case StandingSealed:
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

func (s *Sealer) refuse(d Dispatch) (Refused, bool) {
	if _, ok := s.refused[d.Run]; ok {
		return Refused{Run: d.Run, Reason: ReasonCancelled}, true
	}
	if s.draining {
		return Refused{Run: d.Run, Reason: ReasonLeaving}, true
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

// blocksIdentity tells whether a run forbids another with its identity.
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

// Introduce verifies a linked router before it sends work, so that an outage of the table later does not stop it.
func (s *Sealer) Introduce(now time.Time, inc masticway.Incarnation) []Effect {
	st := s.statuses[inc]
	if st == StandingOpen || st == StandingSealed || now.Sub(s.verifiedAheadAt[inc]) < verifyAheadInterval || len(s.waiting[inc]) > 0 {
		return nil
	}
	s.verifiedAheadAt[inc] = now
	return []Effect{Verify{Incarnation: inc}}
}

// Verified takes the table's word on an incarnation and decides what waited for it.
func (s *Sealer) Verified(now time.Time, inc masticway.Incarnation, st Standing) []Effect {
	waiting := s.waiting[inc]
	delete(s.waiting, inc)
	if s.statuses[inc] == StandingSealed {
		st = StandingSealed
	}
	if st == StandingOpen || st == StandingSealed {
		s.statuses[inc] = st
		delete(s.verifiedAheadAt, inc)
	}
	var effects []Effect
	for _, p := range waiting {
		if st == StandingOpen || st == StandingSealed {
			effects = append(effects, s.Dispatch(now, p.dispatch, p.from)...)
			continue
		}
		reason := ReasonUnverified
		if st == StandingUnlinked {
			reason = ReasonUnlinked
		}
		s.refused[p.dispatch.Run] = now
		effects = append(effects, Send{To: p.from, Message: Refused{Run: p.dispatch.Run, Reason: reason, Fenced: inc}})
	}
	return effects
}

// Counted takes the prompt's true token count and how much of it was cached.
func (s *Sealer) Counted(k masticway.RunKey, prompt, cached int) []Effect {
	r, ok := s.runs[k]
	if !ok || r.final != nil {
		return nil
	}
	r.prompt = prompt
	d := r.dispatch
	maxCost := d.cost(masticway.Usage{Prompt: prompt, Completion: d.Call.MaxOutput - d.Call.Resumed})
	r.bound = min(r.bound, maxCost)
	return s.sendToReaders(r, Counted{Run: k, Prompt: prompt, Bound: r.bound, Cached: cached})
}

// Chunk takes the next piece of an answer; the run is stopped where its bound would be passed.
func (s *Sealer) Chunk(k masticway.RunKey, c masticway.Chunk) []Effect {
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

// Finished ends a run with the upstream's outcome or failure and adds its true cost to the grant.
func (s *Sealer) Finished(now time.Time, k masticway.RunKey, o masticway.Outcome, failure *masticway.UpstreamError) []Effect {
	r, ok := s.runs[k]
	if !ok || r.final != nil {
		return nil
	}
	d := r.dispatch
	usage := masticway.Usage{Prompt: r.prompt, Completion: r.tokens}
	f := &Final{Run: k, Hold: d.Hold, Chunks: len(r.chunks), Fate: masticway.FateRan, Outcome: o}
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
		f.Ended = failure.NotListening
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

func (s *Sealer) sendToReaders(r *run, message any) []Effect {
	effects := make([]Effect, 0, len(r.readers))
	for _, to := range sortedReaders(r.readers) {
		effects = append(effects, Send{To: to, Message: message})
	}
	return effects
}

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

// Leave refuses new work from now on; what runs goes on.
func (s *Sealer) Leave() { s.draining = true }

// Leaving tells whether new work is refused.
func (s *Sealer) Leaving() bool { return s.draining }

// Running returns the number of runs in progress.
func (s *Sealer) Running() int { return s.running }

// Learn takes configuration changes in order; it never goes backwards.
func (s *Sealer) Learn(changes []masticway.Change) {
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

// Know takes a newer revision whose changes nobody had at hand; stale routers are refused without being handed them.
func (s *Sealer) Know(r masticway.Revision) {
	if r <= s.revision {
		return
	}
	s.revision = r
	// What is kept has a gap now, and must not be taken for all there is.
	s.changes = nil
}

// Revision returns the newest revision that this sidecar knows.
func (s *Sealer) Revision() masticway.Revision { return s.revision }

// ChangesAfter returns the kept changes that a router at a revision has not seen.
func (s *Sealer) ChangesAfter(r masticway.Revision) []masticway.Change {
	i := slices.IndexFunc(s.changes, func(c masticway.Change) bool { return c.Revision > r })
	if i < 0 {
		return nil
	}
	return slices.Clone(s.changes[i:])
}
