package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/biller"
	"github.com/masticway/masticway/explainer"
	"github.com/masticway/masticway/keeper"
	"github.com/masticway/masticway/linker"
)

// moneyHold is the money of a grant that is held for a request, and the charges for what its attempts have cost.
type moneyHold struct {
	id      masticway.HoldID
	grant   masticway.GrantKey
	amount  masticway.Amount
	takenAt time.Time
	charges []keeper.Charge
	// presumed is the sum of the charges for sidecars that are gone, whose true cost is not known.
	presumed masticway.Amount
}

// spent returns the sum of the charges.
func (h *moneyHold) spent() masticway.Amount {
	var sum masticway.Amount
	for _, c := range h.charges {
		sum += c.Amount
	}
	return sum
}

// holdBounds returns the bounds for a new hold: the maximum cost of the rest of the request, and the smallest amount with which
// the rest may run.
func (x *exchange) holdBounds() (maxCost, minCost masticway.Amount) {
	q := x.q
	prompt := q.maxPromptTokens
	if x.promptCounted {
		prompt = x.promptTokens
	}
	if x.nextChunk > 0 {
		prompt = 0
	}
	rest := q.call.MaxOutput - x.outputTokens
	maxCost = q.cost(prompt, rest)
	if q.hasMaxOutput || q.call.Service != "" {
		return maxCost, maxCost
	}
	return maxCost, q.cost(prompt, min(rest, q.minOutput))
}

// acquireHold takes a hold for the request. If there is a run or a recorded outcome of an earlier request with its identity, it
// sets x.found or x.replay instead. It may wait for money. If the request is a duplicate, it waits for the run of the first
// request, for up to duplicateTimeout. Its error is a RefusalError.
func (x *exchange) acquireHold(ctx context.Context) error {
	deadline := x.r.clock.Now().Add(duplicateTimeout)
	for x.r.ctx.Err() == nil {
		h, id := x.requestHold(ctx)
		if h.Limit != "" {
			return refusal(http.StatusTooManyRequests, "limit_"+h.Limit, "the contract's "+h.Limit+" limit is reached", h.RetryAfter)
		}
		switch h.Result {
		case keeper.ResultHeld:
			x.setHold(h, id)
			if x.q.hasCallerKey && !h.DetectsDuplicates && x.nextChunk == 0 && x.findRun(ctx) {
				x.settle()
			}
			return nil
		case keeper.ResultDuplicate:
			if x.findRun(ctx) || x.findRecorded(ctx) {
				return nil
			}
			unavailable := !h.FirstInProgress && !x.endedEarly && !x.searchIncomplete
			if unavailable || x.r.clock.Now().After(deadline) || x.isCallerGone() {
				return &masticway.RefusalError{
					Status: http.StatusConflict, Code: "answer_not_available", Fate: masticway.FateUnknown,
					Message: "this key was used and its answer is not available", RetryAfter: time.Second,
				}
			}
			x.r.budgets.sleep(duplicateInterval)
		case keeper.ResultExhausted:
			if x.promptCounted || !x.countPrompt(ctx) {
				return refusal(http.StatusPaymentRequired, "budget_exhausted", "the prepaid budget does not cover the request", 0)
			}
		default:
			return budgetUnreachable()
		}
	}
	return budgetUnreachable()
}

func budgetUnreachable() error {
	return refusal(http.StatusServiceUnavailable, "budget_unreachable", "the budget cannot be reached now", time.Second)
}

// requestHold asks the budget's keeper for a hold. It returns the reply and the hold's ID, which is new.
func (x *exchange) requestHold(ctx context.Context) (linker.HoldReply, masticway.HoldID) {
	maxCost, minCost := x.holdBounds()
	wait := x.q.contract.HoldWait.Std()
	if wait == 0 {
		wait = defaultHoldTimeout
	}
	return x.r.peers.hold(ctx, keeper.HoldRequest{
		ID: masticway.HoldID(uuid.NewString()), Budget: x.q.contract.Budget, Identity: x.q.identity, Sender: x.r.self,
		MaxAmount: maxCost, MinAmount: minCost, Tracked: x.q.hasCallerKey && x.nextChunk == 0, FirstIncomplete: x.endedEarly,
		Horizon: x.q.contract.Horizon.Std(), MaxWait: wait,
	}, x.q.contract)
}

func (x *exchange) setHold(h linker.HoldReply, id masticway.HoldID) {
	x.hold = &moneyHold{id: id, grant: h.Grant, amount: h.Amount, takenAt: x.r.clock.Now()}
	maxCost, _ := x.holdBounds()
	x.trace.Holds = append(x.trace.Holds, explainer.Hold{
		ID: id, Payer: string(h.Grant.Payer), Bound: maxCost, Amount: h.Amount, Exact: x.promptCounted, Waited: masticway.Duration(h.Waited),
	})
	x.r.metrics.Observe(histogramHold, string(x.q.class), h.Waited)
}

// countPrompt gets the prompt's true token count, so that a request is not refused because the upper bound computed from the
// prompt's bytes exceeds a small budget. It returns false if the settings do not allow this, the request is for a service, or no
// upstream answers.
func (x *exchange) countPrompt(ctx context.Context) bool {
	if !x.r.settings.Money.ExactCount || x.q.call.Service != "" {
		return false
	}
	n := x.r.upstreams.countTokens(ctx, x.q.pool(), x.q.call.Prompt)
	if n < 0 {
		return false
	}
	x.r.metrics.Add(metricExactCounts, 1)
	x.promptTokens = n
	x.promptCounted = true
	return true
}

// reacquireHold takes a new hold for the rest of a request that has already started. It unsets hasCallerKey meanwhile, so that
// the request does not count as a duplicate of itself.
func (x *exchange) reacquireHold(ctx context.Context) error {
	hadCallerKey := x.q.hasCallerKey
	x.q.hasCallerKey = false
	defer func() { x.q.hasCallerKey = hadCallerKey }()
	err := x.acquireHold(ctx)
	if err != nil {
		x.step(eventRefused)
	}
	return x.withFate(err)
}

// settle reports the hold's charges to its payer and bills them. The exchange then has no hold. It does nothing if the exchange
// has none.
func (x *exchange) settle() { x.settleAs(biller.KindFinal) }

func (x *exchange) settleAs(kind biller.Kind) {
	h := x.hold
	if h == nil {
		return
	}
	x.hold = nil
	x.trace.Bill += h.spent()
	x.r.settleHold(x.q, h, kind, masticway.Usage{Prompt: x.promptTokens, Completion: x.outputTokens})
}

// settleHold reports a hold's charges to its payer. If their sum is not zero, it adds a bill to the journal.
func (r *Router) settleHold(q request, h *moneyHold, kind biller.Kind, usage masticway.Usage) {
	r.peers.settle(h.grant.Payer, linker.Settle{Hold: h.id, Charges: h.charges})
	r.metrics.Observe(histogramSettle, string(q.class), r.clock.Now().Sub(h.takenAt))
	if h.spent() == 0 {
		return
	}
	r.metrics.Add(metricPresumed, int64(h.presumed))
	r.journal.Add(biller.Bill{
		Identity: q.identity, Request: q.id, Hold: h.id, Budget: h.grant.Budget, Payer: h.grant.Payer,
		Kind: kind, Cost: h.spent(), Presumed: h.presumed, Usage: usage, At: r.clock.Now(),
	})
}
