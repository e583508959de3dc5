package accountant

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// TraceEntry is one line of a story; Before tells that it is what the router had last said of its state.
type TraceEntry struct {
	Line
	IsEarlierState bool `json:"before"`
}

// Trace is what all routers say of one request in the order of time, and how it ended.
type Trace struct {
	Request string       `json:"request"`
	Input   Input        `json:"input"`
	Entries []TraceEntry `json:"entries"`
	Ends    []Key        `json:"ends"`
}

// trace finds the lines of one request.
type trace struct {
	request string
	entries []TraceEntry
	ends    []Key
	// states is the last line of each change by router, until it is told.
	states map[string]map[string]Line
}

// add takes any line, and what its router has of the store.
func (s *trace) add(l Line, store string) {
	if l.Text("request") == s.request {
		s.addEntry(l, store)
		return
	}
	if _, ok := listedEvents[l.Event]; !ok {
		return
	}
	if s.states[l.Router] == nil {
		s.states[l.Router] = map[string]Line{}
	}
	s.states[l.Router][l.Event] = l
}

func (s *trace) addEntry(l Line, store string) {
	for _, before := range s.states[l.Router] {
		s.entries = append(s.entries, TraceEntry{Line: before, IsEarlierState: true})
	}
	delete(s.states, l.Router)
	s.entries = append(s.entries, TraceEntry{Line: l})
	if l.Text("outcome") != "" {
		s.ends = append(s.ends, causeOf(l, store))
	}
}

// Story tells of the request that the account follows.
func (a *Account) Story() (Trace, error) {
	s := a.trace
	if len(s.entries) == 0 {
		return Trace{}, &NotFoundError{What: "about request " + s.request, Lines: a.reader.input.Lines}
	}
	slices.SortStableFunc(s.entries, func(a, b TraceEntry) int { return a.Time.Compare(b.Time) })
	return Trace{Request: s.request, Input: a.reader.input, Entries: s.entries, Ends: s.ends}, nil
}

// Print writes the story as text, without what every line has.
func (s Trace) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s\nrequest %s; < marks what its router had last said of its state\n", s.Input, s.Request)
	for _, e := range s.Entries {
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
	for _, k := range s.Ends {
		fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintln("ended:", k.Family, k.Outcome, k.Reason, k.Store)))
	}
	return nil
}
