// Package coordinator shares the load of model engines between routers, so that each request is sent to an engine that is free of
// the requests of other routers too.
//
// The engines of a pool form groups. Each group has an owner and a backup, the first two routers by rendezvous weight. Routers
// report the progress of their runs to the owner, and query it for the engine of each new run. The owner chooses by the load that
// all routers together cause (see Engines), and reserves the run there. If the owner does not reply in time, the router chooses
// by its own observations, so the worst case is that choice, delayed by queryTimeout.
//
// There is one type of message. It carries reports and at most one query. Reports state how far a run has progressed, so messages
// may be lost, repeated or reordered. A report that was not acknowledged is sent again. A receiver that does not know the sender
// requests a full resync, which lists all open runs of the sender.
//
// The decisions use neither a clock nor the network: Gate decides whether a router sends queries at all, Owners which router it
// sends messages to, Outbox which reports, and Readiness whether an owner knows enough to choose. Coordinator passes them the
// time, and exchanges the messages.
//
// Nothing here decides whether a request may run. While coordination does not apply to a deployment, no message is sent and
// nothing is recorded.
package coordinator
