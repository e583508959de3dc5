// Package sender carries requests to servers over kept connections.
//
// It speaks HTTP/1.1 itself, because the standard transport repeats requests on
// its own when a kept connection breaks and hands an extra answer to the next
// request. Here every failure says whether the request can have reached the
// server, and a connection on which anything was odd is never used again.
package sender
