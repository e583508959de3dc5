// Package chooser decides which upstream or server runs a request.
//
// Chooser selects among upstreams with sidecars, which report their load. Under
// its forecast policy it selects the upstream with the lowest expected time to
// the first token. This time is computed from the load reports, which are
// delayed, from the router's own requests in flight, and from the prefill time
// that a cached prefix saves. Which prefixes are cached is only known from hints:
// the upstreams' reports and the requests that the router has sent. Hints expire,
// and count less at an upstream where they were often wrong. The round-robin and
// least-in-flight policies are baselines for comparison.
//
// Servers selects among servers without sidecars, using only the router's own
// observations.
package chooser
