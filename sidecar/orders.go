package sidecar

import (
	"fmt"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/linker"
)

// order passes an order to the upstream, unless its fencing number is not the newest in the table.
func (c *Sidecar) order(conn *linker.Conn, m linker.Message) {
	err := c.carryOut(*m.Order)
	answer := linker.OrderReply{Done: err == nil}
	if err != nil {
		answer.Reason = err.Error()
	}
	_ = conn.Reply(m, linker.Message{OrderReply: &answer})
}

// FenceError reports an order with an old fencing number.
type FenceError struct {
	Fence  int64
	Newest int64
}

// Error names both numbers.
func (e *FenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Fence, e.Newest)
}

func (c *Sidecar) carryOut(o masticway.Order) error {
	newest, err := bookkeeper.LatestFence(c.ctx, c.fences, c.settings.Instance)
	if err != nil {
		return fmt.Errorf("reading the fence: %w", err)
	}
	c.mu.Lock()
	newest = max(newest, c.fence)
	c.fence = newest
	c.mu.Unlock()
	if o.Fence < newest {
		return &FenceError{Fence: o.Fence, Newest: newest}
	}
	return c.upstream.Order(c.ctx, o)
}
