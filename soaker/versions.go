package soaker

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/masticway/masticway/emulator"
)

const (
	// releaseKind is the fault in which servers are replaced by servers of another software version. In soaks that name it, servers of
	// two versions serve from the start.
	releaseKind = "release"
	// releaseGap is the time between the replacements of two servers.
	releaseGap = 400 * time.Millisecond
	// minResumptions is the number of resumptions from which on the share of those that go on is checked.
	minResumptions = 12
	// serverMargin is how long before and after a request a server must serve to count as one at which the request could run.
	serverMargin = time.Second
)

// serverSpan is the time in which a server of a version serves. to is zero while it does.
type serverSpan struct {
	version string
	interval
}

// firstVersions returns the versions with which the servers of all slots begin.
func firstVersions(hasReleases bool) []int {
	versions := make([]int, len(pools))
	for slot := range versions {
		versions[slot] = 1
		if hasReleases {
			versions[slot] += slot % 2
		}
	}
	return versions
}

// recordServer records that a server of a slot's version begins to serve, and returns the version. s.mu must be held.
func (s *soakRun) recordServer(id string, slot int) string {
	version := fmt.Sprintf("v%d", s.slotVersions[slot])
	s.serverSpans[id] = serverSpan{version: version, interval: interval{from: time.Now()}}
	return version
}

// endServer records that a server serves no new requests from now on.
func (s *soakRun) endServer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	span := s.serverSpans[id]
	if span.to.IsZero() {
		span.to = time.Now()
		s.serverSpans[id] = span
	}
}

// release replaces a part of a pool's servers, one after the other, by servers of a new version. The old ones drain.
func (s *soakRun) release(e faultEvent) {
	_, slot := s.targetServer(e)
	s.mu.Lock()
	next := 1 + slices.Max(s.slotVersions)
	s.mu.Unlock()
	var slots []int
	for i := range pools {
		if pools[i] == pools[slot] {
			slots = append(slots, i)
		}
	}
	slots = slots[:e.scaled(len(slots)-1)]
	s.logf("slots %v get version %d", slots, next)
	for _, i := range slots {
		s.mu.Lock()
		s.slotVersions[i] = next
		s.mu.Unlock()
		s.faults.Go(func() { s.drain(faultEvent{kind: releaseKind, target: i, severity: 1}) })
		time.Sleep(releaseGap)
	}
}

// origin returns the request that began the stream which a request resumes, or the request itself.
func (q *request) origin() *request {
	return cmp.Or(q.began, q)
}

// checkVersion checks that a stream goes on only at servers of the software version that began it, in one answer and over the
// attempts of its caller.
func (s *soakRun) checkVersion(q *request, runs []emulator.OpaqueRun) {
	first := q.origin()
	began, ok := s.serverSpans[first.signedBy]
	if !ok {
		return
	}
	for _, r := range runs {
		if span := s.serverSpans[r.Server]; r.LastEvent != "" && span.version != began.version {
			s.reportViolation(promiseVersion, "began at %s (%s) and went on at %s (%s): %s", first.signedBy, began.version, r.Server, span.version, q)
		}
	}
}

// checkResumptions checks that at routers in contact with the store, while two servers of the stream's version serve, resumptions go
// on at least half as often as new streams begin.
func (s *soakRun) checkResumptions(runs map[sending][]emulator.OpaqueRun) {
	var begun, fresh, resumed, resumptions int
	for _, q := range s.requests {
		if !q.metered || !q.repeatable || q.outcome == outcomeUnsent || !s.isUndisturbed(q.sentAt.Add(-stabilityPeriod), q.endedAt, contactTargets(q.router)...) {
			continue
		}
		answered := q.status == http.StatusOK
		if q.resumeAfter == 0 {
			fresh++
			if answered {
				begun++
			}
			continue
		}
		if slices.ContainsFunc(runs[q.sending()], func(r emulator.OpaqueRun) bool { return r.Fault == emulator.OpaqueContinuesLate }) {
			// What such a server leaves out must not be missing from the answer.
			continue
		}
		if began, ok := s.serverSpans[q.origin().signedBy]; ok && s.serving(q, began.version) >= 2 {
			resumptions++
			if answered {
				resumed++
			}
		}
	}
	s.logf("%d of %d new streams began, %d of %d resumed streams went on", begun, fresh, resumed, resumptions)
	if resumptions >= minResumptions && 2*resumed*fresh < begun*resumptions {
		s.reportViolation(promiseResumed, "%d of %d resumed streams went on, but %d of %d new ones began", resumed, resumptions, begun, fresh)
	}
}

// serving returns how many servers of a version of a request's pool could run it.
func (s *soakRun) serving(q *request, version string) (count int) {
	for id, span := range s.serverSpans {
		if span.version == version && poolOf(id) == q.pool && span.from.Before(q.sentAt.Add(-serverMargin)) && (span.to.IsZero() || span.to.After(q.endedAt.Add(serverMargin))) {
			count++
		}
	}
	return count
}
