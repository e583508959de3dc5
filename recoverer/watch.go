package recoverer

import (
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
)

// rankDelay is the delay for each rank, so that routers do not all start the same recovery.
const rankDelay = 3 * time.Second

// WatchSettings configure the detection of failures.
type WatchSettings struct {
	Self   masticway.Incarnation
	Region string
	// Lease is the time within which a failure is detected: half of it passes before a suspicion, and half is given to
	// the suspected router to answer a challenge.
	Lease time.Duration
	// Heartbeat is the time between two writes of a lease row.
	Heartbeat time.Duration
}

// Signs is what this router observes of another router apart from its lease row.
type Signs struct {
	// Heard is set if a message from the other router has arrived recently on a link.
	Heard bool
	// Ended is set if the platform reports that the other router's instance has ended.
	Ended bool
	// Leaving is set if this router itself is draining.
	Leaving bool
}

// Stake determines how soon this router recovers another one. It is not computed for a router that sends messages and
// is not suspected.
type Stake struct {
	// Concerned is set if this router has open holds that the other router requested.
	Concerned bool
	// Rank is this router's position in the order in which routers would recover the other one.
	Rank int
}

// WatchEffect is an action that the caller must carry out. It is one of the types below.
type WatchEffect interface{ detectorEffect() }

// ReadRow reads one lease row. The caller passes the row back.
type ReadRow struct{ Incarnation masticway.Incarnation }

// Challenge asks a router through the table to renew its lease. The caller reports back whether the challenge was written.
type Challenge struct{ Incarnation masticway.Incarnation }

// Recover starts a recovery. It is repeated until the incarnation's rows are gone.
type Recover struct{ Incarnation masticway.Incarnation }

func (ReadRow) detectorEffect()   {}
func (Challenge) detectorEffect() {}
func (Recover) detectorEffect()   {}

// phase is the progress of a suspicion.
type phase int

const (
	phaseWatching phase = iota
	// In phaseReading the lease row is being read.
	phaseReading
	// In phaseRead the row has been read since the suspicion began, so the known lease is current.
	phaseRead
	phaseChallenging
	phaseChallenged
	phaseReadingAgain
	phaseRecovering
)

// routerState is what is known of one other router.
type routerState struct {
	row          bookkeeper.Daemon
	lastSeenAt   time.Time
	challengedAt time.Time
	phase        phase
}

// Watch detects failures of other routers. It is not safe for concurrent use.
//
// Lease rows are written rarely, so the first sign of a failure is a link that
// stays down or silent. The row is then read and its owner challenged through
// the table. A live router that has only lost its links renews its lease; a
// router that does not is recovered. If the platform reports that the instance
// has ended, no challenge is needed.
type Watch struct {
	settings WatchSettings
	routers  map[masticway.Incarnation]*routerState
}

// NewWatch returns a detector that knows no routers.
func NewWatch(s WatchSettings) *Watch {
	return &Watch{settings: s, routers: map[masticway.Incarnation]*routerState{}}
}

// Rows applies a reading of all lease rows and returns the known incarnations whose rows are gone.
func (w *Watch) Rows(now time.Time, rows []bookkeeper.Daemon) (gone []masticway.Incarnation) {
	present := map[masticway.Incarnation]bool{}
	for _, d := range rows {
		present[d.Incarnation] = true
		w.updateRow(now, d)
	}
	for inc := range w.routers {
		if !present[inc] {
			delete(w.routers, inc)
			gone = append(gone, inc)
		}
	}
	return gone
}

// Note adds a router to which there is a link, before its row has been read.
func (w *Watch) Note(now time.Time, d bookkeeper.Daemon) {
	if _, ok := w.routers[d.Incarnation]; !ok && d.Incarnation != w.settings.Self {
		w.routers[d.Incarnation] = &routerState{row: d, lastSeenAt: now}
	}
}

// updateRow applies a lease row; a recovery that has begun goes on.
func (w *Watch) updateRow(now time.Time, d bookkeeper.Daemon) {
	if d.Incarnation == w.settings.Self {
		return
	}
	s, ok := w.routers[d.Incarnation]
	if ok && s.phase == phaseRecovering {
		return
	}
	if !ok || !s.row.Lease.Equal(d.Lease) {
		// A renewed lease ends the suspicion.
		w.routers[d.Incarnation] = &routerState{row: d, lastSeenAt: now}
	}
}

// Row applies the result of ReadRow and reports whether the row is gone. failed is set if the table did not answer.
func (w *Watch) Row(now time.Time, inc masticway.Incarnation, d bookkeeper.Daemon, found, failed bool) (gone bool) {
	s, ok := w.routers[inc]
	if !ok {
		return false
	}
	if failed {
		// The router could not be challenged, so it must not be considered failed.
		s.phase = phaseWatching
		s.challengedAt = time.Time{}
		return false
	}
	if !found {
		delete(w.routers, inc)
		return true
	}
	if s.row.Lease.IsZero() {
		// This is the first reading of the row, so there is no earlier lease to compare with.
		s.row = d
	}
	lease := s.row.Lease
	w.updateRow(now, d)
	if !lease.Equal(d.Lease) {
		return false
	}
	switch s.phase {
	case phaseReading:
		s.phase = phaseRead
	case phaseReadingAgain:
		s.phase = phaseRecovering
	}
	return false
}

// Challenged records whether a challenge has been written.
func (w *Watch) Challenged(now time.Time, inc masticway.Incarnation, ok bool) {
	s, known := w.routers[inc]
	if !known || s.phase != phaseChallenging {
		return
	}
	if !ok {
		s.phase = phaseWatching
		return
	}
	s.phase = phaseChallenged
	s.challengedAt = now
}

// Look checks all known routers and returns the next effects.
func (w *Watch) Look(now time.Time, observe func(bookkeeper.Daemon) Signs, responsibilityFor func(bookkeeper.Daemon) Stake) []WatchEffect {
	var effects []WatchEffect
	for _, inc := range w.incarnations() {
		s := w.routers[inc]
		o := observe(s.row)
		if o.Heard && s.phase == phaseWatching {
			s.lastSeenAt = now
			continue
		}
		if e := w.checkRouter(now, s, o, responsibilityFor); e != nil {
			effects = append(effects, e)
		}
	}
	return effects
}

// incarnations returns the known routers in a fixed order, so that the same events give the same effects.
func (w *Watch) incarnations() []masticway.Incarnation {
	list := make([]masticway.Incarnation, 0, len(w.routers))
	for inc := range w.routers {
		list = append(list, inc)
	}
	slices.SortFunc(list, func(a, b masticway.Incarnation) int { return strings.Compare(string(a), string(b)) })
	return list
}

// checkRouter returns the next effect for one router, or nil.
func (w *Watch) checkRouter(now time.Time, s *routerState, o Signs, responsibilityFor func(bookkeeper.Daemon) Stake) WatchEffect {
	inc := s.row.Incarnation
	if o.Heard {
		s.lastSeenAt = now
		s.challengedAt = time.Time{}
		if s.phase != phaseRecovering {
			s.phase = phaseWatching
		}
	}
	if o.Leaving && !responsibilityFor(s.row).Concerned {
		return nil
	}
	switch s.phase {
	case phaseWatching:
		if o.Ended && now.Sub(s.lastSeenAt) >= recoveryDelay(responsibilityFor(s.row)) {
			s.phase = phaseRecovering
			return Recover{Incarnation: inc}
		}
		if timeout := w.suspicionTimeout(s); now.Sub(s.lastSeenAt) >= timeout && now.Sub(s.lastSeenAt) >= timeout+recoveryDelay(responsibilityFor(s.row)) {
			s.phase = phaseReading
			return ReadRow{Incarnation: inc}
		}
	case phaseRead:
		s.phase = phaseChallenging
		return Challenge{Incarnation: inc}
	case phaseChallenged:
		if now.Sub(s.challengedAt) >= w.settings.Lease/2 {
			s.phase = phaseReadingAgain
			return ReadRow{Incarnation: inc}
		}
	case phaseRecovering:
		// The caller starts each recovery only once, so this can be repeated.
		return Recover{Incarnation: inc}
	}
	return nil
}

// suspicionTimeout returns the time without a sign of life after which a router is suspected.
func (w *Watch) suspicionTimeout(s *routerState) time.Duration {
	if s.row.Region != w.settings.Region {
		// There are no links between regions, so only an overdue lease is a sign of failure.
		return 2 * w.settings.Heartbeat
	}
	return w.settings.Lease / 2
}

// recoveryDelay returns the delay by which this router starts later than routers with a higher priority for the same recovery.
func recoveryDelay(r Stake) time.Duration {
	if r.Concerned {
		return 0
	}
	return time.Duration(r.Rank) * rankDelay
}

// Forget removes an incarnation that has been recovered.
func (w *Watch) Forget(inc masticway.Incarnation) { delete(w.routers, inc) }
