// Package sealer decides which runs a sidecar accepts, and keeps account of what they cost.
//
// All requests to an upstream go through its sidecar. So a run that this
// package refuses certainly did not run, and its totals are the true cost of
// each grant at that upstream. A sealed incarnation can start no more runs.
// Answers are kept in bounded memory, so that a caller whose router crashed can
// get the answer of the same run through another router.
package sealer
