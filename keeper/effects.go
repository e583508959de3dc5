package keeper

import (
	"time"

	"github.com/masticway/masticway"
)

// Effect is an action that the caller must carry out: a Reply, a Move or an AskPeers.
type Effect interface{ effect() }

// Reply answers a hold request.
type Reply struct {
	ID     masticway.HoldID
	Result HoldResult
	Grant  masticway.GrantKey
	Amount masticway.Amount
	// Sender is set on a duplicate: the sender of the first request.
	Sender masticway.Incarnation
	// InProgress is set on a duplicate if the first request is still in progress.
	InProgress bool
	// Waited is how long the request waited for money.
	Waited time.Duration
}

// Move asks the caller to move money between a budget and this router's grant in the table.
// The caller passes the MoveResult back.
type Move struct {
	Grant masticway.GrantKey
	// Spent is the total cost charged to the grant so far.
	Spent masticway.Amount
	// Presumed is the part of Spent that is charged because a lost sidecar may have run it.
	Presumed masticway.Amount
	// Need is what waiting requests need at least, beyond the grant's free money. Want is what they need at most, together
	// with the forecast demand, beyond the free money. If both are zero, nothing is drawn.
	Need masticway.Amount
	Want masticway.Amount
	// Slices is set under PolicySlice. Then the grant's first draw takes the budget's prepaid sum divided by Slices, and
	// later ones take nothing, whatever Need and Want are.
	Slices int
	// Return is the amount to return to the budget, and Close is set if the grant ends.
	Return masticway.Amount
	Close  bool
	// Seq is the number of the move among the moves of the grant.
	Seq int64
	// DrawnBefore is what the grant had drawn before the move. If the answer to the move is lost, the difference between
	// the total in the row and DrawnBefore is what the move drew.
	DrawnBefore masticway.Amount
}

// AskPeers asks the routers that have open grants from a budget to return free money.
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
	// Remaining is what the budget can still grant.
	Remaining masticway.Amount
	// OthersOpen is the sum of other payers' open grants.
	OthersOpen masticway.Amount
	// OtherPayers lists the payers of those open grants.
	OtherPayers []masticway.Incarnation
	// Failed is set if nothing was moved because the table could not be reached.
	Failed bool
	// BudgetMissing is set if the budget does not exist.
	BudgetMissing bool
}
