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

// ledger tracks, for each budget, the prepaid amount and the demand on it. The demand is the cost of the whole answers to
// all requests that clients have sent, except those that were refused as not run. No router knows this for the whole fleet.
type ledger struct {
	mu       sync.Mutex
	prepaid  map[string]masticway.Amount
	demanded map[string]masticway.Amount
	budgetOf map[string]string
}

func newLedger(s Scenario, contracts []masticway.Contract) *ledger {
	l := &ledger{prepaid: map[string]masticway.Amount{}, demanded: map[string]masticway.Amount{}, budgetOf: map[string]string{}}
	for _, b := range s.Budgets {
		l.prepaid[b.ID] = b.Prepaid
	}
	for _, c := range contracts {
		l.budgetOf[c.Workspace] = c.Budget
	}
	return l
}

// addDemand adds the cost of a request to the demand on its budget.
func (l *ledger) addDemand(p plannedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demanded[l.budgetOf[p.traffic.Workspace]] += p.cost
}

// withdrawDemand subtracts the cost of a refused request from the demand on its budget. It returns true if the budget could
// have paid for the request in addition to the remaining demand.
func (l *ledger) withdrawDemand(p plannedRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budgetOf[p.traffic.Workspace]
	l.demanded[b] -= p.cost
	return l.prepaid[b]-l.demanded[b] >= p.cost
}

func (l *ledger) topUp(budget string, amount masticway.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepaid[budget] += amount
}

// Promises counts violations of promises. All counts must be zero.
type Promises struct {
	// Overspend is by how much the cost of what upstreams ran exceeded the prepaid amounts, in tokens of weight one.
	Overspend float64 `json:"overspend_tokens"`
	// Overbilled is by how much the charges to budgets, without presumed charges, exceeded the cost of what upstreams ran,
	// in tokens of weight one.
	Overbilled float64 `json:"overbilled_tokens"`
	// Crossed counts answers that were wrong: not the answer to their own request (plannedRequest.isCorrect).
	Crossed int `json:"crossed_answers"`
	// Doubled counts non-repeatable requests that services ran more than once.
	Doubled int `json:"doubled_runs"`
	// FalseNotRun counts requests that services ran although they were refused as not run.
	FalseNotRun int `json:"false_not_run"`
	// CutOff counts graceful shutdowns of routers and sidecars that cut off requests.
	CutOff int `json:"cut_off"`
	// BrokenRows counts budget rows that are inconsistent or whose prepaid amount differs from what was paid.
	BrokenRows int `json:"broken_rows"`
	// LostAnswers counts non-repeatable requests that services ran, but that got neither a whole answer nor a refusal.
	LostAnswers int `json:"lost_answers"`
}

// Kept reports whether all promises were kept.
func (p Promises) Kept() bool { return p == Promises{} }

// Money holds the totals of all budgets, in tokens of weight one.
type Money struct {
	// Ran is the cost of what upstreams ran.
	Ran float64 `json:"ran"`
	// Settled is what was charged. Presumed is the part of Settled that was charged because a sidecar was lost and the true
	// cost is unknown.
	Settled  float64 `json:"settled"`
	Presumed float64 `json:"presumed"`
	// GivenBack is what was refunded because it had been charged twice. Settled does not include it.
	GivenBack float64 `json:"given_back"`
	// Underbilled is by how much the cost of what upstreams ran exceeded the charges.
	Underbilled float64 `json:"underbilled"`
	// Stranded is what is still in open grants after the shutdown of the routers.
	Stranded float64 `json:"stranded_at_end"`
}

// inTokens converts an amount to tokens of weight one.
func inTokens(a masticway.Amount) float64 { return float64(a) / float64(masticway.PerToken) }

// costOfRuns returns the cost of what the emulated upstreams report as run, by budget.
func costOfRuns(upstreams []*starter.FleetSidecar, catalog masticway.Catalog, budgetOf map[string]string) map[string]masticway.Amount {
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

// checkMoney compares the cost of what ran with the prepaid amounts and with the charges in the table. It counts violations
// in p and returns the totals.
func checkMoney(ctx context.Context, fleet *starter.Fleet, l *ledger, ran map[string]masticway.Amount, p *Promises) (Money, error) {
	var m Money
	book := bookkeeper.New(fleet.Platform.Table)
	l.mu.Lock()
	defer l.mu.Unlock()
	for budget, prepaid := range l.prepaid {
		row, err := book.Budget(ctx, budget)
		if err != nil {
			return m, fmt.Errorf("reading the final row of budget %s: %w", budget, err)
		}
		if row.Check() != nil || row.Prepaid != prepaid {
			p.BrokenRows++
		}
		p.Overspend += inTokens(max(0, ran[budget]-prepaid))
		charged := row.Settled - row.Presumed
		p.Overbilled += inTokens(max(0, charged-ran[budget]))
		m.Underbilled += inTokens(max(0, ran[budget]-row.Settled))
		m.Ran += inTokens(ran[budget])
		m.Settled += inTokens(row.Settled)
		m.Presumed += inTokens(row.Presumed)
		m.GivenBack += inTokens(row.Refunded)
		m.Stranded += inTokens(row.OpenAmount())
	}
	return m, nil
}

// serviceRuns returns how often all services together ran each request body.
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
