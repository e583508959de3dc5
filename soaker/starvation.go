package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	starvedMost  = 300 * time.Millisecond // a thread that has waited longer for a processor was slowed down by the machine
	starvedPause = 200 * time.Millisecond // between two looks
)

// watch notes as a disturbance where the machine itself held up a router, or the soak with callers, store and servers.
func (s *run) watch(done <-chan struct{}) {
	w := waits{}
	for {
		own := w.longest(os.Getpid())
		for i, p := range s.processes {
			if d := max(own, w.longest(int(p.pid.Load()))); d > starvedMost {
				s.disturb("starvation", starvedTarget(i), d)()
			}
		}
		select {
		case <-done:
			return
		case <-time.After(starvedPause):
		}
	}
}

// waits is how long each thread has been ready and not running until the last look, by the file in which the kernel counts.
type waits map[string]time.Duration

// longest returns the longest wait of a process's threads since the last look.
func (w waits) longest(pid int) (d time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		// A thread that has just ended has no count.
		data, _ := os.ReadFile(file)
		if counts := strings.Fields(string(data)); len(counts) > 1 {
			ns, _ := strconv.ParseInt(counts[1], 10, 64)
			d = max(d, time.Duration(ns)-w[file])
			w[file] = time.Duration(ns)
		}
	}
	return d
}
