// Package connector reaches the platform and the upstreams over HTTP.
//
// It distinguishes calls that certainly had no effect from calls that may have had one, for example because their answer was
// lost: only the former can be repeated without risk.
package connector
