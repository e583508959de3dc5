package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway/logger"
)

// slowWriter blocks until it is let go.
type slowWriter struct {
	mu  sync.Mutex
	out bytes.Buffer
	let chan struct{}
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.let
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

func TestSlowReaderOfTheLogHoldsNothingUp(t *testing.T) {
	w := &slowWriter{let: make(chan struct{})}
	q := logger.NewQueue(w)
	began := time.Now()
	for range 10000 {
		_, err := q.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	dropped := q.Dropped()
	qt.Assert(t, dropped > 5000, qt.IsTrue)
	close(w.let)
	q.Close()
	qt.Assert(t, strings.Count(w.out.String(), "line\n"), qt.Equals, 10000-int(dropped))
	qt.Assert(t, w.out.String(), qt.Contains, "event=log_lines_dropped")
}

func TestLinesAfterTheEndAreDropped(t *testing.T) {
	var out bytes.Buffer
	q := logger.NewQueue(&out)
	_, _ = q.Write([]byte("before\n"))
	q.Close()
	// A request that outlived the shutdown still logs its end.
	_, err := q.Write([]byte("after\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "before\n")
}
