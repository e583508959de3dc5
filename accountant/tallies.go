package accountant

import (
	"cmp"
	"slices"
	"strings"

	"github.com/masticway/masticway/tallier"
)

// tallyKey identifies the counts of one workspace's requests at one incarnation of a router.
type tallyKey struct{ incarnation, workspace string }

// tally has the numbers of ends of requests by outcome.
type tally struct {
	line   Line
	counts Counts
}

// talliedBeside are the names of the counts that don't count requests by outcome.
var talliedBeside = []string{tallier.Late, tallier.Tokens, tallier.UnservedTokens}

// tallies holds the latest counts of each workspace at each incarnation.
type tallies map[tallyKey]tally

// add adds a line with counts. The counts are cumulative, so only the line with the most requests of each incarnation matters.
func (t tallies) add(l Line) {
	counts := Counts{}
	for _, f := range l.Fields {
		if n := l.Number(f.Name); n > 0 && (slices.Contains(talliedBeside, f.Name) || FamilyOf(f.Name) != familyOther) {
			counts[strings.Clone(f.Name)] = n
		}
	}
	key := tallyKey{l.Text("incarnation"), l.Text("workspace")}
	if known, ok := t[key]; !ok || counts.requests() > known.counts.requests() {
		t[tallyKey{strings.Clone(key.incarnation), strings.Clone(key.workspace)}] = tally{line: l, counts: counts}
	}
}

// requests returns the number of requests that a tally's counts have by outcome.
func (c Counts) requests() int64 {
	var n int64
	for name, count := range c {
		if !slices.Contains(talliedBeside, name) {
			n += count
		}
	}
	return n
}

// list returns a row for each workspace, the one that is served least beside all first. Kinds has the outcomes, and Routers the
// requests by router.
func (t tallies) list() []Row {
	byWorkspace, all := rows{}, Counts{}
	for key, known := range t {
		row := byWorkspace.at(Key{Name: cmp.Or(key.workspace, "-")})
		row.Count += known.counts.requests()
		row.Routers[known.line.Router] += known.counts.requests()
		row.First, row.Last = extendSpan(row.First, row.Last, known.line.Time)
		row.Kinds[tallier.Served] += 0
		for outcome, n := range known.counts {
			row.Kinds[outcome] += n
			all[outcome] += n
		}
	}
	list := byWorkspace.list()
	for i := range list {
		r := &list[i]
		r.Served = float64(r.Kinds[tallier.Served]) / float64(max(1, r.Count))
		if all[tallier.Served] > 0 {
			r.BesideAll = r.Served * float64(all.requests()) / float64(all[tallier.Served])
		}
	}
	slices.SortStableFunc(list, func(a, b Row) int { return cmp.Compare(a.BesideAll, b.BesideAll) })
	return list
}
