package treasurer

import (
	"context"

	"github.com/sirupsen/logrus"
)

// borrow asks the lenders of a round one after the other, until the need is met or all were asked. It passes the loans to
// the planner. If a lender does not answer, the request to it is canceled in the background.
func (t *Treasurer) borrow(ctx context.Context, r BorrowRound) {
	var loans []Loan
	need := r.Need
	asked, unanswered := 0, 0
	for _, l := range r.Lenders {
		if need <= 0 {
			break
		}
		asked++
		callCtx, cancel := context.WithTimeout(ctx, lendTimeout)
		loan, err := t.peerClient.Borrow(callCtx, l.Address, LoanRequest{Number: r.Number, Borrower: t.self, Workspace: r.Workspace, Need: need})
		cancel()
		if err != nil {
			unanswered++
			t.cancelRequest(ctx, r, l)
			t.log.WithFields(logrus.Fields{"event": "borrow_failed", "lender": l.Incarnation, "workspace": r.Workspace, "error": err}).Debug("lender not reached")
			continue
		}
		loan.Address = l.Address
		if loan.Lender == "" {
			loan.Lender = l.Incarnation
		}
		loans = append(loans, loan)
		need -= loan.Amount
	}
	t.metrics.Add(metricBorrowed, r.Need-need)
	t.log.WithFields(logrus.Fields{
		"event": "borrowed", "workspace": r.Workspace, "needed": r.Need, "amount": r.Need - need, "asked": asked, "unanswered": unanswered,
	}).Debug("asked other routers for a loan")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.planner.CompleteBorrowRound(t.clock.Now(), r, loans, unanswered))
}

// cancelRequest makes a lender take back what it may have lent for a request without a response. It does not wait until the
// lender has done so.
func (t *Treasurer) cancelRequest(ctx context.Context, r BorrowRound, l Witness) {
	t.metrics.Add(metricUnanswered, 1)
	t.mu.Lock()
	unanswered := t.planner.CancelRequest(t.clock.Now(), r, l)
	t.mu.Unlock()
	t.tasks.Go(func() { t.repay(ctx, unanswered) })
}

// repay sends a repayment, which returns a loan or cancels a request, until the lender confirms it. It gives up after
// maxRepayAttempts attempts or once the context is done; the tokens then remain counted as taken at the lender.
func (t *Treasurer) repay(ctx context.Context, r Repayment) {
	for range maxRepayAttempts {
		callCtx, cancel := context.WithTimeout(ctx, repayTimeout)
		err := t.peerClient.Repay(callCtx, r.Address, r)
		cancel()
		if err == nil {
			return
		}
		t.sleep(ctx, callRetryInterval)
		if ctx.Err() != nil {
			return
		}
	}
	t.metrics.Add(metricNotRepaid, r.Amount)
	t.log.WithFields(logrus.Fields{"event": "not_repaid", "lender": r.Lender, "workspace": r.Workspace, "amount": r.Amount}).Warn("loan not repaid")
}

// Lend lends tokens of this router's grant to another router, and returns the loan. It waits until the tokens are cleared.
// The amount is zero if too little is available, if the borrower has canceled the request, or if clearance takes longer than
// clearTimeout or the context allows.
func (t *Treasurer) Lend(ctx context.Context, request LoanRequest) Loan {
	loan := Loan{Lender: t.self, Amount: t.lend(ctx, request)}
	t.mu.Lock()
	defer t.mu.Unlock()
	loan.Budget = t.planner.ReadBudget(t.clock.Now(), request.Workspace)
	return loan
}

// lend is Lend without what the router knows of the budget. It returns the amount.
func (t *Treasurer) lend(ctx context.Context, request LoanRequest) int64 {
	t.mu.Lock()
	id, amount := t.planner.Lend(t.clock.Now(), request)
	t.mu.Unlock()
	if amount == 0 {
		t.metrics.Add(metricLendShort, 1)
		return 0
	}
	clearCtx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	if !t.Clear(clearCtx, id) {
		t.metrics.Add(metricLendUncleared, 1)
		t.Settle(id, 0)
		return 0
	}
	t.mu.Lock()
	lent := t.planner.CompleteLoan(id, request)
	t.mu.Unlock()
	if !lent {
		t.Settle(id, 0)
		return 0
	}
	t.metrics.Add(metricLent, amount)
	return amount
}

// AcceptRepayment takes back what another router has not used of a loan, or what was lent for a request that it cancels.
func (t *Treasurer) AcceptRepayment(r Repayment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.planner.AcceptRepayment(t.clock.Now(), r))
}
