// Package treasurer keeps prepaid token budgets on the row store (masticway.RowStore) for a router that has no disk and may
// crash, freeze or be partitioned off at any time.
//
// The row of a workspace, its Account, holds what is closed and what is granted to each incarnation of a router. Closed is
// what ended incarnations have spent or count as having spent. A grant grows only if the sum does not exceed what is
// prepaid. Spending from a grant needs no call to the store, so no request is refused during an outage of the store while
// the grant lasts.
//
// The cost of grants is that the store does not show how much of its grants a router had spent when it crashed. So each
// router also writes checkpoints, to one row of its own. A checkpoint has a SpendLimit for each workspace. It says what the
// router has taken: reserved for requests, used by them, or lent. It also bounds how much more the router clears until its
// next checkpoint: a burst or, if that is more, a rate for each second in which the store does not answer. Tokens are
// cleared before any part of the response that uses them is sent. Most of what the rate allows must first be acknowledged by
// other routers, its witnesses. The next incarnation on the instance closes the grants of its predecessor. What the
// witnesses remember then counts as spent, or else what the spend limits allow. The rest returns to the workspace.
//
// Planner decides and Treasurer carries out what it decides. A Planner reads no clock and opens no connection, so that tests
// can simulate a whole fleet in one goroutine.
//
// # Terms
//
//   - workspace: the owner of one prepaid budget; it has one row, its Account.
//   - instance: the machine that a router runs on. An incarnation is one process of the router there. Its predecessors are the
//     earlier incarnations of the instance, its successors the later ones.
//   - grant: the tokens of a workspace that one incarnation may spend. Ungranted tokens are prepaid and neither closed nor
//     granted. Tokens of a grant are taken if they are held for a request, used, or lent, and free otherwise.
//   - closed: what ended incarnations have spent or are presumed to have spent of a workspace, for which there are no grants
//     any more.
//   - need: the most tokens that a request may use.
//   - hold: tokens that are reserved for one request or loan. It is cleared once the response may be sent or the loan handed
//     over. Settle ends it with how many tokens were used.
//   - checkpoint: the row in which an incarnation writes its spend limits. A checkpoint is in force if the store has it, or
//     may have it because the outcome of a write is unknown. The Basis is the time from which its rates count.
//   - spend limit: the bound on the tokens of a workspace that an incarnation clears until its next checkpoint.
//   - witness: another router that a checkpoint names, and that is told what is taken while the store is late. A quorum is a
//     majority of a checkpoint's witnesses.
//   - demand: the mean rate of requested tokens of a workspace, in tokens a second. A demand as a duration means the tokens
//     requested in that time.
//   - reserve: the free tokens of a workspace that a router keeps in its grant for requests to come.
//   - candidate, holder: the candidates of a workspace are the routers of each zone with the greatest rendezvous weights for it.
//     The holders are the candidates that keep a reserve of it now. All candidates are holders unless the budget is low, that is
//     if too little is left for a reserve at each. Other routers borrow from holders.
//   - part: one of the partitions over which the rows of a table are spread. A read returns all rows of a part.
//   - trace: what the checkpoint of a witness's instance says about when that witness can have acknowledged reports.
//   - farewell: the message with which a router that shuts down asks others to close its grants.
//   - late, failing: the store is failing from the first call that it fails until it answers one. A checkpoint is late if it
//     is in flight for longer than slowStoreLatency.
//   - sealed: a router is sealed once it must not spend any more because it has a successor or a row cannot be decoded.
//
// # From prepaid to settled
//
// This section follows one token through the functions and rows that it passes. The rows are in rows.go: an Account for each
// workspace in the table masticway_accounts, a Checkpoint for each instance in masticway_books (with rows in masticway_limits and
// masticway_ended, see checkpoint.go), and a Presence for each
// router in masticway_routers.
//
// Start. Treasurer.Run first takes over the instance's checkpoint (begin.go): tryTakeOver reads its rows, Planner.TakeOver
// makes the new one with Checkpoint.successor, and Planner.CompleteTakeOver records that it is written. Planner.Plan returns
// no call to the store before that, so there is no grant without a checkpoint.
//
// Prepaid. The configuration says what a workspace has paid for. Treasurer.Configure passes it to Planner.Configure, which
// keeps the amount and the configuration's version for each workspace that has a budget. Nothing is written yet: the next
// change of a grant writes a newer version's amount to the Account (account.newestRow).
//
// Requested. A request calls Treasurer.Hold with the most that it may use. Planner.Hold (holds.go) adds it to the demand (the
// mean rate of requested tokens) with account.observeDemand, queues the request, and calls serveQueue. There decide answers the
// request at once if the router's own grant and its loans cover it. Planner.maxTaken is how much of its grant the router may have
// taken: all of it while the store answers in time, otherwise only what the spend limits also allow. If there is too little,
// Treasurer.runOnce does what the planner returns: calls to the store (Plan), rounds of asking for loans (DueBorrowRounds), and
// reports to witnesses (DueReports).
//
// Limited. If a request waits for tokens of a workspace that the checkpoint does not name, and this router may draw a grant
// of it, a checkpoint is due (isCheckpointDue in plan.go). writeCheckpoint adds a SpendLimit: Taken, Burst, and a Rate with
// its bounds MaxUnwitnessed and MaxEarly. Treasurer.runStoreCall sends the write, and Planner.CompleteStoreCall applies its
// outcome (outcome.go): with completeCheckpoint, keepOnlyLimits makes the limits of this checkpoint the only ones in force.
// After a write of unknown outcome both its own and the earlier limits are in force, and the lower one counts (minLimit).
// Once every checkpoint in force names the workspace, Planner.hasLimit returns true for it; until then its grant does not
// grow, so that a successor finds every grant.
//
// Granted, at a holder. Not every router keeps a reserve of every workspace. holderCandidates (holders.go) takes the routers
// of each availability zone with the greatest rendezvous weights for the workspace. The holders are these candidates, or
// only the first of them if the budget is low. They name the workspace in their checkpoints before any request arrives, and
// draw grants ahead of demand. The other routers borrow (see Lent), unless the workspace's demand is concentrated at one of
// them (concentration.go). If the workspace's row is not known, Plan reads the part with it, and Planner.completeRead
// applies the answer. Planner.grantDelta returns by how much the grant should grow, for the requests that wait and for the
// reserve (holders.go). changeGrant returns the write of Account.WithGrant, which expects the known version of the row. On
// success Planner.completeChange applies the new row. On a conflict CompleteStoreCall applies the row that was returned with
// it. In both cases applyRow sets what this incarnation is granted. After a write of unknown outcome the account is
// unconfirmed (failChange) until applyRow gets a newer row. Until then, what the write may have returned is not spent
// (account.usableGrant). Treasurer.watchAccounts (watch.go) passes other routers' changes of rows to Planner.ApplyChanges.
//
// Held. serveQueue adds the token to the account's taken and answers VerdictHeld. It answers VerdictExhausted on two conditions:
// a recent row must show that the need exceeds the sum of what is ungranted and what the router has, and all routers that were
// asked for a loan must have answered. VerdictExhausted is not given within startupGrace of the router's start, when grants of
// predecessors may still be open. serveQueue answers VerdictUnreachable if there may be tokens that cannot be obtained in time.
//
// Lent, at other routers. The token comes from a holder (loans.go and lending.go). Planner.DueBorrowRounds starts a round of
// asking for it. It starts the round at once if this router borrows from holders (borrowsFromHolders) or if the row has too
// little left (exceedsBudget), and otherwise when a request has waited for borrowDelay. Planner.lenders lists the holders,
// starting with another one for each round, and then others. Treasurer.borrow asks one after the other. If none answers,
// this router draws its own grant for borrowBackoff. At the lender, Treasurer.Lend holds the token (Planner.Lend), waits
// until it is cleared, and hands it over (Planner.CompleteLoan). The token remains taken and cleared in the lender's grant.
// At the borrower, CompleteBorrowRound keeps it as a Loan, and serveQueue uses it for a waiting request. DueRepayments
// returns the unused loans that are due, Treasurer.repay sends them back, and the lender applies them in
// Planner.AcceptRepayment. If the lender's response did not arrive, Treasurer.cancelRequest makes the lender take back
// whatever it lent (borrowers.go).
//
// Cleared. The upstream has answered. Before any part of the response is sent to the caller, Treasurer.Clear waits for
// Planner.clearHolds. What is cleared of the router's own grant may not exceed Planner.currentLimit. A checkpoint is due when
// more is taken than the spend limits cover, so usually the next checkpoint clears the hold. While the store does not answer, the
// rate of the spend limit clears it (SpendLimit.bound). A part of what the rate allows needs no witnesses
// (SpendLimit.unwitnessedBound). Of the rest, only what a quorum of the checkpoint's witnesses has acknowledged counts
// (witness.go). Planner.DueReports returns what to report, and Treasurer.sendReport sends it to the witnesses. There
// Planner.AcceptReport records it. Planner.CompleteReport counts the acknowledgements.
//
// Used. Once the response is complete and the true cost known, Treasurer.Settle ends the hold with what was used of it.
// hold.settle counts loans as used first and returns the rest. The used token remains taken and cleared in the grant, or in
// the lender's. No Account changes for it, and the next checkpoint's SpendLimit counts it in Taken. A grant that shrinks
// (grantDelta is negative) returns only free tokens: those that are not taken.
//
// Closed. A router that shuts down calls Treasurer.Close: free tokens and unused loans are returned, and the checkpoint of
// Planner.FinalCheckpoint allows no more than what is taken. A router that crashes leaves the spend limits that it had. In
// both cases the instance's next incarnation finds them. Checkpoint.successor lists an EndedIncarnation with the most that
// may have been spent, the part of it that needed no witness, and the witnesses. Treasurer.closePredecessors then closes the
// grants. Treasurer.presumeSpent (testimony.go) asks the witnesses, and EndedIncarnation.PresumedSpent combines their answers
// with what the checkpoint says. If too few of them have a record, it also uses the traces (TraceWitness) that the others'
// checkpoints have of when they can have acknowledged reports. Only if a quorum of these can have done so late, the bound of the
// limits counts as spent. A router that shuts down while the store is away sends a Farewell (farewell.go) to other routers, which
// close its grants at what it says. Treasurer.closeGrant
// makes the write that CloseGrant returns. In it Account.WithClosed removes the grant and adds what counts as spent to
// Closed. The rest is in Account.Ungranted then, for any router. The token is settled now: it is in Closed.
// Planner.ForgetPredecessors drops the EndedIncarnation from the next checkpoint. A late write of an ended incarnation
// conflicts with a newer version and has no effect. An incarnation that was only frozen learns from the conflict at its
// checkpoint that it has a successor (resolveCheckpoint), and Treasurer.seal stops it from spending.
//
// # When the store returns from a copy
//
// The store may return from a copy of an earlier state: grants, checkpoints, closings and presences of the last seconds are
// lost, and a new era begins (see masticway.NewStoreVersion). A planner whose call is answered in another era than its own makes
// no more calls (noteVersion) until Treasurer.enterEra has read or written when the era began (EraRecord) and called
// Planner.EnterEra. From then on it ignores answers of earlier eras.
//
// Each router goes on spending from the grant that it knows and writes it again, with its checkpoint and its presence. Rows that it
// knows from the lost era tell it the grants and closings of others. It writes those again later, in case their routers cannot
// (withLost); Grant.Sequence and Account.Ended tell which one of two rows is newer. Until that is done everywhere, at
// EraStart.SettledAt, no grant grows, no budget is found exhausted and no predecessor's grant is closed.
//
// A checkpoint from a copy does not bound what its incarnation has spent since. Its whole grants count as spent then
// (EndedIncarnation.FromCopy), like those that no checkpoint names (Stray). What no running router knows is assumed: a grant that
// was drawn after the copy counts for nothing if its router and all that have read its row since have ended; and if no router at
// all has run through the return, predecessors are assumed to have spent at the rates of the checkpoints in the copy, for
// maxCopyAge longer than these say.
//
// Constants that are policy are in declarations of their own, apart from timeouts, intervals and bounds of calls. A policy
// constant trades refusals, delays and losses against each other.
package treasurer
