// Package receiver reads responses to HTTP calls, however large they are and however slow the network is.
//
// With a timeout for the whole response, a large response on a slow network would
// fail at every retry, each time after most of the data has arrived. Therefore
// this package limits the time until a response begins and the pauses within it.
// A response that keeps arriving at a minimum rate is not canceled.
package receiver
