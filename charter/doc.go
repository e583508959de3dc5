// Package charter interprets the state charts of requests, holds, upstreams and other objects.
//
// Each chart is a JSON file, so that an operator can read what may happen to a
// request or an upstream. The code takes the next state from the chart, and an
// event that the chart does not allow in the current state is an error. Invalid
// charts are rejected at start.
package charter
