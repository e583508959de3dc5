// Package treasurer keeps prepaid token budgets on the row store (masticway.RowStore) for a router that has no disk and may
// crash, freeze or be partitioned off at any time.
//
// The row of a workspace, its Account, holds what is closed (what ended incarnations have spent, or count as having spent)
// and what each incarnation of a router has been granted. Their sum never exceeds what is prepaid when a grant grows.
// Spending from a grant needs no call to the store, so no request is refused during an outage of the store while the grant
// lasts. The cost of grants is that the store does not show how much of them a router that crashes had spent. So each router
// also writes checkpoints, to one row of its own, with a SpendLimit for each workspace: what it has taken (reserved for
// requests, used by them, or lent), and how much more it clears at most until its next checkpoint, namely a burst, or a rate
// for each second in which the store does not answer. Tokens are cleared before any of the response that uses them is sent.
// Most of what the rate allows must first be acknowledged by other routers, its witnesses. The next incarnation on the
// instance closes its predecessor's grants: what the witnesses remember counts as spent, or else what the spend limits allow,
// and the rest returns to the workspace.
//
// Planner decides and Treasurer carries out what it decides. A Planner reads no clock and opens no connection, so that tests
// can simulate a whole fleet in one goroutine.
//
// # From prepaid to settled
//
// This section follows one token through the functions and rows that it passes. The rows are in rows.go: an Account for each
// workspace in the table masticway_accounts, a Checkpoint for each instance in masticway_books, and a Presence for each
// router in masticway_routers. The rows of a table are spread over parts; a read returns all rows of a part.
//
// Start. Treasurer.Run first takes over the instance's checkpoint (takeover.go): tryTakeOver reads the row, Planner.TakeOver
// makes the new one with Checkpoint.successor, and Planner.CompleteTakeOver records that it is written. Planner.Plan returns
// no call to the store before that, so there is no grant without a checkpoint.
//
// Prepaid. The configuration says what a workspace has paid for. Treasurer.Configure passes it to Planner.Configure, which
// keeps the amount and the configuration's version for each workspace that has a budget. Nothing is written yet: the next
// change of a grant writes a newer version's amount to the Account (account.newestRow).
//
// Requested. A request calls Treasurer.Hold with the most that it may use. Planner.Hold (holds.go) adds it to the demand (the
// mean rate of requested tokens, by account.observeDemand), queues it, and calls serveQueue, in which decide answers it at
// once if the router's own grant and its loans cover it. Planner.maxTaken is how much of its grant the router may have taken:
// all of it while the store answers in time, otherwise only what the spend limits also allow. If there is too little,
// Treasurer.runOnce does what the planner returns: calls to the store (Plan), rounds of asking for loans (DueBorrowRounds),
// and reports to witnesses (DueReports).
//
// Limited. If a request waits for tokens of a workspace that the checkpoint does not name, and this router may draw a grant
// of it, a checkpoint is due (isCheckpointDue in plan.go). writeCheckpoint adds a SpendLimit: Taken, Burst, and a Rate with
// its bounds MaxUnwitnessed and MaxEarly. Treasurer.runStoreCall sends the write, and Planner.CompleteStoreCall applies its
// outcome (outcome.go): with completeCheckpoint, keepOnlyLimits makes the limits of this checkpoint the only ones in force.
// After a write of unknown outcome both its own and the earlier limits are in force, and the lower one counts (minLimit).
// Once every checkpoint in force names the workspace, Planner.hasLimit returns true for it; until then its grant does not
// grow, so that a successor finds every grant.
//
// Granted, at a holder. Not every router keeps a reserve of every workspace, which is free tokens in its grant for requests
// to come: holderCandidates (holders.go) takes the routers with the greatest rendezvous weights for the workspace from each
// availability zone, and these candidates, or the first of them if the budget is low, are the workspace's holders. They name
// it in their checkpoints before any request arrives and draw grants ahead of demand. The others borrow (see Lent), unless
// the workspace's demand is concentrated at one of them (concentration.go). Plan reads the part with the workspace's row if
// that is not known (Planner.completeRead applies the answer). Planner.grantDelta returns by how much the grant should grow,
// for the requests that wait and for the reserve (holders.go), and changeGrant returns the write of Account.WithGrant, which
// expects the version that was read. On success Planner.completeChange applies the new row; on a conflict CompleteStoreCall
// applies the row that was returned with it. In both cases applyRow sets what this incarnation is granted. After a write of
// unknown outcome the account is unconfirmed (failChange) until applyRow gets a newer row; what the write may have returned
// is not spent meanwhile (account.usableGrant). Treasurer.watchAccounts (watch.go) passes other routers' changes of rows to
// Planner.ApplyChanges.
//
// Held. serveQueue adds the token to the account's taken and answers VerdictHeld. It answers VerdictExhausted if a recent row
// shows that the need exceeds what is ungranted and what the router has, and all routers that were asked for a loan have
// answered; but not within startupGrace of the router's start, when grants of predecessors may still be open. It answers
// VerdictUnreachable if there may be tokens that cannot be obtained in time.
//
// Lent, at other routers. The token comes from a holder (loans.go and lending.go). Planner.DueBorrowRounds starts a round of
// asking for it at once if this router borrows from holders (borrowsFromHolders); at a router that draws its own grant, when
// a request has waited for borrowDelay, or when the row has too little left (exceedsBudget). Planner.lenders lists the
// holders, starting with another one for each round, and then others. Treasurer.borrow asks one after the other; if none
// answers, this router draws its own grant for borrowBackoff. At the lender, Treasurer.Lend holds the token (Planner.Lend),
// waits until it is cleared, and hands it over (Planner.CompleteLoan): it remains taken and cleared in the lender's grant. At
// the borrower CompleteBorrowRound keeps it as a Loan, and serveQueue uses it for a waiting request. An unused loan is in the
// result of DueRepayments, Treasurer.repay sends it back, and the lender applies it in Planner.AcceptRepayment. If the
// lender's response did not arrive, Treasurer.cancelRequest has the lender take back whatever it lent (borrowers.go).
//
// Cleared. The upstream has answered. Before any of the response is sent to the caller, Treasurer.Clear waits for
// Planner.clearHolds: what is cleared of the router's own grant may not exceed Planner.currentLimit. A checkpoint is due when
// more is taken than the spend limits cover, so usually the next checkpoint clears the hold. While the store does not answer,
// the rate of the spend limit clears it (SpendLimit.bound): a part of it without witnesses (SpendLimit.unwitnessedBound), the
// rest as far as a quorum of the checkpoint's witnesses has acknowledged it (witness.go). Planner.DueReports returns what to
// report, Treasurer.sendReport sends it to the witnesses, in which Planner.AcceptReport records it, and
// Planner.CompleteReport counts the acknowledgements.
//
// Used. Once the response is complete and the true cost known, Treasurer.Settle ends the hold with what was used of it.
// hold.settle counts loans as used first and returns the rest. The used token remains taken and cleared in the grant, or in
// the lender's. No Account changes for it, and the next checkpoint's SpendLimit counts it in Taken. A grant that shrinks
// (grantDelta is negative) returns only free tokens: those that are not taken.
//
// Closed. A router that shuts down calls Treasurer.Close: free tokens and unused loans are returned, and the checkpoint of
// Planner.FinalCheckpoint allows no more than what is taken. A router that crashes leaves the spend limits that it had. In
// both cases the instance's next incarnation finds them: Checkpoint.successor lists an EndedIncarnation with the most that
// may have been spent, what of that needed no witness, and the witnesses. Treasurer.closePredecessors then closes its grants:
// Treasurer.presumeSpent (reports.go) has EndedIncarnation.PresumedSpent combine what the checkpoint says with what the
// witnesses remember, or take the bound of the limits if too few of them answer. Treasurer.closeGrant makes the write that
// CloseGrant returns, in which Account.WithClosed removes the grant and adds what counts as spent to Closed; the rest is in
// Account.Ungranted then, for any router. The token is settled: it is in Closed. Planner.ForgetPredecessors drops the
// EndedIncarnation from the next checkpoint. A late write of an ended incarnation conflicts with a newer version and has no
// effect. An incarnation that was only frozen learns from the conflict at its checkpoint that it has a successor
// (resolveCheckpoint), and Treasurer.seal stops it from spending.
//
// Constants that are policy, which trade refusals, delays and losses against each other, are in declarations of their own,
// apart from timeouts, intervals and bounds of calls.
package treasurer
