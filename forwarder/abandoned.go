package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// abandonedMost bounds the runs that are remembered; the oldest goes first.
const abandonedMost = 256

// run is one request at one server, as far as the server's end may be its fault.
type run struct {
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
	runs []run
}

// add remembers a run and forgets those that are too old to be at fault.
func (a *abandonedRuns) add(r run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(slices.DeleteFunc(a.runs, func(old run) bool { return !mayEnd(old, r.abandonedAt) }), r)
	a.runs = a.runs[max(0, len(a.runs)-abandonedMost):]
}

// at tells whether a server has runs that were given up lately.
func (a *abandonedRuns) at(now time.Time, server masticway.ServerIncarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.runs, func(r run) bool { return r.end.Server == server && mayEnd(r, now) })
}

// take returns the runs at a server that were given up lately, and forgets them.
func (a *abandonedRuns) take(now time.Time, server masticway.ServerIncarnation) (taken []run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = slices.DeleteFunc(a.runs, func(r run) bool {
		if r.end.Server != server {
			return false
		}
		if mayEnd(r, now) {
			taken = append(taken, r)
		}
		return true
	})
	return taken
}

// forget forgets a run, and tells whether it was remembered: its request has not been accused since.
func (a *abandonedRuns) forget(r run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.runs)
	a.runs = slices.DeleteFunc(a.runs, func(old run) bool { return old == r })
	return len(a.runs) < before
}

// mayEnd tells that a run which was given up may still have ended its server at a time.
func mayEnd(r run, now time.Time) bool { return now.Sub(r.abandonedAt) < innocentAfter }
