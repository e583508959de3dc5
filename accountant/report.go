package accountant

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/masticway/masticway/tallier"
)

// NotFoundError reports that none of the lines that were read is What. Lines is their number.
type NotFoundError struct {
	What  string
	Lines int64
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("none of %d lines is %s", e.Lines, e.What) }

// Table is a list of rows. A chronological table is always printed completely.
type Table struct {
	Name          string `json:"name"`
	Rows          []Row  `json:"rows"`
	chronological bool
}

// Report is the summary of a fleet's lines. Routers log the end of each request that was not served, so the report counts
// all of these unless routers dropped lines. Served requests are logged in samples only. The table of workspaces' requests comes
// from cumulative counts, and so counts served requests too.
type Report struct {
	Input  Input   `json:"input"`
	Tables []Table `json:"tables"`
}

// Print writes the report as text. It prints at most maxRows rows of each table that is not chronological, or all rows if
// maxRows is zero.
func (r Report) Print(w io.Writer, maxRows int) error {
	fmt.Fprintf(w, "%s\nserved requests are logged in samples only (log_every): requests_by_workspace has their numbers\n", r.Input)
	for _, t := range r.Tables {
		shown := t.Rows
		if maxRows > 0 && !t.chronological {
			shown = shown[:min(maxRows, len(shown))]
		}
		fmt.Fprintf(w, "\n%s: %d of %d rows\n", t.Name, len(shown), len(t.Rows))
		if err := printRows(w, shown); err != nil {
			return err
		}
	}
	return nil
}

// columns are the columns of a printed table.
var columns = []struct {
	head string
	cell func(r Row) string
}{
	{"at", func(r Row) string { return clock(r.At) }},
	{"name", func(r Row) string { return r.Name }},
	{"detail", func(r Row) string { return r.Detail }},
	{"family", func(r Row) string { return r.Family }},
	{"outcome", func(r Row) string { return r.Outcome }},
	{"reason", func(r Row) string { return r.Reason }},
	{"store", func(r Row) string { return r.Store }},
	{"count", func(r Row) string { return number(r.Count) }},
	{"share", share},
	{"served", func(r Row) string { return ratio(r, r.Served) }},
	{"beside_all", func(r Row) string { return ratio(r, r.BesideAll) }},
	{"tokens_asked", func(r Row) string { return number(r.TokensAsked) }},
	{"tokens_used", func(r Row) string { return number(r.TokensUsed) }},
	{"mean_ms", func(r Row) string { return number(r.MeanMS) }},
	{"most_ms", func(r Row) string { return number(r.MaxMS) }},
	{"money_ms", func(r Row) string { return number(r.MoneyMS) }},
	{"kinds", func(r Row) string { return r.Kinds.String() }},
	{"routers", func(r Row) string { return number(int64(len(r.Routers))) }},
	{"first", func(r Row) string { return clock(r.First) }},
	{"last", func(r Row) string { return clock(r.Last) }},
	{"example", func(r Row) string { return r.Example }},
}

// share formats a row's share. It returns "" if the share is zero, and for the rows of the table of changes, because these
// are not parts of a whole.
func share(r Row) string {
	if r.Share == 0 || !r.At.IsZero() && r.Name != "" {
		return ""
	}
	return fmt.Sprintf("%.1f%%", 100*r.Share)
}

// ratio formats a ratio of the table of workspaces' requests. It returns "" for the rows of other tables.
func ratio(r Row, value float64) string {
	if _, ok := r.Kinds[tallier.Served]; !ok {
		return ""
	}
	return fmt.Sprintf("%.2f", value)
}

func number(n int64) string { return strings.TrimPrefix(strconv.FormatInt(n, 10), "0") }

func clock(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format("15:04:05.000")
}

// printRows writes rows as a table without the columns in which no row has a value.
func printRows(w io.Writer, rows []Row) error {
	lines := make([][]string, len(rows)+1)
	for _, c := range columns {
		cells, used := []string{c.head}, false
		for _, r := range rows {
			cell := c.cell(r)
			used = used || cell != ""
			cells = append(cells, cmp.Or(cell, "-"))
		}
		for i := range cells {
			if used {
				lines[i] = append(lines[i], cells[i])
			}
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range lines {
		fmt.Fprintln(table, "  "+strings.Join(line, "\t"))
	}
	return table.Flush()
}
