package treasurer

import (
	"errors"
	"time"

	"github.com/masticway/masticway"
)

// CompleteStep takes the outcome of a step and returns the requests that it answers. It fails with a masticway.SealedError
// when another incarnation has taken over this instance's book, and with decoding errors.
func (p *Planner) CompleteStep(now time.Time, s Step, reading masticway.RowReading, err error) ([]Reply, error) {
	if s.Part == "" {
		return p.completeCheckpoint(now, s, reading, err)
	}
	if s.Write == nil {
		p.readsInFlight[s.Part] = false
	}
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		p.noteStoreSuccess()
		p.endChange(s)
		return p.applyRows(now, s, conflict.Rows)
	}
	if err != nil {
		p.failChange(now, s, err)
		return p.Tick(now), nil
	}
	p.noteStoreSuccess()
	if s.Write == nil {
		return p.completeRead(now, s, reading)
	}
	return p.completeChange(now, s, reading)
}

func (p *Planner) noteStoreSuccess() {
	p.failingSince = time.Time{}
	p.changeInterval -= min(p.changeInterval, changeIntervalStep)
}

// backOff spaces the changes of grants out further: the store has refused one for its rate.
func (p *Planner) backOff() {
	p.changeInterval = min(maxChangeInterval, max(initialChangeInterval, 2*p.changeInterval))
}

// RetryCheckpoint lets the book be written at once: until the store has it, the death of this router costs its workspaces
// what the promised rate allowed for the whole outage.
func (p *Planner) RetryCheckpoint() { p.checkpointRetryAt = time.Time{} }

// noteStoreFailure notes that the store failed a call that was sent at a time.
func (p *Planner) noteStoreFailure(sentAt time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = sentAt
	}
}

// noteStepFailure notes a step that failed; it tells whether nothing was done for certain, and whether that was for the rate.
func (p *Planner) noteStepFailure(s Step, err error) (nothing, busy bool) {
	unavailable, nothing := errors.AsType[*masticway.UnavailableError](err)
	busy = nothing && unavailable.RateLimited
	if busy {
		p.backOff()
	} else {
		p.noteStoreFailure(s.sentAt)
	}
	return nothing, busy
}

// failChange notes a step that brought nothing; a change whose outcome is unknown stays pending until the row is seen.
func (p *Planner) failChange(now time.Time, s Step, err error) {
	nothing, _ := p.noteStepFailure(s, err)
	a, ok := p.accounts[s.Workspace]
	if !ok {
		return
	}
	a.retryAt = now.Add(max(changeRetryInterval, p.changeInterval))
	if nothing {
		p.endChange(s)
		return
	}
	a.unconfirmedReturn = max(a.unconfirmedReturn, a.returning)
	a.unconfirmed, a.rowKnown = true, false
	a.changeInFlight, a.returning = false, 0
}

// endChange notes that a step's write is not under way any more.
func (p *Planner) endChange(s Step) {
	if a, ok := p.accounts[s.Workspace]; ok {
		a.changeInFlight, a.returning = false, 0
	}
}

// completeChange notes a committed change: its rows tell the grants from now on.
func (p *Planner) completeChange(now time.Time, s Step, reading masticway.RowReading) ([]Reply, error) {
	p.endChange(s)
	var rows []masticway.StoredRow
	for _, put := range s.Write.Puts {
		rows = append(rows, masticway.StoredRow{RowKey: put.RowKey, Value: put.Value, Version: reading.Version})
	}
	return p.applyRows(now, s, rows)
}

// completeRead notes a reading of a whole part, where a missing row is one that does not exist.
func (p *Planner) completeRead(now time.Time, s Step, reading masticway.RowReading) ([]Reply, error) {
	found := map[string]bool{}
	for _, r := range reading.Rows {
		found[r.Key] = true
	}
	for workspace, a := range p.accounts {
		if PartOf(workspace, p.settings.Parts) == s.Part && !found[workspace] && a.rowVersion == 0 {
			a.rowKnown = true
			a.rowSeenAt = s.sentAt
			a.setRow(Account{Prepaid: a.prepaid, Version: a.configVersion})
		}
	}
	return p.applyRows(now, s, reading.Rows)
}

// applyRows takes rows as the store had them after a step was sent.
func (p *Planner) applyRows(now time.Time, s Step, rows []masticway.StoredRow) ([]Reply, error) {
	var replies []Reply
	for _, r := range rows {
		a, ok := p.accounts[r.Key]
		if !ok {
			continue
		}
		if err := p.applyRow(a, r); err != nil {
			return replies, err
		}
		if a.rowKnown {
			a.rowSeenAt = s.sentAt
		}
		replies = append(replies, p.serveQueue(now, a)...)
	}
	return replies, nil
}

// ApplyChanges takes rows that a feed of the accounts brought.
//
// The rows that it did not bring have not changed, so everything known is as fresh as the feed's answer.
func (p *Planner) ApplyChanges(now time.Time, rows []masticway.StoredRow) ([]Reply, error) {
	var replies []Reply
	for _, a := range p.sortedAccounts {
		if a.rowKnown {
			a.rowSeenAt = now
		}
	}
	for _, r := range rows {
		a, ok := p.accounts[r.Key]
		// A change whose outcome is unknown is left to a look-up, which also finds that it was not made.
		if !ok || !a.rowKnown && a.unconfirmed {
			continue
		}
		if err := p.applyRow(a, r); err != nil {
			return replies, err
		}
		replies = append(replies, p.serveQueue(now, a)...)
	}
	return replies, nil
}

// applyRow takes a newer row of a workspace. Changes without an answer are resolved by any newer row: either the row
// has them, or the version that they expected is gone and they can never be made.
func (p *Planner) applyRow(a *account, r masticway.StoredRow) error {
	if r.Version < a.rowVersion {
		return nil
	}
	if r.Version == a.rowVersion {
		// Read again at the version that changes without an answer expect: they may still be made.
		a.rowKnown = true
		return nil
	}
	row, err := decode[Account](r)
	if err != nil {
		return err
	}
	a.setRow(row)
	a.rowVersion, a.rowKnown = r.Version, true
	a.granted = row.Grants[p.settings.Incarnation].Granted
	a.unconfirmed, a.unconfirmedReturn = false, 0
	if row.Version > a.configVersion {
		a.prepaid, a.configVersion = row.Prepaid, row.Version
	}
	return nil
}

// completeCheckpoint takes the outcome of a write of the book.
func (p *Planner) completeCheckpoint(now time.Time, s Step, reading masticway.RowReading, err error) ([]Reply, error) {
	p.checkpointInFlight = false
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		p.noteStoreSuccess()
		return p.resolveCheckpoint(now, conflict.Rows)
	}
	if err != nil {
		nothing, busy := p.noteStepFailure(s, err)
		if nothing {
			p.dropLimits(s.sequence)
		}
		p.checkpointRetryAt = now.Add(probeInterval)
		if busy {
			p.checkpointRetryAt = now.Add(p.changeInterval)
		}
		return p.Tick(now), nil
	}
	p.noteStoreSuccess()
	p.checkpointLatency += (now.Sub(s.sentAt) - p.checkpointLatency) / 4
	p.checkpointVersion = reading.Version
	p.keepOnlyLimits(s.sequence)
	p.checkpoint.Basis = reading.StoreTime
	p.checkpointBasis = now
	return p.Tick(now), nil
}

// keepOnlyLimits makes one promise the only one in force.
func (p *Planner) keepOnlyLimits(sequence int64) {
	for _, f := range p.limitsInForce {
		if f.sequence == sequence {
			p.limitsInForce = []checkpointLimits{f}
			return
		}
	}
}

// dropLimits forgets a promise that the store certainly does not have.
func (p *Planner) dropLimits(sequence int64) {
	for i, f := range p.limitsInForce {
		if f.sequence == sequence {
			p.limitsInForce = append(p.limitsInForce[:i:i], p.limitsInForce[i+1:]...)
			return
		}
	}
}

// resolveCheckpoint finds which of the writes without an answer was made after all.
func (p *Planner) resolveCheckpoint(now time.Time, rows []masticway.StoredRow) ([]Reply, error) {
	for _, r := range rows {
		if r.Key != p.checkpointKey().Key {
			continue
		}
		book, err := decode[Checkpoint](r)
		if err != nil {
			return nil, err
		}
		if book.Incarnation != p.settings.Incarnation {
			return nil, &masticway.SealedError{Incarnation: p.settings.Incarnation}
		}
		p.checkpointVersion = r.Version
		// The store's clock at that write is not known; the older basis is the safe one.
		p.keepOnlyLimits(book.Sequence)
	}
	return p.Tick(now), nil
}

// TakeOver returns the book of a new incarnation from its predecessor's row; the caller writes it, then tells Began. The
// store's clock showed now when the row was read, and listening at the latest when this process began to listen.
func (p *Planner) TakeOver(row masticway.StoredRow, now, listening time.Duration) (masticway.RowWrite, error) {
	old, err := decode[Checkpoint](row)
	if err != nil {
		return masticway.RowWrite{}, err
	}
	next := old.successor(startInfo{incarnation: p.settings.Incarnation, address: p.settings.Address, now: now, listening: listening})
	key := p.checkpointKey()
	p.checkpoint = next
	return masticway.RowWrite{
		Expected: []masticway.RowVersion{{RowKey: key, Version: row.Version}},
		Puts:     []masticway.RowPut{{RowKey: key, Value: encode(next)}},
	}, nil
}

// CompleteTakeOver notes that the store has this incarnation's first book.
func (p *Planner) CompleteTakeOver(now time.Time, version int64, at time.Duration) {
	p.started, p.startedAt = true, now
	p.checkpointVersion = version
	p.checkpoint.Basis = at
	p.checkpointBasis = now
	p.checkpointSentAt = now
	p.limitsInForce = []checkpointLimits{{basis: now, limits: map[string]SpendLimit{}}}
}

// Predecessors lists the ended incarnations whose grants are still open.
func (p *Planner) Predecessors() []EndedIncarnation { return p.checkpoint.Ended }

// ForgetPredecessors notes that the grants of all predecessors are closed; the next write of the book leaves them out.
func (p *Planner) ForgetPredecessors() { p.checkpoint.Ended = nil }

// Close makes the purse give everything back that is not held.
func (p *Planner) Close() { p.closing = true }

// FinalCheckpoint returns the last write of the book once everything is given back that can be: each promise then says what
// was taken, and nothing more will be.
func (p *Planner) FinalCheckpoint(now time.Time) (Step, bool) {
	if !p.started || p.checkpointInFlight || !p.closing {
		return Step{}, false
	}
	for _, a := range p.sortedAccounts {
		if !a.isGrantKnown() || p.grantDelta(now, a) < 0 {
			return Step{}, false
		}
	}
	step := p.writeCheckpoint(now)
	last := p.limitsInForce[len(p.limitsInForce)-1].limits
	for workspace := range last {
		// What is still under way may be answered after this book.
		last[workspace] = SpendLimit{Taken: p.accounts[workspace].taken}
	}
	step.Write.Puts[0].Value = encode(p.checkpoint)
	return step, true
}
