package bookkeeper

import (
	"context"
	"fmt"

	"github.com/masticway/masticway"
)

// prefixFence holds the newest fencing number of each upstream.
const prefixFence = "fence/"

type fenceRow struct {
	Number int64           `json:"number"`
	Order  masticway.Order `json:"order"`
	ID     string          `json:"id"`
}

// Fence reads the newest fencing number given for an upstream.
func Fence(ctx context.Context, t masticway.Table, instance string) (int64, error) {
	row, err := t.Get(ctx, prefixFence+instance)
	if err != nil {
		return 0, err
	}
	f, err := decode[fenceRow](row)
	return f.Number, err
}

// NextFence gives an order the next fencing number of its upstream; the same id gets the same number.
func (b *Book) NextFence(ctx context.Context, instance, id string, o masticway.Order) (masticway.Order, error) {
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
		return o, fmt.Errorf("numbering an order for %s: %w", instance, err)
	}
	return o, nil
}
