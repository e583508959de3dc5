package router

import (
	"sync"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/sealer"
)

// maxFeedEvents is the number of events in a feed from which on new chunks are dropped, because their caller is slow. The dropped
// chunks are fetched later. Events of other kinds are added beyond this number.
const maxFeedEvents = 256

// runEvent is an event of a run; exactly one field is set.
type runEvent struct {
	accepted bool
	refused  *sealer.Refused
	counted  *sealer.PromptCount
	chunk    *masticway.Chunk
	final    *sealer.RunResult
	// missing is set if the sidecar does not have the run.
	missing bool
	// linkDown is set if the link to the sidecar broke, or if the run was not accepted in time.
	linkDown bool
}

// feed collects the events of one run at one sidecar until an exchange handles them.
type feed struct {
	run      masticway.RunKey
	instance string
	sidecar  masticway.Incarnation
	// firstIndex is the number of chunks that earlier attempts have delivered.
	firstIndex int
	// expectedCached is the number of prompt tokens that the router expected in the upstream's cache.
	expectedCached int

	mu      sync.Mutex
	events  []runEvent
	dropped bool
	wake    chan struct{}
}

func newFeed(run masticway.RunKey, instance string, sidecar masticway.Incarnation, firstIndex int) *feed {
	return &feed{run: run, instance: instance, sidecar: sidecar, firstIndex: firstIndex, wake: make(chan struct{}, 1)}
}

// push adds an event without blocking. It drops a chunk if the feed holds maxFeedEvents events or more. After that it also drops
// the result of the run, until pop has reported the loss.
func (f *feed) push(e runEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.chunk != nil && len(f.events) >= maxFeedEvents {
		f.dropped = true
		return
	}
	if e.final != nil && f.dropped {
		// The sidecar sends the result again after the dropped chunks were fetched.
		return
	}
	f.events = append(f.events, e)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// pop removes and returns the next event. If there is none, ok is false. needsFetch is then set if chunks have been dropped, and
// the caller must fetch them. Each loss is reported once.
func (f *feed) pop() (e runEvent, ok, needsFetch bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.events) == 0 {
		dropped := f.dropped
		f.dropped = false
		return runEvent{}, false, dropped
	}
	e = f.events[0]
	f.events = f.events[1:]
	return e, true, false
}

// feeds is the set of a router's open feeds.
type feeds struct {
	mu   sync.Mutex
	runs map[masticway.RunKey]map[*feed]bool
}

func newFeeds() *feeds { return &feeds{runs: map[masticway.RunKey]map[*feed]bool{}} }

func (s *feeds) add(f *feed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[f.run] == nil {
		s.runs[f.run] = map[*feed]bool{}
	}
	s.runs[f.run][f] = true
}

func (s *feeds) remove(f *feed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs[f.run], f)
	if len(s.runs[f.run]) == 0 {
		delete(s.runs, f.run)
	}
}

// deliver adds an event to every feed of a run at a sidecar.
func (s *feeds) deliver(run masticway.RunKey, sidecar masticway.Incarnation, e runEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.runs[run] {
		if f.sidecar == sidecar {
			f.push(e)
		}
	}
}

// linkDown adds a linkDown event to every feed of a run at an instance.
func (s *feeds) linkDown(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, set := range s.runs {
		for f := range set {
			if f.instance == instance {
				f.push(runEvent{linkDown: true})
			}
		}
	}
}

// hasOthers reports whether more than one exchange of this router has a feed of a run.
func (s *feeds) hasOthers(run masticway.RunKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs[run]) > 1
}
