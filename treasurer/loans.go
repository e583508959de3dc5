package treasurer

import (
	"time"

	"github.com/masticway/masticway"
)

// The policy of loans: when and whom to ask, what to lend, and when to give back.
const (
	// borrowDelay is how long a request waits for the store before other routers are asked; the store answers the two
	// calls that a request may need within 20 ms when it is well.
	borrowDelay = 30 * time.Millisecond
	// borrowBackoff is how long a router that draws from the store itself asks nobody again after a round that brought too
	// little, and how long one that borrows draws itself once nobody has answered.
	borrowBackoff = 300 * time.Millisecond
	// refillInterval is how long one that borrows waits after such a round: a holder's two calls to the store take that long.
	refillInterval = 40 * time.Millisecond
	// idleLoanTTL is how long borrowed money may lie unused.
	idleLoanTTL = time.Second
	// minLoanDivisor is the part of what is asked for below which nothing is lent.
	minLoanDivisor = 4
	// maxLenders bounds the routers that are asked in one round.
	maxLenders = 8
)

// Loan is money that another router has taken out of its own grant for this one. It counts as taken there, so that
// neither router's death can make it be spent twice.
type Loan struct {
	Lender masticway.Incarnation
	// Address is where the lender was reached.
	Address string
	Amount  int64
}

// BorrowRound asks other routers for money of one workspace.
type BorrowRound struct {
	// Number names the round of asking among all of the borrower's.
	Number    int64
	Workspace string
	Need      int64
	// Lenders are the routers that probably have most, best first.
	Lenders []Witness
}

// LoanAsk is what one router is asked in a round; borrower and number name it.
type LoanAsk struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Workspace string                `cbor:"3,keyasint"`
	Need      int64                 `cbor:"4,keyasint"`
}

// Repayment gives back what was borrowed and not used; its number lets the lender count it once.
type Repayment struct {
	Number    int64                 `cbor:"1,keyasint"`
	Borrower  masticway.Incarnation `cbor:"2,keyasint"`
	Lender    masticway.Incarnation `cbor:"3,keyasint"`
	Workspace string                `cbor:"4,keyasint"`
	Amount    int64                 `cbor:"5,keyasint"`
	// Ask is a question whose answer did not arrive: whatever it brought is given back, and nothing is lent for it any
	// more. It is zero when there was an answer.
	Ask int64 `cbor:"6,keyasint,omitempty"`
	// Address is where the lender is reached; it is not told.
	Address string `cbor:"-"`
}

// loanBalance is the borrowed money at hand.
func (a *account) loanBalance() int64 {
	var sum int64
	for _, l := range a.loans {
		sum += l.Amount
	}
	return sum
}

// takeLoans takes money out of the loans at hand and says whose it was.
func (a *account) takeLoans(amount int64) []Loan {
	var used []Loan
	for amount > 0 && len(a.loans) > 0 {
		part := min(amount, a.loans[0].Amount)
		used = append(used, Loan{Lender: a.loans[0].Lender, Address: a.loans[0].Address, Amount: part})
		amount -= part
		if a.loans[0].Amount -= part; a.loans[0].Amount == 0 {
			a.loans = a.loans[1:]
		}
	}
	return used
}

// addLoan adds a loan to those at hand, if it is any.
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

// DueBorrowRounds returns whom to ask for money now: somebody has waited for the store, or there is nothing left to draw.
func (p *Planner) DueBorrowRounds(now time.Time) []BorrowRound {
	var asks []BorrowRound
	for _, a := range p.sortedAccounts {
		if len(a.waiting) == 0 || a.borrowing {
			continue
		}
		w := a.waiting[0]
		early := p.borrowsFromHolders(now, a) || a.rowKnown && p.exceedsBudget(a, w.need)
		if now.Sub(w.since) < borrowDelay && !early || now.Sub(a.shortfallAt) < p.borrowRetryInterval(a) {
			continue
		}
		need := a.queuedNeed() - a.loanBalance() - p.available(now, a)
		if need <= 0 {
			continue
		}
		a.borrowing = true
		p.lastMessage++
		asks = append(asks, BorrowRound{Number: p.lastMessage, Workspace: a.workspace, Need: need, Lenders: p.lenders(now, a)})
	}
	return asks
}

// borrowRetryInterval is how long after a round that brought too little the next one begins.
func (p *Planner) borrowRetryInterval(a *account) time.Duration {
	if p.keepsReserve(a) {
		return borrowBackoff
	}
	return refillInterval
}

// CompleteBorrowRound takes what one round of asking brought; of the routers that were asked, so many did not answer.
func (p *Planner) CompleteBorrowRound(now time.Time, r BorrowRound, loans []Loan, unanswered int) []Reply {
	a, ok := p.accounts[r.Workspace]
	if !ok {
		return nil
	}
	a.borrowing = false
	a.borrowedAt = now
	var brought int64
	for _, l := range loans {
		a.addLoan(l)
		brought += l.Amount
	}
	a.allAnswered = unanswered == 0
	if brought < r.Need {
		a.shortfallAt = now
		if unanswered > 0 && unanswered == len(r.Lenders) {
			a.noAnswerAt = now
		}
	}
	return p.serveQueue(now, a)
}

// CancelRequest notes that a lender did not answer, and returns what tells it that its answer did not arrive.
func (p *Planner) CancelRequest(now time.Time, r BorrowRound, lender Witness) Repayment {
	p.unansweredAt[lender.Incarnation.Instance()] = now
	p.lastMessage++
	return Repayment{
		Number: p.lastMessage, Borrower: p.settings.Incarnation, Lender: lender.Incarnation, Address: lender.Address, Workspace: r.Workspace,
		Ask: r.Number,
	}
}

// Lend takes money out of what this router may still take, for another. The hold has to be cleared before the money
// is handed over, and Lent ends it then; there is none when nothing can be lent.
func (p *Planner) Lend(now time.Time, ask LoanAsk) (HoldID, int64) {
	a, ok := p.accounts[ask.Workspace]
	if !ok || p.closing {
		return 0, 0
	}
	from := p.borrower(ask.Borrower)
	if _, known := from.loans[ask.Number]; known {
		// Its borrower has given it up, or it came twice.
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
	from.loans[ask.Number] = &loanRecord{at: now, amount: amount}
	from.dropExpired(now)
	return p.lastHold, amount
}

// CompleteLoan notes that a cleared hold is handed to another router; it returns false when the hold was not cleared or the
// borrower has given the question up meanwhile, and then the hold is still to be settled.
func (p *Planner) CompleteLoan(id HoldID, ask LoanAsk) bool {
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

// AcceptRepayment takes back what another router did not use of a loan, once for each of the borrower's numbers.
func (p *Planner) AcceptRepayment(now time.Time, r Repayment) []Reply {
	a, ok := p.accounts[r.Workspace]
	if !ok || r.Lender != p.settings.Incarnation && r.Ask == 0 || !p.borrower(r.Borrower).repayments.add(r.Number) {
		return nil
	}
	amount := r.Amount
	if r.Ask != 0 {
		amount += p.borrower(r.Borrower).cancel(now, r.Ask)
	}
	back := min(amount, a.lent)
	a.lent -= back
	a.taken -= back
	a.cleared -= back
	return p.serveQueue(now, a)
}

// DueRepayments returns what lies unused and should go back; it has left this router's hands when it is returned.
func (p *Planner) DueRepayments(now time.Time) []Repayment {
	var due []Repayment
	for _, a := range p.sortedAccounts {
		empty := a.shortfallAt.Equal(a.borrowedAt)
		if len(a.loans) == 0 || !p.closing && !empty && (len(a.waiting) > 0 || now.Sub(a.borrowedAt) < idleLoanTTL) {
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
