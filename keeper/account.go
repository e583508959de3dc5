package keeper

import (
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
)

const (
	// defaultHorizon is how far into the future the demand that a draw covers extends, unless the latest hold request sets
	// another horizon. With it, a busy budget draws about once a minute; see docs/MEASUREMENTS.md.
	defaultHorizon = 60 * time.Second
	// rateWindow is the time over which demand is averaged. After that time without an update the measured rate is zero.
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

// account is the state of one budget at this router and of the router's grant from it.
type account struct {
	budget string
	// grant has number zero until the first move.
	grant masticway.GrantKey
	drawn masticway.Amount
	spent masticway.Amount
	// presumed is the part of spent that is charged because a lost sidecar may have run it.
	presumed masticway.Amount
	// returned includes the money that a move in progress returns.
	returned  masticway.Amount
	held      masticway.Amount
	holdCount int
	waiters   []waiter
	state     charter.State
	// seq is the sequence number of the grant's last move.
	seq int64
	// demandRate is the measured demand in units of money per second.
	demandRate    float64
	rateUpdatedAt time.Time
	// lastHoldAt is when the last hold request arrived.
	lastHoldAt time.Time
	horizon    time.Duration
	// nextMoveAt is the earliest time of the next draw or return of idle money.
	nextMoveAt time.Time
	// tableRead is set after a move has succeeded; readAt is when the last successful move began, and remaining,
	// othersOpen and otherPayers are what it found in the budget's row. Under PolicySlice, remaining and othersOpen are
	// zero.
	tableRead      bool
	moveStartedAt  time.Time
	readAt         time.Time
	remaining      masticway.Amount
	othersOpen     masticway.Amount
	otherPayers    []masticway.Incarnation
	lastMoveFailed bool
	// bySidecar is the part of spent that each sidecar ran.
	bySidecar map[masticway.Incarnation]masticway.Amount
}

// free returns the part of the grant that is neither spent, returned nor held.
func (a *account) free() masticway.Amount { return a.drawn - a.spent - a.returned - a.held }

// recordDemand adds a request to the measured demand and records its horizon.
func (a *account) recordDemand(now time.Time, r HoldRequest) {
	a.decayRate(now)
	a.demandRate += float64(r.MaxAmount) / rateWindow.Seconds()
	a.lastHoldAt = now
	a.horizon = r.Horizon
	if a.horizon == 0 {
		a.horizon = defaultHorizon
	}
}

// decayRate reduces the demand rate according to the time since its last update.
func (a *account) decayRate(now time.Time) {
	passed := now.Sub(a.rateUpdatedAt)
	a.rateUpdatedAt = now
	if passed <= 0 {
		return
	}
	a.demandRate *= max(0, 1-passed.Seconds()/rateWindow.Seconds())
}

// forecast returns the demand expected within the horizon.
func (a *account) forecast() masticway.Amount {
	return masticway.Amount(a.demandRate * a.horizon.Seconds())
}
