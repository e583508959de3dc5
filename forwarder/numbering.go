package forwarder

import (
	"fmt"
	"math"
	"strconv"
)

const (
	// minSteps is the number of steps from one event to the next up to which a single jump shows that a pool leaves numbers out. Without
	// any jump, its events are assumed to be numbered consecutively.
	minSteps = 16
	// jumpDivisor is the least number of steps for each jump with which a pool counts as numbering its events consecutively later on. A
	// faulty server must not keep gaps from being detected.
	jumpDivisor = 64
	// maxSteps is the number of steps at which the counts are halved, so that they follow changes.
	maxSteps = 1 << 12
)

// numbering is what is known of how servers number the events of their streams. It counts the steps from one event to the next of the
// same answer, and the jumps, which are steps of more than one.
type numbering struct{ steps, jumps int }

// add adds the counts of an answer.
func (n *numbering) add(other numbering) {
	n.steps += other.steps
	n.jumps += other.jumps
	if n.steps >= maxSteps {
		n.steps, n.jumps = n.steps/2, n.jumps/2
	}
}

// isSparse reports whether the servers are known to leave numbers out.
func (n *numbering) isSparse() bool {
	return n.jumps > 0 && (n.steps < minSteps || n.jumps*jumpDivisor > n.steps)
}

// gapError reports that a server was asked to continue a stream and began with a later event than the next.
type gapError struct {
	// after is the ID of the event after which the stream was to continue, and first that of the first event that came.
	after, first string
}

// Error describes the gap.
func (e *gapError) Error() string {
	return fmt.Sprintf("the stream was to continue after event %s, but event %s came", e.after, e.first)
}

// eventStep returns the difference of two event IDs. It returns false if one of them is not a number.
func eventStep(last, id string) (step int64, ok bool) {
	a, b, ok := eventNumbers(last, id)
	if a < 0 && b > math.MaxInt64+a {
		return math.MaxInt64, ok
	}
	if a > 0 && b < math.MinInt64+a {
		return math.MinInt64, ok
	}
	return b - a, ok
}

// eventNumbers returns two event IDs as numbers. It returns false if one of them is not a number.
func eventNumbers(last, id string) (a, b int64, ok bool) {
	a, errLast := strconv.ParseInt(last, 10, 64)
	b, errID := strconv.ParseInt(id, 10, 64)
	return a, b, errLast == nil && errID == nil
}

// recordNumbering adds how an answer numbered its events to what is known of its pool.
func (x *exchange) recordNumbering(n numbering) {
	if n.steps == 0 {
		return
	}
	f := x.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.numberings[x.q.pool.Name] == nil {
		f.numberings[x.q.pool.Name] = &numbering{}
	}
	f.numberings[x.q.pool.Name].add(n)
}

// hasGap reports whether events are missing between two IDs: they are not consecutive, and the pool is not known to leave numbers out.
func (x *exchange) hasGap(last, id string) bool {
	step, ok := eventStep(last, id)
	if !ok || step <= 1 {
		return false
	}
	f := x.f
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.numberings[x.q.pool.Name]
	return n == nil || !n.isSparse()
}
