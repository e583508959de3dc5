package bookkeeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/keeper"
)

const (
	// maxCommitAttempts limits how often update tries to commit one change. An attempt fails if another writer conflicts or
	// the answer is lost.
	maxCommitAttempts = 40
	// After a conflict a writer waits for a random time, so that the writers do not conflict again. The time is below
	// 2*minBackoff at first; this limit doubles with each further attempt up to maxBackoff. Without the random wait,
	// eight concurrent writers gave up in 8 of 200 runs.
	minBackoff = 200 * time.Microsecond
	maxBackoff = 20 * time.Millisecond
	// extraDrawShare limits a draw while other payers have open grants: beyond its need, the draw takes at most this share
	// of the money that remains after the need.
	extraDrawShare = 0.5
)

// Ledger reads and writes the rows of money and of recoveries.
type Ledger struct {
	table masticway.Table
}

// New returns a ledger that uses the given table.
func New(t masticway.Table) *Ledger { return &Ledger{table: t} }

// errAlreadyDone is what change returns to update if there is nothing to write, usually because an earlier attempt was
// committed.
var errAlreadyDone = errors.New("nothing to commit")

// update reads the row key, calls change to compute a transaction from it, and commits that on condition that the row is
// unchanged. After a conflict on this row, and if the outcome of a commit is unknown, it starts again, up to
// maxCommitAttempts times. It returns any other error, also that of a conflict on another row.
//
// After a lost answer, change sees the row that its own write may have changed. If it recognizes that write, it returns
// errAlreadyDone, and update returns nil.
func update[T any](ctx context.Context, t masticway.Table, key, id string, change func(v T, version int64) ([]masticway.Condition, []masticway.Put, error)) error {
	var commitErr error
	for attempt := range maxCommitAttempts {
		if attempt > 0 {
			backoff(ctx, attempt)
		}
		row, err := t.Get(ctx, key)
		if err != nil {
			return keepUnknown(commitErr, err, id)
		}
		value, err := decode[T](row)
		if err != nil {
			return err
		}
		conditions, puts, err := change(value, row.Version)
		if errors.Is(err, errAlreadyDone) {
			return nil
		}
		if err != nil {
			return err
		}
		conditions = append(conditions, masticway.Condition{Key: key, Version: row.Version})
		commitErr = t.Commit(ctx, masticway.Transaction{ID: id, Conditions: conditions, Puts: puts})
		if commitErr == nil {
			return nil
		}
		if _, ok := errors.AsType[*masticway.UnavailableError](commitErr); ok {
			return commitErr
		}
		if conflict, ok := errors.AsType[*masticway.ConflictError](commitErr); ok && conflict.Key != key {
			return commitErr
		}
		if ctx.Err() != nil {
			return keepUnknown(commitErr, ctx.Err(), id)
		}
	}
	return fmt.Errorf("updating %s, %d attempts: %w", key, maxCommitAttempts, commitErr)
}

// backoff waits for a random time, or until ctx is done. The upper limit of the time grows with the number of attempts (see
// minBackoff).
func backoff(ctx context.Context, attempt int) {
	maxPause := min(maxBackoff, minBackoff<<min(attempt, 10))
	pause := time.NewTimer(time.Duration(rand.Int64N(int64(maxPause))))
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
}

// keepUnknown returns the error of an update that ends with err. commitErr is the error of its last commit, or nil if it had
// none. If the outcome of that commit is unknown, the result is an OutcomeUnknownError, otherwise err.
func keepUnknown(commitErr, err error, id string) error {
	unknown, ok := errors.AsType[*masticway.OutcomeUnknownError](commitErr)
	if !ok {
		return err
	}
	return &masticway.OutcomeUnknownError{Service: unknown.Service, ID: id, Reason: err.Error()}
}

// DrawSize returns how much of a budget's remaining money a draw takes. It takes need, or all that remains if that is less.
// If more remains, it takes up to want in total.
//
// Unless the payer is the only one with an open grant (onlyPayer), the part beyond need is at most extraDrawShare of what
// remains after need.
func DrawSize(remaining, need, want masticway.Amount, onlyPayer bool) masticway.Amount {
	if remaining <= 0 {
		return 0
	}
	if remaining <= need {
		return remaining
	}
	extra := remaining - need
	if !onlyPayer {
		extra = masticway.Amount(float64(extra) * extraDrawShare)
	}
	return min(remaining, max(need, min(want, need+extra)))
}

// ApplyMove carries out a keeper's move, on condition that the payer's links row has the version linksVersion. A repeated
// move changes nothing and gets the result of the first. If the budget does not exist, ApplyMove only sets BudgetMissing in
// the result.
//
// It fails with a SealedError if the payer has been fenced or its links row is gone. It fails with a ConflictError if the
// links row has another version for a different reason.
func (b *Ledger) ApplyMove(ctx context.Context, m keeper.Move, linksVersion int64) (keeper.MoveResult, error) {
	key := prefixBudget + m.Grant.Budget
	id := fmt.Sprintf("move/%s/%d/%d", m.Grant.Payer, m.Grant.Number, m.Seq)
	result := keeper.MoveResult{Move: m}
	err := update(ctx, b.table, key, id, func(row Budget, version int64) ([]masticway.Condition, []masticway.Put, error) {
		if version == 0 {
			result.BudgetMissing = true
			return nil, nil, errAlreadyDone
		}
		next, drawn, done := applyMove(row, m)
		result.Drawn = drawn
		result.Remaining = next.Remaining()
		result.OthersOpen = next.OpenAmount() - openAmount(next, m.Grant)
		result.OtherPayers = next.otherPayers(m.Grant.Payer)
		if done {
			return nil, nil, errAlreadyDone
		}
		if err := next.Check(); err != nil {
			return nil, nil, err
		}
		return []masticway.Condition{{Key: prefixLinks + string(m.Grant.Payer), Version: linksVersion}}, movePuts(key, row, next, m), nil
	})
	if err == nil {
		return result, nil
	}
	return result, b.explainMoveError(ctx, m, linksVersion, err)
}

// explainMoveError returns the error of a move that failed with cause: a SealedError if the payer has been fenced or its
// links row is gone, and otherwise one that wraps cause.
func (b *Ledger) explainMoveError(ctx context.Context, m keeper.Move, linksVersion int64, cause error) error {
	row, err := b.table.Get(ctx, prefixLinks+string(m.Grant.Payer))
	if err != nil {
		return cause
	}
	links, err := decode[Links](row)
	if err != nil {
		return err
	}
	if row.Version == 0 || links.State == LinksSealed {
		return &masticway.SealedError{Incarnation: m.Grant.Payer}
	}
	return fmt.Errorf("moving grant of %s (links version %d, now %d): %w", m.Grant.Budget, linksVersion, row.Version, cause)
}

// otherPayers returns the payers of the budget's open grants other than self.
func (b Budget) otherPayers(self masticway.Incarnation) []masticway.Incarnation {
	var payers []masticway.Incarnation
	for _, g := range b.Grants {
		if g.Payer != self && g.OpenAmount() > 0 {
			payers = append(payers, g.Payer)
		}
	}
	return payers
}

// openAmount returns the open amount of one grant, or zero if there is no such grant.
func openAmount(b Budget, k masticway.GrantKey) masticway.Amount {
	if i := b.grantIndex(k); i >= 0 {
		return b.Grants[i].OpenAmount()
	}
	return 0
}

// applyMove returns the budget after a move and how much the move drew. done is set if nothing needs to be written: the row
// already contains the move, the move would change no amount, or it closes a grant that the row does not contain.
func applyMove(row Budget, m keeper.Move) (next Budget, drawn masticway.Amount, done bool) {
	next = row.clone()
	i := next.grantIndex(m.Grant)
	if i < 0 {
		if m.Close {
			return next, 0, true
		}
		next.Grants = append(next.Grants, Grant{Payer: m.Grant.Payer, Number: m.Grant.Number})
		i = len(next.Grants) - 1
	}
	g := next.Grants[i]
	if g.Seq >= m.Seq {
		return next, recordedDraw(g, m), true
	}
	spent := max(m.Spent, g.Settled)
	next.Settled += spent - g.Settled
	g.Settled = spent
	next.Presumed += max(0, m.Presumed-g.Presumed)
	g.Presumed = max(g.Presumed, m.Presumed)
	g.Returned += m.Return
	g.Seq = m.Seq
	next.Grants[i] = g
	if m.Close {
		next.Grants = append(next.Grants[:i], next.Grants[i+1:]...)
		return next, 0, false
	}
	drawn = drawAmount(next, m)
	next.Grants[i].Drawn += drawn
	idle := drawn == 0 && m.Return == 0 && next.Settled == row.Settled
	return next, drawn, idle
}

// recordedDraw returns how much money a move drew. The caller must check that the grant's row already contains the move.
func recordedDraw(g Grant, m keeper.Move) masticway.Amount {
	return g.Drawn - m.DrawnBefore
}

// drawAmount returns how much a move draws from a budget to which its return has already been applied.
func drawAmount(b Budget, m keeper.Move) masticway.Amount {
	if m.Slices > 0 {
		if m.DrawnBefore > 0 {
			return 0
		}
		return min(b.Remaining(), b.Prepaid/masticway.Amount(m.Slices))
	}
	if m.Need == 0 && m.Want == 0 {
		return 0
	}
	return DrawSize(b.Remaining(), m.Need, m.Want, b.OpenAmount() == openAmount(b, m.Grant))
}

// movePuts returns the rows that a move writes: the budget's row, and the grant's index row if the grant is new or closed.
// GrantsOf finds grants by their index rows.
func movePuts(key string, before, after Budget, m keeper.Move) []masticway.Put {
	puts := []masticway.Put{{Key: key, Value: encode(after)}}
	if m.Close {
		return append(puts, masticway.Put{Key: grantIndexKey(m.Grant)})
	}
	if before.grantIndex(m.Grant) < 0 {
		puts = append(puts, masticway.Put{Key: grantIndexKey(m.Grant), Value: encode(m.Grant)})
	}
	return puts
}

// TopUp adds prepaid money to a budget and returns the budget's row. It creates the budget if it does not exist. If the
// budget has already been topped up with this change id, it changes nothing. It fails with an AmountError if the amount is
// not positive.
func (b *Ledger) TopUp(ctx context.Context, budget, changeID string, amount masticway.Amount) (Budget, error) {
	if amount <= 0 {
		return Budget{}, &AmountError{Amount: amount}
	}
	marker := prefixTopUp + budget + "/" + changeID
	var result Budget
	err := update(ctx, b.table, prefixBudget+budget, "topup/"+changeID, func(row Budget, _ int64) ([]masticway.Condition, []masticway.Put, error) {
		result = row
		mark, err := b.table.Get(ctx, marker)
		if err != nil {
			return nil, nil, err
		}
		if mark.Version != 0 {
			return nil, nil, errAlreadyDone
		}
		result = row.clone()
		result.ID = budget
		result.Prepaid += amount
		return []masticway.Condition{{Key: marker}}, []masticway.Put{
			{Key: prefixBudget + budget, Value: encode(result)},
			{Key: marker, Value: encode(amount)},
		}, nil
	})
	if err != nil {
		return Budget{}, fmt.Errorf("topping up %s: %w", budget, err)
	}
	return result, nil
}

// AmountError reports a top-up whose amount is not positive.
type AmountError struct{ Amount masticway.Amount }

// Error names the amount.
func (e *AmountError) Error() string { return fmt.Sprintf("amount %d is not positive", e.Amount) }

// Refund subtracts the amount of a double or superseded bill from the budget's settled amount. It does nothing if the budget
// does not exist or the hold has already been refunded. It fails with an InvariantError if less than the amount is settled.
func (b *Ledger) Refund(ctx context.Context, budget string, hold masticway.HoldID, amount masticway.Amount) error {
	marker := prefixRefund + string(hold)
	return update(ctx, b.table, prefixBudget+budget, marker, func(row Budget, version int64) ([]masticway.Condition, []masticway.Put, error) {
		mark, err := b.table.Get(ctx, marker)
		if err != nil {
			return nil, nil, err
		}
		if mark.Version != 0 || version == 0 {
			return nil, nil, errAlreadyDone
		}
		if row.Settled < amount {
			return nil, nil, &InvariantError{Budget: budget, Prepaid: row.Prepaid, Settled: row.Settled - amount}
		}
		next := row.clone()
		next.Settled -= amount
		next.Refunded += amount
		return []masticway.Condition{{Key: marker}}, []masticway.Put{
			{Key: prefixBudget + budget, Value: encode(next)},
			{Key: marker, Value: encode(amount)},
		}, nil
	})
}

// Budget reads one budget. It fails with a NotFoundError if there is none.
func (b *Ledger) Budget(ctx context.Context, id string) (Budget, error) {
	row, err := b.table.Get(ctx, prefixBudget+id)
	if err != nil {
		return Budget{}, fmt.Errorf("reading budget %s: %w", id, err)
	}
	if row.Version == 0 {
		return Budget{}, &masticway.NotFoundError{Kind: "budget", Name: id}
	}
	return decode[Budget](row)
}

// OpenLinks writes the first links row of an incarnation and returns its version.
func (b *Ledger) OpenLinks(ctx context.Context, inc masticway.Incarnation) (int64, error) {
	return b.PutLinks(ctx, Links{Incarnation: inc, State: LinksOpen}, 0)
}

// PutLinks replaces a links row if its version is still the given one, and returns the new version. If the row already has
// the new value, PutLinks only returns the row's version.
//
// Otherwise it fails with a SealedError. Usually the row has then been sealed or deleted. But it may also hold another value
// that the caller wrote earlier and whose acknowledgement was lost, so the caller should read the row.
func (b *Ledger) PutLinks(ctx context.Context, links Links, version int64) (int64, error) {
	key := prefixLinks + string(links.Incarnation)
	value := encode(links)
	var found int64
	err := update(ctx, b.table, key, key, func(row Links, current int64) ([]masticway.Condition, []masticway.Put, error) {
		if current != 0 && string(encode(row)) == string(value) {
			found = current
			return nil, nil, errAlreadyDone
		}
		if current != version {
			return nil, nil, &masticway.SealedError{Incarnation: links.Incarnation}
		}
		return nil, []masticway.Put{{Key: key, Value: value}}, nil
	})
	if err != nil || found != 0 {
		return found, err
	}
	row, err := b.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if string(row.Value) != string(value) {
		return 0, &masticway.SealedError{Incarnation: links.Incarnation}
	}
	return row.Version, nil
}

// Links reads a links row and its version, which is zero if there is none.
func (b *Ledger) Links(ctx context.Context, inc masticway.Incarnation) (Links, int64, error) {
	row, err := b.table.Get(ctx, prefixLinks+string(inc))
	if err != nil {
		return Links{}, 0, err
	}
	links, err := decode[Links](row)
	return links, row.Version, err
}

// PutLease writes the lease row of a router. It needs no condition, because other incarnations never write the row. They
// delete it only after they have recovered the router's incarnation.
func (b *Ledger) PutLease(ctx context.Context, d RouterLease) error {
	key := prefixDaemon + string(d.Incarnation)
	return b.table.Commit(ctx, masticway.Transaction{ID: key, Puts: []masticway.Put{{Key: key, Value: encode(d)}}})
}

// Lease reads one lease row. It fails with a NotFoundError if there is none.
func (b *Ledger) Lease(ctx context.Context, inc masticway.Incarnation) (RouterLease, error) {
	row, err := b.table.Get(ctx, prefixDaemon+string(inc))
	if err != nil {
		return RouterLease{}, err
	}
	if row.Version == 0 {
		return RouterLease{}, &masticway.NotFoundError{Kind: "daemon", Name: string(inc)}
	}
	return decode[RouterLease](row)
}

// Challenge writes a row that asks an incarnation to renew its lease at once. by is the incarnation that suspects it of
// having failed.
func (b *Ledger) Challenge(ctx context.Context, inc, by masticway.Incarnation) error {
	key := prefixChallenge + string(inc)
	return b.table.Commit(ctx, masticway.Transaction{ID: key, Puts: []masticway.Put{{Key: key, Value: encode(by)}}})
}

// ChallengeVersion returns the version of the row with the latest challenge to an incarnation, or zero if there is none.
func (b *Ledger) ChallengeVersion(ctx context.Context, inc masticway.Incarnation) (int64, error) {
	row, err := b.table.Get(ctx, prefixChallenge+string(inc))
	return row.Version, err
}

// Leases returns all lease rows.
func (b *Ledger) Leases(ctx context.Context) ([]RouterLease, error) {
	rows, err := b.table.Scan(ctx, prefixDaemon)
	if err != nil {
		return nil, err
	}
	leases := make([]RouterLease, 0, len(rows))
	for _, r := range rows {
		d, err := decode[RouterLease](r)
		if err != nil {
			return nil, err
		}
		leases = append(leases, d)
	}
	return leases, nil
}

// PutReport stores the totals of a sidecar that shuts down, for later recoveries of routers.
func (b *Ledger) PutReport(ctx context.Context, r Report) error {
	key := prefixReport + string(r.Sidecar)
	return b.table.Commit(ctx, masticway.Transaction{ID: key, Puts: []masticway.Put{{Key: key, Value: encode(r)}}})
}

// Report reads the totals that a sidecar stored at its shutdown. It returns false if there are none.
func (b *Ledger) Report(ctx context.Context, sidecar masticway.Incarnation) (Report, bool, error) {
	row, err := b.table.Get(ctx, prefixReport+string(sidecar))
	if err != nil {
		return Report{}, false, err
	}
	if row.Version == 0 {
		return Report{}, false, nil
	}
	var r Report
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Report{}, false, fmt.Errorf("decoding report of %s: %w", sidecar, err)
	}
	return r, true, nil
}
