package diverter

import (
	"cmp"
	"time"
)

const (
	// minSpan is the duration of a zone's first diversion, and maxSpan the maximum. The duration doubles if the zone meets the
	// conditions again within the time that the last diversion lasted: the same callers have come back to it.
	minSpan = 60 * time.Second
	maxSpan = 240 * time.Second
)

// Decision is a decision to divert a zone, as messages between routers contain it.
type Decision struct {
	// Number is the number of the decision, from 1 up for each zone; zero means that there was none. Coordinator is the instance
	// that made it. The coordinator and the backup may both make a decision with the same number; then the one with the greater
	// Coordinator is the newer one.
	Number      int64  `cbor:"1,keyasint,omitempty"`
	Coordinator string `cbor:"2,keyasint,omitempty"`
	// Span is the planned duration.
	Span time.Duration `cbor:"3,keyasint,omitempty"`
	// Left is how much longer the diversion lasts. If it is negative, it is the time since the end.
	Left time.Duration `cbor:"4,keyasint,omitempty"`
	// EndedEarly is set if the diversion ended before Span had passed, because other zones became overloaded.
	EndedEarly bool `cbor:"5,keyasint,omitempty"`
}

// diversion is what a router knows of the newest decision about its zone. The zone is diverted until the time until.
type diversion struct {
	number      int64
	coordinator string
	span        time.Duration
	until       time.Time
	endedEarly  bool
}

// compare compares the ages of the diversion and a decision. It returns a positive number if the decision is newer.
func (s diversion) compare(d Decision) int {
	return cmp.Or(cmp.Compare(d.Number, s.number), cmp.Compare(d.Coordinator, s.coordinator))
}

// export returns the diversion as a message contains it.
func (s diversion) export(now time.Time) Decision {
	if s.number == 0 {
		return Decision{}
	}
	return Decision{Number: s.number, Coordinator: s.coordinator, Span: s.span, Left: s.until.Sub(now), EndedEarly: s.endedEarly}
}

// isActive reports whether the zone is diverted.
func (s diversion) isActive(now time.Time) bool { return s.number > 0 && now.Before(s.until) }

// adopt applies a newer decision, and the early end of the current one. at is the time at which d.Left was correct, or an
// estimate. sender is the instance that sent the decision.
//
// The end of the current decision is postponed only if the sender made the decision, because another sender knows the end from
// messages that were under way for an unknown time. It is never brought forward: a router that assumes that d.Left was correct when
// it sent its report never uses a later end than the coordinator, and approaches that end with each reply.
func (s *diversion) adopt(at time.Time, sender string, d Decision) {
	d.Span = min(d.Span, maxSpan)
	until := at.Add(min(d.Left, d.Span))
	switch order := s.compare(d); {
	case order > 0:
		*s = diversion{number: d.Number, coordinator: d.Coordinator, span: d.Span, until: until, endedEarly: d.EndedEarly}
	case order < 0 || s.endedEarly:
	case d.EndedEarly:
		s.endedEarly, s.until = true, minTime(s.until, until)
	case sender == d.Coordinator && until.After(s.until):
		s.until = until
	}
}

// start begins a diversion that a coordinator has decided on.
func (s *diversion) start(began time.Time, coordinator string, span time.Duration) {
	*s = diversion{number: s.number + 1, coordinator: coordinator, span: span, until: began.Add(span)}
}

// endEarly ends the diversion.
func (s *diversion) endEarly(now time.Time) { s.until, s.endedEarly = now, true }

// rested reports whether a new diversion may begin. After an early end, this is not the case for the planned duration, because the
// other zones would soon be overloaded again.
func (s diversion) rested(now time.Time) bool {
	return !s.isActive(now) && (!s.endedEarly || now.Sub(s.until) >= s.span)
}

// nextSpan returns the duration of the next diversion.
func (s diversion) nextSpan(now time.Time) time.Duration {
	recent := s.span
	if s.endedEarly {
		// The time during which no diversion may begin does not count.
		recent *= 2
	}
	if s.number == 0 || now.Sub(s.until) > recent {
		return minSpan
	}
	return max(minSpan, min(maxSpan, 2*s.span))
}

func minTime(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}
