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
	budget    string
	grant     masticway.GrantKey
	drawn     masticway.Amount
	spent     masticway.Amount
	presumed  masticway.Amount
	returned  masticway.Amount
	held      masticway.Amount
	holds     int
	waiting   []waiter
	state     charter.State
	seq       int64
	rate      float64
	rateAt    time.Time
	lastHold  time.Time
	horizon   time.Duration
	retryAt   time.Time
	known     bool
	startedAt time.Time
	askedAt   time.Time
	left      masticway.Amount
	elsewhere masticway.Amount
	others    []masticway.Incarnation
	failed    bool
	bySidecar map[masticway.Incarnation]masticway.Amount
}

func (a *account) free() masticway.Amount { return a.drawn - a.spent - a.returned - a.held }

func (a *account) observe(now time.Time, r HoldRequest) {
	a.decay(now)
	a.rate += float64(r.Most) / rateWindow.Seconds()
	a.lastHold = now
	a.horizon = r.Horizon
	if a.horizon == 0 {
		a.horizon = defaultHorizon
	}
}

func (a *account) decay(now time.Time) {
	passed := now.Sub(a.rateAt)
	a.rateAt = now
	if passed <= 0 {
		return
	}
	a.rate *= max(0, 1-passed.Seconds()/rateWindow.Seconds())
}

func (a *account) forecast() masticway.Amount {
	return masticway.Amount(a.rate * a.horizon.Seconds())
}
