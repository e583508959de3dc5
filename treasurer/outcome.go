package treasurer

import (
	"errors"
	"time"

	"github.com/masticway/masticway"
)

// CompleteStep applies the outcome of a step and returns the replies that result. It fails with a masticway.SealedError if
// another incarnation has taken over this instance's checkpoint, or if a row cannot be decoded.
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

// backOff doubles the interval between changes of grants after the store has refused a call because of its rate limit.
func (p *Planner) backOff() {
	p.changeInterval = min(maxChangeInterval, max(initialChangeInterval, 2*p.changeInterval))
}

// RetryCheckpoint allows the checkpoint to be written at once. Until the store has it, a crash of this router costs its
// workspaces what the rate of the spend limits allowed for the whole outage.
func (p *Planner) RetryCheckpoint() { p.checkpointRetryAt = time.Time{} }

// noteStoreFailure records that the store failed a call sent at the given time.
func (p *Planner) noteStoreFailure(sentAt time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = sentAt
	}
}

// noteStepFailure records a failed step. It reports whether the step certainly changed nothing, and whether the store
// refused it because of its rate limit.
func (p *Planner) noteStepFailure(s Step, err error) (notRun, rateLimited bool) {
	unavailable, notRun := errors.AsType[*masticway.UnavailableError](err)
	rateLimited = notRun && unavailable.RateLimited
	if rateLimited {
		p.backOff()
	} else {
		p.noteStoreFailure(s.sentAt)
	}
	return notRun, rateLimited
}

// failChange records a failed read or change of accounts. A change of unknown outcome remains unconfirmed until a newer row
// is read.
func (p *Planner) failChange(now time.Time, s Step, err error) {
	notRun, _ := p.noteStepFailure(s, err)
	a, ok := p.accounts[s.Workspace]
	if !ok {
		return
	}
	a.retryAt = now.Add(max(changeRetryInterval, p.changeInterval))
	if notRun {
		p.endChange(s)
		return
	}
	a.unconfirmedReturn = max(a.unconfirmedReturn, a.returning)
	a.unconfirmed, a.rowKnown = true, false
	a.changeInFlight, a.returning = false, 0
}

// endChange records that a step's change is no longer in flight.
func (p *Planner) endChange(s Step) {
	if a, ok := p.accounts[s.Workspace]; ok {
		a.changeInFlight, a.returning = false, 0
	}
}

// completeChange applies a committed change.
func (p *Planner) completeChange(now time.Time, s Step, reading masticway.RowReading) ([]Reply, error) {
	p.endChange(s)
	var rows []masticway.StoredRow
	for _, put := range s.Write.Puts {
		rows = append(rows, masticway.StoredRow{RowKey: put.RowKey, Value: put.Value, Version: reading.Version})
	}
	return p.applyRows(now, s, rows)
}

// completeRead applies a read of a whole part; a row that is missing there does not exist.
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

// applyRows applies rows that were read, or returned with a conflict, after the step was sent.
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

// ApplyChanges applies the rows that a watch of the accounts returned.
//
// All other rows have not changed, so every known row is as fresh as the watch's answer.
func (p *Planner) ApplyChanges(now time.Time, rows []masticway.StoredRow) ([]Reply, error) {
	var replies []Reply
	for _, a := range p.sortedAccounts {
		if a.rowKnown {
			a.rowSeenAt = now
		}
	}
	for _, r := range rows {
		a, ok := p.accounts[r.Key]
		// The outcome of a change is found out by a read, which also finds that the change was not made.
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

// applyRow applies a newer row of a workspace. Any newer row resolves changes of unknown outcome: either it includes them,
// or the version that they expected is gone and they can never be made.
func (p *Planner) applyRow(a *account, r masticway.StoredRow) error {
	if r.Version < a.rowVersion {
		return nil
	}
	if r.Version == a.rowVersion {
		// The row is still at the version that changes of unknown outcome expect, so they may yet be made.
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

// completeCheckpoint applies the outcome of writing a checkpoint.
func (p *Planner) completeCheckpoint(now time.Time, s Step, reading masticway.RowReading, err error) ([]Reply, error) {
	p.checkpointInFlight = false
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		p.noteStoreSuccess()
		return p.resolveCheckpoint(now, conflict.Rows)
	}
	if err != nil {
		notRun, rateLimited := p.noteStepFailure(s, err)
		if notRun {
			p.dropLimits(s.sequence)
		}
		p.checkpointRetryAt = now.Add(probeInterval)
		if rateLimited {
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

// keepOnlyLimits leaves only the spend limits of the given checkpoint in force.
func (p *Planner) keepOnlyLimits(sequence int64) {
	for _, f := range p.limitsInForce {
		if f.sequence == sequence {
			p.limitsInForce = []checkpointLimits{f}
			return
		}
	}
}

// dropLimits drops the spend limits of a checkpoint that the store certainly does not have.
func (p *Planner) dropLimits(sequence int64) {
	for i, f := range p.limitsInForce {
		if f.sequence == sequence {
			p.limitsInForce = append(p.limitsInForce[:i:i], p.limitsInForce[i+1:]...)
			return
		}
	}
}

// resolveCheckpoint finds out which of the checkpoints of unknown outcome the store has.
func (p *Planner) resolveCheckpoint(now time.Time, rows []masticway.StoredRow) ([]Reply, error) {
	for _, r := range rows {
		if r.Key != p.checkpointKey().Key {
			continue
		}
		checkpoint, err := decode[Checkpoint](r)
		if err != nil {
			return nil, err
		}
		if checkpoint.Incarnation != p.settings.Incarnation {
			return nil, &masticway.SealedError{Incarnation: p.settings.Incarnation}
		}
		p.checkpointVersion = r.Version
		// The store's clock at that write is unknown; the older basis is safe.
		p.keepOnlyLimits(checkpoint.Sequence)
	}
	return p.Tick(now), nil
}

// TakeOver returns the write that replaces the checkpoint row of the predecessor, which the caller must make before it
// calls CompleteTakeOver. now is the store's clock when the row was read, listening an upper bound of it when this process
// began to listen.
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

// CompleteTakeOver records that the store has this incarnation's first checkpoint.
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

// ForgetPredecessors records that the grants of all predecessors are closed; the next checkpoint omits them.
func (p *Planner) ForgetPredecessors() { p.checkpoint.Ended = nil }

// Close makes the planner return all that is not held.
func (p *Planner) Close() { p.closing = true }

// FinalCheckpoint returns the last checkpoint once all that can be returned has been: its limits are what was taken, and
// nothing more will be taken.
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
	limits := p.limitsInForce[len(p.limitsInForce)-1].limits
	for workspace := range limits {
		// Responses still in progress may be sent after this checkpoint.
		limits[workspace] = SpendLimit{Taken: p.accounts[workspace].taken}
	}
	step.Write.Puts[0].Value = encode(p.checkpoint)
	return step, true
}
