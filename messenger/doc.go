// Package messenger carries calls between routers.
//
// Every call is one CBOR body over a kept HTTP connection. Its caller's context bounds
// it, so that a router behind a cut costs no more than that; an answer that may be
// large is bounded until it begins.
package messenger
