// Package tracker decides which upstreams may get new work.
//
// An upstream counts as leaving as soon as any one source says so: the instance list, its sidecar, or silence on the link.
// The list lags and can be unavailable, so it never makes a leaving upstream usable again.
package tracker
