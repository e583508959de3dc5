package treasurer

import (
	"maps"
	"time"

	"github.com/masticway/masticway"
)

const (
	// loanRecordTTL is how long a lender remembers a loan request at least: longer than a borrower tries to cancel a request
	// whose response was lost.
	loanRecordTTL = 10 * time.Second
	// messageNumberWindow is how far the number of a repayment may lag behind the borrower's newest and still be accepted;
	// concurrent messages overtake each other by a few dozen.
	messageNumberWindow = 1024
)

// loanRecord is a lender's record of one loan request; amount is what was held for it.
type loanRecord struct {
	at     time.Time
	amount int64
	// lent is set once the tokens were handed over, canceled once the borrower has canceled the request.
	lent     bool
	canceled bool
}

// borrowerState is what a lender remembers of one borrower: the numbers of its repayments, and its loan requests by number.
type borrowerState struct {
	repayments numberSet
	loans      map[int64]*loanRecord
}

// borrower returns the state of one borrower, which it creates for a new one.
func (p *Planner) borrower(i masticway.Incarnation) *borrowerState {
	m, ok := p.borrowers[i]
	if !ok {
		m = &borrowerState{repayments: numberSet{seen: map[int64]struct{}{}}, loans: map[int64]*loanRecord{}}
		p.borrowers[i] = m
	}
	return m
}

// dropExpired drops the records that are older than loanRecordTTL.
func (m *borrowerState) dropExpired(now time.Time) {
	maps.DeleteFunc(m.loans, func(_ int64, loan *loanRecord) bool { return now.Sub(loan.at) > loanRecordTTL })
}

// cancel marks a loan request as canceled and returns what was handed over for it, zero if it was canceled before.
func (m *borrowerState) cancel(now time.Time, number int64) int64 {
	loan, known := m.loans[number]
	if !known {
		// The cancellation has overtaken the request, or the request was lost.
		m.loans[number] = &loanRecord{at: now, canceled: true}
		return 0
	}
	alreadyCanceled := loan.canceled
	loan.canceled = true
	if alreadyCanceled || !loan.lent {
		return 0
	}
	return loan.amount
}

// numberSet is a set of message numbers, which may arrive in any order.
type numberSet struct {
	newest int64
	seen   map[int64]struct{}
}

// add adds a number and reports whether it is new; one that is too old to be remembered counts as not new.
func (n *numberSet) add(number int64) bool {
	if _, again := n.seen[number]; again || number <= n.newest-messageNumberWindow {
		return false
	}
	n.seen[number] = struct{}{}
	n.newest = max(n.newest, number)
	if len(n.seen) > 2*messageNumberWindow {
		maps.DeleteFunc(n.seen, func(old int64, _ struct{}) bool { return old <= n.newest-messageNumberWindow })
	}
	return true
}
