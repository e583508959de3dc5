package soaker

import (
	"slices"
	"time"

	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/forwarder"
)

// retryBudget bounds the repeats that all routers together send to the servers of a pool.
var retryBudget = forwarder.RetriesSettings{Ratio: 0.2, FixedRetries: 50, WindowSeconds: 10}

// maxRejections is the number of requests that a server rejects at most in one servers_reject fault.
const maxRejections = 10_000

// rejectRequests makes all servers of a pool reject most of their requests for a while.
func (s *soakRun) rejectRequests(e faultEvent) {
	_, slot := s.targetServer(e)
	s.mu.Lock()
	affected := s.currentServers(pools[slot])
	s.mu.Unlock()
	faults := make([]emulator.OpaqueFault, maxRejections)
	for i := range faults {
		if i%8 != 0 {
			faults[i] = emulator.OpaqueOverloaded
		}
	}
	for _, server := range affected {
		server.InjectFaults(faults...)
		defer server.InjectFaults()
	}
	s.logf("the servers of pool %s reject requests", pools[slot])
	time.Sleep(e.duration)
}

// checkRepeats checks for each pool that in no window its servers got more arrivals beyond the first of each sending than the retry
// budget allows, whatever routers sent them. It allows for the requests that callers sent in the window, in the one before it or in
// the one half a window before it, whichever has most.
func (s *soakRun) checkRepeats() {
	window := retryBudget.Window()
	for _, pool := range slices.Compact(slices.Clone(pools)) {
		var sent []time.Time
		for _, q := range s.requests {
			if q.pool == pool {
				sent = append(sent, q.sentAt)
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		repeats := s.repeats(pool)
		worst := 0
		for _, from := range repeats {
			requests := 0
			for _, ago := range []time.Duration{0, window / 2, window} {
				requests = max(requests, countWithin(sent, from.Add(-ago), window))
			}
			n, allowed := countWithin(repeats, from, window), retryBudget.Ratio*float64(requests)+retryBudget.FixedRetries
			worst = max(worst, n)
			if float64(n) > allowed {
				s.reportViolation(promiseRepeats, "pool %s got %d arrivals beyond the first of their request within %s from %s, for %d requests; %.0f are allowed",
					pool, n, window, from.UTC().Format(clockFormat), requests, allowed)
				break
			}
		}
		s.logf("pool %s got %d requests, and at most %d repeats within %s", pool, len(sent), worst, window)
	}
}

// repeats returns the times of the arrivals at a pool's servers beyond the first of each sending, sorted. Arrivals that a server
// rejected are counted too.
func (s *soakRun) repeats(pool string) []time.Time {
	var arrivals []emulator.OpaqueArrival
	for _, server := range s.all {
		if poolOf(server.ID) == pool {
			arrivals = append(arrivals, server.Arrivals()...)
		}
	}
	slices.SortFunc(arrivals, func(a, b emulator.OpaqueArrival) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	var repeats []time.Time
	known := map[sending]bool{}
	for _, a := range arrivals {
		key := sending{a.ID, a.Path}
		if known[key] {
			repeats = append(repeats, a.ReceivedAt)
		}
		known[key] = true
	}
	return repeats
}

// countWithin returns how many of the sorted times lie within a window.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	index := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
		return i
	}
	return index(from.Add(window)) - index(from)
}
