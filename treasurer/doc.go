// Package treasurer keeps prepaid budgets on the row store for a router without
// a disk, which may die, freeze or be cut off at any moment.
//
// A workspace's row holds what is closed and what each router's incarnation has
// been granted, and never more in sum than what is prepaid. Spending from a grant
// needs no store, so a cut refuses nobody while the grant lasts. What would make
// a grant costly is a router that dies: nobody can tell what it had spent. So
// each router also keeps a book, one row of its own, with a promise for each
// workspace: it has taken so much, and until the book's next write it takes at
// most a burst more, or a rate for each second of silence, of most of which other
// routers, its witnesses, hear first. The next incarnation on the instance closes
// its predecessor's grants at what the witnesses remember, else at what the
// promise allows, and the rest goes back to the workspace.
//
// Purse decides and Treasurer carries out: the first reads no clock and opens no
// connection, so that a whole fleet is tested in one goroutine.
//
// # From prepaid to settled
//
// This is the way of one token, with the functions and rows that it passes. The
// rows are in rows.go: an Account for each workspace in masticway_accounts, a
// Book for each instance in masticway_books, and a Presence for each router in
// masticway_routers.
//
// Start. Treasurer.Run first takes over the instance's book (begin.go): tryTakeOver
// reads the row, Purse.Begin makes the new one with Book.succeeded, and
// Purse.Began notes that it is written. Purse.Plan asks nothing of the store
// before that, so there is no grant without a book.
//
// Prepaid. The configuration says what a workspace has paid for.
// Treasurer.Configure gives it to Purse.Configure, which keeps the amount and the
// configuration's version for a metered workspace. Nothing is written yet: the
// next change of a grant brings a newer version's amount into the Account
// (account.newest).
//
// Asked for. A request calls Treasurer.Hold with the most that it may use.
// Purse.Hold (holds.go) counts it as demand (account.observe), queues it, and
// calls serve, whose decide answers it at once if the router's own money and its
// loans cover it. How much of its own money the router may take is
// Purse.admissible: its grant while the store answers in time, else also what
// the promises allow. If there is too little, Treasurer.turn does what the purse
// wants done: steps at the store (Plan), loans, and statements to witnesses.
//
// Promised. Somebody waits for a workspace that the book does not name, so the
// book is due (isCheckpointDue in plan.go). writeCheckpoint puts in a Promise: Taken, Burst,
// and a Rate with its bounds Alone and Ahead. Treasurer.step sends the write, and
// Purse.Done takes its outcome (outcome.go): with completeCheckpoint, kept makes this
// promise the only one in force. A write whose outcome is unknown leaves both its
// own promise and the earlier one in force, and the lower one counts
// (minLimit). Purse.opened now holds for the workspace; until then its grant
// does not grow, so that a successor finds every grant.
//
// Granted, at a holder. Not every router keeps money of every workspace in hand:
// order (holders.go) ranks routers by rendezvous hash, zone by zone, and only the
// first few of them are the workspace's holders, which the book names unasked.
// They draw ahead of demand; all others borrow (see Lent). A thin budget has
// fewer holders, down to one. Plan has the workspace's part read if its row is
// not known (Purse.looked takes the answer). Purse.change says by how much the
// grant should grow, for the requests that wait and for the reserve of reserve
// (holders.go), and changeGrant writes the Account.WithGrant, expecting the version
// that was seen. On success Purse.changed takes the new row, on a conflict Done
// takes the row that came with it; either way learn sets what this incarnation is
// granted.
// A write without an answer leaves the account in doubt (failed) until learn sees
// a newer row; what it would have returned is not spent meanwhile
// (account.usable). What other routers do to the rows comes by Treasurer.follow
// (watch.go) to Purse.Learn.
//
// Held. serve adds the token to the account's taken and answers VerdictHeld. It
// answers VerdictExhausted if a fresh look at the row shows that the need exceeds
// what is left and in hand, though not in a router's first startupGrace, when
// grants of predecessors may still be open; and VerdictUnreachable if there may
// be money that cannot be had in time.
//
// Lent, at all other routers. The token comes from a holder (loans.go and
// lending.go). Purse.Borrowing asks for it at once where this router is no holder
// (delegated); a holder asks when somebody has waited for the store for a while,
// or when the row has too little left (beyond). Purse.lenders names the holders,
// with each question another one first. Treasurer.borrow asks one after the
// other; where nobody answers, this router draws from the store itself for a
// moment. At the
// lender, Treasurer.Lend holds the token (Purse.Lend), waits until it is cleared,
// and hands it over (Purse.Lent): it stays taken and cleared in the lender's
// grant. Here Borrowed keeps it as a Loan, and serve takes it.
// Unused, it goes back by Repayments, Treasurer.repay and, at the lender,
// Purse.Repaid; where the lender's answer did not arrive, Treasurer.cancelRequest has it
// take back whatever it lent (borrowers.go).
//
// Cleared. The upstream has answered, and before any of the answer goes to the
// caller, Treasurer.Clear waits for Purse.clearHolds: what is cleared of the
// router's own money may not exceed Purse.promised. A book is due when more is
// taken than the promises cover, so usually the next write opens the gate. While
// the store is silent the promise's rate does (Promise.bound): a part of it alone
// (Promise.unwitnessed), the rest as far as most of the book's witnesses have been
// told (witness.go): Purse.Statements says what to tell, Treasurer.testify sends
// it to other routers, whose Purse.Testified remembers it, and Purse.Witnessed
// counts who has heard.
//
// Used. Treasurer.Settle ends the hold with what was used of it. held.settle
// counts loans as used first and gives the rest back. The used token stays in
// taken and cleared, and so in the grant, or in the lender's; no row changes for
// it, and the book's next Promise counts it in Taken. A grant that shrinks
// (change is negative) returns free money only.
//
// Closed. A router that ends calls Treasurer.Close: free money and loans go back,
// and the book of Purse.Final promises no more than what is taken. One that dies
// leaves the promises that it had. In both cases the instance's next incarnation
// finds them: Book.succeeded lists an Ended with the most that may have been
// spent, what of that needed no witness, and the witnesses.
// closePredecessors then settles: Treasurer.recall (testimony.go) has Ended.Known
// combine what was written with what the witnesses remember, or take the
// promise's bound if too few of them answer, and closeGrant writes CloseGrant's
// row, in which Account.WithClosed ends the grant, adds what counts as spent to
// Closed, and leaves the rest to Account.Left, for anybody. The token is settled:
// it is in Closed. Purse.Closed drops the Ended from the next book. A dead
// incarnation's late write meets a newer version and comes to nothing; one that
// was only frozen learns from the conflict at its book that it has a successor
// (resolveCheckpoint), and Treasurer.fault ends its handing out of money.
//
// Each file's constants that are policy, which trade refusals, lateness and
// losses against each other, stand apart from those that are mechanical.
package treasurer
