package keeper

import (
	"github.com/masticway/masticway/charter"
)

// The charts that grants and holds follow.
var (
	grantChart = charter.MustLoad(charter.Grant)
	holdChart  = charter.MustLoad(charter.Hold)
)

// Events of the grant chart.
const (
	eventMove   charter.Event = "move"
	eventMoved  charter.Event = "moved"
	eventFailed charter.Event = "failed"
	eventClose  charter.Event = "close"
	eventClosed charter.Event = "closed"
)

// Events of the hold chart.
const (
	eventTaken   charter.Event = "taken"
	eventShrunk  charter.Event = "shrunk"
	eventSettled charter.Event = "settled"
)

// States of the grant chart in which the table has been asked and has not answered.
const (
	stateMoving  charter.State = "moving"
	stateClosing charter.State = "closing"
)

// isMoving tells whether a move of the account's grant is under way.
func (a *account) isMoving() bool { return a.state == stateMoving || a.state == stateClosing }

func (k *Keeper) stepGrant(a *account, e charter.Event) {
	next, err := grantChart.Next(a.state, e)
	k.recordChartError(err)
	a.state = next
}

func (k *Keeper) stepHold(h *hold, e charter.Event) {
	next, err := holdChart.Next(h.state, e)
	k.recordChartError(err)
	h.state = next
}

func (k *Keeper) recordChartError(err error) {
	if err != nil && k.chartError == nil {
		k.chartError = err
	}
}

// Fault returns the first step outside a chart, as a charter.StepError, or nothing.
func (k *Keeper) Fault() error { return k.chartError }

// eventOf names the event that a move's result is.
func eventOf(r MoveResult) charter.Event {
	switch {
	case r.Failed:
		return eventFailed
	case r.Move.Close:
		return eventClosed
	}
	return eventMoved
}
