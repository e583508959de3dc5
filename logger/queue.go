package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written, a few seconds of a busy router's.
	queueLines = 4096
	// dropReport is how often lost lines are reported.
	dropReport = time.Second
)

// Queue writes lines in the background, so that a slow reader of the log never holds a request up. What does not fit
// is dropped, counted and reported.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing ends the writing once what waits is written, done tells that it has ended.
	closing chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue in front of a writer.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line; it never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have not been reported as lost yet.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits and ends the queue; what a handler that is still under way writes afterwards is dropped.
func (q *Queue) Close() {
	close(q.closing)
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	var reported time.Time
	for {
		line, ok := q.next()
		if !ok {
			return
		}
		// A log that cannot be written has nowhere to say so.
		_, _ = q.out.Write(line)
		if n := q.dropped.Load(); n > 0 && time.Since(reported) > dropReport {
			reported = time.Now()
			q.dropped.Add(-n)
			_, _ = fmt.Fprintf(q.out, "level=warning event=log_lines_dropped lines=%d\n", n)
		}
	}
}

// next waits for a line; there is none when the queue is closed and all that waited has been given out.
func (q *Queue) next() ([]byte, bool) {
	select {
	case line := <-q.lines:
		return line, true
	case <-q.closing:
	}
	select {
	case line := <-q.lines:
		return line, true
	default:
		return nil, false
	}
}
