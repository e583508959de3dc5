package keeper

import (
	"time"

	"github.com/masticway/masticway"
)

// Effect is an action that the caller must carry out: a Reply, a Move or an AskPeers.
type Effect interface{ effect() }

// Reply answers a hold request.
type Reply struct {
	// ID is the id of the hold request.
	ID     masticway.HoldID
	Result HoldResult
	// Grant and Amount describe the hold. They are set if Result is ResultHeld.
	Grant  masticway.GrantKey
	Amount masticway.Amount
	// Sender is set if Result is ResultDuplicate: the sender of the earlier request.
	Sender masticway.Incarnation
	// InProgress is set if Result is ResultDuplicate and the earlier request waits or has an open hold.
	InProgress bool
	// Waited is how long the request waited for money. It is zero for a duplicate and for a repeated request.
	Waited time.Duration
}

// Move asks the caller to move money between a budget and this router's grant in the table. The caller must pass the result
// to ApplyMoveResult.
type Move struct {
	Grant masticway.GrantKey
	// Spent is the total cost charged to the grant.
	Spent masticway.Amount
	// Presumed is the part of Spent that was charged at maximum cost because a sidecar was lost and the true cost is
	// unknown.
	Presumed masticway.Amount
	// Need is the sum of the smallest holds that the waiting requests can run with, less the grant's free money. Want is the
	// sum of their maximum costs and the forecast demand, less the free money. Neither is negative. If both are zero,
	// nothing is drawn.
	Need masticway.Amount
	Want masticway.Amount
	// Slices is set under PolicySlice. The grant's first draw then takes the budget's prepaid sum divided by Slices. Later
	// draws take nothing, regardless of Need and Want.
	Slices int
	// Return is the amount to return to the budget. Close is set if the move also closes the grant.
	Return masticway.Amount
	Close  bool
	// Seq is the sequence number of the move among the moves of the grant, from 1.
	Seq int64
	// DrawnBefore is what the grant had drawn when the move started. If the table's answer to the move is lost, the total in
	// the grant's row less DrawnBefore is what the move drew.
	DrawnBefore masticway.Amount
}

// AskPeers asks the routers in Payers, which have open grants from a budget, to return free money.
type AskPeers struct {
	Budget string
	Payers []masticway.Incarnation
}

func (Reply) effect()    {}
func (Move) effect()     {}
func (AskPeers) effect() {}

// MoveResult is the result of a move.
type MoveResult struct {
	Move Move
	// Drawn is the amount moved from the budget to the grant.
	Drawn masticway.Amount
	// Remaining is the budget's prepaid money that, after the move, is neither settled nor in an open grant.
	Remaining masticway.Amount
	// OthersOpen is the money in all other open grants of the budget.
	OthersOpen masticway.Amount
	// OtherPayers lists the payers of the open grants that OthersOpen sums up.
	OtherPayers []masticway.Incarnation
	// Failed is set if nothing was moved because the table could not be reached.
	Failed bool
	// BudgetMissing is set if the budget does not exist.
	BudgetMissing bool
}
