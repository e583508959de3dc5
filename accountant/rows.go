package accountant

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Key identifies a row. Fields that do not apply are empty.
type Key struct {
	At      time.Time `json:"at,omitzero"`
	Name    string    `json:"name,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	Family  string    `json:"family,omitempty"`
	Outcome string    `json:"outcome,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	Store   string    `json:"store,omitempty"`
}

// Counts holds counts by name.
type Counts map[string]int64

// maxCountsShown limits the counts that String lists.
const maxCountsShown = 8

// String lists the largest counts that are not zero, at most maxCountsShown of them, and the number of the others.
func (c Counts) String() string {
	names := slices.SortedFunc(maps.Keys(c), func(a, b string) int { return cmp.Or(cmp.Compare(c[b], c[a]), cmp.Compare(a, b)) })
	names = slices.DeleteFunc(names, func(name string) bool { return c[name] == 0 })
	parts := make([]string, 0, len(c))
	for _, name := range names[:min(len(names), maxCountsShown)] {
		parts = append(parts, fmt.Sprintf("%s=%d", name, c[name]))
	}
	if more := len(names) - maxCountsShown; more > 0 {
		parts = append(parts, fmt.Sprintf("(%d more)", more))
	}
	return strings.Join(parts, " ")
}

// Row sums up the lines with a common key.
type Row struct {
	Key
	Count int64 `json:"count"`
	// Share is Count divided by the sum of the counts of all rows in the table.
	Share float64 `json:"share"`
	// Served is the share of a workspace's requests that were served. BesideAll is that share divided by the share of all
	// workspaces' requests. Both are zero in other tables.
	Served    float64 `json:"served,omitempty"`
	BesideAll float64 `json:"beside_all,omitempty"`
	// TokensAsked and TokensUsed are the sums of the fields hold and used.
	TokensAsked int64 `json:"tokens_asked,omitempty"`
	TokensUsed  int64 `json:"tokens_used,omitempty"`
	// TotalMS, MeanMS and MaxMS are the sum, the mean and the maximum of the duration that is added with each line.
	TotalMS int64 `json:"total_ms,omitempty"`
	MeanMS  int64 `json:"mean_ms,omitempty"`
	MaxMS   int64 `json:"most_ms,omitempty"`
	// MoneyMS is the mean of the field money_ms. While lines are added, it is the sum.
	MoneyMS int64 `json:"mean_money_ms,omitempty"`
	// Kinds holds numbers of lines and sums of fields by name. The names depend on the table.
	Kinds Counts `json:"kinds,omitempty"`
	// Routers counts the lines by router.
	Routers Counts    `json:"routers,omitempty"`
	First   time.Time `json:"first,omitzero"`
	Last    time.Time `json:"last,omitzero"`
	// Example is the id of the first request that was added, if any.
	Example string `json:"example,omitempty"`
}

// rows sums up lines by key.
type rows map[Key]*Row

// at returns the row of a key. It creates the row if there is none.
func (r rows) at(k Key) *Row {
	if _, ok := r[k]; !ok {
		r[k] = &Row{Key: k, Kinds: Counts{}, Routers: Counts{}}
	}
	return r[k]
}

// add adds a line to the row of a key. ms is the duration of what the line reports, in milliseconds. The line is counted
// once for each of kinds.
func (r rows) add(k Key, l Line, ms int64, kinds ...string) *Row {
	row := r.at(k)
	row.Count++
	row.Routers[l.Router]++
	for _, kind := range kinds {
		row.Kinds[kind]++
	}
	row.TokensAsked += l.Number("hold")
	row.TokensUsed += l.Number("used")
	row.TotalMS += ms
	row.MaxMS = max(row.MaxMS, ms)
	row.MoneyMS += l.Number("money_ms")
	if row.Example == "" {
		row.Example = strings.Clone(l.Text("request"))
	}
	row.First, row.Last = extendSpan(row.First, row.Last, l.Time)
	return row
}

// list returns the rows with their shares and means. Rows with a time bucket are in chronological order. Other rows are
// ordered by their number of lines, the highest first.
func (r rows) list() []Row {
	all, total := make([]Row, 0, len(r)), int64(0)
	for _, row := range r {
		total += row.Count
	}
	for _, row := range r {
		summary, count := *row, max(1, row.Count)
		summary.Share = float64(row.Count) / float64(max(1, total))
		summary.MeanMS, summary.MoneyMS = row.TotalMS/count, row.MoneyMS/count
		all = append(all, summary)
	}
	slices.SortFunc(all, func(a, b Row) int {
		if !a.At.IsZero() {
			return cmp.Or(a.At.Compare(b.At), a.First.Compare(b.First), cmp.Compare(a.Name+a.Detail, b.Name+b.Detail))
		}
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(fmt.Sprint(a.Key), fmt.Sprint(b.Key)))
	})
	return all
}
