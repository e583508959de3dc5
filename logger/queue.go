package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the number of lines that wait to be written. A busy router logs about this many in a few
	// seconds.
	maxQueuedLines = 4096
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// Queue writes lines in the background, so that slow output of the log does not delay requests. It drops and counts lines
// that do not fit into the queue. After it has written a later line, it reports the number of dropped lines in a line of its
// own.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed to stop the writing goroutine after it has written the queued lines. done is closed when that
	// goroutine has ended.
	closing chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue that writes to out. The caller must close it to end its goroutine.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line, or drops it if the queue is full. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and stops the queue. Later calls of Write have no effect. Close must be called only once.
func (q *Queue) Close() {
	close(q.closing)
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	var lastReport time.Time
	for {
		line, ok := q.next()
		if !ok {
			return
		}
		// There is no other place to report an error of the log itself.
		_, _ = q.out.Write(line)
		if n := q.dropped.Load(); n > 0 && time.Since(lastReport) > dropReportInterval {
			lastReport = time.Now()
			q.dropped.Add(-n)
			_, _ = fmt.Fprintf(q.out, "level=warning event=log_lines_dropped lines=%d\n", n)
		}
	}
}

// next waits for a line. It returns false once the queue is closed and empty.
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
