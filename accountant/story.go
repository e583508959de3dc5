package accountant

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Entry is one line of a story; Before tells that it is what the router had last said of its state.
type Entry struct {
	Line
	Before bool `json:"before"`
}

// Story is what all routers say of one request in the order of time, and how it ended.
type Story struct {
	Request string  `json:"request"`
	Input   Input   `json:"input"`
	Entries []Entry `json:"entries"`
	Ends    []Key   `json:"ends"`
}

// story finds the lines of one request.
type story struct {
	request string
	entries []Entry
	ends    []Key
	// state is the last line of each change by router, until it is told.
	state map[string]map[string]Line
}

// note takes any line, and what its router has of the store.
func (s *story) note(l Line, store string) {
	if l.Text("request") == s.request {
		s.tell(l, store)
		return
	}
	if _, ok := changes[l.Event]; !ok {
		return
	}
	if s.state[l.Router] == nil {
		s.state[l.Router] = map[string]Line{}
	}
	s.state[l.Router][l.Event] = l
}

func (s *story) tell(l Line, store string) {
	for _, before := range s.state[l.Router] {
		s.entries = append(s.entries, Entry{Line: before, Before: true})
	}
	delete(s.state, l.Router)
	s.entries = append(s.entries, Entry{Line: l})
	if l.Text("outcome") != "" {
		s.ends = append(s.ends, causeOf(l, store))
	}
}

// Story tells of the request that the account follows.
func (a *Account) Story() (Story, error) {
	s := a.story
	if len(s.entries) == 0 {
		return Story{}, &NotFoundError{What: "about request " + s.request, Lines: a.reader.input.Lines}
	}
	slices.SortStableFunc(s.entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return Story{Request: s.request, Input: a.reader.input, Entries: s.entries, Ends: s.ends}, nil
}

// Print writes the story as text, without what every line has.
func (s Story) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s\nrequest %s; < marks what its router had last said of its state\n", s.Input, s.Request)
	for _, e := range s.Entries {
		mark := " "
		if e.Before {
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
