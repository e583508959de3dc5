package soaker

import (
	"slices"
	"syscall"
	"time"
)

// Faults in which servers of a new version appear while a router is stopped, or while it is cut off from the other routers: these are
// stopped.
const (
	stoppedReleaseKind = "release_stopped"
	aloneReleaseKind   = "release_alone"
)

const (
	// maxReleaseStop is the longest time for which routers are stopped beside a release.
	maxReleaseStop = 3 * time.Second
	// maxResetDelay is the longest time from the first server of a new version until callers lose their connections.
	maxResetDelay = 600 * time.Millisecond
)

// hasReleases reports whether servers of several versions serve in the soak.
func (o Soak) hasReleases() bool {
	return slices.ContainsFunc([]string{releaseKind, stoppedReleaseKind, aloneReleaseKind}, func(kind string) bool { return slices.Contains(o.Kinds, kind) })
}

// releaseBesideStop replaces engines by those of a new version. Just before, it stops one router, or all but one. Soon after, callers lose
// their connections to all routers, so that they resume their streams at any of them.
func (s *soakRun) releaseBesideStop(e faultEvent) {
	slots := engines()
	for i, p := range s.processes {
		// Those that run cannot reach those that are stopped.
		s.faults.Go(func() {
			defer s.beginDisturbance(e.kind, routerTarget(i), 0)()
			defer s.beginDisturbance(e.kind, callerLinkTarget(i), 0)()
			isChosen := i == e.target%s.Routers
			if isChosen == (e.kind == stoppedReleaseKind) {
				p.signal(syscall.SIGSTOP)
				defer p.signal(syscall.SIGCONT)
			}
			time.Sleep(time.Duration(e.severity * float64(maxResetDelay)))
			p.proxies[callerProxy].reset()
			time.Sleep(e.duration)
		})
	}
	s.release(faultEvent{kind: releaseKind, target: slots[e.target%len(slots)], severity: e.severity})
}
