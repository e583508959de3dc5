package soaker

import (
	"time"

	"github.com/masticway/masticway/emulator"
)

// returnKind is the kind of fault in which the store returns from a copy of an earlier state.
const returnKind = "store_returns"

const (
	// maxCopyAge is the greatest age of a copy, and maxReturnOutage the longest time for which the store is away before it returns.
	maxCopyAge, maxReturnOutage = 5 * time.Second, 1500 * time.Millisecond
	// settleTime is how long after a return the router that runs through it is not restarted. By then the routers have written
	// again what they know.
	settleTime = 4 * time.Second
	// maxRewriteDelay is the longest time until the operator and the servers have written again what they wrote after the copy.
	maxRewriteDelay = 400 * time.Millisecond
)

// returnStore copies the store, goes on for some time, takes the store away, and lets it return from the copy. After that, the
// operator and the servers write again what they wrote since. Meanwhile one router is not restarted: what no running router knows
// of the grants that were drawn after the copy is lost, so that budgets cannot be kept. Two of these faults do not overlap.
func (s *soakRun) returnStore(e faultEvent) {
	survivor := s.processes[e.target%s.Routers]
	if !s.returnMu.TryLock() {
		return
	}
	defer s.returnMu.Unlock()
	if !survivor.lifecycleMu.TryLock() {
		return
	}
	defer survivor.lifecycleMu.Unlock()
	copied := s.rows.Copy()
	time.Sleep(time.Duration(e.severity * float64(maxCopyAge)))
	end := s.beginDisturbance(e.kind, storeTarget, 0)
	s.rows.SetFaults(emulator.RowFaults{Unavailable: true})
	time.Sleep(e.duration)
	// Configurations and registrations are written with s.mu held or as single rows.
	s.mu.Lock()
	before := s.rows.Copy()
	s.rows.Return(copied)
	s.mu.Unlock()
	s.rows.SetFaults(emulator.RowFaults{})
	time.Sleep(time.Duration(e.target%1000) * maxRewriteDelay / 1000)
	s.rows.Rewrite(before, "op", "servers")
	end()
	time.Sleep(settleTime)
}
