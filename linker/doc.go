// Package linker carries typed messages between the fleet's processes.
//
// A link is a WebSocket connection that carries messages encoded in CBOR. Both
// ends prove that they have the fleet key before the first message. Queues are
// bounded: the link of a peer that does not keep up is closed, and the peer has
// to reconnect, so that a slow peer does not use up memory.
package linker
