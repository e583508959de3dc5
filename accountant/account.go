package accountant

import (
	"cmp"
	"io"
	"strings"
	"time"
)

// changes are the events other than of requests that are listed, with the fields that tell them apart.
var changes = map[string][]string{
	"started": nil, "stopping": nil, "stopped": {"cut_off"}, "reloaded": {"needs_restart"}, "reload_refused": nil, "server_ended": nil,
	"configuration_in_force": {"version"}, "configuration_unreadable": {"row_version"}, "registration_unreadable": nil,
	"servers_changed": {"ready", "draining", "lapsed"}, "servers_may_return": nil, "history_lost": {"table"},
	"store_lost": {"table"}, "store_regained": {"table"}, "store_turned_away": nil, "store_direct": nil,
	"money_begun": {"predecessors"}, "money_closed": nil, "money_fault": nil, "not_repaid": {"lender", "workspace"},
	"predecessor_recalled": {"incarnation", "presumed", "spared", "answered", "witnesses"},
	"grant_closed":         {"incarnation", "workspace", "granted", "presumed", "taken", "written", "silent_ms"}, "chart_fault": nil, "refusal_unwritten": nil,
}

// Account sums up the lines of a fleet.
type Account struct {
	bucket time.Duration
	reader reader

	causes, routes, workspaces, routers, times rows
	served, servers, changed, others           rows

	money    money
	versions versions
	outages  outages
	joints   joints
	story    story
}

// New returns an empty account with buckets of time so long, which follows one request if it is given an id.
func New(bucket time.Duration, request string) *Account {
	return &Account{
		bucket: bucket, reader: reader{last: map[string]time.Time{}},
		causes: rows{}, routes: rows{}, workspaces: rows{}, routers: rows{}, times: rows{},
		served: rows{}, servers: rows{}, changed: rows{}, others: rows{},
		money: money{workspaces: rows{}, routers: rows{}, last: map[string]Counts{}}, versions: versions{current: map[string]int64{}},
		outages: outages{open: map[outageKey]Line{}, done: rows{}}, joints: joints{ids: map[string]*joint{}},
		story: story{request: request, state: map[string]map[string]Line{}},
	}
}

// Read takes all lines of a source.
func (a *Account) Read(name string, r io.Reader) error { return a.reader.read(name, r, a.take) }

func (a *Account) take(l Line) {
	took := a.outages.note(l)
	switch {
	case a.story.request != "":
		a.story.note(l, a.outages.state(l.Router))
	case l.Event == "request" && l.Text("outcome") != "":
		a.ended(l)
	case l.Event == "attempt_failed":
		a.joints.note(l, "")
		key := Key{Name: l.Text("server"), Detail: l.Text("address")}
		a.servers.add(key, l, l.Number("ms"), l.Text("fate"), reasonOf(l.Text("cause")))
	case l.Event == "money_status":
		a.money.note(l)
	default:
		a.change(l, took)
	}
}

// ended takes the end of a request.
func (a *Account) ended(l Line) {
	key, ms := causeOf(l, a.outages.state(l.Router)), l.Number("ms")
	a.joints.note(l, key.Family)
	route := Key{Name: cmp.Or(l.Text("route"), "-")}
	if key.Family == familyServed {
		a.served.add(route, l, ms, "tries="+l.Text("tries"))
		return
	}
	if key.Store != "" {
		a.money.refused(l, key)
	}
	a.causes.add(key, l, ms, "configuration_"+l.Text("configuration"))
	a.routes.add(route, l, ms, key.Family)
	a.workspaces.add(Key{Name: cmp.Or(l.Text("workspace"), "-")}, l, ms, key.Family)
	a.routers.add(Key{Name: l.Router}, l, ms, key.Family)
	a.times.add(Key{At: a.at(l)}, l, ms, key.Family)
}

// change takes any other event, which may end something that took so long.
func (a *Account) change(l Line, took int64) {
	a.versions.note(l)
	a.money.note(l)
	fields, ok := changes[l.Event]
	if !ok {
		a.others.add(Key{Name: l.Event}, l, 0)
		return
	}
	var parts []string
	for _, name := range fields {
		parts = append(parts, name+"="+l.Text(name))
	}
	a.changed.add(Key{At: a.at(l), Name: l.Event, Detail: strings.Join(parts, " ")}, l, took)
}

func (a *Account) at(l Line) time.Time { return l.Time.UTC().Truncate(a.bucket) }

// Report tells what the lines say; the account takes no more of them.
func (a *Account) Report() (Report, error) {
	if a.reader.input.Events == 0 {
		return Report{}, &NotFoundError{What: "an event of key=value pairs", Lines: a.reader.input.Lines}
	}
	for router, last := range a.reader.last {
		a.outages.endAll(router, last, "still_open")
	}
	return Report{Input: a.reader.input, Tables: []Table{
		{Name: "not_served_by_cause", Rows: a.causes.list()},
		{Name: "not_served_by_route", Rows: a.routes.list()},
		{Name: "not_served_by_workspace", Rows: a.workspaces.list()},
		{Name: "not_served_by_router", Rows: a.routers.list()},
		{Name: "not_served_by_time", Rows: a.times.list(), whole: true},
		{Name: "served_sampled_by_route", Rows: a.served.list()},
		{Name: "money_refused_by_workspace", Rows: a.money.workspaces.list()},
		{Name: "money_starts_and_counters_by_router", Rows: a.money.routers.list()},
		{Name: "failed_attempts_by_server", Rows: a.servers.list()},
		{Name: "joined_requests", Rows: a.joints.list()},
		{Name: "configuration_versions_by_routers", Rows: a.versions.list(), whole: true},
		{Name: "store_outages_by_router", Rows: a.outages.done.list()},
		{Name: "changes", Rows: a.changed.list(), whole: true},
		{Name: "other_events", Rows: a.others.list()},
	}}, nil
}
