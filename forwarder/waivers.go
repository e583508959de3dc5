package forwarder

import "sync"

const (
	// maxWaivedShare is the largest share of what was charged for a workspace's whole answers that is waived. Without a bound, a
	// caller that reads nearly all of each answer would pay for none.
	maxWaivedShare = 1.0
	// maxWaiverWorkspaces bounds the number of workspaces for which charges are waived.
	maxWaiverWorkspaces = 4096
)

// waiver has what this router has charged for a workspace's whole answers, and what it has not charged for answers that their
// callers gave up, in tokens.
type waiver struct{ charged, waived int64 }

// waivers decides which answers that were given up are not charged. The users' count of what a workspace got has whole answers and
// those that a failure cut off, but no answer that its caller gave up. If these were charged, the budget of a workspace whose callers
// often give up would be found exhausted early.
type waivers struct {
	mu          sync.Mutex
	byWorkspace map[string]waiver
}

// recordCharge records what was charged for a whole answer.
func (w *waivers) recordCharge(workspace string, tokens int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.byWorkspace[workspace]
	if !ok && len(w.byWorkspace) >= maxWaiverWorkspaces {
		return
	}
	if w.byWorkspace == nil {
		w.byWorkspace = map[string]waiver{}
	}
	known.charged += tokens
	w.byWorkspace[workspace] = known
}

// waive reports whether the charge for an answer that was given up is waived, and records it.
func (w *waivers) waive(workspace string, tokens int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byWorkspace[workspace]
	if float64(known.waived+tokens) > maxWaivedShare*float64(known.charged) {
		return false
	}
	known.waived += tokens
	w.byWorkspace[workspace] = known
	return true
}
