package charter

import (
	"embed"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// State is a state of a chart.
type State string

// Event is what moves a chart from one state to the next.
type Event string

//go:embed charts/*.json
var files embed.FS

// Names of the embedded charts.
const (
	Request  = "request"
	Hold     = "hold"
	Grant    = "grant"
	Upstream = "upstream"
	Change   = "change"
	Recovery = "recovery"
	Delivery = "delivery"
)

// Chart is a checked state chart; it is immutable.
type Chart struct {
	name    string
	initial State
	states  map[State]map[Event]State
}

type file struct {
	Name    string `json:"name"`
	Initial State  `json:"initial"`
	// Events lists every event that the code may send.
	Events []Event                   `json:"events"`
	States map[State]map[Event]State `json:"states"`
}

// FaultError reports a chart that cannot be used.
type FaultError struct {
	Chart string
	Fault string
}

// Error names chart and fault.
func (e *FaultError) Error() string { return fmt.Sprintf("chart %s: %s", e.Chart, e.Fault) }

// TransitionError reports an event that a chart does not allow in a state.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

// Error describes the step.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: no step from %s on %s", e.Chart, e.State, e.Event)
}

// Load returns an embedded chart; it fails with FaultError when the chart is faulty.
func Load(name string) (Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		return Chart{}, fmt.Errorf("reading chart %s: %w", name, err)
	}
	return Parse(data)
}

// MustLoad returns an embedded chart; package tests check that all embedded charts load.
func MustLoad(name string) Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Check loads every embedded chart and returns the first fault.
func Check() error {
	for _, n := range []string{Request, Hold, Grant, Upstream, Change, Recovery, Delivery} {
		if _, err := Load(n); err != nil {
			return err
		}
	}
	return nil
}

// Parse reads and checks a chart.
func Parse(data []byte) (Chart, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return Chart{}, fmt.Errorf("parsing chart: %w", err)
	}
	c := Chart{name: f.Name, initial: f.Initial, states: f.States}
	if err := c.check(f.Events); err != nil {
		return Chart{}, err
	}
	return c, nil
}

func (c Chart) check(events []Event) error {
	if _, ok := c.states[c.initial]; !ok {
		return &FaultError{Chart: c.name, Fault: fmt.Sprintf("initial state %q is missing", c.initial)}
	}
	used := map[Event]bool{}
	for _, s := range slices.Sorted(maps.Keys(c.states)) {
		for e, target := range c.states[s] {
			if _, ok := c.states[target]; !ok {
				return &FaultError{Chart: c.name, Fault: fmt.Sprintf("target %q of %s on %s is missing", target, s, e)}
			}
			if !slices.Contains(events, e) {
				return &FaultError{Chart: c.name, Fault: fmt.Sprintf("event %q in state %s is unknown", e, s)}
			}
			used[e] = true
		}
	}
	for _, e := range events {
		if !used[e] {
			return &FaultError{Chart: c.name, Fault: fmt.Sprintf("event %q is never used", e)}
		}
	}
	return c.checkReachable()
}

func (c Chart) checkReachable() error {
	seen := map[State]bool{c.initial: true}
	open := []State{c.initial}
	for len(open) > 0 {
		s := open[0]
		open = open[1:]
		for _, target := range c.states[s] {
			if !seen[target] {
				seen[target] = true
				open = append(open, target)
			}
		}
	}
	for _, s := range slices.Sorted(maps.Keys(c.states)) {
		if !seen[s] {
			return &FaultError{Chart: c.name, Fault: fmt.Sprintf("state %q cannot be reached", s)}
		}
	}
	return nil
}

// Initial returns the state in which everything starts.
func (c Chart) Initial() State { return c.initial }

// Next returns the state after an event; it fails with TransitionError and the same state when there is no such step.
func (c Chart) Next(s State, e Event) (State, error) {
	next, ok := c.states[s][e]
	if !ok {
		return s, &TransitionError{Chart: c.name, State: s, Event: e}
	}
	return next, nil
}

// IsFinal tells whether nothing follows a state.
func (c Chart) IsFinal(s State) bool { return len(c.states[s]) == 0 }
