package treasurer

import (
	"context"

	"github.com/sirupsen/logrus"
)

// borrow asks the lenders of a round one after the other, until the need is met or all were asked, and passes the loans to
// the planner. A lender that does not answer is told in the background to cancel the request.
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

// cancelRequest has a lender whose response did not arrive take back what it may have lent. It does not wait for that.
func (t *Treasurer) cancelRequest(ctx context.Context, r BorrowRound, l Witness) {
	t.metrics.Add(metricUnanswered, 1)
	t.mu.Lock()
	unanswered := t.planner.CancelRequest(t.clock.Now(), r, l)
	t.mu.Unlock()
	t.tasks.Go(func() { t.repay(ctx, unanswered) })
}

// repay returns a loan or cancels a request. If the lender does not answer any of maxRepayAttempts attempts, the tokens
// remain counted as taken there.
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

// Lend takes tokens out of this router's grant for another router and returns how many, after it has waited until they are
// cleared. It lends nothing and returns zero if too little may be taken, the borrower has canceled the request, or clearance
// takes longer than clearTimeout or the context allows.
func (t *Treasurer) Lend(ctx context.Context, request LoanRequest) int64 {
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

// AcceptRepayment takes back what another router has not used of a loan.
func (t *Treasurer) AcceptRepayment(r Repayment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.planner.AcceptRepayment(t.clock.Now(), r))
}
