package recoverer

import (
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
)

// rankDelay separates the routers that would take the same recovery.
const rankDelay = 3 * time.Second

// WatchSettings are the tunables of a watch.
type WatchSettings struct {
	Self   masticway.Incarnation
	Region string
	// Lease is the time in which a death is noticed and may be disproved.
	Lease time.Duration
	// Heartbeat is the pause between two writes of a lease row.
	Heartbeat time.Duration
}

// Signs are what this router knows of another one besides its row.
type Signs struct {
	// Heard tells that there is a link on which it spoke lately.
	Heard bool
	// Ended is the platform's word that its instance is gone.
	Ended bool
	// Leaving tells that this router itself is draining.
	Leaving bool
}

// Stake is what this router has to do with another one; it is asked for only once that one is unheard.
type Stake struct {
	// Concerned tells that this router holds money for it.
	Concerned bool
	// Rank is this router's place among those that would recover it.
	Rank int
}

// WatchEffect is something that the shell must do; it is one of the types below.
type WatchEffect interface{ watchEffect() }

// ReadRow reads one lease row; the answer comes back by Row.
type ReadRow struct{ Incarnation masticway.Incarnation }

// Challenge asks a router through the table to renew its lease; the answer comes back by Challenged.
type Challenge struct{ Incarnation masticway.Incarnation }

// Recover begins a recovery.
type Recover struct{ Incarnation masticway.Incarnation }

func (ReadRow) watchEffect()   {}
func (Challenge) watchEffect() {}
func (Recover) watchEffect()   {}

// phase is how far a suspicion has gone.
type phase int

const (
	phaseWatching phase = iota
	// phaseReading has a read of the row under way.
	phaseReading
	// phaseRead has read the row since the suspicion began, so the lease known is the lease that stands.
	phaseRead
	phaseChallenging
	phaseChallenged
	phaseReadingAgain
	phaseRecovering
)

type routerState struct {
	row          bookkeeper.Daemon
	lastSeenAt   time.Time
	challengedAt time.Time
	phase        phase
}

// Watch decides when another router is taken for dead; it is not safe for concurrent use.
//
// Lease rows are seldom written, so the first sign of a death is a link that
// stays lost or silent. Then the row is read and its owner challenged through
// the table: a live router that has merely lost its links renews its lease, and
// only one that does not is recovered. The platform's word that the instance
// ended needs no proof.
type Watch struct {
	settings WatchSettings
	routers  map[masticway.Incarnation]*routerState
}

// NewWatch returns a watch that has seen nobody.
func NewWatch(s WatchSettings) *Watch {
	return &Watch{settings: s, routers: map[masticway.Incarnation]*routerState{}}
}

// Rows takes a reading of all lease rows and returns the incarnations whose rows are gone.
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

// Note records a router that was linked to, before its row has been read.
func (w *Watch) Note(now time.Time, d bookkeeper.Daemon) {
	if _, ok := w.routers[d.Incarnation]; !ok && d.Incarnation != w.settings.Self {
		w.routers[d.Incarnation] = &routerState{row: d, lastSeenAt: now}
	}
}

func (w *Watch) updateRow(now time.Time, d bookkeeper.Daemon) {
	if d.Incarnation == w.settings.Self {
		return
	}
	s, ok := w.routers[d.Incarnation]
	if ok && s.phase == phaseRecovering {
		return
	}
	if !ok || !s.row.Lease.Equal(d.Lease) {
		// A renewed lease ends every suspicion.
		w.routers[d.Incarnation] = &routerState{row: d, lastSeenAt: now}
	}
}

// Row takes the answer to ReadRow; failed tells that the table did not answer.
func (w *Watch) Row(now time.Time, inc masticway.Incarnation, d bookkeeper.Daemon, found, failed bool) (gone bool) {
	s, ok := w.routers[inc]
	if !ok {
		return false
	}
	if failed {
		// Unasked, it must not be taken for dead.
		s.phase = phaseWatching
		s.challengedAt = time.Time{}
		return false
	}
	if !found {
		delete(w.routers, inc)
		return true
	}
	if s.row.Lease.IsZero() {
		// The first look at a row: there is no older lease to compare with.
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

// Challenged takes the answer to Challenge.
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

// Look goes through all routers seen and returns what to do.
func (w *Watch) Look(now time.Time, signalsOf func(bookkeeper.Daemon) Signs, stakeOf func(bookkeeper.Daemon) Stake) []WatchEffect {
	var effects []WatchEffect
	for _, inc := range w.incarnations() {
		s := w.routers[inc]
		g := signalsOf(s.row)
		if g.Heard && s.phase == phaseWatching {
			s.lastSeenAt = now
			continue
		}
		if e := w.checkRouter(now, s, g, stakeOf); e != nil {
			effects = append(effects, e)
		}
	}
	return effects
}

func (w *Watch) incarnations() []masticway.Incarnation {
	list := make([]masticway.Incarnation, 0, len(w.routers))
	for inc := range w.routers {
		list = append(list, inc)
	}
	slices.SortFunc(list, func(a, b masticway.Incarnation) int { return strings.Compare(string(a), string(b)) })
	return list
}

func (w *Watch) checkRouter(now time.Time, s *routerState, g Signs, stakeOf func(bookkeeper.Daemon) Stake) WatchEffect {
	inc := s.row.Incarnation
	if g.Heard {
		s.lastSeenAt = now
		s.challengedAt = time.Time{}
		if s.phase != phaseRecovering {
			s.phase = phaseWatching
		}
	}
	if g.Leaving && !stakeOf(s.row).Concerned {
		return nil
	}
	switch s.phase {
	case phaseWatching:
		if g.Ended && now.Sub(s.lastSeenAt) >= recoveryDelay(stakeOf(s.row)) {
			s.phase = phaseRecovering
			return Recover{Incarnation: inc}
		}
		if timeout := w.suspicionTimeout(s); now.Sub(s.lastSeenAt) >= timeout && now.Sub(s.lastSeenAt) >= timeout+recoveryDelay(stakeOf(s.row)) {
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
		// The shell begins each recovery once, so it may be told again.
		return Recover{Incarnation: inc}
	}
	return nil
}

// suspicionTimeout is how long a router must be unheard before it is suspected.
func (w *Watch) suspicionTimeout(s *routerState) time.Duration {
	if s.row.Region != w.settings.Region {
		// There is no link to lose, so only a lease that is overdue is a sign.
		return 2 * w.settings.Heartbeat
	}
	return w.settings.Lease / 2
}

// recoveryDelay keeps those apart who would take the same recovery.
func recoveryDelay(s Stake) time.Duration {
	if s.Concerned {
		return 0
	}
	return time.Duration(s.Rank) * rankDelay
}

// Forget drops an incarnation that has been recovered.
func (w *Watch) Forget(inc masticway.Incarnation) { delete(w.routers, inc) }
