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
			router := w.longest(int(p.pid.Load()))
			if d := max(own, router); d > starvedMost {
				s.disturb("starvation", starvedTarget(i), d)()
			}
			s.hold(i, own+router)
		}
		select {
		case <-done:
			return
		case <-time.After(starvedPause):
		}
	}
}

// starved counts how often the machine held a router or the soak up.
func (s *run) starved() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := range s.processes {
		n += len(s.spans[starvedTarget(i)])
	}
	return n
}

// heldUp is how long a router and the soak waited for a processor, one after the other, until a moment.
type heldUp struct {
	at    time.Time
	waits time.Duration
}

// hold notes what a look has found of a router.
func (s *run) hold(router int, waits time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[router] = append(s.held[router], heldUp{at: time.Now(), waits: waits})
}

// heldSince returns how long the machine has held a router up since a moment; many short waits delay as one long one does.
func (s *run) heldSince(router int, from time.Time) (d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.held[router] {
		if h.at.After(from) {
			d += h.waits
		}
	}
	return d
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
