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
	maxSchedulingDelay     = 300 * time.Millisecond // a thread that has waited longer for a processor was slowed down by the machine
	starvationPollInterval = 200 * time.Millisecond // between two looks
)

// watchStarvation notes as a disturbance where the machine itself held up a router, or the soak with callers, store and servers.
func (s *soakRun) watchStarvation(done <-chan struct{}) {
	w := threadWaits{}
	for {
		own := w.longest(os.Getpid())
		for i, p := range s.processes {
			router := w.longest(int(p.pid.Load()))
			if d := max(own, router); d > maxSchedulingDelay {
				s.beginDisturbance("starvation", starvedTarget(i), d)()
			}
			s.recordDelay(i, own+router)
		}
		select {
		case <-done:
			return
		case <-time.After(starvationPollInterval):
		}
	}
}

// starvationCount counts how often the machine held a router or the soak up.
func (s *soakRun) starvationCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := range s.processes {
		n += len(s.disturbances[starvedTarget(i)])
	}
	return n
}

// schedulingDelay is how long a router and the soak waited for a processor, one after the other, until a moment.
type schedulingDelay struct {
	at     time.Time
	length time.Duration
}

// recordDelay notes what a look has found of a router.
func (s *soakRun) recordDelay(router int, waits time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[router] = append(s.delays[router], schedulingDelay{at: time.Now(), length: waits})
}

// delaySince returns how long the machine has held a router up since a moment; many short waits delay as one long one does.
func (s *soakRun) delaySince(router int, from time.Time) (d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.delays[router] {
		if h.at.After(from) {
			d += h.length
		}
	}
	return d
}

// threadWaits is how long each thread has been ready and not running until the last look, by the file in which the kernel counts.
type threadWaits map[string]time.Duration

// longest returns the longest wait of a process's threads since the last look.
func (w threadWaits) longest(pid int) (d time.Duration) {
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
