// Package forwarder serves opaque requests. It passes request bodies to servers without interpreting them. Of a request it uses
// only the request line, the host and what the caller declares in the headers. Of an answer it uses the status and headers, and
// the event boundaries and IDs if it is a stream.
//
// An exchange carries one request. The forwarder finds its route, workspace and pool and reads its body. If the request declares
// its tokens and its workspace has a budget, the exchange reserves budget for the most that the request may consume. It then
// chooses a server and relays the answer. It records for every attempt whether the request may have run, because a refusal that
// reports "not run" must be true: the caller may rely on it to send a non-repeatable request again.
//
// Terms:
//   - allowance: the limit on this router's retries to a pool (see retrier.Allowance)
//   - candidate: the server to which a request may be handed over
//   - coordinator: chooses engines by the load that all routers cause, where this applies (see masticway.EngineCoordinator)
//   - fate: whether a request ran at a server: "ran", "not run" or "unknown"
//   - handover: the replacement of a silent server by another one during an attempt (see handoverState)
//   - hold: a reservation of prepaid tokens for one request, until its settlement (see Budgets)
//   - permit: the permission to send one request to a server with a rate limit (see masticway.Throttler)
//   - rotation: the set of routers to which the load balancer sends new connections (see masticway.Rotation)
//   - run: the execution of a request by a server
//   - snapshot: the configuration and the servers as this router knows them (see follower.Snapshot)
//   - suspect: a request under which servers crashed and which may be the cause. It runs in quarantine: one run at a time, at a
//     server where no other suspect runs (see masticway.Examiner).
package forwarder
