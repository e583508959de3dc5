package soaker

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Names of the promises that are checked.
const (
	promiseBudget    = "budget"    // no workspace gets more than its prepaid tokens
	promiseOnce      = "once"      // a request that must not be repeated runs at most once
	promiseNotRun    = "not_run"   // what was called not run never ran
	promiseWhole     = "whole"     // a caller gets the whole answer to its own request, and no part of one looks complete
	promiseUnchanged = "unchanged" // servers run what callers sent, for their workspace, where a configuration sends it
	promiseAnswered  = "answered"  // an undisturbed router answers what it passed on, also around its graceful end
	promiseInForce   = "in_force"  // an accepted configuration is in force in time at routers in touch
	promiseNoReturn  = "no_return" // a configuration never goes back within a process's life
	promiseDrained   = "drained"   // a server that leaves gets nothing new after a while
	promiseRecovered = "recovered" // requests are served again after all faults
	promiseAlive     = "alive"     // a router's process ends only when it is made to
)

// Violation is one promise that was not kept.
type Violation struct {
	Promise string
	// At is the time since the soak began.
	At   time.Duration
	Text string
}

// String returns the violation as a line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3fs %s: %s", v.At.Seconds(), v.Promise, v.Text)
}

// span is a time in which something was disturbed; a zero end is still to come.
type span struct{ from, to time.Time }

// record is what happened, as far as checks need it.
type record struct {
	out   io.Writer
	began time.Time

	mu         sync.Mutex
	spans      map[string][]span
	requests   map[string]*request
	violations []Violation
	delivered  map[string]int64
}

func newRecord(out io.Writer) *record {
	return &record{out: out, began: time.Now(), spans: map[string][]span{}, requests: map[string]*request{}, delivered: map[string]int64{}}
}

// note writes a line on what happened now.
func (r *record) note(format string, values ...any) {
	now := time.Now()
	fmt.Fprintf(r.out, "%s %.3fs %s\n", now.UTC().Format(clockFormat), now.Sub(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// clockFormat is how times are written, to be found in the routers' logs.
const clockFormat = "15:04:05.000"

// disturb notes that a target is disturbed until the end is called.
func (r *record) disturb(what, target string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note("%s of %s begins", what, target)
	at := len(r.spans[target])
	r.spans[target] = append(r.spans[target], span{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.spans[target][at].to = time.Now()
		r.note("%s of %s ends", what, target)
	}
}

// calm tells that none of the targets was disturbed at any time between two.
func (r *record) calm(from, to time.Time, targets ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range targets {
		for _, s := range r.spans[target] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// violate notes a promise that was not kept.
func (r *record) violate(promise, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Promise: promise, At: time.Since(r.began), Text: fmt.Sprintf(format, values...)})
	r.note("VIOLATION %s", r.violations[len(r.violations)-1])
}

// begin keeps a request, before it is sent.
func (r *record) begin(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
}

// deliver counts what a workspace got and returns the sum.
func (r *record) deliver(workspace string, tokens int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivered[workspace] += tokens
	return r.delivered[workspace]
}
