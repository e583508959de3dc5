package treasurer

import (
	"time"

	"github.com/masticway/masticway"
)

// These constants are policy: when and whom to ask for a loan, what to lend, and when to repay.
const (
	// borrowDelay is how long a request waits for the store before other routers are asked for a loan. It applies only at a
	// router that draws its own grant, and only if the workspace's row shows enough tokens. A healthy store answers the two
	// calls that a request may need within 20 ms.
	borrowDelay = 30 * time.Millisecond
	// borrowBackoff is how long a router that keeps a reserve starts no borrow round after one that returned too little. It
	// is also how long a router without a reserve draws its own grant after a round in which no lender answered.
	borrowBackoff = 300 * time.Millisecond
	// borrowerBackoff is how long a router that keeps no reserve starts no borrow round after one that returned too little.
	// A holder makes the two calls to the store that it needs for more tokens in about that time.
	borrowerBackoff = 40 * time.Millisecond
	// idleLoanTTL is how long unused loans are kept after the last borrow round for the workspace ended. Then they are
	// repaid, unless requests wait for tokens.
	idleLoanTTL = time.Second
	// minLoanDivisor is the divisor of the requested amount for the smallest loan.
	minLoanDivisor = 4
	// maxLenders is the maximum number of lenders that one round asks.
	maxLenders = 8
)

// Loan is an amount that another router, the lender, has taken out of its own grant for this router. It remains counted as
// taken at the lender, so that it is not spent twice if either router crashes.
type Loan struct {
	Lender masticway.Incarnation
	// Address is where the lender was reached.
	Address string
	Amount  int64
	// Budget is what the lender knew of the workspace's budget.
	Budget BudgetReading
}

// BudgetReading is what a router knows of a workspace's budget from a row that is at most rowTTL old. A router that borrows does
// not watch the row itself.
type BudgetReading struct {
	// IsKnown is set if the router has such a row.
	IsKnown bool `cbor:"1,keyasint,omitempty"`
	// Ungranted is how many tokens were neither closed nor granted to any router.
	Ungranted int64 `cbor:"2,keyasint,omitempty"`
	// Version is the version of the configuration whose prepaid amount Ungranted counts from.
	Version int64 `cbor:"3,keyasint,omitempty"`
}

// budgetNews is a BudgetReading of another router, and when it arrived.
type budgetNews struct {
	BudgetReading
	at time.Time
}

// BorrowRound is one round of asking other routers for tokens of a workspace. They are asked one after the other until the
// need is met.
type BorrowRound struct {
	// Number identifies the round among the rounds and repayments of the borrower.
	Number    int64
	Workspace string
	Need      int64
	// Lenders are the routers to ask, best first.
	Lenders []Witness
}

// LoanRequest asks one router for a loan. Number is the number of the borrow round. A lender identifies the request by
// Number and Borrower.
type LoanRequest struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Workspace string                `cbor:"3,keyasint"`
	Need      int64                 `cbor:"4,keyasint"`
}

// Repayment returns what was borrowed and not used, or cancels a loan request. Number identifies it among the rounds and
// repayments of the borrower. The lender applies it only once, even if it arrives several times.
type Repayment struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Lender    masticway.Incarnation `cbor:"3,keyasint"`
	Workspace string                `cbor:"4,keyasint"`
	Amount    int64                 `cbor:"5,keyasint"`
	// CanceledRequest is the number of a loan request that got no response, or zero if the repayment cancels none. The
	// lender takes back whatever it has lent for the request, and lends nothing more for it.
	CanceledRequest int64 `cbor:"6,keyasint,omitempty"`
	// Address is where the lender is reached. It is not part of the message.
	Address string `cbor:"-"`
}

// loanBalance returns the sum of the unused loans.
func (a *account) loanBalance() int64 {
	var sum int64
	for _, l := range a.loans {
		sum += l.Amount
	}
	return sum
}

// takeLoans takes an amount out of the unused loans, oldest lender first, and returns what it took from each lender. It
// takes less if the loans have less.
func (a *account) takeLoans(amount int64) []Loan {
	var taken []Loan
	for amount > 0 && len(a.loans) > 0 {
		used := min(amount, a.loans[0].Amount)
		taken = append(taken, Loan{Lender: a.loans[0].Lender, Address: a.loans[0].Address, Amount: used})
		amount -= used
		if a.loans[0].Amount -= used; a.loans[0].Amount == 0 {
			a.loans = a.loans[1:]
		}
	}
	return taken
}

// addLoan adds a loan to the unused ones, unless its amount is zero.
func (a *account) addLoan(l Loan) {
	if l.Amount <= 0 {
		return
	}
	l.Amount = boundedAmount(l.Amount)
	for i := range a.loans {
		if a.loans[i].Lender == l.Lender {
			a.loans[i].Amount += l.Amount
			return
		}
	}
	a.loans = append(a.loans, l)
}

// DueBorrowRounds returns the borrow rounds to start now, at most one at a time for each workspace. A round is due at once
// for a waiting request if this router borrows from holders, or if the workspace's row shows too little. Otherwise it is due
// when the request has waited for borrowDelay. After a round that returned too little, the next one waits for
// borrowRetryInterval.
func (p *Planner) DueBorrowRounds(now time.Time) []BorrowRound {
	var rounds []BorrowRound
	for _, a := range p.sortedAccounts {
		if len(a.waiting) == 0 || a.borrowing {
			continue
		}
		w := a.waiting[0]
		immediate := p.borrowsFromHolders(now, a) || a.rowKnown && p.exceedsBudget(a, w.need)
		if now.Sub(w.since) < borrowDelay && !immediate || now.Sub(a.shortfallAt) < p.borrowRetryInterval(a) {
			continue
		}
		need := a.queuedNeed() - a.loanBalance() - p.available(now, a)
		if need <= 0 {
			continue
		}
		a.borrowing = true
		p.lastMessage++
		rounds = append(rounds, BorrowRound{Number: p.lastMessage, Workspace: a.workspace, Need: need, Lenders: p.lenders(now, a)})
	}
	return rounds
}

// borrowRetryInterval returns how long no borrow round starts after one that returned too little.
func (p *Planner) borrowRetryInterval(a *account) time.Duration {
	if p.keepsReserve(a) {
		return borrowBackoff
	}
	return borrowerBackoff
}

// CompleteBorrowRound adds the loans of a round to the unused ones. unanswered is how many of the lenders that were asked
// did not answer. It returns the replies to requests that can be answered now.
func (p *Planner) CompleteBorrowRound(now time.Time, r BorrowRound, loans []Loan, unanswered int) []Reply {
	a, ok := p.accounts[r.Workspace]
	if !ok {
		return nil
	}
	a.borrowing = false
	a.borrowedAt = now
	var received int64
	for _, l := range loans {
		a.addLoan(l)
		received += boundedAmount(l.Amount)
		if l.Budget.IsKnown {
			a.news = budgetNews{BudgetReading: l.Budget, at: now}
		}
	}
	a.allAnswered = unanswered == 0
	if received < r.Need {
		a.shortfallAt = now
		if unanswered > 0 && unanswered == len(r.Lenders) {
			a.noAnswerAt = now
		}
	}
	return p.serveQueue(now, a)
}

// CancelRequest records that a lender did not answer, and returns the repayment that cancels the round's request at the
// lender. The caller must send it.
func (p *Planner) CancelRequest(now time.Time, r BorrowRound, lender Witness) Repayment {
	p.unansweredAt[lender.Incarnation.Instance()] = now
	p.lastMessage++
	return Repayment{
		Number: p.lastMessage, Borrower: p.settings.Incarnation, Lender: lender.Incarnation, Address: lender.Address, Workspace: r.Workspace,
		CanceledRequest: r.Number,
	}
}

// ReadBudget returns what this router knows of a workspace's budget.
func (p *Planner) ReadBudget(now time.Time, workspace string) BudgetReading {
	a, ok := p.accounts[workspace]
	if !ok || !a.rowKnown || a.restoring || !p.isSettled(now) || now.Sub(a.rowSeenAt) >= rowTTL {
		return BudgetReading{}
	}
	return BudgetReading{IsKnown: true, Ungranted: a.ungranted(), Version: max(a.configVersion, a.row.Version)}
}

// Lend holds tokens of this router's grant for a loan to another router, and counts the request as demand. It returns the
// hold and its amount. The hold must be cleared before the tokens are handed over, and the caller must end it with
// CompleteLoan or Settle. If nothing is lent, there is no hold and the amount is zero.
func (p *Planner) Lend(now time.Time, request LoanRequest) (HoldID, int64) {
	a, ok := p.accounts[request.Workspace]
	if !ok || p.closing {
		return 0, 0
	}
	borrower := p.borrower(request.Borrower)
	if _, known := borrower.loans[request.Number]; known {
		// The borrower has canceled the request already, or this is a duplicate of it.
		return 0, 0
	}
	request.Need = boundedNeed(request.Need)
	a.observeDemand(now, request.Need)
	a.peerDemand.add(now, float64(request.Need))
	amount := min(request.Need, p.available(now, a)-a.queuedNeed())
	if amount <= 0 || amount < request.Need/minLoanDivisor {
		return 0, 0
	}
	p.lastHold++
	a.taken += amount
	p.holds[p.lastHold] = &hold{account: a, amount: amount}
	borrower.loans[request.Number] = &loanRecord{at: now, amount: amount}
	borrower.dropExpired(now)
	return p.lastHold, amount
}

// CompleteLoan ends the hold of a loan, because the caller hands its tokens to the borrower, and returns true. It returns
// false if the hold is not cleared or the borrower has canceled the request. The caller must then settle the hold.
func (p *Planner) CompleteLoan(id HoldID, request LoanRequest) bool {
	h, ok := p.holds[id]
	if !ok || !h.cleared {
		return false
	}
	loan, known := p.borrower(request.Borrower).loans[request.Number]
	if !known || loan.canceled {
		return false
	}
	loan.lent = true
	h.account.lent += h.amount
	delete(p.holds, id)
	return true
}

// AcceptRepayment takes back what another router did not use of a loan, or what was lent for a request that it cancels. It
// applies only the first repayment with a given number from a borrower. It ignores repayments that are meant for another
// incarnation, except cancellations.
func (p *Planner) AcceptRepayment(now time.Time, r Repayment) []Reply {
	a, ok := p.accounts[r.Workspace]
	if !ok || r.Lender != p.settings.Incarnation && r.CanceledRequest == 0 || !p.borrower(r.Borrower).repayments.add(r.Number) {
		return nil
	}
	amount := boundedAmount(r.Amount)
	if r.CanceledRequest != 0 {
		amount += p.borrower(r.Borrower).cancel(now, r.CanceledRequest)
	}
	returned := min(amount, a.lent)
	a.lent -= returned
	a.taken -= returned
	a.cleared -= returned
	return p.serveQueue(now, a)
}

// DueRepayments removes unused loans that are due to be returned, and returns them as repayments. While the router shuts
// down, or after a round that returned too little, all are due. Otherwise the loans of a workspace are due if no request
// waits for its tokens and the last round ended idleLoanTTL ago.
func (p *Planner) DueRepayments(now time.Time) []Repayment {
	var due []Repayment
	for _, a := range p.sortedAccounts {
		short := a.shortfallAt.Equal(a.borrowedAt)
		if len(a.loans) == 0 || !p.closing && !short && (len(a.waiting) > 0 || now.Sub(a.borrowedAt) < idleLoanTTL) {
			continue
		}
		for _, l := range a.loans {
			p.lastMessage++
			due = append(due, Repayment{
				Number: p.lastMessage, Borrower: p.settings.Incarnation, Lender: l.Lender, Address: l.Address, Workspace: a.workspace, Amount: l.Amount,
			})
		}
		a.loans = nil
	}
	return due
}
