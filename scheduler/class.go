package scheduler

import (
	"slices"

	"github.com/masticway/masticway/chooser"
)

// An engine becomes slow below slowShare of the group's median speed, and normal again above slowUntil. It becomes fast above
// fastShare, and normal again below fastUntil. The differences prevent that homes of prompts move with each small change of a speed.
const (
	slowShare = 0.7
	slowUntil = 0.85
	fastShare = 1.5
	fastUntil = 1.3
)

// speedClass is the class of an engine's speed relative to the group's median.
type speedClass int

const (
	normalSpeed speedClass = iota
	slowSpeed
	fastSpeed
)

// next returns the class of an engine whose speed is now a share of the median. isKnown is set if the engine's samples have at least
// the weight of the prior. A single sample can raise a speed to 1.8 of the median, for example if parts were cached that the owner
// does not know of, so other engines do not become fast.
func (c speedClass) next(share float64, isKnown bool) speedClass {
	switch {
	case share < slowShare, c == slowSpeed && share <= slowUntil:
		return slowSpeed
	case share > fastShare && isKnown, c == fastSpeed && share >= fastUntil:
		return fastSpeed
	}
	return normalSpeed
}

// homeShare returns the relative number of prompts whose home is an engine of this class.
func (c speedClass) homeShare() float64 {
	switch c {
	case slowSpeed:
		return chooser.SlowShare
	case fastSpeed:
		return chooser.FastShare
	}
	return 1
}

// SlowEngines returns the IDs of the slow engines, sorted. They are the home of half as many prompts as normal ones.
func (e *Engines) SlowEngines() []string { return slices.Clone(e.slow) }

// FastEngines returns the IDs of the fast engines, sorted. They are the home of twice as many prompts as normal ones.
func (e *Engines) FastEngines() []string { return slices.Clone(e.fast) }
