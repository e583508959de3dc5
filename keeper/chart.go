package keeper

import (
	"github.com/masticway/masticway/charter"
)

// The state charts of grants and holds.
var (
	grantChart = charter.MustLoad(charter.Grant)
	holdChart  = charter.MustLoad(charter.Hold)
)

// Events of the grant's state chart.
const (
	eventMove   charter.Event = "move"
	eventMoved  charter.Event = "moved"
	eventFailed charter.Event = "failed"
	eventClose  charter.Event = "close"
	eventClosed charter.Event = "closed"
)

// Events of the hold's state chart.
const (
	eventTaken   charter.Event = "taken"
	eventShrunk  charter.Event = "shrunk"
	eventSettled charter.Event = "settled"
)

// States of the grant's state chart in which a move is in progress.
const (
	stateMoving  charter.State = "moving"
	stateClosing charter.State = "closing"
)

// isMoving reports whether a move of the account's grant is in progress.
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

// ChartError returns a charter.TransitionError for the first event that a state chart did not allow, or nil.
func (k *Keeper) ChartError() error { return k.chartError }

// eventOf returns the event of the grant's state chart that a move's result causes.
func eventOf(r MoveResult) charter.Event {
	switch {
	case r.Failed:
		return eventFailed
	case r.Move.Close:
		return eventClosed
	}
	return eventMoved
}
