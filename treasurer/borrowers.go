package treasurer

import (
	"maps"
	"time"

	"github.com/masticway/masticway"
)

const (
	// askMemory is how long a lender remembers a question: longer than its borrower tries to tell it that the answer
	// did not arrive.
	askMemory = 10 * time.Second
	// numberWindow is how far behind the newest number of a borrower an older one may come and still counts; messages
	// that are under way at the same time overtake each other by a few dozen.
	numberWindow = 1024
)

// askedLoan is what a question brought.
type askedLoan struct {
	at     time.Time
	amount int64
	// lent tells that the money was handed over, void that the borrower wants it no more.
	lent bool
	void bool
}

// borrowerMemory is what a lender remembers of one borrower.
type borrowerMemory struct {
	heard numbers
	asked map[int64]*askedLoan
}

// borrower returns the memory of one borrower.
func (p *Purse) borrower(i masticway.Incarnation) *borrowerMemory {
	m, ok := p.borrowers[i]
	if !ok {
		m = &borrowerMemory{heard: numbers{seen: map[int64]struct{}{}}, asked: map[int64]*askedLoan{}}
		p.borrowers[i] = m
	}
	return m
}

// forget drops questions that nobody speaks of any more.
func (m *borrowerMemory) forget(now time.Time) {
	maps.DeleteFunc(m.asked, func(_ int64, loan *askedLoan) bool { return now.Sub(loan.at) > askMemory })
}

// giveUp makes a question void and returns what was handed over for it.
func (m *borrowerMemory) giveUp(now time.Time, number int64) int64 {
	loan, known := m.asked[number]
	if !known {
		// The question comes after this word, or never.
		m.asked[number] = &askedLoan{at: now, void: true}
		return 0
	}
	again := loan.void
	loan.void = true
	if again || !loan.lent {
		return 0
	}
	return loan.amount
}

// numbers tells which numbers have come before, whatever their order.
type numbers struct {
	newest int64
	seen   map[int64]struct{}
}

// first tells that a number comes for the first time; one that is far too old counts as seen.
func (n *numbers) first(number int64) bool {
	if _, again := n.seen[number]; again || number <= n.newest-numberWindow {
		return false
	}
	n.seen[number] = struct{}{}
	n.newest = max(n.newest, number)
	if len(n.seen) > 2*numberWindow {
		maps.DeleteFunc(n.seen, func(old int64, _ struct{}) bool { return old <= n.newest-numberWindow })
	}
	return true
}
