// Package connector reaches the platform and the upstreams over HTTP.
//
// It distinguishes calls that certainly had no effect from calls whose answer was lost, because all its callers depend on
// that difference.
package connector
