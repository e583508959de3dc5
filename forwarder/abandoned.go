package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// maxAbandonedRuns bounds the runs that are remembered; the oldest goes first.
const maxAbandonedRuns = 256

// serverRun is one request at one server, as far as the server's end may be its fault.
type serverRun struct {
	request string
	digest  masticway.RequestDigest
	path    string
	end     masticway.ServerCrash
	// abandonedAt is when this router gave the run up; zero when its connection broke.
	abandonedAt time.Time
}

// abandonedRuns are runs that this router gave up before they were answered for long, as their callers had left or another
// server was asked. No connection tells of their servers any more, though a request that ends servers may still do so.
type abandonedRuns struct {
	mu   sync.Mutex
	runs []serverRun
}

// add remembers a run and forgets those that are too old to be at fault.
func (a *abandonedRuns) add(r serverRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(slices.DeleteFunc(a.runs, func(old serverRun) bool { return !mayCauseCrash(old, r.abandonedAt) }), r)
	a.runs = a.runs[max(0, len(a.runs)-maxAbandonedRuns):]
}

// hasRecent tells whether a server has runs that were given up lately.
func (a *abandonedRuns) hasRecent(now time.Time, server masticway.ServerIncarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.runs, func(r serverRun) bool { return r.end.Server == server && mayCauseCrash(r, now) })
}

// takeRecent returns the runs at a server that were given up lately, and forgets them.
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

// remove forgets a run, and tells whether it was remembered: its request has not been accused since.
func (a *abandonedRuns) remove(r serverRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.runs)
	a.runs = slices.DeleteFunc(a.runs, func(old serverRun) bool { return old == r })
	return len(a.runs) < before
}

// mayCauseCrash tells that a run which was given up may still have ended its server at a time.
func mayCauseCrash(r serverRun, now time.Time) bool { return now.Sub(r.abandonedAt) < innocentAfter }
