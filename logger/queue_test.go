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

// slowWriter blocks until unblock is closed.
type slowWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	unblock chan struct{}
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

func TestSlowLogReaderDoesNotBlockWriters(t *testing.T) {
	w := &slowWriter{unblock: make(chan struct{})}
	q := logger.NewQueue(w)
	start := time.Now()
	for range 10000 {
		_, err := q.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
	dropped := q.Dropped()
	qt.Assert(t, dropped > 5000, qt.IsTrue)
	close(w.unblock)
	q.Close()
	qt.Assert(t, strings.Count(w.out.String(), "line\n"), qt.Equals, 10000-int(dropped))
	qt.Assert(t, w.out.String(), qt.Contains, "event=log_lines_dropped")
}

func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	q := logger.NewQueue(&out)
	_, _ = q.Write([]byte("before\n"))
	q.Close()
	// A request that is still in progress after the shutdown logs its end too.
	_, err := q.Write([]byte("after\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "before\n")
}
