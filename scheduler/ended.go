package scheduler

import "time"

const (
	// endedTTL is how long the end of a run is remembered, so that a late or duplicate report does not revive it.
	endedTTL = 5 * time.Second
	// maxEnded bounds the number of remembered ends. At 600 runs a second there are 3,000.
	maxEnded = 16384
)

// endedRuns holds the IDs of runs that have ended recently.
type endedRuns struct {
	ids map[string]struct{}
	// queue holds the IDs from the index first on, in the order in which the ends were reported.
	queue []endedRun
	first int
}

type endedRun struct {
	id string
	at time.Time
}

func newEndedRuns() endedRuns { return endedRuns{ids: map[string]struct{}{}} }

func (e *endedRuns) has(id string) bool {
	_, ok := e.ids[id]
	return ok
}

func (e *endedRuns) add(now time.Time, id string) {
	e.expire(now)
	if e.has(id) {
		return
	}
	if len(e.ids) >= maxEnded {
		e.removeFirst()
	}
	e.ids[id] = struct{}{}
	e.queue = append(e.queue, endedRun{id: id, at: now})
}

// expire removes the runs that ended more than endedTTL ago.
func (e *endedRuns) expire(now time.Time) {
	for e.first < len(e.queue) && now.Sub(e.queue[e.first].at) >= endedTTL {
		e.removeFirst()
	}
}

func (e *endedRuns) removeFirst() {
	delete(e.ids, e.queue[e.first].id)
	e.queue[e.first] = endedRun{}
	e.first++
	if e.first*2 >= len(e.queue) {
		e.queue = append(e.queue[:0], e.queue[e.first:]...)
		e.first = 0
	}
}
