package keeper

import (
	"time"

	"github.com/masticway/masticway"
)

// Effect is something that the shell must do; it is one of the types below.
type Effect interface{ effect() }

// Reply answers a hold request.
type Reply struct {
	ID      masticway.HoldID
	Verdict Verdict
	Grant   masticway.GrantKey
	Amount  masticway.Amount
	Sender  masticway.Incarnation
	// Open tells of a duplicate that the first request is still under way.
	Open bool
	// Waited is how long the request waited for money.
	Waited time.Duration
}

// Move asks the shell to change the grant in the table; its result comes back by Moved.
type Move struct {
	Grant masticway.GrantKey
	// Spent is the cumulative true cost of the grant so far.
	Spent masticway.Amount
	// Presumed is the part of it that vanished sidecars may have run.
	Presumed masticway.Amount
	// Need and Want bound the draw; both zero asks for none.
	Need masticway.Amount
	Want masticway.Amount
	// Slices draws this part of the prepaid sum, for the baseline policy.
	Slices int
	// Return goes back to the budget, and Close ends the grant.
	Return masticway.Amount
	Close  bool
	Seq    int64
	// DrawnBefore is what the grant had drawn before, from which a lost answer is worked out.
	DrawnBefore masticway.Amount
}

// AskPeers asks the daemons that have open grants of a budget to return idle money.
type AskPeers struct {
	Budget string
	Payers []masticway.Incarnation
}

func (Reply) effect()    {}
func (Move) effect()     {}
func (AskPeers) effect() {}

// MoveResult is what became of a move.
type MoveResult struct {
	Move Move
	// Drawn is the amount moved to the grant.
	Drawn masticway.Amount
	// Left is what the budget could still give, and Elsewhere what other grants have open.
	Left      masticway.Amount
	Elsewhere masticway.Amount
	// OtherPayers are the payers of those grants.
	OtherPayers []masticway.Incarnation
	// Failed says that nothing was moved because the table could not be reached.
	Failed bool
	// Missing says that the budget does not exist.
	Missing bool
}
