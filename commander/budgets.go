package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/router"
)

func budgetCommand() *command {
	return &command{name: "budget", description: "show and top up budgets", subcommands: []*command{budgetShow(), budgetTopUp()}}
}

func budgetShow() *command {
	c, budget := &client{}, ""
	return &command{
		name: "show", description: "show what is prepaid, settled, granted and stranded",
		example: "masticway budget show tailoring --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			s.AddPositionalValue(&budget, "budget", 1, true, "name of the budget")
		},
		run: func(ctx context.Context, e env) error {
			return callAndPrint(ctx, c, e, apiCall{method: http.MethodGet, path: "/admin/v1/budgets/" + budget}, printBudget)
		},
	}
}

func printBudget(w io.Writer, v router.BudgetStatus) {
	rows := []struct {
		name   string
		amount masticway.Amount
	}{
		{"prepaid", v.Prepaid}, {"settled", v.Settled}, {"presumed", v.Presumed}, {"given back", v.Refunded},
		{"granted", v.Granted}, {"stranded", v.Stranded}, {"left", v.Remaining},
	}
	fmt.Fprintf(w, "budget %s, in tokens at weight one\n", v.Budget)
	for _, r := range rows {
		fmt.Fprintf(w, "  %-10s %s\n", r.name, formatTokens(r.amount))
	}
	for _, g := range v.Grants {
		state := "in use"
		if g.Stranded {
			state = "stranded: " + g.Reason
		}
		fmt.Fprintf(w, "  grant to %s: %s (%s)\n", g.Payer, formatTokens(g.Open), state)
	}
	if v.Local != nil {
		fmt.Fprintf(w, "  at this router: drawn %s spent %s held %s in %d holds\n", formatTokens(v.Local.Drawn), formatTokens(v.Local.Spent), formatTokens(v.Local.Held), v.Local.Holds)
	}
}

func budgetTopUp() *command {
	c, f, budget, amount := &client{}, &changeFlags{}, "", ""
	return &command{
		name: "top-up", description: "add prepaid tokens to a budget, and create it if it does not exist",
		example: "masticway budget top-up tailoring 1000000 --change-id order-17 --router http://127.0.0.1:8101 --token-file examples/admin.token",
		flags: func(s *flaggy.Subcommand) {
			c.flags(s)
			f.flags(s, false)
			s.AddPositionalValue(&budget, "budget", 1, true, "name of the budget")
			s.AddPositionalValue(&amount, "tokens", 2, true, "tokens at weight one to add")
		},
		run: func(ctx context.Context, e env) error {
			n, err := strconv.ParseInt(amount, 10, 64)
			if err != nil || n <= 0 {
				return &usageError{reason: "tokens must be a positive whole number"}
			}
			body, err := json.Marshal(struct {
				Amount masticway.Amount `json:"amount"`
			}{masticway.Amount(n) * masticway.PerToken})
			if err != nil {
				return fmt.Errorf("encoding the amount: %w", err)
			}
			call := apiCall{method: http.MethodPost, path: "/admin/v1/budgets/" + budget + "/top-ups", body: body, headers: f.headers()}
			return callAndPrint(ctx, c, e, call, func(w io.Writer, v struct {
				Prepaid masticway.Amount `json:"prepaid"`
			}) {
				fmt.Fprintf(w, "prepaid is now %s tokens\n", formatTokens(v.Prepaid))
			})
		},
	}
}
