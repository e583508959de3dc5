package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticway/masticway"
)

// groupLoad is the sum of the loads of a group's engines.
type groupLoad struct {
	pendingPrefill int
	// reportDelay is the moving average of the time in milliseconds by which reports of the runs that were placed here are late.
	reportDelay float64
	// firstEventTokens is the assumed number of prompt tokens that an engine prefills between the end of a run's own prefill and
	// its first event.
	firstEventTokens float64
}

// engine is the load of one incarnation of an engine. All sums are kept up to date as runs begin, progress and end.
type engine struct {
	incarnation masticway.ServerIncarnation
	server      masticway.Server
	// idHash is the hash of the engine's ID, for rendezvous weights.
	idHash uint64
	group  *groupLoad
	// slots is the number of runs that it executes concurrently, and capacity its memory in tokens. Zero is unknown.
	slots    int
	capacity int
	// runs is the number of runs, and tokens the memory that they occupy, in tokens.
	runs   int
	tokens int
	// streams is the number of runs after their first event for which the pause between two events is limited.
	streams int
	// pendingPrefill is the number of uncached prompt tokens of the runs without a first event. These runs are in the list from
	// oldestPending to newestPending, in the order in which they were placed.
	pendingPrefill               int
	oldestPending, newestPending *run
	// firstEventAt is the time of the latest first event of a run, and sampledFrom the start of the busy period that it ended.
	firstEventAt, sampledFrom time.Time
	parts                     partCache
	speed                     engineSpeed
	failures                  failureRate
}

func newEngine(incarnation masticway.ServerIncarnation, id string, g *groupLoad) *engine {
	return &engine{incarnation: incarnation, idHash: xxhash.Sum64String(id), group: g, parts: newPartCache()}
}

// add adds a run that has no first event yet, and the prompt parts that it will leave in the cache.
func (n *engine) add(now time.Time, r *run) {
	r.engine = n
	r.uncached = max(0, r.tokens-n.parts.cachedTokens(r.parts))
	n.runs++
	n.tokens += r.tokens + r.output
	n.pendingPrefill += r.uncached
	n.group.pendingPrefill += r.uncached
	r.previous, r.next = n.newestPending, nil
	if n.newestPending != nil {
		n.newestPending.next = r
	} else {
		n.oldestPending = r
	}
	n.newestPending = r
	n.parts.reserve(now, r.parts)
	n.evictParts(now)
}

// recordFirstEvent moves a run from the pending ones to the streams.
func (n *engine) recordFirstEvent(now time.Time, r *run) {
	n.removePending(r)
	r.state = masticway.EngineRunStreaming
	if r.isPaced {
		n.streams++
	}
	n.parts.confirm(now, r.parts)
}

// remove removes a run. If it had no first event, the prompt parts that only it would have left in the cache are removed, too.
func (n *engine) remove(r *run) {
	if r.state == masticway.EngineRunSent {
		n.removePending(r)
		n.parts.cancel(r.parts)
	} else if r.isPaced {
		n.streams--
	}
	n.runs--
	n.tokens -= r.tokens + r.output
}

func (n *engine) removePending(r *run) {
	n.pendingPrefill -= r.uncached
	n.group.pendingPrefill -= r.uncached
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		n.oldestPending = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		n.newestPending = r.previous
	}
	r.previous, r.next = nil, nil
}

// evictParts removes the cached parts for which the running requests leave no memory.
func (n *engine) evictParts(now time.Time) { n.parts.evict(now, n.capacity-n.tokens) }

// progressGrace is the time in milliseconds for which an engine is assumed to prefill the next prompt while no first event of the
// oldest pending run is reported. Senders collect reports for 50 ms.
const progressGrace = 50.0

// progress estimates how many of the pending prompt tokens the engine has already prefilled. Prompts are prefilled in chunks, and a
// first event is known only after the tokens that it contains have been generated and the report has arrived. Without this
// estimate, engines seemed to have 2.7 times the pending prefill that they had, and runs were sent away from their cached parts.
//
// The times of reported runs are late by the delay of their reports, so the engine has been prefilling for that much longer.
//
// The estimate does not exceed the oldest pending run by more than what is prefilled until its report arrives. So an engine that is
// frozen does not seem to be idle.
func (n *engine) progress(now time.Time) float64 {
	r := n.oldestPending
	if r == nil {
		return 0
	}
	from, done := r.sentAt, 0.0
	if n.firstEventAt.After(from) {
		// While the tokens of the first event were generated, the engine prefilled chunks of the next prompts.
		from, done = n.firstEventAt, n.group.firstEventTokens
	}
	speed := n.speed.current
	delay := n.group.reportDelay
	return done + min(speed*(max(0, milliseconds(now.Sub(from)))+delay), float64(r.uncached)+speed*(progressGrace+delay))
}

// remainingPrefill estimates the number of prompt tokens that the engine still has to prefill.
func (n *engine) remainingPrefill(now time.Time) float64 {
	return max(0, float64(n.pendingPrefill)-n.progress(now))
}

// hasRoom reports whether a run with the given number of tokens gets a slot and memory without waiting.
func (n *engine) hasRoom(tokens int) bool {
	return (n.slots == 0 || n.runs < n.slots) && (n.capacity == 0 || float64(n.tokens+tokens) <= maxMemoryShare*float64(n.capacity))
}

// maxReservationScan is the number of pending runs among which the oldest reported one is searched. Reservations that are older and
// not reported are rare, because senders report within 200 ms.
const maxReservationScan = 4

// reportGrace is the time in milliseconds after which a missing report of a first event is taken as a sign that there was none.
// Senders collect reports for up to 200 ms.
const reportGrace = 200.0

// overdue returns for how many milliseconds longer than expected the engine has had no first event. pending is the expected
// prefill time of its pending runs. An engine that is frozen or slower than known has such a delay before any run ends there. What
// counts is the time until the sender of the oldest pending run was last heard, so that the runs of a dead sender say nothing
// about their engines.
func (n *engine) overdue(pending float64) float64 {
	p := n.oldestPending
	for range maxReservationScan {
		if p == nil || p.reported {
			break
		}
		p = p.next
	}
	if p == nil || !p.reported {
		return 0
	}
	from := p.sentAt
	if n.firstEventAt.After(from) {
		from = n.firstEventAt
	}
	return max(0, milliseconds(p.sender.heardAt.Sub(from))-pending-firstEventLatency-reportGrace)
}
