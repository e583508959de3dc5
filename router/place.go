package router

import (
	"context"
	"errors"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
	"github.com/masticway/masticway/limiter"
	"github.com/masticway/masticway/tracker"
)

// slotRequest is a request for a slot. granted receives the slot, and is closed if the deadline passes first.
type slotRequest struct {
	entry   limiter.Entry
	work    chooser.Request
	allowed func(tracker.Upstream) bool
	granted chan slot
}

// slot is the place for one request in flight at an upstream. It is assigned to the request that holds it.
type slot struct {
	upstream tracker.Upstream
	scores   []chooser.Score
	// expectedCached is the number of prompt tokens that are expected in the upstream's cache.
	expectedCached int
}

// hasUsable reports whether any upstream of a pool is usable, even if none has a free slot.
func (u *upstreams) hasUsable(pool string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.usable(pool)) > 0
}

// allExcluded reports whether every usable upstream of a pool is excluded.
func (u *upstreams) allExcluded(pool string, excluded map[string]bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, t := range u.usable(pool) {
		if !excluded[t.Instance.ID] {
			return false
		}
	}
	return true
}

// errNoSlot is returned if the queue is full, or if no slot becomes free, or is expected to, before the request's deadline.
var errNoSlot = errors.New("no free slot at an upstream")

// acquire takes a slot for a request. If no slot is free, it waits in the fair queue until the request's deadline. It returns
// errNoSlot after the deadline, or at once if the queue is full or the estimated wait is too long. It then also returns the
// estimated wait. It returns context.Canceled if done is closed or the router stops during the wait.
func (u *upstreams) acquire(done <-chan struct{}, w *slotRequest) (slot, time.Duration, error) {
	u.mu.Lock()
	if p, ok := u.tryAcquire(w); ok {
		u.mu.Unlock()
		return p, 0, nil
	}
	estimate := u.estimateWait(w.entry)
	now := u.router.clock.Now()
	if now.Add(estimate).After(w.entry.Deadline) || !u.queue.Push(w.entry) {
		u.mu.Unlock()
		return slot{}, estimate, errNoSlot
	}
	u.waiting[w.entry.ID] = w
	u.mu.Unlock()
	select {
	case p, ok := <-w.granted:
		if !ok {
			return slot{}, estimate, errNoSlot
		}
		return p, 0, nil
	case <-done:
	case <-u.router.ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.queue.Remove(w.entry) {
		// The entry has left the queue, because a slot was granted or the deadline has passed.
		if p, ok := <-w.granted; ok {
			u.chooser.RecordDone(u.router.clock.Now(), p.upstream.Instance.ID, 0, false, w.work)
		}
	}
	delete(u.waiting, w.entry.ID)
	return slot{}, 0, context.Canceled
}

// estimateWait estimates how long a new entry waits in the queue. It returns zero if no upstream is usable. The caller must hold
// the lock.
func (u *upstreams) estimateWait(e limiter.Entry) time.Duration {
	ahead := u.queue.Len(e.Pool, masticway.ClassInteractive)
	if e.Class == masticway.ClassBatch {
		ahead += u.queue.Len(e.Pool, masticway.ClassBatch)
	}
	usable := u.usable(e.Pool)
	if len(usable) == 0 {
		return 0
	}
	return u.chooser.EstimateWait(ahead, candidates(usable))
}

func candidates(list []tracker.Upstream) []chooser.Candidate {
	all := make([]chooser.Candidate, 0, len(list))
	for _, t := range list {
		all = append(all, chooser.Candidate{Instance: t.Instance.ID, Zone: t.Instance.Zone})
	}
	return all
}

// tryAcquire chooses one of the allowed upstreams with free slots, and takes a slot there. It returns false if there is no such
// upstream. The caller must hold the lock.
func (u *upstreams) tryAcquire(w *slotRequest) (slot, bool) {
	var open []tracker.Upstream
	for _, t := range u.usable(w.entry.Pool) {
		own, capacity := u.chooser.InFlight(t.Instance.ID)
		if w.allowed(t) && float64(own) < float64(capacity)*u.router.settings.Queue.Overcommit {
			open = append(open, t)
		}
	}
	now := u.router.clock.Now()
	best, scores := u.chooser.Choose(now, w.work, candidates(open))
	if best < 0 {
		return slot{}, false
	}
	expected := u.chooser.RecordSent(now, open[best].Instance.ID, w.work)
	return slot{upstream: open[best], scores: scores, expectedCached: expected}, true
}

// serveWaiting grants free slots to waiting requests. The caller must hold the lock.
func (u *upstreams) serveWaiting() {
	seen := map[string]bool{}
	for _, w := range u.waiting {
		if !seen[w.entry.Pool] {
			seen[w.entry.Pool] = true
			u.serveWaitingIn(w.entry.Pool)
		}
	}
}

// serveWaitingIn grants free slots to requests waiting for a pool, in the order of the queue. The caller must hold the lock.
func (u *upstreams) serveWaitingIn(pool string) {
	for {
		e, ok := u.queue.Pop(pool)
		if !ok {
			return
		}
		w, ok := u.waiting[e.ID]
		if !ok {
			continue
		}
		p, ok := u.tryAcquire(w)
		if !ok {
			u.queue.PutBack(e)
			return
		}
		delete(u.waiting, e.ID)
		w.granted <- p
	}
}

// releaseSlot frees a slot of an instance, and then grants free slots to waiting requests. took is how long the slot was used.
func (u *upstreams) releaseSlot(instance string, took time.Duration, firstTokenSeen bool, w chooser.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.chooser.RecordDone(u.router.clock.Now(), instance, took, firstTokenSeen, w)
	u.serveWaiting()
}

func (u *upstreams) recordCacheHit(instance string, expected, cached int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.chooser.RecordCacheHit(instance, expected, cached)
}

func (u *upstreams) recordFirstToken(instance string, w chooser.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.chooser.RecordFirstToken(instance, w)
}
