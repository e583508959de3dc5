package bookkeeper

import (
	"context"
	"fmt"

	"github.com/masticway/masticway"
)

// Seal fences an incarnation in the table, so that it can no longer draw money or add a sidecar to its links row. It returns
// the sealed links row, or an empty one if there is none.
func (b *Ledger) Seal(ctx context.Context, inc masticway.Incarnation) (Links, error) {
	key := prefixLinks + string(inc)
	var sealed Links
	err := update(ctx, b.table, key, "seal/"+string(inc), func(row Links, version int64) ([]masticway.Condition, []masticway.Put, error) {
		sealed = row
		if version == 0 || row.State == LinksSealed {
			return nil, nil, errAlreadyDone
		}
		sealed.State = LinksSealed
		return nil, []masticway.Put{{Key: key, Value: encode(sealed)}}, nil
	})
	if err != nil {
		return Links{}, fmt.Errorf("sealing %s: %w", inc, err)
	}
	return sealed, nil
}

// GrantsOf returns the keys of an incarnation's open grants. It reads them from the index rows. Each open grant has one.
func (b *Ledger) GrantsOf(ctx context.Context, inc masticway.Incarnation) ([]masticway.GrantKey, error) {
	rows, err := b.table.Scan(ctx, prefixGrant+string(inc)+"/")
	if err != nil {
		return nil, fmt.Errorf("listing grants of %s: %w", inc, err)
	}
	keys := make([]masticway.GrantKey, 0, len(rows))
	for _, r := range rows {
		k, err := decode[masticway.GrantKey](r)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// GrantClosure is what the recovery of an incarnation has found out about one of its grants.
type GrantClosure struct {
	Grant masticway.GrantKey
	// Spent is the known cost of the finished runs: what the sidecars reported, and what the links row records for removed
	// sidecars (see Links.SpentByRemoved).
	Spent masticway.Amount
	// Running is the maximum cost of the runs that are still in progress.
	Running masticway.Amount
	// SidecarLost is set if a sidecar is gone without a final report.
	SidecarLost bool
}

// Recover settles what a sealed incarnation has spent from a grant and returns the rest to the budget. It then closes the
// grant. While runs are in progress, it keeps the grant open with their maximum cost.
//
// If a sidecar is lost, it does nothing while runs are in progress at other sidecars. Afterwards it closes the grant and
// settles all of it as presumed spent.
//
// Recover is idempotent and safe to call concurrently. It returns the amount that this call returned to the budget.
func (b *Ledger) Recover(ctx context.Context, c GrantClosure) (returned masticway.Amount, err error) {
	key := prefixBudget + c.Grant.Budget
	id := fmt.Sprintf("recover/%s/%d", c.Grant.Payer, c.Grant.Number)
	err = update(ctx, b.table, key, id, func(row Budget, _ int64) ([]masticway.Condition, []masticway.Put, error) {
		next, refund, closed, done := applyClosure(row, c)
		if done {
			return nil, nil, errAlreadyDone
		}
		returned = refund
		if err := next.Check(); err != nil {
			return nil, nil, err
		}
		puts := []masticway.Put{{Key: key, Value: encode(next)}}
		if closed {
			puts = append(puts, masticway.Put{Key: grantIndexKey(c.Grant)})
		}
		return nil, puts, nil
	})
	if err != nil {
		return 0, fmt.Errorf("recovering %s of %s: %w", c.Grant.Budget, c.Grant.Payer, err)
	}
	return returned, nil
}

// applyClosure returns the budget after one call of Recover, the amount returned to it and whether the grant is closed. done
// is set if there is nothing to write.
func applyClosure(row Budget, c GrantClosure) (next Budget, returned masticway.Amount, closed, done bool) {
	next = row.clone()
	i := next.grantIndex(c.Grant)
	if i < 0 {
		return next, 0, false, true
	}
	g := next.Grants[i]
	limit := g.Drawn - g.Returned
	spent := min(max(c.Spent, g.Settled), limit)
	if c.SidecarLost && c.Running == 0 {
		next.Presumed += limit - spent
		spent = limit
	}
	next.Settled += spent - g.Settled
	if c.Running == 0 {
		next.Grants = append(next.Grants[:i], next.Grants[i+1:]...)
		return next, limit - spent, true, false
	}
	if c.SidecarLost {
		return next, 0, false, true
	}
	refund := max(0, limit-spent-c.Running)
	if refund == 0 && spent == g.Settled {
		return next, 0, false, true
	}
	g.Settled = spent
	g.Returned += refund
	next.Grants[i] = g
	return next, refund, false, false
}

// DeleteIncarnation deletes the links, lease and challenge rows of an incarnation. The caller must have closed all of its
// grants.
func (b *Ledger) DeleteIncarnation(ctx context.Context, inc masticway.Incarnation) error {
	return b.table.Commit(ctx, masticway.Transaction{
		ID: "forget/" + string(inc),
		Puts: []masticway.Put{
			{Key: prefixLinks + string(inc)},
			{Key: prefixDaemon + string(inc)},
			{Key: prefixChallenge + string(inc)},
		},
	})
}
