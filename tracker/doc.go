// Package tracker decides which upstreams may get new work.
//
// An upstream gets no new work if the instance list reports it as leaving or ended, or if its sidecar announces a shutdown. It
// also gets none if its link is down or silent, or has been lost too often recently. The list lags and can be unavailable, so it
// never makes a leaving upstream usable again. Only a new incarnation on the same instance gets new work again.
package tracker
