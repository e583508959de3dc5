package treasurer

import (
	"errors"
	"time"

	"github.com/masticway/masticway"
)

// CompleteStoreCall applies the outcome of a call to the store. It returns the replies to requests that can be answered now.
// The error is a masticway.SealedError if another incarnation has taken over this instance's checkpoint. It is another error
// if a row cannot be decoded.
func (p *Planner) CompleteStoreCall(now time.Time, s StoreCall, reading masticway.RowReading, err error) ([]Reply, error) {
	if s.era != p.era {
		// The planner has entered another era since, and what it had in flight does not count any more.
		return nil, nil
	}
	if !p.isAnswerCurrent(reading, err) {
		// The call met rows of another era. The planner reads and writes its rows again once it has entered that era.
		err = errors.Join(errEraChanged, &masticway.OutcomeUnknownError{Service: "row store", Reason: errEraChanged.Error()})
	}
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
		return p.ServeQueues(now), nil
	}
	p.noteStoreSuccess()
	if s.Write == nil {
		return p.completeRead(now, s, reading)
	}
	return p.completeChange(now, s, reading)
}

// isAnswerCurrent reports whether the outcome of a call does not show another era of the store than that of the planner's rows.
func (p *Planner) isAnswerCurrent(reading masticway.RowReading, err error) bool {
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		return p.noteVersion(conflict.Version)
	}
	return err != nil || p.noteVersion(reading.Version)
}

// noteStoreSuccess records that the store has answered a call. A conflict is an answer too.
func (p *Planner) noteStoreSuccess() {
	p.failingSince = time.Time{}
	p.changeInterval -= min(p.changeInterval, changeIntervalStep)
}

// backOff doubles the interval between changes of grants after the store has refused a call because of its rate limit.
func (p *Planner) backOff() {
	p.changeInterval = min(maxChangeInterval, max(initialChangeInterval, 2*p.changeInterval))
}

// RetryCheckpoint allows the checkpoint to be written at once instead of after probeInterval. It is urgent after an outage:
// until the store has a new checkpoint, a crash of this router costs its workspaces what the rate of the spend limits
// allowed for the whole outage.
func (p *Planner) RetryCheckpoint() { p.checkpointRetryAt = time.Time{} }

// noteStoreFailure records that the store failed a call that was sent at the given time.
func (p *Planner) noteStoreFailure(sentAt time.Time) {
	if p.failingSince.IsZero() {
		p.failingSince = sentAt
	}
}

// noteCallFailure records a failed call. notRun is true if the call has certainly changed nothing. rateLimited is true if
// the store refused the call because of its rate limit.
func (p *Planner) noteCallFailure(s StoreCall, err error) (notRun, rateLimited bool) {
	unavailable, notRun := errors.AsType[*masticway.UnavailableError](err)
	rateLimited = notRun && unavailable.RateLimited
	switch {
	case rateLimited:
		p.backOff()
	case !isRejected(err):
		p.noteStoreFailure(s.sentAt)
	}
	return notRun, rateLimited
}

// isRejected reports whether the store has rejected a write that it would reject again.
func isRejected(err error) bool {
	_, ok := errors.AsType[*masticway.WriteRejectedError](err)
	return ok
}

// NoteTakeOverRejected records that the store has rejected the first checkpoint, so that this incarnation cannot have any grant.
func (p *Planner) NoteTakeOverRejected() { p.isRejected = true }

// failChange records a failed read or a failed change of a grant. If the change may have been made, the account is
// unconfirmed until applyRow gets a newer row.
func (p *Planner) failChange(now time.Time, s StoreCall, err error) {
	notRun, _ := p.noteCallFailure(s, err)
	a, ok := p.accounts[s.Workspace]
	if !ok {
		return
	}
	a.retryAt = now.Add(max(changeRetryInterval, p.changeInterval))
	if isRejected(err) {
		a.retryAt = now.Add(rejectedRetryInterval)
	}
	if notRun {
		p.endChange(s)
		return
	}
	a.unconfirmedReturn = max(a.unconfirmedReturn, a.returning)
	a.unconfirmed, a.rowKnown = true, false
	a.changeInFlight, a.returning = false, 0
}

// endChange records that a workspace's change of the grant is no longer in flight. It does nothing for other calls.
func (p *Planner) endChange(s StoreCall) {
	if a, ok := p.accounts[s.Workspace]; ok {
		a.changeInFlight, a.returning = false, 0
	}
}

// completeChange applies a change that the store has made.
func (p *Planner) completeChange(now time.Time, s StoreCall, reading masticway.RowReading) ([]Reply, error) {
	p.endChange(s)
	if a, ok := p.accounts[s.Workspace]; ok {
		// The row that was written has the grant as this router knows it.
		a.restoring = false
	}
	var rows []masticway.StoredRow
	for _, put := range s.Write.Puts {
		rows = append(rows, masticway.StoredRow{RowKey: put.RowKey, Value: put.Value, Version: reading.Version})
	}
	return p.applyRows(now, s, rows)
}

// completeRead applies a read of all rows of a part. A row that is missing in the read, and was never seen, does not exist.
func (p *Planner) completeRead(now time.Time, s StoreCall, reading masticway.RowReading) ([]Reply, error) {
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

// applyRows applies rows that a call has read or written, or that were returned with a conflict. They were current at some
// time after the call was sent.
func (p *Planner) applyRows(now time.Time, s StoreCall, rows []masticway.StoredRow) ([]Reply, error) {
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

// ApplyChanges applies the rows that a watch of the accounts returned. It ignores those of another era of the store.
//
// Rows that the watch did not return have not changed, so every known row counts as current as of now.
func (p *Planner) ApplyChanges(now time.Time, reading masticway.RowReading) ([]Reply, error) {
	if !p.noteVersion(reading.Version) {
		return nil, nil
	}
	rows := reading.Rows
	var replies []Reply
	for _, a := range p.sortedAccounts {
		if a.rowKnown {
			a.rowSeenAt = now
		}
	}
	for _, r := range rows {
		a, ok := p.accounts[r.Key]
		// The watch returns nothing if an unconfirmed change was not made. Only a read can find that out, so the watch's row
		// is ignored.
		if !ok {
			continue
		}
		if !a.rowKnown && a.unconfirmed {
			// What others have written may still be lost with the store's era.
			if row, err := decodeAccount(r); err == nil {
				a.ignored = row
			}
			continue
		}
		if err := p.applyRow(a, r); err != nil {
			return replies, err
		}
		replies = append(replies, p.serveQueue(now, a)...)
	}
	return replies, nil
}

// applyRow applies a row of a workspace, unless a newer one is known or the row is of another era. A row newer than the known one resolves changes of
// unknown outcome: either it includes them, or they expect a version that is gone and can never be made.
func (p *Planner) applyRow(a *account, r masticway.StoredRow) error {
	if !p.noteVersion(r.Version) {
		return nil
	}
	if r.Version < a.rowVersion {
		return nil
	}
	if r.Version == a.rowVersion {
		// The row is still at the version that changes of unknown outcome expect, so they may yet be made.
		a.rowKnown = true
		return nil
	}
	row, err := decodeAccount(r)
	if err != nil {
		return err
	}
	a.setRow(row)
	a.ignored = Account{}
	a.rowVersion, a.rowKnown = r.Version, true
	p.applyOwnGrant(a)
	p.noteStrays(a)
	a.unconfirmed, a.unconfirmedReturn = false, 0
	if row.Version > a.configVersion {
		a.prepaid, a.configVersion = row.Prepaid, row.Version
	}
	return nil
}

// completeCheckpoint applies the outcome of writing a checkpoint.
func (p *Planner) completeCheckpoint(now time.Time, s StoreCall, reading masticway.RowReading, err error) ([]Reply, error) {
	p.checkpointInFlight = false
	if conflict, ok := errors.AsType[*masticway.RowConflictError](err); ok {
		p.noteStoreSuccess()
		return p.resolveCheckpoint(now, conflict.Rows)
	}
	if err != nil {
		notRun, rateLimited := p.noteCallFailure(s, err)
		if notRun {
			p.dropLimits(s.sequence)
		}
		p.checkpointRetryAt = now.Add(probeInterval)
		if isRejected(err) {
			p.isRejected, p.checkpointRetryAt = true, now.Add(rejectedRetryInterval)
		}
		if rateLimited {
			p.checkpointRetryAt = now.Add(p.changeInterval)
		}
		return p.ServeQueues(now), nil
	}
	p.noteStoreSuccess()
	p.isRejected = false
	p.noteWritten(s.Write)
	p.checkpointLatency += (now.Sub(s.sentAt) - p.checkpointLatency) / 4
	p.checkpointVersion = reading.Version
	p.keepOnlyLimits(s.sequence)
	p.checkpoint.Basis = reading.StoreTime
	p.checkpointBasis, p.checkpointBasisSentAt = now, s.sentAt
	return p.ServeQueues(now), nil
}

// keepOnlyLimits leaves only the spend limits of the checkpoint with the given sequence number in force.
func (p *Planner) keepOnlyLimits(sequence int64) {
	for _, f := range p.limitsInForce {
		if f.sequence == sequence {
			p.limitsInForce = []checkpointLimits{f}
			return
		}
	}
}

// dropLimits drops the spend limits of the checkpoint with the given sequence number. The caller must know that the store
// does not have the checkpoint.
func (p *Planner) dropLimits(sequence int64) {
	for i, f := range p.limitsInForce {
		if f.sequence == sequence {
			p.limitsInForce = append(p.limitsInForce[:i:i], p.limitsInForce[i+1:]...)
			return
		}
	}
}

// resolveCheckpoint handles a conflict at the write of a checkpoint. The conflict returns the row that the store has. If an
// earlier write of this incarnation with unknown outcome wrote the row, the limits of that checkpoint are the only ones in
// force. If a successor wrote it, the result is a masticway.SealedError. If the store has no row, or an older one, because it has
// returned from a copy, the next checkpoint replaces that.
func (p *Planner) resolveCheckpoint(now time.Time, rows []masticway.StoredRow) ([]Reply, error) {
	p.checkpointVersion = 0
	for _, r := range rows {
		if r.Key != p.checkpointKey().Key {
			continue
		}
		checkpoint, err := decode[Checkpoint](r)
		if err != nil {
			return nil, err
		}
		if checkpoint.Incarnation != p.settings.Incarnation && checkpoint.supersedes(p.checkpoint) {
			return nil, &masticway.SealedError{Incarnation: p.settings.Incarnation}
		}
		p.checkpointVersion = r.Version
		if checkpoint.Incarnation != p.settings.Incarnation || checkpoint.Era != p.era {
			p.checkpointLost = true
			continue
		}
		// The store's clock at that write is unknown. The older checkpointBasis is kept, which only makes the limits count
		// from an earlier time.
		p.keepOnlyLimits(checkpoint.Sequence)
	}
	return p.ServeQueues(now), nil
}

// TakeOver returns the write that replaces the predecessor's checkpoint by this incarnation's first one. The caller must
// make the write before it calls CompleteTakeOver. rows are those of the predecessor's checkpoint, and era and now are the store's era
// and clock when they were read. listening is an upper bound of the store's clock at the time at which this process began to listen.
func (p *Planner) TakeOver(rows CheckpointRows, era int64, now, listening time.Duration) (masticway.RowWrite, error) {
	old, obsolete, err := rows.decode()
	if err != nil {
		return masticway.RowWrite{}, err
	}
	if !old.HasRows {
		old.LimitRows = len(encodeLimits(old.Limits, p.settings.maxRowBytes()))
	}
	next := old.successor(startInfo{incarnation: p.settings.Incarnation, address: p.settings.Address, era: era, now: now, listening: listening})
	next.AckedAt = p.checkpoint.AckedAt
	key := p.checkpointKey()
	write := masticway.RowWrite{Expected: []masticway.RowVersion{{RowKey: key, Version: rows.Checkpoint.Version}}}
	for _, e := range next.Ended {
		if rows.hasEnded(e.Incarnation) {
			continue
		}
		puts := e.rows(key.Part, p.settings.maxRowBytes())
		if old.HasRows {
			// The rows with the spend limits stay as they are.
			puts = puts[len(puts)-1:]
		}
		write.Puts = append(write.Puts, puts...)
	}
	write.Puts = append(write.Puts, masticway.RowPut{RowKey: key, Value: next.encodeOwnRow()})
	p.checkpoint, p.obsoleteRows, p.lostRows = next, obsolete, nil
	return write, nil
}

// CompleteTakeOver records that the store has this incarnation's first checkpoint. version is the row's version, and at the
// store's clock at the write.
func (p *Planner) CompleteTakeOver(now time.Time, version int64, at time.Duration) {
	p.started, p.startedAt = true, now
	// A store whose first era has not ended has lost nothing.
	p.era = masticway.StoreEra(version)
	p.mustEnterEra = p.era > 0
	p.checkpointVersion = version
	p.checkpoint.Basis = at
	p.checkpointBasis = now
	p.checkpointSentAt = now
	p.isRejected = false
	p.limitsInForce = []checkpointLimits{{basis: now, limits: map[string]SpendLimit{}}}
}

// Predecessors lists the ended incarnations of this instance whose grants may still be open.
func (p *Planner) Predecessors() []EndedIncarnation { return p.checkpoint.Ended }

// ForgetPredecessors makes later checkpoints omit the predecessors. The caller must have closed all of their grants.
func (p *Planner) ForgetPredecessors() {
	part := p.checkpointKey().Part
	for _, e := range p.checkpoint.Ended {
		p.obsoleteRows = append(p.obsoleteRows, endedKey(e.Incarnation, part))
		for number := range e.LimitRows {
			p.obsoleteRows = append(p.obsoleteRows, limitKey(e.Incarnation, part, number))
		}
	}
	p.checkpoint.Ended, p.lostRows, p.checkpoint.ClosedBefore = nil, nil, p.checkpoint.Generation
}

// Close makes the planner return the free tokens of its grants and the unused loans, and lend nothing more.
func (p *Planner) Close() { p.closing = true }

// FinalCheckpoint returns the write of the last checkpoint. Its limits allow nothing beyond what is taken. FinalCheckpoint
// returns false until Close was called, all free tokens of the grants have been returned, and no other checkpoint is in
// flight.
func (p *Planner) FinalCheckpoint(now time.Time) (StoreCall, bool) {
	if !p.started || p.checkpointInFlight || !p.closing {
		return StoreCall{}, false
	}
	for _, a := range p.sortedAccounts {
		if !a.isGrantKnown() || p.grantDelta(now, a) < 0 {
			return StoreCall{}, false
		}
	}
	// Responses for holds that are not settled yet may be sent after this checkpoint, so it covers all that is taken.
	return p.writeLimits(now, func(a *account) SpendLimit { return SpendLimit{Taken: a.taken} }), true
}
