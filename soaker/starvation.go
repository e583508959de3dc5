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
	// maxSchedulingDelay is the longest time that a thread may wait for a processor in one poll interval. If a thread waits
	// longer, its process is starved.
	maxSchedulingDelay = 300 * time.Millisecond
	// starvationPollInterval is the pause between two polls.
	starvationPollInterval = 200 * time.Millisecond
)

// watchStarvation polls until done is closed. It records the scheduling delay of each router, and a disturbance if the router or
// the soak itself waited too long for a processor. The soak counts because it runs the callers, the store and the servers.
func (s *soakRun) watchStarvation(done <-chan struct{}) {
	w := threadWaits{}
	for {
		own := w.longest(os.Getpid())
		if own > maxSchedulingDelay {
			s.beginDisturbance("starvation", soakTarget, own)()
		}
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

// starvationCount returns the number of disturbances by starvation, added over all routers.
func (s *soakRun) starvationCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := range s.processes {
		n += len(s.disturbances[starvedTarget(i)])
	}
	return n
}

// schedulingDelay is the delay of a router in one poll interval, which ended at the time at. It is the longest wait of one
// of the router's threads for a processor plus the longest wait of one of the soak's threads.
type schedulingDelay struct {
	at     time.Time
	length time.Duration
}

// recordDelay records the scheduling delay of a router at a poll.
func (s *soakRun) recordDelay(router int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[router] = append(s.delays[router], schedulingDelay{at: time.Now(), length: delay})
}

// delaySince returns the sum of the scheduling delays of a router since a time. Many short waits delay a router as much as
// one long wait does.
func (s *soakRun) delaySince(router int, from time.Time) (d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, delay := range s.delays[router] {
		if delay.at.After(from) {
			d += delay.length
		}
	}
	return d
}

// threadWaits holds the total time that each thread had waited for a processor by the last poll. The keys are the paths of
// the threads' schedstat files.
type threadWaits map[string]time.Duration

// longest returns the longest time that one of a process's threads has waited for a processor since the last poll. If a
// thread is new, its whole waiting time counts.
func (w threadWaits) longest(pid int) (d time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		// The file of a thread that has just ended cannot be read.
		data, _ := os.ReadFile(file)
		if counts := strings.Fields(string(data)); len(counts) > 1 {
			ns, _ := strconv.ParseInt(counts[1], 10, 64)
			d = max(d, time.Duration(ns)-w[file])
			w[file] = time.Duration(ns)
		}
	}
	return d
}
