package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// maxAbandonedRuns bounds the runs that are remembered. The oldest is dropped first.
const maxAbandonedRuns = 256

// serverRun is a run of a request at a server, with what is needed to report a crash of the server.
type serverRun struct {
	request string
	digest  masticway.RequestDigest
	path    string
	end     masticway.ServerCrash
	// abandonedAt is when this router gave up the run; zero if the connection broke.
	abandonedAt time.Time
}

// abandonedRuns are runs that this router gave up early in the answer, because the caller left or another server took the
// request. There is no connection left that would break if the server crashes, although the request may still crash it.
type abandonedRuns struct {
	mu   sync.Mutex
	runs []serverRun
}

// add remembers a run and drops those that are too old to be at fault.
func (a *abandonedRuns) add(r serverRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(slices.DeleteFunc(a.runs, func(old serverRun) bool { return !mayCauseCrash(old, r.abandonedAt) }), r)
	a.runs = a.runs[max(0, len(a.runs)-maxAbandonedRuns):]
}

// hasRecent reports whether a server has runs that were abandoned recently.
func (a *abandonedRuns) hasRecent(now time.Time, server masticway.ServerIncarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.runs, func(r serverRun) bool { return r.end.Server == server && mayCauseCrash(r, now) })
}

// takeRecent removes all runs at a server and returns those that were abandoned recently.
func (a *abandonedRuns) takeRecent(now time.Time, server masticway.ServerIncarnation) (taken []serverRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = slices.DeleteFunc(a.runs, func(r serverRun) bool {
		if r.end.Server != server {
			return false
		}
		if mayCauseCrash(r, now) {
			taken = append(taken, r)
		}
		return true
	})
	return taken
}

// remove removes a run and reports whether it was present. It is absent if its request has been reported since.
func (a *abandonedRuns) remove(r serverRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.runs)
	a.runs = slices.DeleteFunc(a.runs, func(old serverRun) bool { return old == r })
	return len(a.runs) < before
}

// mayCauseCrash reports whether an abandoned run may still be at fault if its server ends now.
func mayCauseCrash(r serverRun, now time.Time) bool { return now.Sub(r.abandonedAt) < innocentAfter }
