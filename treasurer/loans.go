package treasurer

import (
	"time"

	"github.com/masticway/masticway"
)

// These constants are policy: when and whom to ask for a loan, what to lend, and when to repay.
const (
	// borrowDelay is how long a request waits for the store before other routers are asked, at a router that draws its own
	// grant and whose row shows enough. A healthy store answers the two calls that a request may need within 20 ms.
	borrowDelay = 30 * time.Millisecond
	// borrowBackoff is how long a router that keeps a reserve asks no lender after a round that returned too little. It is
	// also how long a router that keeps none draws its own grant after a round in which no lender answered.
	borrowBackoff = 300 * time.Millisecond
	// borrowerBackoff is how long a router that keeps no reserve asks no lender after a round that returned too little: the
	// time of a holder's two calls to the store.
	borrowerBackoff = 40 * time.Millisecond
	// idleLoanTTL is how long a loan may remain unused before it is repaid.
	idleLoanTTL = time.Second
	// minLoanDivisor divides the requested amount to give the smallest loan.
	minLoanDivisor = 4
	// maxLenders bounds the lenders of one round.
	maxLenders = 8
)

// Loan is an amount that another router has taken out of its own grant for this one. It counts as taken there, so that it is
// not spent twice if either router crashes.
type Loan struct {
	Lender masticway.Incarnation
	// Address is where the lender was reached.
	Address string
	Amount  int64
}

// BorrowRound is one round of asking other routers for tokens of a workspace, one after the other, until the need is met.
type BorrowRound struct {
	// Number identifies the round within the borrower.
	Number    int64
	Workspace string
	Need      int64
	// Lenders are the routers to ask, best first.
	Lenders []Witness
}

// LoanRequest asks one router of a round for a loan. The number is the round's; with the borrower it identifies the request
// at the lender.
type LoanRequest struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Workspace string                `cbor:"3,keyasint"`
	Need      int64                 `cbor:"4,keyasint"`
}

// Repayment returns what was borrowed and not used, or cancels a request; the lender counts each number of a borrower once.
type Repayment struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Lender    masticway.Incarnation `cbor:"3,keyasint"`
	Workspace string                `cbor:"4,keyasint"`
	Amount    int64                 `cbor:"5,keyasint"`
	// CanceledRequest is the number of a request whose response did not arrive, zero if there is none: the lender takes back
	// whatever it has lent for the request, and lends nothing more for it.
	CanceledRequest int64 `cbor:"6,keyasint,omitempty"`
	// Address is where the lender is reached; it is not sent.
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

// takeLoans takes an amount out of the loans and returns the loans that it came from.
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

// addLoan adds a loan, unless it is empty.
func (a *account) addLoan(l Loan) {
	if l.Amount <= 0 {
		return
	}
	for i := range a.loans {
		if a.loans[i].Lender == l.Lender {
			a.loans[i].Amount += l.Amount
			return
		}
	}
	a.loans = append(a.loans, l)
}

// DueBorrowRounds returns the rounds to start now, at most one at a time for each workspace: for requests at a router that
// borrows from holders, requests whose need the budget's row cannot meet, and others that have waited for borrowDelay.
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

// borrowRetryInterval is how long after a round that returned too little the next one may start.
func (p *Planner) borrowRetryInterval(a *account) time.Duration {
	if p.keepsReserve(a) {
		return borrowBackoff
	}
	return borrowerBackoff
}

// CompleteBorrowRound adds the loans that a round returned; unanswered is how many of the lenders that were asked did not
// answer.
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
		received += l.Amount
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

// CancelRequest records that a lender did not answer, and returns the repayment that cancels the request there.
func (p *Planner) CancelRequest(now time.Time, r BorrowRound, lender Witness) Repayment {
	p.unansweredAt[lender.Incarnation.Instance()] = now
	p.lastMessage++
	return Repayment{
		Number: p.lastMessage, Borrower: p.settings.Incarnation, Lender: lender.Incarnation, Address: lender.Address, Workspace: r.Workspace,
		CanceledRequest: r.Number,
	}
}

// Lend takes tokens for another router out of what may be taken, and counts the request as demand. It returns their hold,
// which must be cleared before the tokens are handed over and is ended by CompleteLoan. If nothing is lent, the amount is
// zero and there is no hold.
func (p *Planner) Lend(now time.Time, request LoanRequest) (HoldID, int64) {
	a, ok := p.accounts[request.Workspace]
	if !ok || p.closing {
		return 0, 0
	}
	borrower := p.borrower(request.Borrower)
	if _, known := borrower.loans[request.Number]; known {
		// The borrower has canceled the request, or this is a duplicate.
		return 0, 0
	}
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

// CompleteLoan ends a cleared hold because its tokens are handed to another router. It returns false if the hold is not
// cleared or the borrower has canceled the request meanwhile; the caller must then settle the hold.
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

// AcceptRepayment takes back what another router did not use of a loan, or what was lent for a request that it cancels; once
// for each number. It ignores repayments that are meant for another incarnation, except cancellations.
func (p *Planner) AcceptRepayment(now time.Time, r Repayment) []Reply {
	a, ok := p.accounts[r.Workspace]
	if !ok || r.Lender != p.settings.Incarnation && r.CanceledRequest == 0 || !p.borrower(r.Borrower).repayments.add(r.Number) {
		return nil
	}
	amount := r.Amount
	if r.CanceledRequest != 0 {
		amount += p.borrower(r.Borrower).cancel(now, r.CanceledRequest)
	}
	returned := min(amount, a.lent)
	a.lent -= returned
	a.taken -= returned
	a.cleared -= returned
	return p.serveQueue(now, a)
}

// DueRepayments removes the loans to return now, and returns them as repayments: all while the router shuts down and after a
// round that returned too little, and otherwise those of workspaces without waiting requests after idleLoanTTL.
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
