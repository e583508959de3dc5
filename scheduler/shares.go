package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// A group becomes contended when the mean pending prefill time of its engines, in milliseconds, is above contendedAbove, and is so
	// until it is below contendedUntil.
	contendedAbove = 150.0
	contendedUntil = 75.0
	// maxCountedPrefill bounds the pending prefill time of one engine in this mean. A frozen engine would otherwise make a group
	// contended whose other engines are free.
	maxCountedPrefill = 4 * contendedAbove
	// contentionInterval and shareInterval are the minimum intervals at which the contention and the fair share are determined.
	contentionInterval = 20 * time.Millisecond
	shareInterval      = 100 * time.Millisecond
	// useDecay is the time constant with which the use of a workspace decays, and idleAfter the time without a run after which it is
	// removed; less than 1% of the use is then left.
	useDecay  = 2 * time.Second
	idleAfter = 10 * time.Second
	// maxWorkspaces bounds the memory. Runs of workspaces beyond it have level 0.
	maxWorkspaces = 4096
	// servedShare is the largest share of the total use that is divided in fair shares. With the whole, each workspace would be entitled
	// to what it uses. It must be over 1/levelOneShare, so that workspaces with equal uses have level 0.
	servedShare = 0.75
	// levelOneShare and levelTwoShare are the multiples of the fair share above which a run has level 1 and level 2.
	levelOneShare = 1.5
	levelTwoShare = 3.0
	maxLevel      = 2
)

// workspaceUse is the number of tokens of a workspace's placed runs, decayed by their age, as of the time at.
type workspaceUse struct {
	tokens float64
	at     time.Time
}

// decayed returns the use at a later time.
func (u workspaceUse) decayed(now time.Time) float64 { return u.tokens * useShare(now.Sub(u.at)) }

// useShare returns the share of a use that is left after a time.
func useShare(d time.Duration) float64 {
	return math.Exp(-max(0, d).Seconds() / useDecay.Seconds())
}

// fairShares compares the uses of the workspaces of a group while its engines are contended.
type fairShares struct {
	isContended bool
	uses        map[string]workspaceUse
	// capacity is the number of tokens that the engines prefill in useDecay: the total use with which they are just busy.
	capacity float64
	// share is the fair share of a workspace in tokens of decayed use. It is valid while the group is contended.
	share                  float64
	contentionAt, sharesAt time.Time
	buffer                 []float64
}

// charge adds the tokens of a run that is now at an engine to the use of its workspace. What was charged for an earlier engine of the
// same run is not charged again.
func (f *fairShares) charge(now time.Time, r *run) {
	tokens := r.uncached + r.output
	added := float64(tokens-r.charged) * useShare(now.Sub(r.sentAt))
	r.charged = tokens
	u, ok := f.uses[r.workspace]
	if !ok && len(f.uses) >= maxWorkspaces {
		return
	}
	f.uses[r.workspace] = workspaceUse{tokens: max(0, u.decayed(now)+added), at: now}
}

// expire removes idle workspaces.
func (f *fairShares) expire(now time.Time) {
	for w, u := range f.uses {
		if now.Sub(u.at) >= idleAfter {
			delete(f.uses, w)
		}
	}
}

// level returns how far the use of a workspace exceeds its fair share: 0, 1 or 2. It is 0 while the group is not contended.
func (f *fairShares) level(now time.Time, workspace string) int {
	u, ok := f.uses[workspace]
	if !f.isContended || !ok {
		return 0
	}
	if d := now.Sub(f.sharesAt); d < 0 || d >= shareInterval {
		f.sharesAt = now
		f.updateShare(now)
	}
	switch use := u.decayed(now); {
	case use > levelTwoShare*f.share:
		return maxLevel
	case use > levelOneShare*f.share:
		return 1
	}
	return 0
}

// updateShare computes the max-min fair share of the engines' capacity, or of servedShare of the total use if that is less:
// workspaces that use less leave the rest to others. It is at least servedShare of the mean use, because otherwise all of many equal
// workspaces would exceed it when the engines get a multiple of what they can prefill.
func (f *fairShares) updateShare(now time.Time) {
	f.buffer = f.buffer[:0]
	for _, u := range f.uses {
		f.buffer = append(f.buffer, u.decayed(now))
	}
	slices.Sort(f.buffer)
	// The sum does not depend on the order of the map, so that the same input gives the same choices.
	total := 0.0
	for _, use := range f.buffer {
		total += use
	}
	rest := min(servedShare*total, f.capacity)
	f.share = 0
	for i, use := range f.buffer {
		if f.share = rest / float64(len(f.buffer)-i); use >= f.share {
			break
		}
		rest -= use
	}
	f.share = max(f.share, servedShare*total/float64(len(f.buffer)))
}

// IsContended reports whether workspaces compete for the engines, as of the last choice or Expire.
func (e *Engines) IsContended() bool { return e.shares.isContended }

// updateContention determines whether the group is contended, at most once per contentionInterval.
func (e *Engines) updateContention(now time.Time) {
	f := &e.shares
	if d := now.Sub(f.contentionAt); d >= 0 && d < contentionInterval {
		return
	}
	f.contentionAt = now
	total, count := 0.0, 0
	f.capacity = 0
	for _, n := range e.engines {
		if n.isOpen(now) {
			total += min(maxCountedPrefill, n.remainingPrefill(now)/n.speed.current)
			f.capacity += n.speed.current * milliseconds(useDecay)
			count++
		}
	}
	limit := contendedAbove
	if f.isContended {
		limit = contendedUntil
	}
	f.isContended = total > limit*float64(count)
}
