package recoverer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/charter"
	"github.com/masticway/masticway/sealer"
)

// Events of the recovery's state chart.
const (
	eventMarked       charter.Event = "marked"
	eventWitnessed    charter.Event = "witnessed"
	eventReturned     charter.Event = "returned"
	eventStillRunning charter.Event = "still_running"
)

// States of the recovery's state chart that the code refers to.
const (
	stateSealing   charter.State = "sealing"
	stateReturning charter.State = "returning"
)

// askInterval is the minimum time between two requests to one sidecar for its report.
const askInterval = 250 * time.Millisecond

// Effect is an action that the caller must carry out: a SealInTable, a SealAtSidecar or a CloseGrants.
type Effect interface{ effect() }

// SealInTable asks the caller to fence the incarnation in the table. The caller must pass the sealed row and the
// incarnation's grants to RecordSealed.
type SealInTable struct{}

// SealAtSidecar asks the caller to seal the incarnation at a sidecar. The caller must pass the sidecar's report to
// RecordReport, or call RecordLost if the sidecar is gone.
type SealAtSidecar struct{ Sidecar masticway.Incarnation }

// CloseGrants asks the caller to close grants in the table. The caller must pass to RecordClosed whether this succeeded.
type CloseGrants struct{ Closures []bookkeeper.GrantClosure }

func (SealInTable) effect()   {}
func (SealAtSidecar) effect() {}
func (CloseGrants) effect()   {}

// sidecarReport is what is known of one sidecar.
type sidecarReport struct {
	report sealer.SealReport
	// received is set if report is current. It is reset if the sidecar must be asked again.
	received bool
	// lost is set if the sidecar is gone without a final report.
	lost    bool
	askedAt time.Time
}

// Recovery is the recovery of one failed incarnation. It is not safe for concurrent use.
type Recovery struct {
	incarnation masticway.Incarnation
	chart       charter.Chart
	state       charter.State
	started     time.Time
	links       bookkeeper.Links
	grants      []masticway.GrantKey
	reports     map[masticway.Incarnation]*sidecarReport
	// sealing is set while the caller carries out SealInTable, and closing while it carries out CloseGrants.
	sealing bool
	closing bool
}

// New returns a recovery that has taken no step yet. Calls of Tick advance it.
func New(now time.Time, inc masticway.Incarnation) *Recovery {
	c := charter.MustLoad(charter.Recovery)
	return &Recovery{incarnation: inc, chart: c, state: c.Initial(), started: now, reports: map[masticway.Incarnation]*sidecarReport{}}
}

// Incarnation returns the failed incarnation.
func (r *Recovery) Incarnation() masticway.Incarnation { return r.incarnation }

// Started returns when the recovery was created.
func (r *Recovery) Started() time.Time { return r.started }

// IsDone reports whether the recovery is complete.
func (r *Recovery) IsDone() bool { return r.chart.IsFinal(r.state) }

// step makes a transition of the state chart. An event that the state does not allow is ignored.
func (r *Recovery) step(e charter.Event) {
	next, err := r.chart.Next(r.state, e)
	if err == nil {
		r.state = next
	}
}

// RecordSealed records the sealed links row and the grants of the failed incarnation. ok is false if the table did not
// answer; Tick then asks again.
func (r *Recovery) RecordSealed(links bookkeeper.Links, grants []masticway.GrantKey, ok bool) {
	r.sealing = false
	if !ok {
		return
	}
	r.links = links
	r.grants = grants
	for _, s := range links.Sidecars {
		r.reports[s] = &sidecarReport{}
	}
	r.step(eventMarked)
}

// RecordReport records a sidecar's report, which replaces an earlier one. It ignores the report of a lost sidecar and that
// of a sidecar that is not in the sealed links row.
func (r *Recovery) RecordReport(report sealer.SealReport) {
	w, ok := r.reports[report.Sidecar]
	if !ok || w.lost {
		return
	}
	w.report = report
	w.received = true
}

// RecordLost records that a sidecar is known to be gone. found is set if the sidecar wrote a report to the table at its
// shutdown; final is that report.
//
// If the sidecar has already reported to this recovery that nothing runs, RecordLost changes nothing. Otherwise final
// replaces its report. If there is no final report either, the sidecar is lost.
func (r *Recovery) RecordLost(sidecar masticway.Incarnation, final bookkeeper.Report, found bool) {
	w, ok := r.reports[sidecar]
	if !ok {
		return
	}
	if w.received && !hasRunning(w.report) {
		// The sidecar's last report is final, because a sealed incarnation can start no more runs.
		return
	}
	if found {
		w.received = true
		w.report = sealer.SealReport{Incarnation: r.incarnation, Sidecar: sidecar, Totals: totalsOf(final, r.incarnation)}
		return
	}
	w.lost = true
}

// totalsOf returns the totals of an incarnation's grants in the report that a sidecar wrote to the table.
func totalsOf(final bookkeeper.Report, inc masticway.Incarnation) []bookkeeper.Total {
	var totals []bookkeeper.Total
	for _, t := range final.Totals {
		if t.Grant.Payer == inc {
			totals = append(totals, t)
		}
	}
	return totals
}

// hasRunning reports whether a sidecar's report names runs in progress.
func hasRunning(s sealer.SealReport) bool {
	return slices.ContainsFunc(s.Totals, func(t bookkeeper.Total) bool { return t.Running > 0 }) ||
		slices.ContainsFunc(s.Holds, func(h sealer.HoldReport) bool { return h.Running })
}

// RecordClosed records whether CloseGrants has succeeded. If it has and runs are still in progress, the recovery asks their
// sidecars again.
func (r *Recovery) RecordClosed(ok bool) {
	r.closing = false
	if !ok {
		return
	}
	if r.anyRunning() {
		for _, w := range r.reports {
			if hasRunning(w.report) && !w.lost {
				w.received = false
			}
		}
		r.step(eventStillRunning)
		return
	}
	r.step(eventReturned)
}

// anyRunning reports whether a sidecar that is not lost has reported runs in progress.
func (r *Recovery) anyRunning() bool {
	for _, w := range r.reports {
		if !w.lost && hasRunning(w.report) {
			return true
		}
	}
	return false
}

// Tick advances the recovery and returns the next effects.
func (r *Recovery) Tick(now time.Time) []Effect {
	switch r.state {
	case r.chart.Initial():
		if r.sealing {
			return nil
		}
		r.sealing = true
		return []Effect{SealInTable{}}
	case stateSealing:
		return r.askSidecars(now)
	case stateReturning:
		if r.closing {
			return nil
		}
		r.closing = true
		return []Effect{CloseGrants{Closures: r.closures()}}
	}
	return nil
}

// askSidecars returns requests to the sidecars with missing reports, to each at most one per askInterval. If no report is
// missing, it takes the next step and returns its effects.
func (r *Recovery) askSidecars(now time.Time) []Effect {
	var effects []Effect
	for _, s := range r.sidecars() {
		w := r.reports[s]
		if w.received || w.lost || now.Sub(w.askedAt) < askInterval {
			continue
		}
		w.askedAt = now
		effects = append(effects, SealAtSidecar{Sidecar: s})
	}
	if len(r.Missing()) == 0 {
		r.step(eventWitnessed)
		return r.Tick(now)
	}
	return effects
}

func (r *Recovery) sidecars() []masticway.Incarnation {
	return slices.Sorted(maps.Keys(r.reports))
}

// Missing returns the sidecars that are not lost and whose current reports the recovery waits for.
func (r *Recovery) Missing() []masticway.Incarnation {
	var missing []masticway.Incarnation
	for _, s := range r.sidecars() {
		if w := r.reports[s]; !w.received && !w.lost {
			missing = append(missing, s)
		}
	}
	return missing
}

// closures returns what is known about each grant from the sidecars' reports and the links row.
func (r *Recovery) closures() []bookkeeper.GrantClosure {
	closures := make([]bookkeeper.GrantClosure, 0, len(r.grants))
	for _, g := range r.grants {
		c := bookkeeper.GrantClosure{Grant: g, Spent: r.links.SpentByRemoved[g.Number]}
		for _, w := range r.reports {
			c.SidecarLost = c.SidecarLost || w.lost
			for _, t := range w.report.Totals {
				if t.Grant != g {
					continue
				}
				c.Spent += t.Spent
				if !w.lost {
					c.Running += t.Running
				}
			}
		}
		closures = append(closures, c)
	}
	slices.SortFunc(closures, func(a, b bookkeeper.GrantClosure) int { return strings.Compare(a.Grant.Budget, b.Grant.Budget) })
	return closures
}

// HoldReports returns the sidecars' reports on the holds of runs that the failed incarnation dispatched. It also returns a
// lost sidecar if there is one. The caller must wait until no report is missing.
//
// If a sidecar is lost, the outcome of a hold without a report is unknown. If none is lost, the hold did not run, or its run
// is no longer in the memory of a sidecar. The latter holds for all runs at a sidecar that shut down gracefully, because the
// report that it wrote to the table names no holds.
func (r *Recovery) HoldReports() (reports []SidecarHold, lost masticway.Incarnation) {
	for _, s := range r.sidecars() {
		w := r.reports[s]
		if w.lost {
			lost = s
		}
		for _, h := range w.report.Holds {
			reports = append(reports, SidecarHold{Sidecar: s, Report: h})
		}
	}
	return reports, lost
}

// SidecarHold is one sidecar's report on a hold.
type SidecarHold struct {
	Sidecar masticway.Incarnation
	Report  sealer.HoldReport
}
