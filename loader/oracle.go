package loader

import (
	"context"
	"fmt"
	"sync"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/emulator"
	"github.com/masticway/masticway/starter"
)

// ledger knows everything that clients want and were told, as no router can.
type ledger struct {
	mu       sync.Mutex
	prepaid  map[string]masticway.Amount
	wanted   map[string]masticway.Amount
	budgetOf map[string]string
}

func newLedger(s Scenario, contracts []masticway.Contract) *ledger {
	l := &ledger{prepaid: map[string]masticway.Amount{}, wanted: map[string]masticway.Amount{}, budgetOf: map[string]string{}}
	for _, b := range s.Budgets {
		l.prepaid[b.ID] = b.Prepaid
	}
	for _, c := range contracts {
		l.budgetOf[c.Workspace] = c.Budget
	}
	return l
}

// begin counts a request's true cost as wanted.
func (l *ledger) begin(p planned) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted[l.budgetOf[p.traffic.Workspace]] += p.cost
}

// refused takes a request's cost back, and tells whether its money was there all the same.
func (l *ledger) refused(p planned) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budgetOf[p.traffic.Workspace]
	l.wanted[b] -= p.cost
	return l.prepaid[b]-l.wanted[b] >= p.cost
}

func (l *ledger) topUp(budget string, amount masticway.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepaid[budget] += amount
}

// Promises counts what must never happen; all must be zero.
type Promises struct {
	// Overspend is what upstreams ran beyond prepaid sums, in tokens at weight one.
	Overspend float64 `json:"overspend_tokens"`
	// Overbilled is what budgets were charged beyond what upstreams ran, without what is presumed.
	Overbilled float64 `json:"overbilled_tokens"`
	// Crossed counts answers that were not the whole answer to their own request.
	Crossed int `json:"crossed_answers"`
	// Doubled counts non-repeatable requests that ran more than once.
	Doubled int `json:"doubled_runs"`
	// FalseNotRun counts requests called "not run" that ran.
	FalseNotRun int `json:"false_not_run"`
	// CutOff counts graceful shutdowns that cut something off.
	CutOff int `json:"cut_off"`
	// BrokenRows counts budget rows that would allow overspending.
	BrokenRows int `json:"broken_rows"`
	// LostAnswers counts non-repeatable requests that ran and whose client was never told the answer.
	LostAnswers int `json:"lost_answers"`
}

// Kept tells whether all promises were kept.
func (p Promises) Kept() bool { return p == Promises{} }

// Money is what happened to the budgets, in tokens at weight one.
type Money struct {
	Ran        float64 `json:"ran"`
	Settled    float64 `json:"settled"`
	Presumed   float64 `json:"presumed"`
	GivenBack  float64 `json:"given_back"`
	Underbill  float64 `json:"underbilled"`
	StrandedAt float64 `json:"stranded_at_end"`
}

func asTokens(a masticway.Amount) float64 { return float64(a) / float64(masticway.PerToken) }

// ranCost adds up what the stand-ins say they ran, by budget.
func ranCost(upstreams []*starter.FleetSidecar, catalog masticway.Catalog, budgetOf map[string]string) map[string]masticway.Amount {
	ran := map[string]masticway.Amount{}
	for _, s := range upstreams {
		if s.Engine != nil {
			model, _ := catalog.Model(s.Model())
			for owner, c := range s.Engine.Counts().Owners {
				ran[budgetOf[owner]] += model.Cost(int(c.Prompt), int(c.Completion))
			}
			continue
		}
		service, _ := catalog.Service(s.ServiceName())
		for body, n := range s.Service.Runs() {
			ran[budgetOf[emulator.Owner(body)]] += service.Price * masticway.Amount(n)
		}
	}
	return ran
}

// checkMoney holds what ran against what was prepaid and what the table bills.
func checkMoney(ctx context.Context, fleet *starter.Fleet, l *ledger, ran map[string]masticway.Amount, p *Promises) (Money, error) {
	var m Money
	book := bookkeeper.New(fleet.Platform.Table)
	l.mu.Lock()
	defer l.mu.Unlock()
	for budget, prepaid := range l.prepaid {
		row, err := book.Budget(ctx, budget)
		if err != nil {
			return m, fmt.Errorf("reading the end of budget %s: %w", budget, err)
		}
		if row.Check() != nil || row.Prepaid != prepaid {
			p.BrokenRows++
		}
		p.Overspend += asTokens(max(0, ran[budget]-prepaid))
		billed := row.Settled - row.Presumed
		p.Overbilled += asTokens(max(0, billed-ran[budget]))
		m.Underbill += asTokens(max(0, ran[budget]-row.Settled))
		m.Ran += asTokens(ran[budget])
		m.Settled += asTokens(row.Settled)
		m.Presumed += asTokens(row.Presumed)
		m.GivenBack += asTokens(row.Refunded)
		m.StrandedAt += asTokens(row.OpenAmount())
	}
	return m, nil
}

// serviceRuns adds up how often each service body ran.
func serviceRuns(upstreams []*starter.FleetSidecar) map[string]int {
	runs := map[string]int{}
	for _, s := range upstreams {
		if s.Service == nil {
			continue
		}
		for body, n := range s.Service.Runs() {
			runs[body] += n
		}
	}
	return runs
}
