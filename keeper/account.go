package keeper

import (
	"time"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/charter"
)

const (
	// defaultHorizon makes a busy budget draw about once a minute; see docs/MEASUREMENTS.md.
	defaultHorizon = 60 * time.Second
	// rateWindow is the time constant of the demand forecast.
	rateWindow = 10 * time.Second
)

type waiter struct {
	request  HoldRequest
	since    time.Time
	deadline time.Time
}

type hold struct {
	request HoldRequest
	amount  masticway.Amount
	account *account
	opened  time.Time
	state   charter.State
}

type account struct {
	budget         string
	grant          masticway.GrantKey
	drawn          masticway.Amount
	spent          masticway.Amount
	presumed       masticway.Amount
	returned       masticway.Amount
	held           masticway.Amount
	holdCount      int
	waiters        []waiter
	state          charter.State
	seq            int64
	demandRate     float64
	rateUpdatedAt  time.Time
	lastHoldAt     time.Time
	horizon        time.Duration
	nextMoveAt     time.Time
	tableRead      bool
	moveStartedAt  time.Time
	readAt         time.Time
	remaining      masticway.Amount
	othersOpen     masticway.Amount
	otherPayers    []masticway.Incarnation
	lastMoveFailed bool
	bySidecar      map[masticway.Incarnation]masticway.Amount
}

func (a *account) free() masticway.Amount { return a.drawn - a.spent - a.returned - a.held }

func (a *account) recordDemand(now time.Time, r HoldRequest) {
	a.decayRate(now)
	a.demandRate += float64(r.Most) / rateWindow.Seconds()
	a.lastHoldAt = now
	a.horizon = r.Horizon
	if a.horizon == 0 {
		a.horizon = defaultHorizon
	}
}

func (a *account) decayRate(now time.Time) {
	passed := now.Sub(a.rateUpdatedAt)
	a.rateUpdatedAt = now
	if passed <= 0 {
		return
	}
	a.demandRate *= max(0, 1-passed.Seconds()/rateWindow.Seconds())
}

func (a *account) forecast() masticway.Amount {
	return masticway.Amount(a.demandRate * a.horizon.Seconds())
}
