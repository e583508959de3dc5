package sealer

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// Attach makes a router a reader of a run. The router is sent the chunks of the answer from index from on, later chunks as
// they arrive, and the result. If this sidecar does not have the run, the router is sent a RunStatus with Found unset.
func (s *Sealer) Attach(k masticway.RunKey, from int, to masticway.Incarnation) []Effect {
	r, ok := s.runs[k]
	if !ok {
		return []Effect{Send{To: to, Message: RunStatus{Run: k}}}
	}
	r.readers[to] = true
	r.orphanedAt = time.Time{}
	effects := []Effect{Send{To: to, Message: Accepted{Run: k}}}
	if r.prompt > 0 {
		effects = append(effects, Send{To: to, Message: PromptCount{Run: k, Prompt: r.prompt, Bound: r.bound}})
	}
	for i := max(0, from); i < len(r.chunks); i++ {
		effects = append(effects, Send{To: to, Message: Frame{Run: k, Chunk: r.chunks[i]}})
	}
	if r.final != nil {
		effects = append(effects, Send{To: to, Message: *r.final})
	}
	return effects
}

// Query returns the status of a run. If this sidecar does not have the run, it refuses all dispatches of the run for the
// next AnswerTTL, so that a run reported as not found cannot start later.
func (s *Sealer) Query(now time.Time, k masticway.RunKey) RunStatus {
	r, ok := s.runs[k]
	if !ok {
		s.refused[k] = now
		s.dropWaiting(k)
		return RunStatus{Run: k}
	}
	return r.status(k)
}

func (r *run) status(k masticway.RunKey) RunStatus {
	c := r.dispatch.Call
	return RunStatus{Run: k, Found: true, Result: r.final, Resumed: c.Resumed, ResumedText: c.ResumedText}
}

// dropWaiting drops the dispatches of a run that wait for the verification of their payer or sender. It does not answer
// them.
func (s *Sealer) dropWaiting(k masticway.RunKey) {
	for inc, list := range s.waiting {
		s.waiting[inc] = slices.DeleteFunc(list, func(p pending) bool { return p.dispatch.Run == k })
	}
}

// Find returns the status of the newest run with an identity that this sidecar has. Unlike Query it has no side effects.
func (s *Sealer) Find(identity masticway.Identity) RunStatus {
	k, ok := s.byID[identity]
	if !ok {
		return RunStatus{Run: masticway.RunKey{Identity: identity}}
	}
	return s.runs[k].status(k)
}

// Cancel stops a run at the request of a router, unless another router is a reader of the run. In that case it only removes
// the requesting router from the readers. It does nothing if the run is non-repeatable or has ended.
func (s *Sealer) Cancel(k masticway.RunKey, from masticway.Incarnation) []Effect {
	r, ok := s.runs[k]
	if !ok || r.final != nil || r.dispatch.NonRepeatable {
		return nil
	}
	for reader := range r.readers {
		if reader != from {
			delete(r.readers, from)
			return nil
		}
	}
	r.cancelled = true
	return []Effect{Stop{Run: k}}
}

// Detach removes a router from the readers of all runs. The runs go on, so that other routers can attach to them. Tick stops
// those that have had no reader for OrphanTimeout.
func (s *Sealer) Detach(now time.Time, router masticway.Incarnation) {
	for _, r := range s.runs {
		if !r.readers[router] {
			continue
		}
		delete(r.readers, router)
		if len(r.readers) == 0 && r.final == nil {
			r.orphanedAt = now
		}
	}
}

// Tick stops repeatable runs that have been without readers for OrphanTimeout, and drops expired answers and refusals.
func (s *Sealer) Tick(now time.Time) []Effect {
	var effects []Effect
	for k, r := range s.runs {
		if r.final != nil || r.orphanedAt.IsZero() || r.dispatch.NonRepeatable || r.cancelled {
			continue
		}
		if now.Sub(r.orphanedAt) >= s.settings.OrphanTimeout {
			r.cancelled = true
			effects = append(effects, Stop{Run: k})
		}
	}
	for k, at := range s.refused {
		if now.Sub(at) > s.settings.AnswerTTL {
			delete(s.refused, k)
		}
	}
	s.evict(now)
	return effects
}

// evict drops finished runs, oldest first, until the oldest has not expired and the kept answers take at most
// MaxAnswerBytes.
func (s *Sealer) evict(now time.Time) {
	for len(s.ended) > 0 {
		k := s.ended[0]
		r := s.runs[k]
		if s.keptBytes <= s.settings.MaxAnswerBytes && now.Sub(r.endedAt) < s.settings.AnswerTTL {
			return
		}
		s.ended = s.ended[1:]
		s.keptBytes -= r.bytes
		delete(s.runs, k)
		if s.byID[k.Identity] == k {
			delete(s.byID, k.Identity)
		}
	}
}
