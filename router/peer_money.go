package router

import (
	"context"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/linker"
)

const (
	// settleRetryInterval is the interval between attempts to report a settlement or to resolve a lost attempt, and the pause after
	// a failed step of a recovery.
	settleRetryInterval = 100 * time.Millisecond
	// holdGrace is how long a remote keeper may take to reply beyond the request's maximum wait for money.
	holdGrace = 700 * time.Millisecond
)

// pendingSettlement is a settlement that its payer has not acknowledged.
type pendingSettlement struct {
	payer      masticway.Incarnation
	settlement linker.Settle
}

// hold asks the budget's keeper for money, or this router's own if that one cannot be reached or does not act as the keeper. It
// returns the reply and the ID of the hold, which is not that of the request if both were asked.
func (p *peers) hold(ctx context.Context, request keeper.HoldRequest, c masticway.Contract) (linker.HoldReply, masticway.HoldID) {
	target := p.keeperFor(request.Budget)
	if conn := p.conn(target); conn != nil {
		callCtx, cancel := context.WithTimeout(ctx, request.MaxWait+holdGrace)
		defer cancel()
		// The link may still encode this copy after the call has timed out.
		sent := request
		answer, err := conn.Call(callCtx, linker.Message{Hold: &sent})
		if err == nil && answer.HoldReply != nil && answer.HoldReply.Result != keeper.ResultNotKeeper {
			return *answer.HoldReply, request.ID
		}
		if err != nil {
			// The keeper may have taken the hold, so the hold is settled as soon as the keeper can be reached.
			p.settle(target, linker.Settle{Hold: request.ID})
		}
		request.ID += "-own"
	}
	if target != p.router.self {
		p.router.metrics.Add(metricFallbackHolds, 1)
	}
	reply := make(chan linker.HoldReply, 1)
	p.router.budgets.hold(request, c, func(h linker.HoldReply) { reply <- h })
	var h linker.HoldReply
	select {
	case h = <-reply:
	case <-p.router.ctx.Done():
		return linker.HoldReply{Result: keeper.ResultUnreachable}, request.ID
	}
	h.DetectsDuplicates = h.DetectsDuplicates && target == p.router.self
	return h, request.ID
}

// resize reports a smaller bound to the hold's payer. It is not reported again if this fails.
func (p *peers) resize(payer masticway.Incarnation, id masticway.HoldID, amount masticway.Amount) {
	if payer == p.router.self {
		p.router.budgets.resize(id, amount)
		return
	}
	if c := p.conn(payer); c != nil {
		_ = c.Send(linker.Message{Resize: &linker.Resize{Hold: id, Amount: amount}})
	}
}

// settle reports a hold's charges to its payer. For another router, this happens in the background, and is retried until the
// payer acknowledges them or has been recovered.
func (p *peers) settle(payer masticway.Incarnation, s linker.Settle) {
	if payer == p.router.self {
		p.router.budgets.settle(s)
		return
	}
	p.mu.Lock()
	p.unsettled[s.Hold] = pendingSettlement{payer: payer, settlement: s}
	p.mu.Unlock()
	p.router.wg.Go(func() { p.retrySettle(payer, s) })
}

func (p *peers) retrySettle(payer masticway.Incarnation, s linker.Settle) {
	for p.router.ctx.Err() == nil {
		if p.trySettle(payer, s) || p.router.recovery.isRecovered(payer) {
			p.mu.Lock()
			delete(p.unsettled, s.Hold)
			p.mu.Unlock()
			return
		}
		p.router.budgets.sleep(settleRetryInterval)
	}
}

func (p *peers) trySettle(payer masticway.Incarnation, s linker.Settle) bool {
	c := p.conn(payer)
	if c == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(p.router.ctx, callTimeout)
	defer cancel()
	_, err := c.Call(ctx, linker.Message{Settle: &s})
	return err == nil
}

// waitForSettlements waits until all settlements are acknowledged or ctx ends.
func (p *peers) waitForSettlements(ctx context.Context) {
	for {
		p.mu.Lock()
		left := len(p.unsettled)
		p.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.router.clock.After(tickInterval):
		}
	}
}

// requestReturn asks the payers that have open grants of a budget, in any region, to return idle money.
func (p *peers) requestReturn(budget string, payers []masticway.Incarnation) {
	m := linker.Message{ReturnFree: &linker.ReturnFree{Budget: budget}}
	for _, payer := range payers {
		if c := p.conn(payer); c != nil {
			_ = c.Send(m)
			continue
		}
		p.router.wg.Go(func() { p.requestReturnByDialing(payer, m) })
	}
}

// requestReturnByDialing asks a router to which this one keeps no link to return idle money. It tries only once.
func (p *peers) requestReturnByDialing(payer masticway.Incarnation, m linker.Message) {
	ctx, cancel := context.WithTimeout(p.router.ctx, platformTimeout)
	defer cancel()
	row, err := p.router.book.Lease(ctx, payer)
	if err != nil {
		return
	}
	c, err := p.router.dialOnce(ctx, row.Address)
	if err != nil {
		return
	}
	defer c.Close()
	if c.Peer().Incarnation == payer {
		_, _ = c.Call(ctx, m)
	}
}

// answerHold answers a hold request from another router, possibly after it has returned.
func (p *peers) answerHold(c *linker.Conn, m linker.Message) {
	contract, ok := p.router.snapshot.Load().Contract(m.Hold.Identity.Workspace())
	if !ok {
		contract = masticway.Contract{Workspace: m.Hold.Identity.Workspace()}
	}
	if p.router.draining.Load() || p.router.isSealed() {
		_ = c.Reply(m, linker.Message{HoldReply: &linker.HoldReply{Result: keeper.ResultNotKeeper}})
		return
	}
	p.router.budgets.hold(*m.Hold, contract, func(h linker.HoldReply) {
		_ = c.Reply(m, linker.Message{HoldReply: &h})
	})
}
