package treasurer

import (
	"maps"
	"time"

	"github.com/masticway/masticway"
)

const (
	// loanRecordTTL is how long a lender remembers a question: longer than its borrower tries to tell it that the answer
	// did not arrive.
	loanRecordTTL = 10 * time.Second
	// messageNumberWindow is how far behind the newest number of a borrower an older one may come and still counts; messages
	// that are under way at the same time overtake each other by a few dozen.
	messageNumberWindow = 1024
)

// loanRecord is what a question brought.
type loanRecord struct {
	at     time.Time
	amount int64
	// lent tells that the money was handed over, void that the borrower wants it no more.
	lent     bool
	canceled bool
}

// borrowerState is what a lender remembers of one borrower.
type borrowerState struct {
	repayments numberSet
	loans      map[int64]*loanRecord
}

// borrower returns the memory of one borrower.
func (p *Planner) borrower(i masticway.Incarnation) *borrowerState {
	m, ok := p.borrowers[i]
	if !ok {
		m = &borrowerState{repayments: numberSet{seen: map[int64]struct{}{}}, loans: map[int64]*loanRecord{}}
		p.borrowers[i] = m
	}
	return m
}

// dropExpired drops questions that nobody speaks of any more.
func (m *borrowerState) dropExpired(now time.Time) {
	maps.DeleteFunc(m.loans, func(_ int64, loan *loanRecord) bool { return now.Sub(loan.at) > loanRecordTTL })
}

// cancelRequest makes a question void and returns what was handed over for it.
func (m *borrowerState) cancel(now time.Time, number int64) int64 {
	loan, known := m.loans[number]
	if !known {
		// The question comes after this word, or never.
		m.loans[number] = &loanRecord{at: now, canceled: true}
		return 0
	}
	again := loan.canceled
	loan.canceled = true
	if again || !loan.lent {
		return 0
	}
	return loan.amount
}

// numberSet tells which numbers have come before, whatever their order.
type numberSet struct {
	newest int64
	seen   map[int64]struct{}
}

// add tells that a number comes for the first time; one that is far too old counts as seen.
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
