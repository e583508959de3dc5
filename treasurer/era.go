package treasurer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// These constants are policy: what happens to budgets when the store returns from a copy of an earlier state, so that grants,
// checkpoints and closings of the last seconds are lost. Routers write their own grants again, and no grant grows until all
// routers have had the time for that.
const (
	// eraSettleTime plus eraSettleTimePerRouter times the number of routers is the time from the start of an era until grants may
	// grow. By then a running router has noticed the era, which takes the length of a watch, and written its grants again. Before
	// that, it reads up to 64 parts of the accounts, and the store answers 2,000 reads a second from all routers.
	eraSettleTime          = 2 * time.Second
	eraSettleTimePerRouter = 35 * time.Millisecond
	// restoreOthersShare is the fraction of the time until grants may grow after which a router also writes the grants of other
	// routers again that it knows and the store has lost: these routers may be frozen, partitioned off or dead.
	restoreOthersShare = 0.5
	// maxCopyAge is the greatest assumed age of the copy from which the store returns.
	maxCopyAge = 10 * time.Second
	// presumeAll is an amount that exceeds each grant.
	presumeAll = maxAmount
)

// EraStart describes to a planner the era of the store that it enters.
type EraStart struct {
	Era int64
	// StoreTime is a reading of the store's clock in this era.
	StoreTime time.Duration
	// SettledAt is when grants may grow, by this router's clock.
	SettledAt time.Time
}

// noteVersion records that the store has answered with a version, and reports whether that is of the era in which the planner's
// rows are.
func (p *Planner) noteVersion(version int64) (isCurrent bool) {
	era := masticway.StoreEra(version)
	if era > p.era && p.started {
		p.mustEnterEra = true
	}
	return era == p.era
}

// MustEnterEra reports whether the store is in another era than that in which the planner's rows are, so that EnterEra must be
// called. Until then, Plan returns no calls.
func (p *Planner) MustEnterEra() bool { return p.mustEnterEra }

// Era returns the era of the store in which the planner's rows are.
func (p *Planner) Era() int64 { return p.era }

// EnterEra makes the planner forget the rows of earlier eras, except that it keeps its own grants and writes them again. If the
// planner has the era of the start already, only the time until grants may grow is new.
func (p *Planner) EnterEra(now time.Time, s EraStart) {
	p.settledAt = s.SettledAt
	if s.Era >= p.era {
		p.mustEnterEra = false
	}
	if s.Era <= p.era {
		return
	}
	p.era = s.Era
	untilSettled := max(0, s.SettledAt.Sub(now))
	p.restoreOthersAt, p.restoreUntil = now.Add(time.Duration(restoreOthersShare*float64(untilSettled))), s.SettledAt
	if untilSettled == 0 {
		p.restoreUntil = now.Add(eraSettleTime)
	}
	spread := float64(max(0, untilSettled-eraSettleTime)) * restoreOthersShare
	p.restoreAt = now.Add(time.Duration(spread * eraFraction(s.Era, p.settings.Incarnation)))
	p.enteredLate = !now.Before(s.SettledAt)
	p.noteStoreSuccess()
	p.checkpointVersion, p.checkpointInFlight, p.checkpointRetryAt, p.checkpointLost = 0, false, time.Time{}, true
	p.checkpoint.Era = s.Era
	p.lostRows = p.predecessorRows()
	// The store reads its clock before now, so the new basis is not too late.
	p.checkpoint.Basis = s.StoreTime - now.Sub(p.checkpointBasis)
	// Times of the earlier era are by another clock.
	p.checkpointBasisSentAt, p.checkpoint.Predecessors = time.Time{}, nil
	if p.checkpoint.AckedAt > 0 {
		p.checkpoint.AckedAt = math.MaxInt64
	}
	clear(p.readsInFlight)
	clear(p.strays)
	for _, a := range p.sortedAccounts {
		a.enterEra(now)
	}
}

// eraFraction returns a number from 0 to 1 that differs between routers and eras.
func eraFraction(era int64, i masticway.Incarnation) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(era, i))) / math.MaxUint64
}

// isSettled reports whether grants may grow: the grants that were lost with an earlier era of the store are written again.
func (p *Planner) isSettled(now time.Time) bool { return !p.mustEnterEra && !now.Before(p.settledAt) }

// enterEra forgets the workspace's row, which is of an earlier era. The grant stays usable without what may have been returned.
func (a *account) enterEra(now time.Time) {
	a.granted = a.usableGrant()
	for _, row := range []Account{a.row, a.ignored} {
		a.lost.Grants = newestGrants(a.lost.Grants, row.Grants)
		a.lost.Ended = withEnded(a.lost.Ended, row.Ended)
	}
	a.ignored = Account{}
	for _, c := range a.closings {
		if now.Sub(c.at) < 2*maxCopyAge {
			a.lost.Ended = withEnded(a.lost.Ended, map[masticway.Incarnation]ClosedGrant{c.incarnation: c.ClosedGrant})
		}
	}
	a.restoring = true
	a.rowVersion, a.rowKnown = 0, false
	a.changeInFlight, a.returning = false, 0
	a.unconfirmed, a.unconfirmedReturn = false, 0
}

// newestGrants returns the grants in both maps, and of those of one incarnation the one with the greater sequence number.
func newestGrants(x, y map[masticway.Incarnation]Grant) map[masticway.Incarnation]Grant {
	newest := maps.Clone(x)
	for i, g := range y {
		if known, ok := newest[i]; !ok || known.Sequence < g.Sequence {
			if newest == nil {
				newest = map[masticway.Incarnation]Grant{}
			}
			newest[i] = g
		}
	}
	return newest
}

// withEnded returns the closed grants in both maps; those in x count where both have one.
func withEnded(x, y map[masticway.Incarnation]ClosedGrant) map[masticway.Incarnation]ClosedGrant {
	all := maps.Clone(y)
	if all == nil {
		all = map[masticway.Incarnation]ClosedGrant{}
	}
	maps.Copy(all, x)
	return all
}

// applyOwnGrant takes over this incarnation's grant from a new row, unless the row lacks the newest changes of the grant because
// they were lost with an earlier era of the store.
func (p *Planner) applyOwnGrant(a *account) {
	own := a.row.Grants[p.settings.Incarnation]
	if a.restoring && (own.Granted != a.granted || own.Sequence < a.sequence) {
		if p.enteredLate {
			// Other routers may have drawn the tokens meanwhile, so only what is taken is certain to be this router's.
			a.granted = max(a.taken, min(a.granted, own.Granted+max(0, a.ungranted())))
		}
		return
	}
	a.restoring = false
	a.granted, a.sequence = own.Granted, max(a.sequence, own.Sequence)
}

// mustRestore reports whether the workspace's known row lacks grants that were lost with an earlier era: this router's own, or from
// restoreOthersAt on those of others.
func (p *Planner) mustRestore(now time.Time, a *account) bool {
	if a.restoring && (a.rowKnown || a.granted > 0 || a.sequence > 0) {
		return !now.Before(p.restoreAt)
	}
	if now.Before(p.restoreOthersAt) {
		return false
	}
	for i, g := range a.lost.Grants {
		if _, ended := a.row.Ended[i]; !ended && a.row.Grants[i].Sequence < g.Sequence && i != p.settings.Incarnation {
			return true
		}
	}
	for i := range a.lost.Ended {
		if _, ended := a.row.Ended[i]; !ended {
			return true
		}
	}
	return false
}

// withLost returns a row with what others have written to it and the store has lost with an earlier era, as far as that is due to
// be written again.
func (p *Planner) withLost(now time.Time, a *account, row Account) Account {
	if now.Before(p.restoreOthersAt) || !now.Before(p.restoreUntil) {
		return row
	}
	own, ok := row.Grants[p.settings.Incarnation]
	row.Grants = newestGrants(row.Grants, a.lost.Grants)
	delete(row.Grants, p.settings.Incarnation)
	if ok {
		row.Grants[p.settings.Incarnation] = own
	}
	for i, closed := range a.lost.Ended {
		row = row.withEnded(i, closed)
	}
	for i := range row.Ended {
		delete(row.Grants, i)
	}
	return row
}

// Stray is a grant of an earlier incarnation of this instance that the checkpoint does not list: the grant, or the checkpoint that
// named it, was lost with an earlier era of the store. All of it counts as spent.
type Stray struct {
	Incarnation masticway.Incarnation
	Workspace   string
}

// noteStrays records the strays in a row.
func (p *Planner) noteStrays(a *account) {
	for i := range a.row.Grants {
		isEarlier := i != p.settings.Incarnation && i.Instance() == p.settings.Incarnation.Instance()
		_, closed := a.lost.Ended[i]
		if isEarlier && !closed && !p.isListed(i) {
			p.strays[Stray{Incarnation: i, Workspace: a.workspace}] = true
		}
	}
}

// isListed reports whether the checkpoint lists an incarnation as ended, so that its grants are closed anyway.
func (p *Planner) isListed(i masticway.Incarnation) bool {
	return slices.ContainsFunc(p.checkpoint.Ended, func(e EndedIncarnation) bool { return e.Incarnation == i })
}

// DueStrays returns the strays to close now. It returns none until grants may grow, because others may still write them again.
func (p *Planner) DueStrays(now time.Time) []Stray {
	if !p.started || !p.isSettled(now) || len(p.strays) == 0 {
		return nil
	}
	due := slices.Collect(maps.Keys(p.strays))
	clear(p.strays)
	return due
}

// ownClosing is a grant of an earlier incarnation that this one has closed, and when.
type ownClosing struct {
	ClosedGrant
	incarnation masticway.Incarnation
	at          time.Time
}

// NoteClosed records that this router has closed a grant of an earlier incarnation.
func (p *Planner) NoteClosed(now time.Time, i masticway.Incarnation, workspace string, closed ClosedGrant) {
	if a, ok := p.accounts[workspace]; ok {
		a.closings = append(a.closings, ownClosing{ClosedGrant: closed, incarnation: i, at: now})
	}
}
