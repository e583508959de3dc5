// Package sealer decides which runs a sidecar accepts, and records what they cost.
//
// A run is one attempt to execute a request at the upstream. A router sends a
// dispatch to start it and pays for it from a grant, which may be that of
// another router. All requests to an upstream go through its sidecar. Therefore
// a refused dispatch certainly did not run, and the sidecar's totals are the true
// cost of each grant's finished runs at that upstream.
//
// If a router seems to have failed, its incarnation is sealed, that is, fenced at
// the sidecar: it can start no more runs, and its cost can be settled.
//
// Answers are kept in bounded memory for a limited time, so that a caller whose
// router crashed can get the answer of the same run through another router.
//
// Terms of this package:
//   - Payer: the router incarnation that the grant of a run belongs to.
//   - Sender: the router incarnation that sent a dispatch.
//   - Links row: an incarnation's row in the table with the sidecars that may
//     run work for it, or the mark that it is sealed.
//   - Verification: the reading of the links row of a payer or sender. A
//     sidecar runs nothing for an incarnation before it has seen in the row
//     that it is not sealed and has this sidecar.
//   - Reader: a router that is sent the answer of a run.
//   - Identity: what requests have in common that are repetitions of each
//     other.
//   - Bound: the maximum cost of a run.
package sealer
