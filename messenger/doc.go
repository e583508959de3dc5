// Package messenger carries calls between routers.
//
// Every call is one CBOR body over a kept HTTP connection, and its caller's context
// bounds it, so that a router behind a cut costs no more than that.
package messenger
