package accountant

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEveryRefusalHasAFamily(t *testing.T) {
	source, err := os.ReadFile("../forwarder/admit.go")
	qt.Assert(t, err, qt.IsNil)
	codes := regexp.MustCompile(`(?m)^\tcode\w+ += "(\w+)"$`).FindAllSubmatch(source, -1)
	qt.Assert(t, len(codes) > 10, qt.IsTrue)
	for _, code := range codes {
		qt.Assert(t, FamilyOf(string(code[1])), qt.Not(qt.Equals), familyOther, qt.Commentf("%s", code[1]))
	}
	qt.Assert(t, FamilyOf("new_code"), qt.Equals, familyOther)
}

func TestReasons(t *testing.T) {
	cases := map[string]struct{ cause, reason string }{
		"none":                     {"", ""},
		"connections in use":       {"8 connections to 10.0.0.1:80 are in use", "connections_in_use"},
		"no answer to a connect":   {"connecting: dial tcp 10.0.0.1:80: i/o timeout", "connect_timeout"},
		"no route to a server":     {"connecting: dial tcp 10.0.0.1:80: connect: no route to host", "not_connected"},
		"refused":                  {"connecting: dial tcp 10.0.0.1:80: connect: connection refused", "connection_refused"},
		"silence takes precedence": {"nothing came for too long (sending (kept connection true): context canceled)", "silent"},
		"deadline":                 {"context deadline exceeded (sending (kept connection true): context deadline exceeded)", "deadline"},
		"caller left, unsent":      {"given up unsent 812 ms after its arrival: the caller has left", "caller_left"},
		"caller left":              {"connecting: dial tcp 10.0.0.1:80: operation was canceled", "caller_left"},
		"stream":                   {"stream broke off after 3 events, 0 bytes of the next: unexpected EOF", "stream_broke_off"},
		"rejected":                 {"status 503, not run", "rejected"},
		"promise":                  {"the store did not take the promise for this answer's money in time", "promise_not_taken"},
		"connection lost":          {"sending (kept connection true): read: connection reset by peer", "connection_lost"},
		"unknown":                  {"a new kind of failure", "other"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { qt.Assert(t, reasonOf(tc.cause), qt.Equals, tc.reason) })
	}
}

func TestMoneyReason(t *testing.T) {
	cases := map[string]struct{ fields, reason string }{
		"nothing":                  {"hold=10 left=0 free=0 own=0 row_age_ms=5", reasonNothing},
		"less":                     {"hold=10 left=4 free=5 own=0 row_age_ms=5", reasonLess},
		"enough with what is held": {"hold=10 left=4 free=6 own=2 row_age_ms=5", reasonEnough},
		"free counts own in":       {"hold=10 left=0 free=6 own=6 row_age_ms=5", reasonLess},
		"never read":               {"hold=10 left=0 free=0 own=0 row_age_ms=9223372036854", reasonUnread},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, ok := ParseLine("level=info event=request " + tc.fields)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, moneyReason(l), qt.Equals, tc.reason)
		})
	}
}
