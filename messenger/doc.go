// Package messenger carries calls between routers.
//
// Every call is one CBOR body over a persistent HTTP connection. The caller's context bounds it, so that an unreachable
// router delays the caller no longer than that. If an answer may be large, only the time until it begins is bounded.
package messenger
