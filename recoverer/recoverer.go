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

// Events of the recovery chart.
const (
	eventMarked       charter.Event = "marked"
	eventWitnessed    charter.Event = "witnessed"
	eventReturned     charter.Event = "returned"
	eventStillRunning charter.Event = "still_running"
)

// States of the recovery chart that the code asks for.
const (
	stateSealing   charter.State = "sealing"
	stateReturning charter.State = "returning"
)

// askInterval is the pause between two questions to the same sidecar.
const askInterval = 250 * time.Millisecond

// Effect is something that the shell must do; it is one of the types below.
type Effect interface{ effect() }

// Mark fences the incarnation in the table; the answer comes back by Marked.
type Mark struct{}

// Ask seals the incarnation at a sidecar; the answer comes back by Witnessed or Vanished.
type Ask struct{ Sidecar masticway.Incarnation }

// Return closes grants in the table; the answer comes back by Returned.
type Return struct{ Closings []bookkeeper.Closing }

func (Mark) effect()   {}
func (Ask) effect()    {}
func (Return) effect() {}

type sidecarReport struct {
	report   sealer.Sealed
	received bool
	lost     bool
	askedAt  time.Time
}

// Recovery follows one dead incarnation; it is not safe for concurrent use.
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

// Incarnation returns the incarnation that is recovered.
func (r *Recovery) Incarnation() masticway.Incarnation { return r.incarnation }

// Started returns when the recovery began.
func (r *Recovery) Started() time.Time { return r.started }

// Done tells whether nothing is left to do.
func (r *Recovery) Done() bool { return r.chart.Final(r.state) }

func (r *Recovery) step(e charter.Event) {
	next, err := r.chart.Next(r.state, e)
	if err == nil {
		r.state = next
	}
}

// Marked takes the fenced links row and the victim's grants; ok is false when the table did not answer.
func (r *Recovery) Marked(links bookkeeper.Links, grants []masticway.GrantKey, ok bool) {
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

// Witnessed takes a sidecar's word; the newest one counts.
func (r *Recovery) Witnessed(report sealer.Sealed) {
	w, ok := r.reports[report.Sidecar]
	if !ok || w.lost {
		return
	}
	w.report = report
	w.received = true
}

// Vanished records that a sidecar is gone for certain; a report that it left still counts.
func (r *Recovery) Vanished(sidecar masticway.Incarnation, final bookkeeper.Report, found bool) {
	w, ok := r.reports[sidecar]
	if !ok {
		return
	}
	if w.received && !running(w.report) {
		// Its last word was final, because a sealed incarnation adds nothing to it.
		return
	}
	if found {
		w.received = true
		w.report = sealer.Sealed{Incarnation: r.incarnation, Sidecar: sidecar, Totals: totalsOf(final, r.incarnation)}
		return
	}
	w.lost = true
}

func totalsOf(final bookkeeper.Report, inc masticway.Incarnation) []bookkeeper.Total {
	var totals []bookkeeper.Total
	for _, t := range final.Totals {
		if t.Grant.Payer == inc {
			totals = append(totals, t)
		}
	}
	return totals
}

func running(s sealer.Sealed) bool {
	return slices.ContainsFunc(s.Totals, func(t bookkeeper.Total) bool { return t.Running > 0 }) ||
		slices.ContainsFunc(s.Holds, func(h sealer.HoldReport) bool { return h.Running })
}

// Returned takes the table's answer to Return.
func (r *Recovery) Returned(ok bool) {
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

func (r *Recovery) anyRunning() bool {
	for _, w := range r.reports {
		if !w.lost && running(w.report) {
			return true
		}
	}
	return false
}

// Tick returns what to do next.
func (r *Recovery) Tick(now time.Time) []Effect {
	switch r.state {
	case r.chart.Initial():
		if r.sealing {
			return nil
		}
		r.sealing = true
		return []Effect{Mark{}}
	case stateSealing:
		return r.askSidecars(now)
	case stateReturning:
		if r.closing {
			return nil
		}
		r.closing = true
		return []Effect{Return{Closings: r.closures()}}
	}
	return nil
}

func (r *Recovery) askSidecars(now time.Time) []Effect {
	var effects []Effect
	for _, s := range r.sidecars() {
		w := r.reports[s]
		if w.received || w.lost || now.Sub(w.askedAt) < askInterval {
			continue
		}
		w.askedAt = now
		effects = append(effects, Ask{Sidecar: s})
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

// Missing names the sidecars that hold the recovery up.
func (r *Recovery) Missing() []masticway.Incarnation {
	var missing []masticway.Incarnation
	for _, s := range r.sidecars() {
		if w := r.reports[s]; !w.received && !w.lost {
			missing = append(missing, s)
		}
	}
	return missing
}

func (r *Recovery) closures() []bookkeeper.Closing {
	closings := make([]bookkeeper.Closing, 0, len(r.grants))
	for _, g := range r.grants {
		c := bookkeeper.Closing{Grant: g, Spent: r.links.Absorbed[g.Number]}
		for _, w := range r.reports {
			c.Vanished = c.Vanished || w.lost
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
	slices.SortFunc(closings, func(a, b bookkeeper.Closing) int { return strings.Compare(a.Grant.Budget, b.Grant.Budget) })
	return closings
}

// HoldFates returns what became of the victim's holds as a sender, once every sidecar has answered.
//
// A hold that no sidecar names was never run, unless a sidecar vanished: then nobody can say, and it is named.
func (r *Recovery) HoldFates() (reports []SidecarHold, lost masticway.Incarnation) {
	for _, s := range r.sidecars() {
		w := r.reports[s]
		if w.lost {
			lost = s
		}
		for _, h := range w.report.Holds {
			reports = append(reports, SidecarHold{Sidecar: s, Fate: h})
		}
	}
	return reports, lost
}

// SidecarHold is a hold's fate at one sidecar.
type SidecarHold struct {
	Sidecar masticway.Incarnation
	Fate    sealer.HoldReport
}
