package sealer

import (
	"slices"
	"strings"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
)

// Seal fences an incarnation and refuses the dispatches that wait for its verification. It returns a report of what was run
// for it.
func (s *Sealer) Seal(now time.Time, inc masticway.Incarnation) (SealReport, []Effect) {
	s.statuses[inc] = StatusSealed
	waiting := s.waiting[inc]
	delete(s.waiting, inc)
	var effects []Effect
	for _, p := range waiting {
		s.refused[p.dispatch.Run] = now
		effects = append(effects, Send{To: p.from, Message: Refused{Run: p.dispatch.Run, Reason: ReasonSealed, Fenced: inc}})
	}
	report := SealReport{Incarnation: inc, Sidecar: s.settings.Self, Totals: s.Totals(inc)}
	for _, r := range s.runs {
		if r.dispatch.Sender == inc {
			report.Holds = append(report.Holds, holdReport(r))
		}
	}
	slices.SortFunc(report.Holds, func(a, b HoldReport) int { return strings.Compare(string(a.Hold), string(b.Hold)) })
	return report, effects
}

func holdReport(r *run) HoldReport {
	if r.final == nil {
		return HoldReport{Hold: r.dispatch.Hold, Running: true}
	}
	return HoldReport{Hold: r.dispatch.Hold, Cost: r.final.Cost}
}

// Totals returns the cost of finished runs and the maximum cost of runs in progress, for each grant of a payer. If payer is
// empty, it covers the grants of all payers.
func (s *Sealer) Totals(payer masticway.Incarnation) []bookkeeper.Total {
	byGrant := map[masticway.GrantKey]bookkeeper.Total{}
	for k, spent := range s.totals {
		if payer == "" || k.Payer == payer {
			byGrant[k] = bookkeeper.Total{Grant: k, Spent: spent}
		}
	}
	for _, r := range s.runs {
		k := r.dispatch.Grant
		if r.final != nil || (payer != "" && k.Payer != payer) {
			continue
		}
		t := byGrant[k]
		t.Grant = k
		t.Running += r.bound
		byGrant[k] = t
	}
	totals := make([]bookkeeper.Total, 0, len(byGrant))
	for _, t := range byGrant {
		totals = append(totals, t)
	}
	slices.SortFunc(totals, compareTotals)
	return totals
}

func compareTotals(a, b bookkeeper.Total) int {
	if c := strings.Compare(string(a.Grant.Payer), string(b.Grant.Payer)); c != 0 {
		return c
	}
	return int(a.Grant.Number - b.Grant.Number)
}

// DropClosedGrants drops the totals of the grants that a payer has closed. open is the payer's list of its open grants, and
// maxNumber is the highest grant number that it had assigned when it made the list. Grants with higher numbers were opened
// later, so their totals are kept.
func (s *Sealer) DropClosedGrants(payer masticway.Incarnation, open []int64, maxNumber int64) {
	for k := range s.totals {
		if k.Payer == payer && k.Number <= maxNumber && !slices.Contains(open, k.Number) {
			delete(s.totals, k)
		}
	}
}
