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

// Events of the recovery's statechart.
const (
	eventMarked       charter.Event = "marked"
	eventWitnessed    charter.Event = "witnessed"
	eventReturned     charter.Event = "returned"
	eventStillRunning charter.Event = "still_running"
)

// States of the recovery's statechart that the code refers to.
const (
	stateSealing   charter.State = "sealing"
	stateReturning charter.State = "returning"
)

// askInterval is the minimum time between two requests to the same sidecar.
const askInterval = 250 * time.Millisecond

// Effect is an action that the caller must carry out. It is one of the types below.
type Effect interface{ effect() }

// SealInTable fences the incarnation in the table. The caller passes the sealed row and the incarnation's grants back.
type SealInTable struct{}

// SealAtSidecar seals the incarnation at a sidecar. The caller passes the sidecar's report back, or that the sidecar is gone.
type SealAtSidecar struct{ Sidecar masticway.Incarnation }

// CloseGrants closes grants in the table. The caller reports back whether this succeeded.
type CloseGrants struct{ Closures []bookkeeper.GrantClosure }

func (SealInTable) effect()   {}
func (SealAtSidecar) effect() {}
func (CloseGrants) effect()   {}

// sidecarReport is what is known of one sidecar. It is lost if the sidecar is gone without a final report.
type sidecarReport struct {
	report   sealer.SealReport
	received bool
	lost     bool
	askedAt  time.Time
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
	sealing     bool
	closing     bool
}

// New starts a recovery.
func New(now time.Time, inc masticway.Incarnation) *Recovery {
	c := charter.MustLoad(charter.Recovery)
	return &Recovery{incarnation: inc, chart: c, state: c.Initial(), started: now, reports: map[masticway.Incarnation]*sidecarReport{}}
}

// Incarnation returns the failed incarnation.
func (r *Recovery) Incarnation() masticway.Incarnation { return r.incarnation }

// Started returns when the recovery began.
func (r *Recovery) Started() time.Time { return r.started }

// IsDone reports whether the recovery is complete.
func (r *Recovery) IsDone() bool { return r.chart.IsFinal(r.state) }

// step makes a transition of the statechart; an event that the state does not allow is ignored.
func (r *Recovery) step(e charter.Event) {
	next, err := r.chart.Next(r.state, e)
	if err == nil {
		r.state = next
	}
}

// RecordSealed records the sealed links row and the failed incarnation's grants. ok is false if the table did not answer.
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

// RecordReport records a sidecar's report, which replaces an earlier one.
func (r *Recovery) RecordReport(report sealer.SealReport) {
	w, ok := r.reports[report.Sidecar]
	if !ok || w.lost {
		return
	}
	w.report = report
	w.received = true
}

// RecordLost records that a sidecar is known to be gone. If it left a report in the table (found), that counts; otherwise
// the sidecar is lost, unless it has already reported that nothing runs any more.
func (r *Recovery) RecordLost(sidecar masticway.Incarnation, final bookkeeper.Report, found bool) {
	w, ok := r.reports[sidecar]
	if !ok {
		return
	}
	if w.received && !running(w.report) {
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

// totalsOf returns the totals of an incarnation's grants in a report that a sidecar left.
func totalsOf(final bookkeeper.Report, inc masticway.Incarnation) []bookkeeper.Total {
	var totals []bookkeeper.Total
	for _, t := range final.Totals {
		if t.Grant.Payer == inc {
			totals = append(totals, t)
		}
	}
	return totals
}

// running reports whether a report names runs in progress.
func running(s sealer.SealReport) bool {
	return slices.ContainsFunc(s.Totals, func(t bookkeeper.Total) bool { return t.Running > 0 }) ||
		slices.ContainsFunc(s.Holds, func(h sealer.HoldReport) bool { return h.Running })
}

// RecordClosed records whether the grants have been closed. If runs are in progress, their sidecars are asked again.
func (r *Recovery) RecordClosed(ok bool) {
	r.closing = false
	if !ok {
		return
	}
	if r.anyRunning() {
		for _, w := range r.reports {
			if running(w.report) && !w.lost {
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
		if !w.lost && running(w.report) {
			return true
		}
	}
	return false
}

// Tick returns the next effects.
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

// askSidecars returns requests to the sidecars that have not reported, or the next step if all have.
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

// Missing returns the sidecars whose reports the recovery waits for.
func (r *Recovery) Missing() []masticway.Incarnation {
	var missing []masticway.Incarnation
	for _, s := range r.sidecars() {
		if w := r.reports[s]; !w.received && !w.lost {
			missing = append(missing, s)
		}
	}
	return missing
}

// closures adds up the reports for each grant.
func (r *Recovery) closures() []bookkeeper.GrantClosure {
	closings := make([]bookkeeper.GrantClosure, 0, len(r.grants))
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
		closings = append(closings, c)
	}
	slices.SortFunc(closings, func(a, b bookkeeper.GrantClosure) int { return strings.Compare(a.Grant.Budget, b.Grant.Budget) })
	return closings
}

// HoldReports returns the reports on holds that the failed incarnation dispatched, and a lost sidecar if there is one. It must
// be called when all sidecars have reported or are lost.
//
// A hold without a report did not run, unless a sidecar is lost: then its outcome is unknown. A sidecar that left its report
// in the table names no holds.
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
