// Package masticway defines the interfaces to external systems and the immutable
// values that are passed between the packages of the fleet.
//
// The implementations of the interfaces are in subpackages, so that packages with
// decision logic depend on this package only and do no network I/O.
//
// # Terms
//
// These terms are used in all packages:
//
//   - router: a process that receives the requests of callers and sends them to upstreams
//   - upstream: a model engine or a plain service; called server if it registers itself in the row store
//   - sidecar: a process beside an upstream, through which routers send requests to it
//   - instance: a machine of the fleet, as listed by the platform
//   - incarnation: one run of a router, a sidecar or a server, from its start to its end
//   - workspace: a customer, with a contract or account that says what its requests may use
//   - budget: prepaid money or tokens, from which the requests of one or more workspaces are paid
//   - grant: a part of a budget that one incarnation of a router may spend
//   - draw: the move of money from a budget into a grant
//   - hold: a part of a grant that is reserved for the cost of one request, until that cost is known
//   - keeper: the router that draws and holds the money of a budget for all routers of a region
//   - fenced, sealed: said of an incarnation of a router that the other processes treat as ended, so that it can no longer
//     spend money
//   - rendezvous weight: a hash of a key and a router; the routers with the highest weights are responsible for the key, so
//     all routers that know the same routers agree on them
//   - suspect: a request during which servers crashed, so that it may be the cause
//   - quarantine: the way in which a suspect runs, once at a time and on a server on which no other suspect runs
//   - cold: said of a server that is slow, usually after its start
//   - part: a partition of a table of the row store; the rows of one part can be changed together
package masticway
