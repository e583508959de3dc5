package accountant

import (
	"math"
	"strings"
	"time"
)

// Names of the families (see families) that the code refers to. familyOther is the family of unknown outcomes.
const (
	familyServed      = "served"
	familyExhausted   = "money_exhausted"
	familyUnreachable = "money_unreachable"
	familyOther       = "other"
)

// families maps the outcome of a request to a family, which groups outcomes that an operator would investigate together.
var families = map[string]string{
	"served": familyServed, "budget_exhausted": familyExhausted, "budget_unreachable": familyUnreachable,
	"servers_full": "servers_full", "servers_cold": "servers_cold", "servers_limited": "servers_limited", "servers_resting": "servers_resting",
	"no_server": "no_server", "not_in_time": "not_in_time", "timeout": "deadline",
	"request_ends_servers": "request_ends_servers", "prompt_part_ends_servers": "request_ends_servers", "request_under_examination": "request_ends_servers",
	"server_failed": "server_failed", "outcome_unknown": "server_failed", "broken_off": "cut_off", "caller_left": "caller_left",
	"no_route": "not_allowed", "bad_key": "not_allowed", "malformed": "not_allowed", "body_too_large": "not_allowed",
	"body_unreadable": "not_allowed", "not_ready": "router_not_serving", "shutting_down": "router_not_serving",
	"router_overloaded": "router_overloaded", "stream_version_unknown": "stream_not_resumed", "stream_version_gone": "stream_not_resumed",
}

// FamilyOf returns the family of a request's outcome, which is "other" if the outcome is unknown.
func FamilyOf(outcome string) string {
	if f, ok := families[outcome]; ok {
		return f
	}
	return familyOther
}

// reasons maps substrings of a failure's logged cause to reasons. The first entry that matches counts. The substrings are
// taken from the error messages of other packages and of the standard library.
var reasons = []struct{ substring, reason string }{
	{"waits for its turn to run alone", "waits_to_run_apart"},
	{"ended under this request", "servers_ended"},
	{"in their prompts, the last one", "part_ends_servers"},
	{"connections to ", "connections_in_use"},
	{"nothing came for too long", "silent"},
	{"the store did not take the promise", "promise_not_taken"},
	{"writing to the caller", "caller_unreachable"},
	{"no server is known", "no_server_left"},
	{", not run", "rejected"},
	{"of a suspect server", "suspect_server"},
	{"to a resumption", "not_resumed"},
	{"another request", "foreign_answer"},
	{"other requests", "foreign_answer"},
	{"without the request's id", "unsigned_answer"},
	{"the caller has left", "caller_left"},
	{"operation was canceled", "caller_left"},
	{"context canceled", "caller_left"},
	{"context deadline exceeded", "deadline"},
	{"stream broke off", "stream_broke_off"},
	{"connection refused", "connection_refused"},
	{"i/o timeout", "connect_timeout"},
	{"connecting: ", "not_connected"},
	{"connection timed out", "unacknowledged"},
	{"connection reset", "connection_lost"},
	{"broken pipe", "connection_lost"},
	{"EOF", "connection_lost"},
}

// reasonOf returns the reason for a failure with a logged cause. It is "other" if the cause has no known substring, and
// empty if the cause is empty.
func reasonOf(cause string) string {
	for _, r := range reasons {
		if strings.Contains(cause, r.substring) {
			return r.reason
		}
	}
	if cause == "" {
		return ""
	}
	return "other"
}

// neverReadAge is the age in milliseconds that is logged for a row that was never read: the maximum time.Duration.
const neverReadAge = int64(math.MaxInt64 / time.Millisecond)

// Reasons for refusals for lack of money. They tell how much of the budget was left, as far as the router knew.
const (
	reasonUnread  = "row_never_read"
	reasonEnough  = "enough_left"
	reasonLess    = "less_left_than_needed"
	reasonNothing = "nothing_left"
)

// moneyReason returns the reason for a refusal for lack of money that line l reports.
func moneyReason(l Line) string {
	left := l.Number("left") + max(l.Number("free"), l.Number("own"))
	switch {
	case l.Number("row_age_ms") >= neverReadAge:
		return reasonUnread
	case left >= l.Number("hold"):
		return reasonEnough
	case left > 0:
		return reasonLess
	}
	return reasonNothing
}

// causeOf returns the key of the row in which the end of a request, line l, is counted. store describes how the router
// reached the store then (outages.state). The key contains it only if the request was refused for lack of money.
func causeOf(l Line, store string) Key {
	outcome := l.Text("outcome")
	k := Key{Family: FamilyOf(outcome), Outcome: outcome, Reason: reasonOf(l.Text("cause"))}
	if k.Family == familyExhausted || k.Family == familyUnreachable {
		k.Reason, k.Store = moneyReason(l), store
	}
	return k
}
