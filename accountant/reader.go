package accountant

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// maxLineBytes bounds the bytes of a line.
	maxLineBytes = 1 << 20
	// maxDisorder is how far a router's line may go back in time before it counts as out of order.
	maxDisorder = time.Second
	// eventDropped is written without a time when a router's log could not keep up.
	eventDropped = "log_lines_dropped"
)

// ReadError reports a source that could not be read to its end.
type ReadError struct {
	Source string
	Line   int64
	Cause  error
}

func (e *ReadError) Error() string { return fmt.Sprintf("%s, line %d: %v", e.Source, e.Line, e.Cause) }

func (e *ReadError) Unwrap() error { return e.Cause }

// Input tells what was read: lines that are no events are skipped, and routers say which lines they had to drop.
type Input struct {
	Sources    int       `json:"sources"`
	Lines      int64     `json:"lines"`
	Events     int64     `json:"events"`
	Skipped    int64     `json:"skipped"`
	Dropped    int64     `json:"dropped_by_routers"`
	OutOfOrder int64     `json:"out_of_order"`
	First      time.Time `json:"first"`
	Last       time.Time `json:"last"`
}

// String tells what was read in one line.
func (i Input) String() string {
	return fmt.Sprintf("%d sources, %d lines from %s to %s: %d events, %d other lines skipped, %d dropped by routers, %d out of order",
		i.Sources, i.Lines, i.First.Format(time.RFC3339), i.Last.Format(time.RFC3339), i.Events, i.Skipped, i.Dropped, i.OutOfOrder)
}

// reader reads sources line by line; a line without a router is the one's before it, or the source's.
type reader struct {
	input  Input
	router string
	// newest is the time of each router's newest line.
	newest map[string]time.Time
}

// read hands every event of a source over.
func (r *reader) read(name string, from io.Reader, take func(Line)) error {
	r.input.Sources++
	r.router = name
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	before := r.input.Lines
	for lines.Scan() {
		r.input.Lines++
		r.handleLine(lines.Text(), take)
	}
	if err := lines.Err(); err != nil {
		return &ReadError{Source: name, Line: r.input.Lines - before + 1, Cause: err}
	}
	return nil
}

// handleLine hands a line over if it is an event.
func (r *reader) handleLine(text string, take func(Line)) {
	l, ok := ParseLine(text)
	if !ok || l.Time.IsZero() && l.Event != eventDropped {
		r.input.Skipped++
		return
	}
	r.input.Events++
	if l.Router != "" && l.Router != r.router {
		r.router = strings.Clone(l.Router)
	}
	l.Router = r.router
	if l.Event == eventDropped {
		r.input.Dropped += l.Number("lines")
		return
	}
	r.input.First, r.input.Last = extendSpan(r.input.First, r.input.Last, l.Time)
	if l.Time.Before(r.newest[l.Router].Add(-maxDisorder)) {
		r.input.OutOfOrder++
	}
	_, r.newest[l.Router] = extendSpan(l.Time, r.newest[l.Router], l.Time)
	take(l)
}

// extendSpan takes a time into a span.
func extendSpan(first, last, at time.Time) (time.Time, time.Time) {
	if first.IsZero() || at.Before(first) {
		first = at
	}
	if at.After(last) {
		last = at
	}
	return first, last
}
