package forwarder

import "sync"

const (
	// minKeptShare is the least share of what was charged for a workspace's whole answers that is charged for abandoned ones before any
	// charge is waived. Few answers look abandoned although their callers got all that they wanted; these stay charged, so that no
	// budget is overspent for them.
	minKeptShare = 0.01
	// maxWaivedShare is the largest such share that is waived, so that a caller that reads only the first events of each answer does not
	// get all prompts processed for nothing.
	maxWaivedShare = 1.0
	// maxWaiverWorkspaces bounds the number of workspaces for which charges are waived.
	maxWaiverWorkspaces = 4096
)

// waiver has what this router has charged for a workspace's whole answers, and what it has charged and not charged for answers that
// their callers abandoned, in tokens.
type waiver struct{ charged, kept, waived int64 }

// waivers decides which abandoned answers are not charged. A workspace pays for whole answers and for what a failure cut off, but not
// for what its callers gave up. If all of that were charged, the budget of a workspace whose callers often give up would be found
// exhausted early.
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

// waive reports whether the charge for an abandoned answer is waived, and records it.
func (w *waivers) waive(workspace string, tokens int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.byWorkspace[workspace]
	if !ok {
		// No whole answer was charged.
		return false
	}
	charged := float64(known.charged)
	isWaived := float64(known.kept) >= minKeptShare*charged && float64(known.waived+tokens) <= maxWaivedShare*charged
	if isWaived {
		known.waived += tokens
	} else {
		known.kept += tokens
	}
	w.byWorkspace[workspace] = known
	return isWaived
}
