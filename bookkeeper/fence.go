package bookkeeper

import (
	"context"
	"fmt"

	"github.com/masticway/masticway"
)

// prefixFence is the key prefix of the rows with the latest order to each upstream instance. Orders to an instance have
// increasing fencing numbers.
const prefixFence = "fence/"

type fenceRow struct {
	Number int64           `json:"number"`
	Order  masticway.Order `json:"order"`
	ID     string          `json:"id"`
}

// LatestFence returns the fencing number of the latest order to an upstream instance, or zero if there is none.
func LatestFence(ctx context.Context, t masticway.Table, instance string) (int64, error) {
	row, err := t.Get(ctx, prefixFence+instance)
	if err != nil {
		return 0, err
	}
	f, err := decode[fenceRow](row)
	return f.Number, err
}

// AssignFence assigns the next fencing number of an upstream instance to an order, stores the order and returns it. id
// identifies the order. If the instance's latest order already has this id, AssignFence only returns that order.
func (b *Ledger) AssignFence(ctx context.Context, instance, id string, o masticway.Order) (masticway.Order, error) {
	key := prefixFence + instance
	err := update(ctx, b.table, key, "order/"+id, func(row fenceRow, _ int64) ([]masticway.Condition, []masticway.Put, error) {
		if row.ID == id {
			o = row.Order
			return nil, nil, errAlreadyDone
		}
		o.Fence = row.Number + 1
		return nil, []masticway.Put{{Key: key, Value: encode(fenceRow{Number: o.Fence, Order: o, ID: id})}}, nil
	})
	if err != nil {
		return o, fmt.Errorf("assigning a fencing number to an order for %s: %w", instance, err)
	}
	return o, nil
}
