package keeper

import (
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
)

const (
	// defaultHorizon is the horizon of an account if its latest hold request sets none: the time over which the forecast
	// demand is summed. With it, a busy budget draws about once a minute; see docs/MEASUREMENTS.md.
	defaultHorizon = 60 * time.Second
	// rateWindow is the time over which the demand rate is averaged. If an account is not updated for this time, its rate is
	// zero.
	rateWindow = 10 * time.Second
)

// waiter is a hold request that waits for money.
type waiter struct {
	request  HoldRequest
	since    time.Time
	deadline time.Time
}

// hold is money reserved for one attempt.
type hold struct {
	request HoldRequest
	amount  masticway.Amount
	account *account
	opened  time.Time
	state   charter.State
}

// account is the state of one budget at this router, with the router's grant from the budget.
type account struct {
	budget string
	// grant is the key of the grant. Its number is zero until the first move (see the terms in doc.go).
	grant masticway.GrantKey
	// drawn is the total that the grant has drawn from the budget.
	drawn masticway.Amount
	// spent is the total of the charges of settled holds.
	spent masticway.Amount
	// presumed is the part of spent that was charged at maximum cost because a sidecar was lost and the true cost is
	// unknown.
	presumed masticway.Amount
	// returned is the total that the grant has returned to the budget. It includes what a move in progress returns.
	returned masticway.Amount
	// held is the sum of the open holds, and holdCount is their number.
	held      masticway.Amount
	holdCount int
	waiters   []waiter
	state     charter.State
	// seq is the sequence number of the latest move of the grant. It is zero before the first.
	seq int64
	// demandRate is the measured demand in units of money per second, as of rateUpdatedAt.
	demandRate    float64
	rateUpdatedAt time.Time
	// lastHoldAt is when the last hold request arrived.
	lastHoldAt time.Time
	// horizon is the time over which forecast sums the expected demand. It comes with each hold request.
	horizon time.Duration
	// nextMoveAt is the earliest time at which drawIfShort or ReleaseIdle starts a move. Other moves do not wait for it.
	nextMoveAt time.Time
	// tableRead is set after a move of the grant has succeeded. readAt is when the last successful move began; remaining,
	// othersOpen and otherPayers are what it found in the budget's row. Under PolicySlice, remaining and othersOpen are
	// zero.
	tableRead     bool
	moveStartedAt time.Time
	readAt        time.Time
	remaining     masticway.Amount
	othersOpen    masticway.Amount
	otherPayers   []masticway.Incarnation
	// lastMoveFailed is set if the table could not be reached for the last finished move.
	lastMoveFailed bool
	// bySidecar holds the total charged for the runs of each sidecar.
	bySidecar map[masticway.Incarnation]masticway.Amount
}

// free returns the part of the grant that is not spent, returned or held.
func (a *account) free() masticway.Amount { return a.drawn - a.spent - a.returned - a.held }

// recordDemand adds the maximum cost of a hold request to the demand rate and takes over the horizon of the request.
func (a *account) recordDemand(now time.Time, r HoldRequest) {
	a.decayRate(now)
	a.demandRate += float64(r.MaxAmount) / rateWindow.Seconds()
	a.lastHoldAt = now
	a.horizon = r.Horizon
	if a.horizon == 0 {
		a.horizon = defaultHorizon
	}
}

// decayRate lowers the demand rate for the time that has passed since its last update.
func (a *account) decayRate(now time.Time) {
	passed := now.Sub(a.rateUpdatedAt)
	a.rateUpdatedAt = now
	if passed <= 0 {
		return
	}
	a.demandRate *= max(0, 1-passed.Seconds()/rateWindow.Seconds())
}

// forecast returns the demand that is expected within the horizon at the current rate.
func (a *account) forecast() masticway.Amount {
	return masticway.Amount(a.demandRate * a.horizon.Seconds())
}
