// Package receiver reads responses to HTTP calls, however large they are and however slow the network is.
//
// A timeout for a whole response would make large responses fail on slow
// networks with every retry, each time after most of the data has arrived.
// Therefore the limits are on the time until a response begins and on the pauses
// within it: a response that keeps arriving is not canceled.
package receiver
