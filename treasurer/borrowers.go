package treasurer

import (
	"maps"
	"time"

	"github.com/masticway/masticway"
)

const (
	// loanRecordTTL is how long a lender remembers a loan request at least. It must be longer than a borrower tries to
	// cancel a request without a response.
	loanRecordTTL = 10 * time.Second
	// messageNumberWindow is how far the number of a repayment may lag behind the highest number from its borrower and still
	// be accepted. Concurrent messages overtake each other by a few dozen.
	messageNumberWindow = 1024
)

// loanRecord is a lender's record of one loan request. at is when it arrived, or when its cancellation did if that came
// first. amount is what was held for it.
type loanRecord struct {
	at     time.Time
	amount int64
	// lent is set once the tokens were handed over. canceled is set once the borrower has canceled the request.
	lent     bool
	canceled bool
}

// borrowerState is what a lender remembers of one borrower: the numbers of its repayments, and the records of its loan
// requests by number.
type borrowerState struct {
	repayments numberSet
	loans      map[int64]*loanRecord
}

// borrower returns the state of one borrower. It creates the state if there is none.
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

// cancel marks a loan request as canceled. It returns how many tokens were handed over for the request, or zero if it was
// canceled already.
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

// numberSet is a set of message numbers, which may arrive in any order. It may forget numbers that lag behind the highest by
// messageNumberWindow or more.
type numberSet struct {
	newest int64
	seen   map[int64]struct{}
}

// add adds a number and reports whether it is new. A number that lags behind the highest by messageNumberWindow or more
// counts as not new.
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
