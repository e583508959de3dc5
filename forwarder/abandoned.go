package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/masticway/masticway"
)

// maxAbandonedRuns is the maximum number of abandoned runs that a router remembers. The oldest is dropped first.
const maxAbandonedRuns = 256

// serverRun is a run of a request at a server, with what is needed to report a crash of the server.
type serverRun struct {
	request  string
	suspects masticway.Suspects
	crash    masticway.ServerCrash
	sentAt   time.Time
	// accusesParts is set if the parts of the prompt may be the cause of a crash.
	accusesParts bool
	// abandonedAt is when this router gave up the run; it is zero if the connection broke instead.
	abandonedAt time.Time
}

// maxLoggedParts is the maximum number of a prompt's parts in a log line.
const maxLoggedParts = 8

// accused returns what in the request a crash accuses.
func (r serverRun) accused() masticway.Suspects {
	accused := r.suspects
	if !r.accusesParts {
		accused.Parts = nil
	}
	return accused
}

// partNames returns the names of parts for a log line.
func partNames(parts []masticway.SuspectPart) []string {
	var names []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		names = append(names, part.Name)
	}
	return names
}

// isSame reports whether two values describe the same run.
func (r serverRun) isSame(other serverRun) bool {
	return r.request == other.request && r.crash == other.crash && r.abandonedAt.Equal(other.abandonedAt)
}

// abandonedRuns holds runs that this router gave up because the caller left, the deadline passed, or another server took the
// request. Only runs whose answers had lasted for less than innocentAfter are added; the caller of add must check this. The
// router has closed their connections, so no broken connection would show it a crash of the server. The request may still crash
// the server.
type abandonedRuns struct {
	mu   sync.Mutex
	runs []serverRun
}

// add adds a run. It drops the runs that can no longer be at fault for a crash (see mayCauseCrash). If more than maxAbandonedRuns
// are left, it also drops the oldest ones.
func (a *abandonedRuns) add(r serverRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(slices.DeleteFunc(a.runs, func(old serverRun) bool { return !mayCauseCrash(old, r.abandonedAt) }), r)
	a.runs = a.runs[max(0, len(a.runs)-maxAbandonedRuns):]
}

// hasRecent reports whether runs at a server were abandoned less than innocentAfter ago.
func (a *abandonedRuns) hasRecent(now time.Time, server masticway.ServerIncarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.runs, func(r serverRun) bool { return r.crash.Server == server && mayCauseCrash(r, now) })
}

// takeRecent removes all runs at a server and returns those that were abandoned less than innocentAfter ago.
func (a *abandonedRuns) takeRecent(now time.Time, server masticway.ServerIncarnation) (taken []serverRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = slices.DeleteFunc(a.runs, func(r serverRun) bool {
		if r.crash.Server != server {
			return false
		}
		if mayCauseCrash(r, now) {
			taken = append(taken, r)
		}
		return true
	})
	return taken
}

// remove removes a run and reports whether it was present. It is absent if takeRecent or add has already removed it.
func (a *abandonedRuns) remove(r serverRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.runs)
	a.runs = slices.DeleteFunc(a.runs, func(old serverRun) bool { return old.isSame(r) })
	return len(a.runs) < before
}

// mayCauseCrash reports whether an abandoned run may be at fault if its server crashes at the given time.
func mayCauseCrash(r serverRun, now time.Time) bool { return now.Sub(r.abandonedAt) < innocentAfter }
