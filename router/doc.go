// Package router implements the fleet's entry process: it accepts requests from
// callers and operators, admits and routes them, relays answers and holds money
// for them.
//
// The package does the input and output. Decisions are made by the packages
// keeper, limiter, chooser, retrier, tracker, recoverer and configurer. A Router
// is one incarnation of a router. Another router seals it if it seems to have
// crashed. A sealed incarnation can draw no money, and its owner must start a new
// incarnation.
//
// Terms for money:
//
//   - Grant: money of a budget that one router incarnation, its payer, has drawn
//     from the table.
//   - Move: a transfer of money between a budget and a grant in the table.
//   - Hold: the part of a grant that is reserved for one request. Settling the
//     hold charges the cost of the request to the grant and frees the rest.
//   - Keeper of a budget: the router of a region that draws money of the budget
//     and gives holds to all routers of the region.
//   - Links row: the row in the table that lists the sidecars at which a router
//     incarnation's money may be used. To register a sidecar is to add it.
//   - Lease row: the row in the table that a router renews at intervals while it is
//     up.
//   - Challenge: a row that asks a silent router to renew its lease at once.
//
// Terms for requests:
//
//   - Identity: a workspace and an idempotency key. Requests with one identity
//     get the answer of one run if possible.
//   - Exchange: the processing of one request by a router. It makes one or more
//     attempts.
//   - Run: the execution of one attempt at a sidecar.
//   - Fate: whether an upstream ran a request or an attempt: it did (ran), did not
//     (not run), or may have (unknown).
//   - Pool: the upstreams of one model or one service.
//   - Slot: the place for one request in flight at an upstream.
//   - Peer: another router of the region.
package router
