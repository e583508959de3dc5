package sidecar

import (
	"fmt"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/linker"
)

// handleOrder passes an order to the upstream and replies whether it was carried out. It refuses an order with a fencing
// number below the newest one. It refuses every order if the newest number cannot be read from the table.
func (c *Sidecar) handleOrder(conn *linker.Conn, m linker.Message) {
	err := c.executeOrder(*m.Order)
	answer := linker.OrderReply{Done: err == nil}
	if err != nil {
		answer.Reason = err.Error()
	}
	_ = conn.Reply(m, linker.Message{OrderReply: &answer})
}

// StaleFenceError reports an order with a fencing number below the newest one for the upstream.
type StaleFenceError struct {
	Fence  int64
	Newest int64
}

// Error returns a text that names both numbers.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Fence, e.Newest)
}

func (c *Sidecar) executeOrder(o masticway.Order) error {
	newest, err := bookkeeper.LatestFence(c.ctx, c.table, c.settings.Instance)
	if err != nil {
		return fmt.Errorf("reading the fence: %w", err)
	}
	c.mu.Lock()
	newest = max(newest, c.newestFence)
	c.newestFence = newest
	c.mu.Unlock()
	if o.Fence < newest {
		return &StaleFenceError{Fence: o.Fence, Newest: newest}
	}
	return c.upstream.Order(c.ctx, o)
}
