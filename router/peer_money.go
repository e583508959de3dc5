package router

import (
	"context"
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/linker"
)

const (
	// settleRetryInterval is the interval between two reports of one settlement, and between two queries of resolveLater. It is
	// also the pause after a failed step of a recovery.
	settleRetryInterval = 100 * time.Millisecond
	// holdGrace is how long a remote keeper may take to reply beyond the request's maximum wait for money.
	holdGrace = 700 * time.Millisecond
)

// pendingSettlement is the settlement of a hold that its payer has not acknowledged.
type pendingSettlement struct {
	payer      masticway.Incarnation
	settlement linker.Settle
}

// hold asks the budget's keeper for money. If that router cannot be reached or replies that it is not the keeper, hold asks this
// router's own budgetManager. It returns the reply and the ID of the hold. If both were asked, this ID differs from request.ID.
func (p *peers) hold(ctx context.Context, request keeper.HoldRequest, c masticway.Contract) (linker.HoldReply, masticway.HoldID) {
	target := p.keeperFor(request.Budget)
	if conn := p.conn(target); conn != nil {
		callCtx, cancel := context.WithTimeout(ctx, request.MaxWait+holdGrace)
		defer cancel()
		// The request is copied, because the link may still encode it after the call has timed out.
		sent := request
		answer, err := conn.Call(callCtx, linker.Message{Hold: &sent})
		if err == nil && answer.HoldReply != nil && answer.HoldReply.Result != keeper.ResultNotKeeper {
			return *answer.HoldReply, request.ID
		}
		if err != nil {
			// The keeper may have granted the hold although its reply is missing. The hold is settled once the keeper can be
			// reached.
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

// resize asks the payer of a hold to reduce the hold to an amount. It sends the message once, and does not retry if this fails.
func (p *peers) resize(payer masticway.Incarnation, id masticway.HoldID, amount masticway.Amount) {
	if payer == p.router.self {
		p.router.budgets.resize(id, amount)
		return
	}
	if c := p.conn(payer); c != nil {
		_ = c.Send(linker.Message{Resize: &linker.Resize{Hold: id, Amount: amount}})
	}
}

// settle reports a hold's charges to its payer. If the payer is another router, it does so in the background. It retries until
// the payer has acknowledged the charges or has been recovered, or until this router stops.
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

// waitForSettlements waits until no settlement with another router is pending, or ctx ends.
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

// requestReturn asks routers, in any region, to return money of a budget that they do not need. The payers must be those with
// open grants of the budget.
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

// requestReturnByDialing sends a request for the return of money to a router to which this one keeps no link. It does not retry.
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

// answerHold answers a hold request from another router. The answer may be sent after answerHold has returned.
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
