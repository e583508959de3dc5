package accountant_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/accountant"
)

// line returns the log line of a router's event, ms milliseconds after the start.
func line(router string, ms int, fields string) string {
	at := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf("time=%q level=info msg=x instance=%s %s\n", at.Format(time.RFC3339Nano), router, fields)
}

// account returns the report on the given sources. Each source contains the lines of one router.
func account(t *testing.T, sources ...[]string) accountant.Report {
	t.Helper()
	a := accountant.New(time.Second, "")
	for i, lines := range sources {
		qt.Assert(t, a.Read(fmt.Sprintf("source-%d", i), strings.NewReader(strings.Join(lines, ""))), qt.IsNil)
	}
	report, err := a.Report()
	qt.Assert(t, err, qt.IsNil)
	return report
}

// summary returns the rows of a table as text: the key's fields, the count and the kinds.
func summary(t *testing.T, r accountant.Report, table string) []string {
	t.Helper()
	for _, one := range r.Tables {
		if one.Name != table {
			continue
		}
		all := []string{}
		for _, row := range one.Rows {
			key := []string{row.Name, row.Detail, row.Family, row.Reason, row.Store, fmt.Sprint(row.Count), row.Kinds.String()}
			all = append(all, strings.Join(strings.Fields(strings.Join(key, " ")), " "))
		}
		return all
	}
	t.Fatalf("no table %s", table)
	return nil
}

const (
	exhausted   = "event=request configuration=7 outcome=budget_exhausted route=draft workspace=w1 hold=100 prepaid=5000 left=0 free=0 own=0 row_age_ms=30 ms=90 money_ms=80 request="
	unreachable = "event=request configuration=8 outcome=budget_unreachable route=draft workspace=w1 hold=100 prepaid=5000 left=900 free=0 own=0 row_age_ms=400 ms=150 money_ms=150 request="
	timeout     = `event=request configuration=8 outcome=timeout route=stock workspace=w2 hold=0 tries=1 ms=400 cause="context deadline exceeded" request=`
	served      = "event=request outcome=served route=draft workspace=w1 hold=100 used=70 tries=0 ms=1200 request="
	failed      = `event=attempt_failed server=s1 address=10.0.0.1:80 fate=unknown cause="nothing came for too long" ms=210 request=`
)

func TestEndsByCause(t *testing.T) {
	r := account(t, []string{
		line("edge-1", 0, exhausted+"a1"), line("edge-1", 10, unreachable+"a2"),
		line("edge-1", 20, "event=store_turned_away routers=3"), line("edge-1", 30, unreachable+"a3"),
		line("edge-1", 40, "event=store_lost table=op"), line("edge-1", 50, unreachable+"a4"),
		line("edge-1", 60, "event=store_regained table=op"), line("edge-1", 70, "event=store_direct"),
		line("edge-1", 2080, unreachable+"a5"), line("edge-1", 2090, served+"a6"),
	}, []string{line("edge-2", 1000, timeout+"b1")})
	qt.Assert(t, summary(t, r, "not_served_by_cause"), qt.DeepEquals, []string{
		"money_unreachable enough_left direct 2 configuration_8=2", "deadline deadline 1 configuration_8=1",
		"money_exhausted nothing_left direct 1 configuration_7=1", "money_unreachable enough_left lost:op 1 configuration_8=1",
		"money_unreachable enough_left through_others 1 configuration_8=1",
	})
	qt.Assert(t, summary(t, r, "not_served_by_route"), qt.DeepEquals, []string{
		"draft 5 money_unreachable=4 money_exhausted=1", "stock 1 deadline=1",
	})
	qt.Assert(t, summary(t, r, "not_served_by_workspace")[1], qt.Equals, "w2 1 deadline=1")
	qt.Assert(t, summary(t, r, "not_served_by_router")[1], qt.Equals, "edge-2 1 deadline=1")
	qt.Assert(t, summary(t, r, "not_served_by_time"), qt.DeepEquals, []string{
		"4 money_unreachable=3 money_exhausted=1", "1 deadline=1", "1 money_unreachable=1",
	})
	qt.Assert(t, summary(t, r, "served_sampled_by_route"), qt.DeepEquals, []string{"draft 1 tries=0=1"})
	qt.Assert(t, summary(t, r, "money_refused_by_workspace"), qt.DeepEquals, []string{
		"w1 5 prepaid_most=5000 left_most=900 budget_unreachable/enough_left=4 budget_exhausted/nothing_left=1",
	})
	row := r.Tables[1].Rows[0]
	qt.Assert(t, row.Share, qt.Equals, 2.0/6)
	qt.Assert(t, row.TokensAsked, qt.Equals, int64(200))
	qt.Assert(t, row.MeanMS, qt.Equals, int64(150))
	qt.Assert(t, row.MoneyMS, qt.Equals, int64(150))
	qt.Assert(t, row.Example, qt.Equals, "a2")
	qt.Assert(t, row.Last.Sub(row.First), qt.Equals, 2070*time.Millisecond)
}

// TestWorkspacesBesideAll guards against a starved workspace that no report shows: counts of dropped lines, of restarted routers and
// of lines in any order add up, and each workspace stands beside all.
func TestWorkspacesBesideAll(t *testing.T) {
	counts := func(router string, ms int, incarnation, workspace, fields string) string {
		return line(router, ms, fmt.Sprintf("event=workspace_requests incarnation=%s workspace=%s %s", incarnation, workspace, fields))
	}
	r := account(t, []string{
		counts("edge-1", 0, "edge-1~1", "w1", "served=10 late=2"), counts("edge-1", 1000, "edge-1~1", "w1", "served=30 late=3 budget_exhausted=2 tokens=900 tokens_unserved=7"),
		// A restart begins with zero.
		counts("edge-1", 2000, "edge-1~2", "w1", "served=8"), counts("edge-1", 2001, "edge-1~2", "w2", "served=1 budget_unreachable=15 no_server=4"),
	}, []string{
		counts("edge-2", 50, "edge-2~1", "w1", "served=10"), counts("edge-2", 40, "edge-2~1", "w1", "served=4"),
		counts("edge-2", 60, "edge-2~1", "", "served=20"),
	})
	qt.Assert(t, summary(t, r, "requests_by_workspace"), qt.DeepEquals, []string{
		"w2 20 budget_unreachable=15 no_server=4 served=1", "w1 50 tokens=900 served=48 tokens_unserved=7 late=3 budget_exhausted=2", "- 20 served=20",
	})
	row := r.Tables[0].Rows[0]
	qt.Assert(t, row.Served, qt.Equals, 0.05)
	qt.Assert(t, row.BesideAll > 0.06 && row.BesideAll < 0.07, qt.IsTrue, qt.Commentf("%v", row.BesideAll))
	qt.Assert(t, r.Tables[0].Rows[1].Routers, qt.DeepEquals, accountant.Counts{"edge-1": 40, "edge-2": 10})
	var out bytes.Buffer
	qt.Assert(t, r.Print(&out, 0), qt.IsNil)
	qt.Assert(t, out.String(), qt.Contains, "beside_all")
}

func TestMoneyOutsideRequests(t *testing.T) {
	status := "event=money_status money_borrowed=%d money_exhausted=0"
	r := account(t, []string{
		line("edge-1", 0, "event=started"), line("edge-1", 1, fmt.Sprintf(status, 40)), line("edge-1", 2, fmt.Sprintf(status, 70)),
		line("edge-1", 3, "event=started"), line("edge-1", 4, fmt.Sprintf(status, 80)),
		line("edge-1", 5, "event=predecessor_recalled incarnation=edge-1~1 presumed=30 spared=20 answered=2 witnesses=3"),
		line("edge-1", 6, "event=grant_closed incarnation=edge-1~1 workspace=w1 granted=500 presumed=30"),
		line("edge-1", 6, "event=grant_closed incarnation=edge-1~1 workspace=w2 granted=500 presumed=90 taken=20 written=50 silent_ms=5900"),
		line("edge-1", 7, "event=not_repaid lender=edge-2~1 workspace=w1 amount=7"),
	}, []string{
		// The line about the restart is missing.
		line("edge-2", 0, fmt.Sprintf(status, 90)), line("edge-2", 1, fmt.Sprintf(status, 10)),
	})
	qt.Assert(t, summary(t, r, "money_refused_by_workspace"), qt.DeepEquals, []string{
		"w1 0 granted=500 presumed=30 not_repaid=7 grants_closed=1",
		"w2 0 granted=500 presumed=90 presumed_silent=40 presumed_ahead=30 grants_closed=1",
	})
	qt.Assert(t, summary(t, r, "other_events"), qt.DeepEquals, []string{})
	byRouter := summary(t, r, "money_starts_and_counters_by_router")
	qt.Assert(t, byRouter, qt.DeepEquals, []string{"edge-1 2 money_borrowed=150 presumed=30 spared=20", "edge-2 0 money_borrowed=100"})
}

func TestLargestCountsAreShown(t *testing.T) {
	cases := map[string]struct {
		counts accountant.Counts
		text   string
	}{
		"none":       {nil, ""},
		"by size":    {accountant.Counts{"b": 2, "a": 2, "c": 9, "d": 0}, "c=9 a=2 b=2"},
		"a few only": {accountant.Counts{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1, "g": 1, "h": 1, "i": 1, "j": 1}, "a=1 b=1 c=1 d=1 e=1 f=1 g=1 h=1 (2 more)"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { qt.Assert(t, tc.counts.String(), qt.Equals, tc.text) })
	}
}

func TestAttemptsAreJoinedWithEnds(t *testing.T) {
	r := account(t, []string{
		line("edge-1", 0, failed+"a1"), line("edge-1", 10, timeout+"a1"), line("edge-1", 20, failed+"a2"),
		line("edge-1", 30, failed+"a3"), line("edge-1", 30, timeout+"a4"),
	}, []string{
		// The later of the two ends counts, whichever is read first.
		line("edge-2", 5, served+"a1"), line("edge-2", 40, served+"a3"),
	})
	qt.Assert(t, summary(t, r, "failed_attempts_by_server"), qt.DeepEquals, []string{"s1 10.0.0.1:80 3 silent=3 unknown=3"})
	qt.Assert(t, summary(t, r, "joined_requests"), qt.DeepEquals, []string{
		"after_failed_attempts deadline 1", "after_failed_attempts no_end_line 1", "after_failed_attempts served 1",
		"several_ends deadline 1", "several_routers deadline 1", "several_routers served 1",
	})
}

func TestVersionsInForce(t *testing.T) {
	version := func(router string, ms, n int) string {
		return line(router, ms, fmt.Sprintf("event=configuration_in_force version=%d", n))
	}
	r := account(t,
		[]string{line("edge-1", 0, "event=started"), version("edge-1", 10, 3), version("edge-1", 1000, 4), version("edge-1", 3000, 6), version("edge-1", 3500, 4)},
		[]string{line("edge-2", 0, "event=started"), version("edge-2", 20, 3), version("edge-2", 1900, 5)},
		[]string{line("edge-3", 5000, "event=started"), version("edge-3", 5100, 5)},
		// A new process counts as starting with its version, whatever version the previous process had.
		[]string{version("edge-4", 30, 3), line("edge-4", 6000, "event=started"), version("edge-4", 6100, 4)},
	)
	qt.Assert(t, summary(t, r, "configuration_versions_by_routers"), qt.DeepEquals, []string{
		"3 missing= 4 at_start=4", "4 missing= last=edge-2 4 at_start=2 reverted=1",
		"5 missing=edge-4 last=edge-1 3 at_start=1", "6 missing=edge-2,edge-3,edge-4 last=edge-1 1",
	})
	for _, table := range r.Tables {
		if table.Name == "configuration_versions_by_routers" {
			qt.Assert(t, table.Rows[0].MaxMS, qt.Equals, int64(0))
			qt.Assert(t, table.Rows[1].MaxMS, qt.Equals, int64(900))
		}
	}
}

// TestConnectionsThatWereNotReadAreSummedUp guards against reports that hide callers of whom routers have read nothing.
func TestConnectionsThatWereNotReadAreSummedUp(t *testing.T) {
	load := func(router string, ms, refused, unread int) string {
		return line(router, ms, fmt.Sprintf("event=load refused_connections=%d unread_connections=%d", refused, unread))
	}
	r := account(t,
		[]string{load("edge-1", 100, 10, 1), load("edge-1", 1100, 25, 1), line("edge-1", 2000, "event=started"), load("edge-1", 3100, 5, 0)},
		[]string{load("edge-2", 1200, 0, 4)},
	)
	qt.Assert(t, summary(t, r, "not_read_by_time_and_router"), qt.DeepEquals, []string{
		"edge-1 11 refused_connections=10 unread_connections=1", "edge-1 15 refused_connections=15", "edge-2 4 unread_connections=4", "edge-1 5 refused_connections=5",
	})
}

func TestOutagesAndChanges(t *testing.T) {
	r := account(t, []string{
		line("edge-1", 0, "event=store_lost table=op"), line("edge-1", 100, "event=store_lost table=op"), line("edge-1", 400, "event=store_regained table=op"),
		line("edge-1", 1000, "event=store_turned_away"), line("edge-1", 1300, "event=store_direct"),
		line("edge-1", 1400, "event=store_direct"), line("edge-1", 1500, "event=store_lost table=op"),
		line("edge-1", 1700, "event=started"), line("edge-1", 1800, "event=store_lost table=servers"),
		line("edge-1", 2800, "event=servers_changed ready=2 draining=1 lapsed=0"),
	}, []string{line("edge-2", 2850, "event=servers_changed ready=2 draining=1 lapsed=0"), line("edge-2", 2860, "event=new_event")})
	qt.Assert(t, summary(t, r, "store_outages_by_router"), qt.DeepEquals, []string{
		"edge-1 store_lost op 2 ended=1 process_ended=1", "edge-1 store_lost servers 1 still_open=1", "edge-1 store_turned_away 1 ended=1",
	})
	qt.Assert(t, summary(t, r, "changes"), qt.DeepEquals, []string{
		"store_lost table=op 2", "store_regained table=op 1", "store_turned_away 1", "store_direct 2", "store_lost table=op 1",
		"started 1", "store_lost table=servers 1", "servers_changed ready=2 draining=1 lapsed=0 2",
	})
	qt.Assert(t, summary(t, r, "other_events"), qt.DeepEquals, []string{"new_event 1"})
	for _, table := range r.Tables {
		if table.Name == "changes" {
			qt.Assert(t, table.Rows[1].MaxMS, qt.Equals, int64(400))
			qt.Assert(t, table.Rows[3].MaxMS, qt.Equals, int64(300))
		}
	}
}

func TestLinesWithoutEventAreCounted(t *testing.T) {
	a := accountant.New(time.Second, "")
	text := "a banner\n" + "  0.1 edge-1 " + line("edge-1", 2000, timeout+"a1") + "level=warning event=log_lines_dropped lines=12\n" +
		line("edge-1", 500, timeout+"a2") + line("edge-1", 1500, timeout+"a4") + "event=request outcome=served\n" + strings.TrimSuffix(line("edge-1", 2100, timeout+"a3"), "\n")
	qt.Assert(t, a.Read("x", strings.NewReader(text)), qt.IsNil)
	r, err := a.Report()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Input.Lines, qt.Equals, int64(7))
	qt.Assert(t, r.Input.Events, qt.Equals, int64(5))
	qt.Assert(t, r.Input.Skipped, qt.Equals, int64(2))
	qt.Assert(t, r.Input.Dropped, qt.Equals, int64(12))
	qt.Assert(t, r.Input.OutOfOrder, qt.Equals, int64(1))
	qt.Assert(t, r.Input.Last.Sub(r.Input.First), qt.Equals, 1600*time.Millisecond)
}

func TestLinesWithoutARouter(t *testing.T) {
	bare := strings.ReplaceAll(line("x", 0, timeout+"a1"), "instance=x ", "")
	r := account(t, []string{bare, line("edge-1", 10, timeout+"a2"), bare})
	qt.Assert(t, summary(t, r, "not_served_by_router"), qt.DeepEquals, []string{"edge-1 2 deadline=2", "source-0 1 deadline=1"})
}

func TestSourcesThatCannotBeRead(t *testing.T) {
	cause := errors.New("disk")
	err := accountant.New(time.Second, "").Read("x", iotest.ErrReader(cause))
	failure, ok := errors.AsType[*accountant.ReadError](err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, failure.Source, qt.Equals, "x")
	qt.Assert(t, err, qt.ErrorIs, cause)

	a := accountant.New(time.Second, "")
	qt.Assert(t, a.Read("x", strings.NewReader("a banner\n")), qt.IsNil)
	_, err = a.Report()
	missing, ok := errors.AsType[*accountant.NotFoundError](err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, missing.Lines, qt.Equals, int64(1))
}

func TestTraceOfOneRequest(t *testing.T) {
	a := accountant.New(time.Second, "a1")
	first := line("edge-1", 0, "event=configuration_in_force version=7") + line("edge-1", 1, "event=configuration_in_force version=8") +
		line("edge-1", 20, failed+"a1") + line("edge-1", 25, failed+"other") + line("edge-1", 40, timeout+"a1")
	second := line("edge-2", 30, unreachable+"a1") + line("edge-3", 31, "event=store_direct")
	qt.Assert(t, a.Read("1", strings.NewReader(first)), qt.IsNil)
	qt.Assert(t, a.Read("2", strings.NewReader(second)), qt.IsNil)
	s, err := a.Trace()
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for _, e := range s.Entries {
		got = append(got, fmt.Sprint(e.Router, " ", e.Event, " ", e.Text("version"), e.Text("outcome"), " ", e.IsEarlierState))
	}
	qt.Assert(t, got, qt.DeepEquals, []string{
		"edge-1 configuration_in_force 8 true", "edge-1 attempt_failed  false", "edge-2 request budget_unreachable false",
		"edge-1 request timeout false",
	})
	var out bytes.Buffer
	qt.Assert(t, s.Print(&out), qt.IsNil)
	qt.Assert(t, out.String(), qt.Contains, "ended: deadline timeout deadline")
	qt.Assert(t, out.String(), qt.Contains, "ended: money_unreachable budget_unreachable enough_left direct")

	other := accountant.New(time.Second, "b1")
	qt.Assert(t, other.Read("1", strings.NewReader(first)), qt.IsNil)
	_, err = other.Trace()
	_, missing := errors.AsType[*accountant.NotFoundError](err)
	qt.Assert(t, missing, qt.IsTrue)
}

func TestReportAsTextAndJSON(t *testing.T) {
	r := account(t, []string{line("edge-1", 0, exhausted+"a1"), line("edge-1", 10, timeout+"a2"), line("edge-1", 10, "event=store_direct")})
	cases := map[string]struct {
		maxRows  int
		contains []string
	}{
		"all":     {0, []string{"not_served_by_cause: 2 of 2 rows", "requests_by_workspace has their numbers", "03:00:00.010"}},
		"limited": {1, []string{"not_served_by_cause: 1 of 2 rows", "changes: 1 of 1 rows"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			qt.Assert(t, r.Print(&out, tc.maxRows), qt.IsNil)
			for _, text := range tc.contains {
				qt.Assert(t, out.String(), qt.Contains, text)
			}
			// No request was charged, so the column tokens_used is omitted.
			qt.Assert(t, out.String(), qt.Not(qt.Contains), "tokens_used")
		})
	}
	data, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Contains, `"name":"not_served_by_cause"`)
	qt.Assert(t, string(data), qt.Contains, `"tokens_asked":100`)
}
