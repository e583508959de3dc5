package treasurer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticway/masticway"
)

// The policy of loans: when and whom to ask, what to lend, and when to give back.
const (
	// borrowAfter is how long a request waits for the store before other routers are asked; the store answers the two
	// calls that a request may need within 20 ms when it is well.
	borrowAfter = 30 * time.Millisecond
	// emptyFor is how long nobody is asked again after a round that brought too little.
	emptyFor = 300 * time.Millisecond
	// repayAfter is how long borrowed money may lie unused.
	repayAfter = time.Second
	// leastPart is the part of what is asked for below which nothing is lent.
	leastPart = 4
	// lendersAsked bounds the routers that are asked in one round.
	lendersAsked = 4
)

// The mechanics of loans: the pace of asking.
const (
	// borrowPause separates two rounds of asking for one workspace.
	borrowPause = 25 * time.Millisecond
)

// Loan is money that another router has taken out of its own grant for this one. It counts as taken there, so that
// neither router's death can make it be spent twice.
type Loan struct {
	Lender masticway.Incarnation
	Amount int64
}

// LoanRequest asks other routers for money of one workspace.
type LoanRequest struct {
	// Number names the round of asking among all of the borrower's.
	Number    int64
	Workspace string
	Need      int64
	// Lenders are the routers that probably have most, best first.
	Lenders []masticway.Incarnation
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
}

// loaned is the borrowed money at hand.
func (a *account) loaned() int64 {
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
		used = append(used, Loan{Lender: a.loans[0].Lender, Amount: part})
		amount -= part
		if a.loans[0].Amount -= part; a.loans[0].Amount == 0 {
			a.loans = a.loans[1:]
		}
	}
	return used
}

// keepLoan adds a loan to those at hand, if it is any.
func (a *account) keepLoan(l Loan) {
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

// Borrowing returns whom to ask for money now: somebody has waited for the store, or there is nothing left to draw.
func (p *Purse) Borrowing(now time.Time) []LoanRequest {
	var asks []LoanRequest
	for _, workspace := range slices.Sorted(maps.Keys(p.accounts)) {
		a := p.accounts[workspace]
		if len(a.waiting) == 0 || a.borrowing || now.Sub(a.borrowedAt) < borrowPause {
			continue
		}
		w := a.waiting[0]
		early := p.delegated(now, a) || a.known && p.beyond(a, w.need)
		if now.Sub(w.since) < borrowAfter && !early || now.Sub(a.emptyAt) < emptyFor {
			continue
		}
		need := a.needed() - a.loaned() - p.own(now, a)
		if need <= 0 {
			continue
		}
		a.borrowing = true
		p.nextMessage++
		asks = append(asks, LoanRequest{Number: p.nextMessage, Workspace: workspace, Need: need, Lenders: p.lenders(a)})
	}
	return asks
}

// lenders are the keeper of a workspace and the routers with the greatest demand for it, since they keep most in
// hand, then any others.
func (p *Purse) lenders(a *account) []masticway.Incarnation {
	others := make([]masticway.Incarnation, 0, len(p.peers))
	for _, w := range p.peers {
		others = append(others, w.Incarnation)
	}
	keeper := p.keeper(a)
	demand := func(i masticway.Incarnation) int64 {
		if i == keeper {
			return math.MaxInt64
		}
		return a.row.Grants[i].Demand
	}
	slices.SortStableFunc(others, func(x, y masticway.Incarnation) int {
		return cmp.Or(cmp.Compare(demand(y), demand(x)), cmp.Compare(a.row.Grants[y].Granted, a.row.Grants[x].Granted))
	})
	return others[:min(len(others), lendersAsked)]
}

// Borrowed takes what one round of asking brought.
func (p *Purse) Borrowed(now time.Time, workspace string, loans []Loan) []Reply {
	a, ok := p.accounts[workspace]
	if !ok {
		return nil
	}
	a.borrowing = false
	a.borrowedAt = now
	for _, l := range loans {
		a.keepLoan(l)
	}
	replies := p.serve(now, a)
	if len(a.waiting) > 0 {
		a.emptyAt = now
	}
	return replies
}

// Unanswered returns what tells a lender that its answer did not arrive.
func (p *Purse) Unanswered(r LoanRequest, lender masticway.Incarnation) Repayment {
	p.nextMessage++
	return Repayment{
		Number: p.nextMessage, Borrower: p.settings.Incarnation, Lender: lender, Workspace: r.Workspace, Ask: r.Number,
	}
}

// Lend takes money out of what this router may still take, for another. The hold has to be cleared before the money
// is handed over, and Lent ends it then; there is none when nothing can be lent.
func (p *Purse) Lend(now time.Time, ask LoanAsk) (HoldID, int64) {
	a, ok := p.accounts[ask.Workspace]
	if !ok || p.closing {
		return 0, 0
	}
	from := p.borrower(ask.Borrower)
	if _, known := from.asked[ask.Number]; known {
		// Its borrower has given it up, or it came twice.
		return 0, 0
	}
	a.observe(now, ask.Need)
	amount := min(ask.Need, p.own(now, a)-a.needed())
	if amount <= 0 || amount < ask.Need/leastPart {
		return 0, 0
	}
	p.nextHold++
	a.taken += amount
	p.holds[p.nextHold] = &held{account: a, amount: amount}
	from.asked[ask.Number] = &askedLoan{at: now, amount: amount}
	from.forget(now)
	return p.nextHold, amount
}

// Lent notes that a cleared hold is handed to another router; it returns false when the hold was not cleared or the
// borrower has given the question up meanwhile, and then the hold is still to be settled.
func (p *Purse) Lent(id HoldID, ask LoanAsk) bool {
	h, ok := p.holds[id]
	if !ok || !h.cleared {
		return false
	}
	loan, known := p.borrower(ask.Borrower).asked[ask.Number]
	if !known || loan.void {
		return false
	}
	loan.lent = true
	h.account.lent += h.amount
	delete(p.holds, id)
	return true
}

// Repaid takes back what another router did not use of a loan, once for each of the borrower's numbers.
func (p *Purse) Repaid(now time.Time, r Repayment) []Reply {
	a, ok := p.accounts[r.Workspace]
	if !ok || r.Lender != p.settings.Incarnation || !p.borrower(r.Borrower).heard.first(r.Number) {
		return nil
	}
	amount := r.Amount
	if r.Ask != 0 {
		amount += p.borrower(r.Borrower).giveUp(now, r.Ask)
	}
	back := min(amount, a.lent)
	a.lent -= back
	a.taken -= back
	a.cleared -= back
	return p.serve(now, a)
}

// Repayments returns what lies unused and should go back; it has left this router's hands when it is returned.
func (p *Purse) Repayments(now time.Time) []Repayment {
	var due []Repayment
	for _, workspace := range slices.Sorted(maps.Keys(p.accounts)) {
		a := p.accounts[workspace]
		empty := a.emptyAt.Equal(a.borrowedAt)
		if len(a.loans) == 0 || !p.closing && !empty && (len(a.waiting) > 0 || now.Sub(a.borrowedAt) < repayAfter) {
			continue
		}
		for _, l := range a.loans {
			p.nextMessage++
			due = append(due, Repayment{
				Number: p.nextMessage, Borrower: p.settings.Incarnation, Lender: l.Lender, Workspace: workspace, Amount: l.Amount,
			})
		}
		a.loans = nil
	}
	return due
}
