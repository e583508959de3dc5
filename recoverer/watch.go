package recoverer

import (
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
)

// rankDelay delays recoveries by rank: each router starts a recovery this much later than the router of the next lower rank.
// Usually, therefore, only one router starts it. A router that holds money for the failed one does not wait (see recoveryDelay).
const rankDelay = 3 * time.Second

// DetectorSettings configure the detection of failures.
type DetectorSettings struct {
	Self   masticway.Incarnation
	Region string
	// DetectionTime is the time to detect a failure, without the delay by rank. A router is suspected after it has been
	// silent for the first half, and can answer a challenge during the second half. A router of another region is suspected
	// later; see suspicionTimeout.
	DetectionTime time.Duration
	// HeartbeatInterval is the time between two renewals of a lease row by its router.
	HeartbeatInterval time.Duration
}

// Observation is what this router observes of another router apart from its lease row.
type Observation struct {
	// IsAlive is set if this router has a link to the other router and the link is not silent.
	IsAlive bool
	// InstanceEnded is set if the platform reports that the other router's instance has ended.
	InstanceEnded bool
	// SelfDraining is set if this router itself is draining.
	SelfDraining bool
}

// Responsibility determines how soon this router recovers another one.
type Responsibility struct {
	// HoldsMoney is set if this router has open holds that the other router requested.
	HoldsMoney bool
	// Rank is this router's position, from zero, in the order in which routers start the recovery of the other one.
	Rank int
}

// DetectorEffect is an action that the caller must carry out: a ReadRow, a Challenge or a Recover.
type DetectorEffect interface{ detectorEffect() }

// ReadRow asks the caller to read one lease row. The caller must pass the row to ApplyRow.
type ReadRow struct{ Incarnation masticway.Incarnation }

// Challenge asks the caller to write a challenge to the table, which asks a router to renew its lease. The caller must pass
// to RecordChallenge whether it was written.
type Challenge struct{ Incarnation masticway.Incarnation }

// Recover asks the caller to start a recovery. Check repeats it until Remove is called or the incarnation's row is gone. The
// caller must ignore it while the recovery is in progress.
type Recover struct{ Incarnation masticway.Incarnation }

func (ReadRow) detectorEffect()   {}
func (Challenge) detectorEffect() {}
func (Recover) detectorEffect()   {}

// phase is how far the suspicion and the recovery of a router have got.
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
	row bookkeeper.RouterLease
	// lastSeenAt is when the router was last observed to be alive, or when this router first learned of its current lease.
	lastSeenAt   time.Time
	challengedAt time.Time
	phase        phase
}

// FailureDetector detects failures of other routers. It is not safe for concurrent use.
//
// Lease rows are written rarely, so the first sign of a failure is a link that stays down or silent. There are no links to
// routers of other regions; for them the first sign is an overdue lease. The lease row is then read and its owner challenged
// through the table. A live router that has only lost its links renews its lease. A router that does not renew it is
// recovered. If the platform reports that the instance has ended, no challenge is needed.
type FailureDetector struct {
	settings DetectorSettings
	routers  map[masticway.Incarnation]*routerState
}

// NewFailureDetector returns a detector that knows no routers.
func NewFailureDetector(s DetectorSettings) *FailureDetector {
	return &FailureDetector{settings: s, routers: map[masticway.Incarnation]*routerState{}}
}

// ApplyRows applies a reading of all lease rows. It forgets the known incarnations that have no row any more and returns
// them.
func (w *FailureDetector) ApplyRows(now time.Time, rows []bookkeeper.RouterLease) (gone []masticway.Incarnation) {
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

// AddRouter adds a router to which there is a link, unless it is already known. Its row may not have been read yet.
func (w *FailureDetector) AddRouter(now time.Time, d bookkeeper.RouterLease) {
	if _, ok := w.routers[d.Incarnation]; !ok && d.Incarnation != w.settings.Self {
		w.routers[d.Incarnation] = &routerState{row: d, lastSeenAt: now}
	}
}

// updateRow applies a lease row. It does not change the state of a router whose recovery has begun.
func (w *FailureDetector) updateRow(now time.Time, d bookkeeper.RouterLease) {
	if d.Incarnation == w.settings.Self {
		return
	}
	s, ok := w.routers[d.Incarnation]
	if ok && s.phase == phaseRecovering {
		return
	}
	if !ok || !s.row.ExpiresAt.Equal(d.ExpiresAt) {
		// A renewed lease ends the suspicion.
		w.routers[d.Incarnation] = &routerState{row: d, lastSeenAt: now}
	}
}

// ApplyRow applies the result of ReadRow. It returns true if the row is gone. failed is set if the table did not answer.
func (w *FailureDetector) ApplyRow(now time.Time, inc masticway.Incarnation, d bookkeeper.RouterLease, found, failed bool) (gone bool) {
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
	if s.row.ExpiresAt.IsZero() {
		// This is the first reading of the row, so there is no earlier lease to compare with.
		s.row = d
	}
	lease := s.row.ExpiresAt
	w.updateRow(now, d)
	if !lease.Equal(d.ExpiresAt) {
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

// RecordChallenge records whether a challenge has been written.
func (w *FailureDetector) RecordChallenge(now time.Time, inc masticway.Incarnation, ok bool) {
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

// Check checks all known routers and returns the next effects. It passes the lease row of the router to be checked to
// observe and to responsibilityFor. It does not call responsibilityFor for a router that is alive and not suspected.
func (w *FailureDetector) Check(now time.Time, observe func(bookkeeper.RouterLease) Observation, responsibilityFor func(bookkeeper.RouterLease) Responsibility) []DetectorEffect {
	var effects []DetectorEffect
	for _, inc := range w.incarnations() {
		s := w.routers[inc]
		o := observe(s.row)
		if o.IsAlive && s.phase == phaseWatching {
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
func (w *FailureDetector) incarnations() []masticway.Incarnation {
	list := make([]masticway.Incarnation, 0, len(w.routers))
	for inc := range w.routers {
		list = append(list, inc)
	}
	slices.SortFunc(list, func(a, b masticway.Incarnation) int { return strings.Compare(string(a), string(b)) })
	return list
}

// checkRouter returns the next effect for one router, or nil.
func (w *FailureDetector) checkRouter(now time.Time, s *routerState, o Observation, responsibilityFor func(bookkeeper.RouterLease) Responsibility) DetectorEffect {
	inc := s.row.Incarnation
	if o.IsAlive {
		s.lastSeenAt = now
		s.challengedAt = time.Time{}
		if s.phase != phaseRecovering {
			s.phase = phaseWatching
		}
	}
	if o.SelfDraining && !responsibilityFor(s.row).HoldsMoney {
		return nil
	}
	switch s.phase {
	case phaseWatching:
		if o.InstanceEnded && now.Sub(s.lastSeenAt) >= recoveryDelay(responsibilityFor(s.row)) {
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
		if now.Sub(s.challengedAt) >= w.settings.DetectionTime/2 {
			s.phase = phaseReadingAgain
			return ReadRow{Incarnation: inc}
		}
	case phaseRecovering:
		// The caller starts each recovery only once, so this effect can be returned again.
		return Recover{Incarnation: inc}
	}
	return nil
}

// suspicionTimeout returns the time after lastSeenAt at which a router is suspected.
func (w *FailureDetector) suspicionTimeout(s *routerState) time.Duration {
	if s.row.Region != w.settings.Region {
		// There are no links between regions, so only an overdue lease is a sign of failure.
		return 2 * w.settings.HeartbeatInterval
	}
	return w.settings.DetectionTime / 2
}

// recoveryDelay returns how long this router waits for routers of lower rank to start the recovery. It is zero for a router
// that holds money for the failed one.
func recoveryDelay(r Responsibility) time.Duration {
	if r.HoldsMoney {
		return 0
	}
	return time.Duration(r.Rank) * rankDelay
}

// Remove removes an incarnation that has been recovered.
func (w *FailureDetector) Remove(inc masticway.Incarnation) { delete(w.routers, inc) }
