// Package linker carries typed messages between the fleet's processes.
//
// A link is a WebSocket connection that carries messages encoded in CBOR. Both
// ends prove that they have the fleet key before the first message. The queue of
// messages to a peer is bounded: if the peer does not keep up, the link is closed
// and has to be established again, so that a slow peer does not use up memory.
package linker
