// Package treasurer keeps prepaid token budgets on the row store for a router that has no disk and may crash, freeze or be
// partitioned off at any time.
//
// The row of a workspace, its Account, holds what is closed and what each incarnation of a router has been granted. Their sum
// never exceeds what is prepaid when a grant grows. Spending from a grant needs no call to the store, so no request is refused
// during an outage of the store while the grant lasts. A router that crashes is what makes grants costly, because nobody knows
// how much of its grants it had spent. So each router also writes checkpoints, to one row of its own, with a SpendLimit for
// each workspace: what it has taken, and how much more it takes at most until its next checkpoint, namely a burst, or a rate
// for each second in which the store does not answer. Most of what the rate allows must first be acknowledged by other
// routers, its witnesses. The next incarnation on the instance closes its predecessor's grants at what the witnesses
// remember, or else at what the spend limits allow, and the rest returns to the workspace.
//
// Planner decides and Treasurer carries out what it decides. A Planner reads no clock and opens no connection, so that tests
// can simulate a whole fleet in one goroutine.
//
// # From prepaid to settled
//
// This section follows one token through the functions and rows that it passes. The rows are in rows.go: an Account for each
// workspace in masticway_accounts, a Checkpoint for each instance in masticway_books, and a Presence for each router in
// masticway_routers.
//
// Start. Treasurer.Run first takes over the instance's checkpoint (takeover.go): tryTakeOver reads the row, Planner.TakeOver
// makes the new one with Checkpoint.successor, and Planner.CompleteTakeOver records that it is written. Planner.Plan asks
// nothing of the store before that, so there is no grant without a checkpoint.
//
// Prepaid. The configuration says what a workspace has paid for. Treasurer.Configure passes it to Planner.Configure, which
// keeps the amount and the configuration's version for each workspace that has a budget. Nothing is written yet: the next
// change of a grant writes a newer version's amount to the Account (account.newestRow).
//
// Requested. A request calls Treasurer.Hold with the most that it may use. Planner.Hold (holds.go) adds it to the demand
// (account.observeDemand), queues it, and calls serveQueue, whose decide answers it at once if the router's own grant and its
// loans cover it. Planner.maxTaken is how much of its grant the router may take: all of it while the store answers in time,
// otherwise only what the spend limits also allow. If there is too little, Treasurer.runOnce does what the planner asks for:
// calls to the store (Plan), loans, and reports to witnesses.
//
// Limited. A request waits for a workspace that the checkpoint does not name, so a checkpoint is due (isCheckpointDue in
// plan.go). writeCheckpoint adds a SpendLimit: Taken, Burst, and a Rate with its bounds MaxUnwitnessed and MaxEarly.
// Treasurer.runStep sends the write, and Planner.CompleteStep applies its outcome (outcome.go): with completeCheckpoint,
// keepOnlyLimits makes the limits of this checkpoint the only ones in force. After a write of unknown outcome both its own and
// the earlier limits are in force, and the lower one counts (minLimit). Planner.hasLimit now holds for the workspace; until
// then its grant does not grow, so that a successor finds every grant.
//
// Granted, at a holder. Not every router keeps a reserve of every workspace: holderCandidates (holders.go) ranks routers by
// rendezvous hash, zone by zone, and only the first few of them are the workspace's holders, which name it in their
// checkpoints before any request arrives. They draw ahead of demand; all others borrow (see Lent). A low budget has fewer
// holders, down to one. Plan reads the workspace's part if its row is not known (Planner.completeRead applies the answer).
// Planner.grantDelta is by how much the grant should grow, for the requests that wait and for the reserve (holders.go), and
// changeGrant writes the Account.WithGrant, expecting the version that was read. On success Planner.completeChange applies the
// new row; on a conflict CompleteStep applies the row that was returned with it. Either way applyRow sets what this
// incarnation is granted. After a write of unknown outcome the account is unconfirmed (failChange) until applyRow gets a newer
// row; what the write would have returned is not spent meanwhile (account.usableGrant). Treasurer.watchAccounts (watch.go)
// passes other routers' changes of rows to Planner.ApplyChanges.
//
// Held. serveQueue adds the token to the account's taken and answers VerdictHeld. It answers VerdictExhausted if a recent row
// shows that the need exceeds what is ungranted and what the router has, though not within startupGrace of the router's start,
// when grants of predecessors may still be open; and VerdictUnreachable if there may be tokens that cannot be obtained in time.
//
// Lent, at all other routers. The token comes from a holder (loans.go and lending.go). Planner.DueBorrowRounds asks for it at
// once if this router borrows from holders (borrowsFromHolders); a router that draws its own grant asks when a request has
// waited for the store for a while, or when the row has too little left (exceedsBudget). Planner.lenders lists the holders,
// starting with another one for each request. Treasurer.borrow asks one after the other; if none answers, this router draws
// its own grant for a short time. At the lender, Treasurer.Lend holds the token (Planner.Lend), waits until it is cleared, and
// hands it over (Planner.CompleteLoan): it stays taken and cleared in the lender's grant. At the borrower CompleteBorrowRound
// keeps it as a Loan, and serveQueue takes it. If it is not used, DueRepayments returns it by Treasurer.repay and, at the
// lender, Planner.AcceptRepayment; if the lender's response did not arrive, Treasurer.cancelRequest has the lender take back
// whatever it lent (borrowers.go).
//
// Cleared. The upstream has answered. Before any of the response is sent to the caller, Treasurer.Clear waits for
// Planner.clearHolds: what is cleared of the router's own grant may not exceed Planner.currentLimit. A checkpoint is due when
// more is taken than the spend limits cover, so usually the next checkpoint clears the hold. While the store does not answer,
// the rate of the limit does (SpendLimit.bound): a part of it without witnesses (SpendLimit.unwitnessedBound), the rest as far
// as a quorum of the checkpoint's witnesses has acknowledged it (witness.go). Planner.DueReports returns what to report,
// Treasurer.sendReport sends it to other routers, whose Planner.AcceptReport remembers it, and Planner.CompleteReport counts
// the acknowledgements.
//
// Used. Treasurer.Settle ends the hold with what was used of it. hold.settle counts loans as used first and returns the rest.
// The used token stays in taken and cleared, and so in the grant, or in the lender's. No row changes for it, and the next
// checkpoint's SpendLimit counts it in Taken. A grant that shrinks (grantDelta is negative) returns free tokens only.
//
// Closed. A router that shuts down calls Treasurer.Close: free tokens and loans are returned, and the checkpoint of
// Planner.FinalCheckpoint allows no more than what is taken. One that crashes leaves the spend limits that it had. In both
// cases the instance's next incarnation finds them: Checkpoint.successor lists an EndedIncarnation with the most that may have
// been spent, what of that needed no witness, and the witnesses. closePredecessors then settles: Treasurer.presumeSpent
// (reports.go) has EndedIncarnation.PresumedSpent combine what the checkpoint says with what the witnesses remember, or take
// the bound of the limits if too few of them answer, and closeGrant writes CloseGrant's row, in which Account.WithClosed ends
// the grant, adds what counts as spent to Closed, and leaves the rest to Account.Ungranted, for any router. The token is settled:
// it is in Closed. Planner.ForgetPredecessors drops the EndedIncarnation from the next checkpoint. A late write of an ended
// incarnation conflicts with a newer version and has no effect. An incarnation that was only frozen learns from the conflict
// at its checkpoint that it has a successor (resolveCheckpoint), and Treasurer.seal stops it from spending.
//
// Constants that are policy, which trade refusals, delays and losses against each other, are kept apart from those that are
// mechanical.
package treasurer
