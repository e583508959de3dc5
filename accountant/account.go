package accountant

import (
	"cmp"
	"io"
	"strings"
	"time"
)

// listedEvents holds the events that the table of changes lists. Each is mapped to the fields by which its lines are grouped.
var listedEvents = map[string][]string{
	"started": nil, "stopping": nil, "stopped": {"cut_off"}, "reloaded": {"needs_restart"}, "reload_refused": nil, "server_ended": nil,
	"configuration_in_force": {"version"}, "configuration_unreadable": {"row_version"}, "registration_unreadable": nil,
	"servers_changed": {"ready", "draining", "lapsed"}, "servers_may_return": nil, "history_lost": {"table"},
	"store_lost": {"table"}, "store_regained": {"table"}, "store_turned_away": nil, "store_direct": nil,
	"money_begun": {"predecessors"}, "money_closed": nil, "money_fault": nil, "not_repaid": {"lender", "workspace"},
	"predecessor_recalled": {"incarnation", "presumed", "spared", "answered", "witnesses"},
	"grant_closed":         {"incarnation", "workspace", "granted", "presumed", "taken", "written", "silent_ms"}, "chart_fault": nil, "refusal_unwritten": nil,
}

// Analyzer summarizes the log lines of a fleet.
type Analyzer struct {
	bucket time.Duration
	reader reader

	causes, routes, workspaces, routers, times rows
	served, servers, changed, others           rows

	tallies  tallies
	money    money
	versions versions
	outages  outages
	unread   unread
	joined   joinedRequests
	trace    trace
}

// New returns an analyzer that sums up lines by time buckets of length bucket. If request is not empty, the analyzer instead
// collects the lines about the request with that id; see Trace.
func New(bucket time.Duration, request string) *Analyzer {
	return &Analyzer{
		bucket: bucket, reader: reader{newest: map[string]time.Time{}},
		causes: rows{}, routes: rows{}, workspaces: rows{}, routers: rows{}, times: rows{},
		served: rows{}, servers: rows{}, changed: rows{}, others: rows{},
		tallies: tallies{},
		money:   money{workspaces: rows{}, routers: rows{}, last: map[string]Counts{}}, versions: versions{current: map[string]int64{}},
		unread:  unread{byTime: rows{}, last: map[string]Counts{}},
		outages: outages{open: map[outageKey]Line{}, done: rows{}}, joined: joinedRequests{ids: map[string]*joinedRequest{}},
		trace: trace{request: request, states: map[string]map[string]Line{}},
	}
}

// Read adds all lines of a source. Lines before the first one that names a router are assigned to a router with the name of
// the source.
func (a *Analyzer) Read(name string, r io.Reader) error { return a.reader.read(name, r, a.addLine) }

// addLine adds one event to the trace or to the tables.
func (a *Analyzer) addLine(l Line) {
	outageMS := a.outages.add(l)
	switch {
	case a.trace.request != "":
		a.trace.add(l, a.outages.state(l.Router))
	case l.Event == "request" && l.Text("outcome") != "":
		a.addRequestEnd(l)
	case l.Event == "attempt_failed":
		a.joined.add(l, "")
		key := Key{Name: l.Text("server"), Detail: l.Text("address")}
		a.servers.add(key, l, l.Number("ms"), l.Text("fate"), reasonOf(l.Text("cause")))
	case l.Event == "workspace_requests":
		a.tallies.add(l)
	case l.Event == "money_status":
		a.money.add(l)
	default:
		a.addEvent(l, outageMS)
	}
}

// addRequestEnd adds the end of a request to the tables.
func (a *Analyzer) addRequestEnd(l Line) {
	key, ms := causeOf(l, a.outages.state(l.Router)), l.Number("ms")
	a.joined.add(l, key.Family)
	route := Key{Name: cmp.Or(l.Text("route"), "-")}
	if key.Family == familyServed {
		a.served.add(route, l, ms, "tries="+l.Text("tries"))
		return
	}
	if key.Store != "" {
		a.money.addRefusal(l, key)
	}
	a.causes.add(key, l, ms, "configuration_"+l.Text("configuration"))
	a.routes.add(route, l, ms, key.Family)
	a.workspaces.add(Key{Name: cmp.Or(l.Text("workspace"), "-")}, l, ms, key.Family)
	a.routers.add(Key{Name: l.Router}, l, ms, key.Family)
	a.times.add(Key{At: a.bucketStart(l)}, l, ms, key.Family)
}

// addEvent adds an event other than the end of a request, a failed attempt or a money_status. If the event ends an outage of the
// store, outageMS is the duration of the outage in milliseconds. Otherwise it is zero.
func (a *Analyzer) addEvent(l Line, outageMS int64) {
	a.versions.add(l)
	a.money.add(l)
	a.unread.add(Key{At: a.bucketStart(l), Name: l.Router}, l)
	fields, ok := listedEvents[l.Event]
	if !ok {
		a.others.add(Key{Name: l.Event}, l, 0)
		return
	}
	var parts []string
	for _, name := range fields {
		parts = append(parts, name+"="+l.Text(name))
	}
	a.changed.add(Key{At: a.bucketStart(l), Name: l.Event, Detail: strings.Join(parts, " ")}, l, outageMS)
}

// bucketStart returns the start of a line's time bucket.
func (a *Analyzer) bucketStart(l Line) time.Time { return l.Time.UTC().Truncate(a.bucket) }

// Report returns the summary, or a NotFoundError if no line was an event. It ends the outages that are still open, so the
// caller must not add lines afterwards.
func (a *Analyzer) Report() (Report, error) {
	if a.reader.input.Events == 0 {
		return Report{}, &NotFoundError{What: "an event of key=value pairs", Lines: a.reader.input.Lines}
	}
	for router, last := range a.reader.newest {
		a.outages.endAll(router, last, "still_open")
	}
	return Report{Input: a.reader.input, Tables: []Table{
		{Name: "requests_by_workspace", Rows: a.tallies.list()},
		{Name: "not_served_by_cause", Rows: a.causes.list()},
		{Name: "not_served_by_route", Rows: a.routes.list()},
		{Name: "not_served_by_workspace", Rows: a.workspaces.list()},
		{Name: "not_served_by_router", Rows: a.routers.list()},
		{Name: "not_served_by_time", Rows: a.times.list(), chronological: true},
		{Name: "not_read_by_time_and_router", Rows: a.unread.byTime.list(), chronological: true},
		{Name: "served_sampled_by_route", Rows: a.served.list()},
		{Name: "money_refused_by_workspace", Rows: a.money.workspaces.list()},
		{Name: "money_starts_and_counters_by_router", Rows: a.money.routers.list()},
		{Name: "failed_attempts_by_server", Rows: a.servers.list()},
		{Name: "joined_requests", Rows: a.joined.list()},
		{Name: "configuration_versions_by_routers", Rows: a.versions.list(), chronological: true},
		{Name: "store_outages_by_router", Rows: a.outages.done.list()},
		{Name: "changes", Rows: a.changed.list(), chronological: true},
		{Name: "other_events", Rows: a.others.list()},
	}}, nil
}
