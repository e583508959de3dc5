package accountant

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// TraceEntry is one line of a trace.
type TraceEntry struct {
	Line
	// IsEarlierState is set if the line is not about the request but shows the state of its router. Of each listed event,
	// the trace has the last line that the router logged before a line about the request.
	IsEarlierState bool `json:"before"`
}

// Trace holds all routers' lines about one request in chronological order, and how the request ended.
type Trace struct {
	Request string       `json:"request"`
	Input   Input        `json:"input"`
	Entries []TraceEntry `json:"entries"`
	Ends    []Key        `json:"ends"`
}

// trace collects the lines about one request.
type trace struct {
	request string
	entries []TraceEntry
	ends    []Key
	// states holds, by router and event, the last line of each listed event that is not among the entries yet.
	states map[string]map[string]Line
}

// add adds a line about the request to the entries. It keeps another line as a state of its router if its event is in
// listedEvents. store describes how the router reaches the store (outages.state).
func (t *trace) add(l Line, store string) {
	if l.Text("request") == t.request {
		t.addEntry(l, store)
		return
	}
	if _, ok := listedEvents[l.Event]; !ok {
		return
	}
	if t.states[l.Router] == nil {
		t.states[l.Router] = map[string]Line{}
	}
	t.states[l.Router][l.Event] = l
}

// addEntry adds a line about the request. Before it, it adds the kept lines about the state of the router.
func (t *trace) addEntry(l Line, store string) {
	for _, before := range t.states[l.Router] {
		t.entries = append(t.entries, TraceEntry{Line: before, IsEarlierState: true})
	}
	delete(t.states, l.Router)
	t.entries = append(t.entries, TraceEntry{Line: l})
	if l.Text("outcome") != "" {
		t.ends = append(t.ends, causeOf(l, store))
	}
}

// Trace returns the trace of the request whose id was given to New, or a NotFoundError if no line is about that request.
func (a *Analyzer) Trace() (Trace, error) {
	t := a.trace
	if len(t.entries) == 0 {
		return Trace{}, &NotFoundError{What: "about request " + t.request, Lines: a.reader.input.Lines}
	}
	slices.SortStableFunc(t.entries, func(a, b TraceEntry) int { return a.Time.Compare(b.Time) })
	return Trace{Request: t.request, Input: a.reader.input, Entries: t.entries, Ends: t.ends}, nil
}

// Print writes the trace as text. It omits the fields that each line begins with or that all lines share, such as the level.
func (t Trace) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s\nrequest %s; < marks the last state that a router logged before a line about the request\n", t.Input, t.Request)
	for _, e := range t.Entries {
		mark := " "
		if e.IsEarlierState {
			mark = "<"
		}
		fmt.Fprintf(w, "%s %s %s %s", mark, e.Time.Format("15:04:05.000000"), e.Router, e.Event)
		for _, f := range e.Fields {
			if !slices.Contains([]string{"time", "level", "msg", "event", "instance", "request"}, f.Name) {
				fmt.Fprintf(w, " %s=%q", f.Name, f.Value)
			}
		}
		fmt.Fprintln(w)
	}
	for _, k := range t.Ends {
		fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintln("ended:", k.Family, k.Outcome, k.Reason, k.Store)))
	}
	return nil
}
