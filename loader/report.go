package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/masticway/masticway/measurer"
)

// Outcomes counts how requests ended.
type Outcomes struct {
	Requests int `json:"requests"`
	OK       int `json:"ok"`
	Attempts int `json:"tries"`
	// CutShort counts successful answers that are shorter than planned. A small budget can cause this.
	CutShort int `json:"cut_short"`
	// FalseRefusals counts requests that were refused for lack of money although the budget could have paid for them.
	// TrueRefusals counts those that the budget could not have paid for.
	FalseRefusals int `json:"false_refusals"`
	TrueRefusals  int `json:"true_refusals"`
	// Limited counts refusals because of limits or overload. Unknown counts other requests without success whose answer
	// reports an unknown outcome. Failed counts all other requests without success.
	Limited int `json:"limited"`
	Unknown int `json:"unknown"`
	Failed  int `json:"failed"`
	// Codes counts the requests without success by the error code of their last attempt.
	Codes map[string]int `json:"codes,omitempty"`
}

// TrafficReport is the result of one stream of requests.
type TrafficReport struct {
	Outcomes      Outcomes          `json:"outcomes"`
	FirstToken    *measurer.Summary `json:"first_token,omitempty"`
	BetweenTokens *measurer.Summary `json:"between_tokens,omitempty"`
	Whole         *measurer.Summary `json:"whole,omitempty"`
}

// Report is the result of one run of a scenario.
type Report struct {
	Scenario string                   `json:"scenario"`
	Seed     int64                    `json:"seed"`
	Promises Promises                 `json:"promises"`
	Money    Money                    `json:"money"`
	Traffic  map[string]TrafficReport `json:"traffic"`
	// FalseRefusalShare and FailedShare are fractions of all planned requests. FailedShare is the share of Outcomes.Failed
	// and Outcomes.Unknown together.
	FalseRefusalShare float64 `json:"false_refusal_share"`
	FailedShare       float64 `json:"failed_share"`
	// TableWrites is the number of committed transactions of the table per 1,000 requests, and TableReads the number of its
	// reads.
	TableWrites float64 `json:"table_writes_per_1000"`
	TableReads  float64 `json:"table_reads_per_1000"`
	// WritesByKind splits TableWrites by the kind of the first row that a transaction puts. The kind is the key's prefix,
	// such as "budget".
	WritesByKind map[string]float64 `json:"writes_by_kind_per_1000"`
	// RecoveryMS holds, for each killed router, the time until its money was returned. If that did not happen within
	// recoveryTimeout, it is about recoveryTimeout.
	RecoveryMS []int64 `json:"recovery_ms,omitempty"`
	// QuietMS holds, for each draining sidecar, the time for which its upstream still got new work.
	QuietMS []int64 `json:"quiet_ms,omitempty"`
	// InForceMS holds, for each configuration change, the time until all ready routers had applied it. If that did not
	// happen within applyTimeout, it is about applyTimeout.
	InForceMS []int64  `json:"in_force_ms,omitempty"`
	Examples  []string `json:"examples,omitempty"`
	// Failures describes broken promises and missed expectations.
	Failures []string `json:"failures,omitempty"`
}

// buildReport makes the report of a run. requests is the number of planned requests. reads and writes are the uses of the
// table during the load.
func (e *experiment) buildReport(requests int, reads int64, writes map[string]int64, money Money) Report {
	t := e.tally
	s := e.runner.Scenario
	r := Report{
		Scenario: s.Name, Seed: s.Seed, Promises: t.promises, Money: money, Traffic: map[string]TrafficReport{},
		RecoveryMS: milliseconds(e.faults.recoveryTimes), Examples: t.examples,
		QuietMS: milliseconds(e.faults.drainTimes), InForceMS: milliseconds(e.faults.applyTimes),
	}
	falseRefusals, failed := 0, 0
	for name, c := range t.outcomes {
		report := TrafficReport{Outcomes: *c}
		report.FirstToken = summarize(t.firstTokens[name])
		report.BetweenTokens = summarize(t.tokenGaps[name])
		report.Whole = summarize(t.wholeAnswers[name])
		r.Traffic[name] = report
		falseRefusals += c.FalseRefusals
		failed += c.Failed + c.Unknown
	}
	all := float64(max(1, requests))
	r.FalseRefusalShare = float64(falseRefusals) / all
	r.FailedShare = float64(failed) / all
	r.WritesByKind = map[string]float64{}
	for kind, n := range writes {
		r.WritesByKind[kind] = float64(n) * 1000 / all
		r.TableWrites += float64(n) * 1000 / all
	}
	r.TableReads = float64(reads) * 1000 / all
	r.checkExpectations(s.Expect)
	return r
}

func milliseconds(list []time.Duration) []int64 {
	var all []int64
	for _, d := range list {
		all = append(all, d.Milliseconds())
	}
	return all
}

// checkExpectations adds a failure for broken promises and for each missed expectation.
func (r *Report) checkExpectations(expect Expect) {
	if !r.Promises.Kept() {
		r.Failures = append(r.Failures, fmt.Sprintf("a promise was broken: %+v", r.Promises))
	}
	if expect.FalseRefusalShare > 0 && r.FalseRefusalShare > expect.FalseRefusalShare {
		r.Failures = append(r.Failures, fmt.Sprintf("false refusals %.4f over %.4f", r.FalseRefusalShare, expect.FalseRefusalShare))
	}
	if expect.FailedShare > 0 && r.FailedShare > expect.FailedShare {
		r.Failures = append(r.Failures, fmt.Sprintf("failed requests %.4f over %.4f", r.FailedShare, expect.FailedShare))
	}
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "scenario %s, seed %d\n", r.Scenario, r.Seed)
	for _, name := range slices.Sorted(maps.Keys(r.Traffic)) {
		t := r.Traffic[name]
		o := t.Outcomes
		fmt.Fprintf(w, "  %-18s %5d requests %5d ok, false refusals %d, true %d, limited %d, unknown %d, failed %d, cut short %d, tries %d %v\n",
			name, o.Requests, o.OK, o.FalseRefusals, o.TrueRefusals, o.Limited, o.Unknown, o.Failed, o.CutShort, o.Attempts, o.Codes)
		printSummary(w, "first token", t.FirstToken)
		printSummary(w, "between tokens", t.BetweenTokens)
		printSummary(w, "whole", t.Whole)
	}
	p := r.Promises
	fmt.Fprintf(w, "  promises: overspend %.3f overbilled %.3f crossed %d doubled %d false not-run %d cut off %d broken rows %d lost %d\n",
		p.Overspend, p.Overbilled, p.Crossed, p.Doubled, p.FalseNotRun, p.CutOff, p.BrokenRows, p.LostAnswers)
	m := r.Money
	fmt.Fprintf(w, "  money in tokens: ran %.3f settled %.3f presumed %.3f given back %.3f underbilled %.3f stranded %.3f\n",
		m.Ran, m.Settled, m.Presumed, m.GivenBack, m.Underbilled, m.Stranded)
	fmt.Fprintf(w, "  false refusals %.5f, failed %.5f, table writes %.2f and reads %.2f per 1000 requests %s\n",
		r.FalseRefusalShare, r.FailedShare, r.TableWrites, r.TableReads, formatWrites(r.WritesByKind))
	if len(r.RecoveryMS) > 0 || len(r.QuietMS) > 0 || len(r.InForceMS) > 0 {
		fmt.Fprintf(w, "  recovery %v ms, leaving upstreams quiet after %v ms, changes in force after %v ms\n", r.RecoveryMS, r.QuietMS, r.InForceMS)
	}
	for _, x := range r.Examples[:min(len(r.Examples), 10)] {
		fmt.Fprintf(w, "  example: %s\n", x)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(w, "  FAILED: %s\n", f)
	}
}

// formatWrites formats the writes by kind.
func formatWrites(m map[string]float64) string {
	parts := make([]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %.1f", k, m[k]))
	}
	return "(writes: " + strings.Join(parts, ", ") + ")"
}

func printSummary(w io.Writer, name string, s *measurer.Summary) {
	if s == nil {
		return
	}
	fmt.Fprintf(w, "    %-15s p50 %8.2f  p95 %8.2f  p99 %8.2f  max %8.2f ms\n", name, s.P50, s.P95, s.P99, s.Max)
}

// Runs holds the reports of one scenario under several seeds, in the form in which they are stored in a file.
type Runs struct {
	Runs []Report `json:"runs"`
}

// ReadRuns reads a file of reports.
func ReadRuns(file string) (Runs, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Runs{}, fmt.Errorf("reading reports: %w", err)
	}
	var r Runs
	if err := json.Unmarshal(data, &r); err != nil {
		return Runs{}, fmt.Errorf("decoding reports %s: %w", file, err)
	}
	return r, nil
}

// figure is a named number of a report.
type figure struct {
	name  string
	value float64
}

// figures returns the numbers of a report that Compare compares.
func (r Report) figures() []figure {
	list := []figure{
		{"overspend", r.Promises.Overspend}, {"false_refusal_share", r.FalseRefusalShare}, {"failed_share", r.FailedShare},
		{"table_writes_per_1000", r.TableWrites}, {"budget_writes_per_1000", r.WritesByKind["budget"]}, {"presumed_tokens", r.Money.Presumed}, {"recovery_ms", longest(r.RecoveryMS)}, {"in_force_ms", longest(r.InForceMS)}, {"quiet_ms", longest(r.QuietMS)},
	}
	for _, name := range slices.Sorted(maps.Keys(r.Traffic)) {
		t := r.Traffic[name]
		for _, s := range []struct {
			what    string
			summary *measurer.Summary
		}{{"first_token", t.FirstToken}, {"between", t.BetweenTokens}, {"whole", t.Whole}} {
			if s.summary == nil {
				continue
			}
			list = append(list, figure{name + " " + s.what + " p50", s.summary.P50}, figure{name + " " + s.what + " p95", s.summary.P95})
		}
		list = append(list, figure{name + " ok", float64(t.Outcomes.OK)})
	}
	return list
}

func longest(list []int64) float64 {
	if len(list) == 0 {
		return 0
	}
	return float64(slices.Max(list))
}

// Compare writes, for each figure of two sets of runs, the medians with their minima and maxima, and the ratio of the
// medians.
func Compare(w io.Writer, a, b Runs) {
	fmt.Fprintf(w, "%-40s %28s %28s %8s\n", "figure", "A median (min to max)", "B median (min to max)", "B/A")
	inA, inB := collectFigures(a), collectFigures(b)
	for _, name := range slices.Sorted(maps.Keys(inA)) {
		x, y := inA[name], inB[name]
		if len(x) == 0 || len(y) == 0 {
			continue
		}
		ratio := "-"
		if m := median(x); m != 0 {
			ratio = fmt.Sprintf("%.3f", median(y)/m)
		}
		fmt.Fprintf(w, "%-40s %28s %28s %8s\n", name, spread(x), spread(y), ratio)
	}
}

// collectFigures returns the sorted values of each figure.
func collectFigures(r Runs) map[string][]float64 {
	all := map[string][]float64{}
	for _, run := range r.Runs {
		for _, f := range run.figures() {
			all[f.name] = append(all[f.name], f.value)
		}
	}
	for _, values := range all {
		slices.Sort(values)
	}
	return all
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

func spread(sorted []float64) string {
	return strings.Join([]string{
		fmt.Sprintf("%.4g", median(sorted)), fmt.Sprintf("(%.4g to %.4g)", sorted[0], sorted[len(sorted)-1]),
	}, " ")
}

// summarize summarizes a histogram. It returns nil if h is nil.
func summarize(h *hdrhistogram.Histogram) *measurer.Summary {
	if h == nil {
		return nil
	}
	s := measurer.Summarize(h)
	return &s
}
