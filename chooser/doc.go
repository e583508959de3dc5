// Package chooser decides which upstream runs a request.
//
// Chooser selects among upstreams with sidecars, which report their load. Its
// forecast policy selects the upstream with the lowest expected time to the first
// token, computed from the router's own requests in flight, the delayed load
// reports corrected by the requests sent since, and the prefill time that a cached
// prefix saves. Cache reports are hints that expire, so a wrong one costs little.
// The round-robin and least-in-flight policies are baselines for comparison.
//
// Servers selects among servers without sidecars, using only the router's own
// observations.
package chooser
