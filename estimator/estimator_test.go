package estimator_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/estimator"
)

// tableRows returns the rows of the page's table below a heading.
func tableRows(page, heading string) [][]string {
	_, rest, _ := strings.Cut(page, "\n## "+heading+"\n")
	var list [][]string
	for line := range strings.SplitSeq(rest, "\n") {
		if strings.HasPrefix(line, "## ") {
			break
		}
		if !strings.HasPrefix(line, "| ") {
			continue
		}
		var cells []string
		for cell := range strings.SplitSeq(strings.Trim(line, "|"), "|") {
			cells = append(cells, strings.TrimSpace(cell))
		}
		list = append(list, cells)
	}
	return list[1:]
}

// TestPageMatchesSlopes reads the slopes back from the page and recomputes its sums.
func TestPageMatchesSlopes(t *testing.T) {
	data, err := os.ReadFile("../docs/CAPACITY.md")
	qt.Assert(t, err, qt.IsNil)
	page := string(data)
	slopes := estimator.Slopes{}
	for _, r := range tableRows(page, "Slopes") {
		value, err := strconv.ParseFloat(r[1], 64)
		qt.Assert(t, err, qt.IsNil)
		slopes[r[0]] = value
		qt.Assert(t, r[3] != "" && r[4] != "", qt.IsTrue, qt.Commentf("%s has no sizes or no command", r[0]))
	}
	lines := estimator.Compute(slopes)
	sums := tableRows(page, "Sums")
	qt.Assert(t, sums, qt.HasLen, len(lines))
	for i, l := range lines {
		qt.Check(t, sums[i][2], qt.Equals, fmt.Sprintf("%.4g", l.Value), qt.Commentf("%s %s", l.Role, l.Quantity))
		qt.Check(t, strings.HasPrefix(sums[i][5], "**no**"), qt.Equals, !l.FitsLimit(), qt.Commentf("%s %s", l.Role, l.Quantity))
	}
}

func TestEverySlopeIsUsed(t *testing.T) {
	list, err := estimator.ReadSlopes()
	qt.Assert(t, err, qt.IsNil)
	all := estimator.IndexByName(list)
	before := estimator.Compute(all)
	for name, value := range all {
		changed := estimator.IndexByName(list)
		changed[name] = 2*value + 1
		changesSum := false
		for i, l := range estimator.Compute(changed) {
			changesSum = changesSum || l.Value != before[i].Value
		}
		qt.Check(t, changesSum, qt.IsTrue, qt.Commentf("%s does not affect any sum", name))
	}
}
