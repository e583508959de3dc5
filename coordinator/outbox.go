package coordinator

import (
	"slices"
	"time"

	"github.com/masticway/masticway"
)

const (
	// maxRuns is the maximum number of runs of this router in one group that are reported. It is above the number of requests
	// that a router can have in flight.
	maxRuns = 1024
	// maxQueryReports is the maximum number of reports in a message with a query. More would delay the query on a slow link.
	maxQueryReports = 64
	// maxReports is the maximum number of reports in other messages, except for a full resync.
	maxReports = 256
	// endedTTL is how long an owner remembers ended runs. Older reports of ends are dropped.
	endedTTL = 5 * time.Second
	// overdueTTL is how long a run is kept after its time limit if its end is not recorded.
	overdueTTL = 5 * time.Second
	// queryDelay is how long reports are collected while the router sends queries, which carry reports too. quietDelay replaces it
	// while the router sends none, because messages are then what it must save.
	queryDelay = 50 * time.Millisecond
	quietDelay = 200 * time.Millisecond
	// keepaliveInterval is the time after the last message at which one is sent if there are open runs. The owner drops the runs
	// of a router that is silent for maxGap.
	keepaliveInterval = time.Second
)

// batchEntry is a report in a batch, and the version of the run that it describes.
type batchEntry struct {
	run     *trackedRun
	version int
}

// Batch is the reports of one message. The caller must pass it to Outbox.Acknowledge or Outbox.Return.
type Batch struct {
	Reports []masticway.EngineReport
	// Resync is set if the reports are the complete list of open runs.
	Resync  bool
	entries []batchEntry
	// epoch is the epoch of the outbox in which the batch was taken.
	epoch int
}

// Outbox holds the runs of this router in one group of engines, and what the owner of the group has yet to learn about them. It
// is not safe for concurrent use.
type Outbox struct {
	// target is the address of the router that gets the reports. synced is set once it has acknowledged a full resync, and
	// ready once it has replied that it chooses engines.
	target        string
	synced, ready bool
	// epoch counts the changes of the target and the full resyncs. What was sent in an earlier epoch may be unknown to the
	// target.
	epoch int
	runs  map[string]*trackedRun
	// queue holds the runs with changes that are neither acknowledged nor in flight. Since urgentSince, unless it is zero, there
	// has been a change among them for which a message must be sent.
	queue       []*trackedRun
	urgentSince time.Time
	sentAt      time.Time
	// classes are the slow and the fast engines of the group, and classVersion the version of these lists.
	classes      speedClasses
	classVersion uint64
}

// NewOutbox returns an outbox without runs and without a target.
func NewOutbox() *Outbox { return &Outbox{runs: map[string]*trackedRun{}} }

// SetTarget sets the router that gets the reports. A new target needs a full resync.
func (o *Outbox) SetTarget(address string) {
	if o.target != address {
		o.target, o.ready = address, false
		o.RequireResync()
	}
}

// RequireResync records that the target does not know the open runs.
func (o *Outbox) RequireResync() {
	o.synced = false
	o.epoch++
	for _, r := range o.runs {
		r.isKnown = false
	}
}

// Epoch returns the number of the current epoch. It changes when the target may have lost what was sent to it.
func (o *Outbox) Epoch() int { return o.epoch }

// CanQuery reports whether the target chooses engines and knows the open runs.
func (o *Outbox) CanQuery() bool { return o.target != "" && o.synced && o.ready }

// Track adds a run whose engine is about to be chosen. The caller must call Begin or End for it later. Track returns nil if too
// many runs are tracked.
func (o *Outbox) Track(now time.Time, run masticway.EngineRun) *trackedRun {
	if len(o.runs) >= maxRuns {
		return nil
	}
	r := &trackedRun{run: run, placedAt: now, stateAt: now, source: sourceOther}
	o.runs[run.ID] = r
	return r
}

// Accept records that the target has reserved a server for a run. epoch is the epoch in which the target was queried.
func (o *Outbox) Accept(r *trackedRun, choice masticway.EngineChoice, epoch int) {
	r.asked = true
	r.source, r.server, r.wait, r.level = sourceOwner, choice.Server, choice.Wait, choice.Level
	r.isKnown = epoch == o.epoch
}

// Begin records that a run was sent to a server. If the target has reserved this server, the report waits for the next message.
// Begin returns nil if too many runs are tracked.
func (o *Outbox) Begin(now time.Time, run masticway.EngineRun, server masticway.ServerIncarnation) *trackedRun {
	r, ok := o.runs[run.ID]
	if !ok {
		if r = o.Track(now, run); r == nil {
			return nil
		}
	}
	if r.server != server {
		r.isKnown = false
		if r.source == sourceOwner {
			r.source = sourceOther
		}
	}
	r.run, r.server, r.stateAt, r.began = run, server, now, true
	o.enqueue(now, r, !r.isKnown)
	return r
}

// FirstEvent records that the first event of a run has arrived, and how long after the request was sent. It returns nil if the
// run is not tracked or has had its first event.
func (o *Outbox) FirstEvent(now time.Time, id string, took time.Duration) *trackedRun {
	r, ok := o.runs[id]
	if !ok || r.state != masticway.EngineRunSent {
		return nil
	}
	r.state, r.stateAt, r.firstEventAfter = masticway.EngineRunStreaming, now, took
	o.enqueue(now, r, true)
	return r
}

// End records the end of a run, also of one that did not begin. failed is set if it ended because of the engine. The target is told
// if it may know the run.
func (o *Outbox) End(now time.Time, id string, events int, streamedFor time.Duration, failed bool) {
	r, ok := o.runs[id]
	if !ok || r.state == masticway.EngineRunEnded {
		return
	}
	if !r.asked && !r.began {
		delete(o.runs, id)
		return
	}
	r.state, r.stateAt, r.events, r.streamedFor, r.failed = masticway.EngineRunEnded, now, events, streamedFor, failed
	o.enqueue(now, r, true)
}

// enqueue queues a change of a run.
func (o *Outbox) enqueue(now time.Time, r *trackedRun, urgent bool) {
	r.version++
	o.push(r)
	if urgent && o.urgentSince.IsZero() {
		o.urgentSince = now
	}
}

func (o *Outbox) push(r *trackedRun) {
	if !r.queued {
		r.queued = true
		o.queue = append(o.queue, r)
	}
}

// Take returns up to limit reports that are not in flight.
func (o *Outbox) Take(now time.Time, limit int) Batch {
	b := Batch{epoch: o.epoch}
	n := min(limit, len(o.queue))
	if n > 0 {
		b.Reports, b.entries = make([]masticway.EngineReport, 0, n), make([]batchEntry, 0, n)
	}
	for _, r := range o.queue[:n] {
		r.queued = false
		b.add(now, r)
	}
	o.queue = slices.Delete(o.queue, 0, n)
	if o.urgentSince = (time.Time{}); len(o.queue) > 0 {
		o.urgentSince = now
	}
	o.sentAt = now
	return b
}

// TakeAll returns the reports of a full resync: all open runs. It starts a new epoch, because the target forgets the other runs.
func (o *Outbox) TakeAll(now time.Time) Batch {
	o.RequireResync()
	b := Batch{epoch: o.epoch, Resync: true}
	for _, r := range o.runs {
		if r.isOpen() {
			r.queued = false
			b.add(now, r)
		}
	}
	o.queue = slices.DeleteFunc(o.queue, func(r *trackedRun) bool { return !r.queued })
	if len(o.queue) == 0 {
		o.urgentSince = time.Time{}
	}
	o.sentAt = now
	return b
}

// add adds the current state of a run to the batch.
func (b *Batch) add(now time.Time, r *trackedRun) {
	b.Reports = append(b.Reports, r.report(now))
	b.entries = append(b.entries, batchEntry{run: r, version: r.version})
}

// Acknowledge records that the target has received a batch.
func (o *Outbox) Acknowledge(now time.Time, b Batch) {
	if b.epoch != o.epoch {
		// The target has changed or has lost what it knew since.
		o.Return(now, b)
		return
	}
	if b.Resync {
		o.synced = true
	}
	for _, e := range b.entries {
		r := e.run
		r.reported = max(r.reported, e.version)
		r.isKnown = true
		if r.state == masticway.EngineRunEnded && r.reported == r.version {
			o.remove(r)
		}
	}
}

// Return records that a batch was not acknowledged. Its reports are sent again with the next message.
func (o *Outbox) Return(now time.Time, b Batch) {
	for _, e := range b.entries {
		r := e.run
		if r.version > r.reported && o.runs[r.run.ID] == r {
			o.push(r)
			if o.urgentSince.IsZero() {
				o.urgentSince = now
			}
		}
	}
}

// remove removes a run that is not queued.
func (o *Outbox) remove(r *trackedRun) {
	if o.runs[r.run.ID] == r {
		delete(o.runs, r.run.ID)
	}
}

// Expire drops the ends of runs that the owner does not remember any more, and the runs whose end was not recorded in time.
func (o *Outbox) Expire(now time.Time) {
	isOver := func(r *trackedRun) bool {
		if r.state == masticway.EngineRunEnded {
			return now.Sub(r.stateAt) > endedTTL
		}
		return now.Sub(r.placedAt) > r.run.TimeLeft+overdueTTL
	}
	o.queue = slices.DeleteFunc(o.queue, isOver)
	for _, r := range o.runs {
		if isOver(r) {
			o.remove(r)
		}
	}
}

// Has reports whether a run is tracked.
func (o *Outbox) Has(id string) bool {
	_, ok := o.runs[id]
	return ok
}

// IsUrgent reports whether there is a change for which a message must be sent.
func (o *Outbox) IsUrgent() bool { return !o.urgentSince.IsZero() }

// IsEmpty reports whether no run is tracked.
func (o *Outbox) IsEmpty() bool { return len(o.runs) == 0 }

// DueAt returns when the next message must be sent at the latest. It returns false if none must be. delay is the time for which
// reports are collected.
func (o *Outbox) DueAt(delay time.Duration) (time.Time, bool) {
	switch {
	case o.target == "" || len(o.runs) == 0:
		return time.Time{}, false
	case !o.synced:
		return o.sentAt.Add(queryDelay), true
	case !o.urgentSince.IsZero():
		return o.urgentSince.Add(delay), true
	}
	return o.sentAt.Add(keepaliveInterval), true
}
