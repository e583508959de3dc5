package treasurer

import (
	"time"

	"github.com/masticway/masticway"
)

// These constants are policy: when and whom to ask for a loan, what to lend, and when to repay.
const (
	// borrowDelay is how long a request waits for the store before other routers are asked; a healthy store answers the two
	// calls that a request may need within 20 ms.
	borrowDelay = 30 * time.Millisecond
	// borrowBackoff is how long a router that draws its own grant asks no lender after a round that returned too little,
	// and how long a router that otherwise borrows draws its own grant after no lender has answered.
	borrowBackoff = 300 * time.Millisecond
	// refillInterval is how long a router that borrows waits after such a round: it is the time of a holder's two calls to
	// the store.
	refillInterval = 40 * time.Millisecond
	// idleLoanTTL is how long a loan may remain unused before it is repaid.
	idleLoanTTL = time.Second
	// minLoanDivisor divides the requested amount to give the smallest loan.
	minLoanDivisor = 4
	// maxLenders bounds the lenders of one round.
	maxLenders = 8
)

// Loan is an amount that another router has taken out of its own grant for this one. It counts as taken there, so that it
// is not spent twice if either router crashes.
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

// LoanRequest is a request to one router of a round; the borrower and the number identify it.
type LoanRequest struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Workspace string                `cbor:"3,keyasint"`
	Need      int64                 `cbor:"4,keyasint"`
}

// Repayment returns what was borrowed and not used; the lender counts each number once.
type Repayment struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Lender    masticway.Incarnation `cbor:"3,keyasint"`
	Workspace string                `cbor:"4,keyasint"`
	Amount    int64                 `cbor:"5,keyasint"`
	// This is the number of a request whose response did not arrive, zero if there is none: the lender takes back whatever
	// it has lent for the request, and lends nothing more for it.
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
		part := min(amount, a.loans[0].Amount)
		taken = append(taken, Loan{Lender: a.loans[0].Lender, Address: a.loans[0].Address, Amount: part})
		amount -= part
		if a.loans[0].Amount -= part; a.loans[0].Amount == 0 {
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

// DueBorrowRounds returns the rounds to start now: for requests that have waited for the store, or whose need the store
// cannot meet.
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
	return refillInterval
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

// Lend takes tokens for another router out of what may be taken. Its hold must be cleared before the tokens are handed
// over, and is ended by CompleteLoan; there is none if nothing can be lent.
func (p *Planner) Lend(now time.Time, ask LoanRequest) (HoldID, int64) {
	a, ok := p.accounts[ask.Workspace]
	if !ok || p.closing {
		return 0, 0
	}
	borrower := p.borrower(ask.Borrower)
	if _, known := borrower.loans[ask.Number]; known {
		// The borrower has canceled the request, or this is a duplicate.
		return 0, 0
	}
	a.observeDemand(now, ask.Need)
	a.peerDemand.add(now, float64(ask.Need))
	amount := min(ask.Need, p.available(now, a)-a.queuedNeed())
	if amount <= 0 || amount < ask.Need/minLoanDivisor {
		return 0, 0
	}
	p.lastHold++
	a.taken += amount
	p.holds[p.lastHold] = &hold{account: a, amount: amount}
	borrower.loans[ask.Number] = &loanRecord{at: now, amount: amount}
	borrower.dropExpired(now)
	return p.lastHold, amount
}

// CompleteLoan ends a cleared hold because its tokens are handed to another router. It returns false if the hold is not
// cleared or the borrower has canceled the request meanwhile; the caller must then settle the hold.
func (p *Planner) CompleteLoan(id HoldID, ask LoanRequest) bool {
	h, ok := p.holds[id]
	if !ok || !h.cleared {
		return false
	}
	loan, known := p.borrower(ask.Borrower).loans[ask.Number]
	if !known || loan.canceled {
		return false
	}
	loan.lent = true
	h.account.lent += h.amount
	delete(p.holds, id)
	return true
}

// AcceptRepayment takes back what another router did not use of a loan, once for each number.
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

// DueRepayments removes the loans that are unused and due, and returns them as repayments.
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
