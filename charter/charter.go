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

// Event triggers a transition from one state to another, or back to the same state.
type Event string

//go:embed charts/*.json
var chartFiles embed.FS

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

// Chart is a state chart that has been validated. It is immutable.
type Chart struct {
	name    string
	initial State
	states  map[State]map[Event]State
}

type chartFile struct {
	Name    string `json:"name"`
	Initial State  `json:"initial"`
	// Events lists all events that the code may send. Each must occur in States.
	Events []Event                   `json:"events"`
	States map[State]map[Event]State `json:"states"`
}

// FaultError reports an invalid chart. Fault describes the error.
type FaultError struct {
	Chart string
	Fault string
}

// Error returns a text that names the chart and the fault.
func (e *FaultError) Error() string { return fmt.Sprintf("chart %s: %s", e.Chart, e.Fault) }

// TransitionError reports an event for which the current state has no transition.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

// Error returns a text that names the chart, the state and the event.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: no step from %s on %s", e.Chart, e.State, e.Event)
}

// Load returns the embedded chart with a name. It fails with a FaultError if the chart is invalid.
func Load(name string) (Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".json")
	if err != nil {
		return Chart{}, fmt.Errorf("reading chart %s: %w", name, err)
	}
	return Parse(data)
}

// MustLoad is like Load but panics on an error. The package's tests check that all embedded charts load.
func MustLoad(name string) Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Check loads every embedded chart and returns the first error.
func Check() error {
	for _, n := range []string{Request, Hold, Grant, Upstream, Change, Recovery, Delivery} {
		if _, err := Load(n); err != nil {
			return err
		}
	}
	return nil
}

// Parse decodes and validates a chart. It fails with a FaultError if the chart is invalid.
func Parse(data []byte) (Chart, error) {
	var f chartFile
	if err := json.Unmarshal(data, &f); err != nil {
		return Chart{}, fmt.Errorf("parsing chart: %w", err)
	}
	c := Chart{name: f.Name, initial: f.Initial, states: f.States}
	if err := c.validate(f.Events); err != nil {
		return Chart{}, err
	}
	return c, nil
}

func (c Chart) validate(events []Event) error {
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
	return c.validateReachable()
}

func (c Chart) validateReachable() error {
	seen := map[State]bool{c.initial: true}
	queue := []State{c.initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, target := range c.states[s] {
			if !seen[target] {
				seen[target] = true
				queue = append(queue, target)
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

// Initial returns the initial state.
func (c Chart) Initial() State { return c.initial }

// Next returns the state that follows s after an event. If s has no transition for the event, it returns s and a
// TransitionError.
func (c Chart) Next(s State, e Event) (State, error) {
	next, ok := c.states[s][e]
	if !ok {
		return s, &TransitionError{Chart: c.name, State: s, Event: e}
	}
	return next, nil
}

// IsFinal reports whether a state has no outgoing transitions.
func (c Chart) IsFinal(s State) bool { return len(c.states[s]) == 0 }
