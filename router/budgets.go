package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/keeper"
)

// GrantStatus describes a grant: money of a budget that one router incarnation, the payer, has drawn.
type GrantStatus struct {
	Payer masticway.Incarnation `json:"payer"`
	Open  masticway.Amount      `json:"open"`
	// Stranded is set if the payer's lease has expired or is missing. Reason then says which, or what the recovery of the payer
	// waits for.
	Stranded bool   `json:"stranded,omitempty"`
	Reason   string `json:"why,omitempty"`
}

// BudgetStatus describes a budget and its grants.
type BudgetStatus struct {
	Budget  string           `json:"budget"`
	Prepaid masticway.Amount `json:"prepaid"`
	Settled masticway.Amount `json:"settled"`
	// Presumed is the part of Settled that was charged because a lost sidecar may have run it. Refunded is the sum of the
	// refunds, which has already been subtracted from Settled.
	Presumed masticway.Amount `json:"presumed"`
	Refunded masticway.Amount `json:"given_back"`
	// Granted is the sum of the open amounts of all grants. Remaining is what can still be granted. Stranded is the sum of the
	// open amounts of the stranded grants.
	Granted   masticway.Amount `json:"granted"`
	Remaining masticway.Amount `json:"left"`
	Stranded  masticway.Amount `json:"stranded"`
	Grants    []GrantStatus    `json:"grants"`
	// Local describes the money of the budget that the answering router has drawn. It is nil if the router has no state for the
	// budget.
	Local *keeper.Position `json:"here,omitempty"`
}

func (r *Router) showBudget(ctx context.Context, o operatorRequest) (any, error) {
	b, err := r.book.Budget(ctx, o.path("budget"))
	if err != nil {
		return nil, err
	}
	leases, err := r.book.Leases(ctx)
	if err != nil {
		return nil, err
	}
	status := BudgetStatus{
		Budget: b.ID, Prepaid: b.Prepaid, Settled: b.Settled, Presumed: b.Presumed, Refunded: b.Refunded,
		Granted: b.OpenAmount(), Remaining: b.Remaining(), Grants: []GrantStatus{},
	}
	for _, g := range b.Grants {
		s := r.grantStatus(g, leases)
		if s.Stranded {
			status.Stranded += s.Open
		}
		status.Grants = append(status.Grants, s)
	}
	if p, ok := r.budgets.position(b.ID); ok {
		status.Local = &p
	}
	return status, nil
}

// grantStatus returns the status of a grant. leases must be all lease rows of the table.
func (r *Router) grantStatus(g bookkeeper.Grant, leases []bookkeeper.RouterLease) GrantStatus {
	s := GrantStatus{Payer: g.Payer, Open: g.OpenAmount(), Stranded: true, Reason: "no lease row"}
	now := r.clock.Now()
	for _, d := range leases {
		if d.Incarnation == g.Payer && d.ExpiresAt.After(now) {
			s.Stranded, s.Reason = false, ""
		}
		if d.Incarnation == g.Payer && !d.ExpiresAt.After(now) {
			s.Reason = "lease ran out"
		}
	}
	if !s.Stranded {
		return s
	}
	for _, d := range leases {
		for part := range strings.SplitSeq(d.BlockedRecoveries, "; ") {
			if strings.HasPrefix(part, string(g.Payer)+" ") {
				s.Reason = part
			}
		}
	}
	return s
}

func (r *Router) topUp(ctx context.Context, o operatorRequest) (any, error) {
	data, err := readOperatorBody(o)
	if err != nil {
		return nil, err
	}
	var body struct {
		Amount masticway.Amount `json:"amount"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, refusal(http.StatusBadRequest, "malformed_json", "the body holds an amount", 0)
	}
	b, err := r.book.TopUp(ctx, o.path("budget"), o.changeID(), body.Amount)
	if err != nil {
		return nil, err
	}
	return struct {
		Budget  string           `json:"budget"`
		Prepaid masticway.Amount `json:"prepaid"`
	}{b.ID, b.Prepaid}, nil
}
