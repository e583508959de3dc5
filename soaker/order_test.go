package soaker

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOrderFaults guards against a check that overlooks events that are missing, come twice or have no ID, or a stream that ends early.
func TestOrderFaults(t *testing.T) {
	event := func(id, n string) string { return "id: " + id + "\ndata: piece " + n + " of c1\n\n" }
	tail := event("2", "2") + event("3", "3")
	cases := map[string]struct {
		stream     string
		last       int
		isComplete bool
		fault      string
	}{
		"whole":                       {event("1", "1") + tail, 0, true, ""},
		"rest":                        {tail, 1, true, ""},
		"breaks off":                  {event("1", "1") + "id: 2\nda", 0, false, ""},
		"begins anew":                 {event("1", "1") + tail, 1, true, `event "1"`},
		"begins with the last event":  {tail, 2, true, `event "2"`},
		"leaves an event out":         {event("3", "3"), 1, true, `event "3"`},
		"body of another event":       {event("2", "3"), 1, false, `event "2"`},
		"event without an ID":         {"data: piece 2 of c1\n\n", 1, false, `event ""`},
		"goes on after the end":       {event("4", "4"), 3, true, `event "4"`},
		"complete before the end":     {event("2", "2"), 1, true, "ended as complete after event 2 of 3"},
		"complete without any event":  {"", 1, true, "ended as complete after event 1 of 3"},
		"complete within an event":    {tail + "id: 4", 1, true, "ended as complete after event 3 of 3"},
		"empty line within an answer": {event("2", "2") + "\n\n" + event("3", "3"), 1, true, `event ""`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			q := &request{id: "c1", isComplete: tc.isComplete}
			events, rest := parseEvents(tc.stream)
			fault := q.orderFault(events, rest, tc.last, 3)
			qt.Assert(t, fault == "", qt.Equals, tc.fault == "", qt.Commentf("%s", fault))
			qt.Assert(t, strings.Contains(fault, tc.fault), qt.IsTrue, qt.Commentf("%s", fault))
		})
	}
}
