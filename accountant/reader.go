package accountant

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// maxLineBytes limits the length of a line. A longer line ends the reading of its source with a ReadError.
	maxLineBytes = 1 << 20
	// maxDisorder is how much older a line may be than the newest line of its router. A line that is even older counts as out of
	// order.
	maxDisorder = time.Second
	// eventDropped is the event that a router logs, without a time, when it has dropped log lines because its log could not
	// keep up.
	eventDropped = "log_lines_dropped"
)

// ReadError reports a source that could not be read to its end.
type ReadError struct {
	Source string
	// Line is the number of the first line that was not read, counted from 1.
	Line  int64
	Cause error
}

func (e *ReadError) Error() string { return fmt.Sprintf("%s, line %d: %v", e.Source, e.Line, e.Cause) }

func (e *ReadError) Unwrap() error { return e.Cause }

// Input describes what was read. Skipped is the number of lines that are not events or have no time. Dropped is the number
// of lines that routers reported to have dropped instead of writing them.
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

// String returns a description in one line.
func (i Input) String() string {
	return fmt.Sprintf("%d sources, %d lines from %s to %s: %d events, %d other lines skipped, %d dropped by routers, %d out of order",
		i.Sources, i.Lines, i.First.Format(time.RFC3339), i.Last.Format(time.RFC3339), i.Events, i.Skipped, i.Dropped, i.OutOfOrder)
}

// reader reads sources line by line. A line that names no router is assigned to the router of the previous line, or at the
// start of a source to a router with the name of the source.
type reader struct {
	input Input
	// router is the router of the previous line.
	router string
	// newest holds the time of each router's newest line.
	newest map[string]time.Time
}

// read calls handle for each event of a source, except for reports of dropped lines.
func (r *reader) read(name string, from io.Reader, handle func(Line)) error {
	r.input.Sources++
	r.router = name
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	before := r.input.Lines
	for lines.Scan() {
		r.input.Lines++
		r.handleLine(lines.Text(), handle)
	}
	if err := lines.Err(); err != nil {
		return &ReadError{Source: name, Line: r.input.Lines - before + 1, Cause: err}
	}
	return nil
}

// handleLine counts a line. It calls handle if the line is an event, except for a report of dropped lines.
func (r *reader) handleLine(text string, handle func(Line)) {
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
	handle(l)
}

// extendSpan extends the span from first to last so that it contains at.
func extendSpan(first, last, at time.Time) (time.Time, time.Time) {
	if first.IsZero() || at.Before(first) {
		first = at
	}
	if at.After(last) {
		last = at
	}
	return first, last
}
