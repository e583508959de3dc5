// Package messenger carries calls between routers.
//
// A call is an HTTP POST request with a CBOR body; connections are kept for reuse. The caller's context bounds it, so that an
// unreachable router delays the caller no longer than that. There are also limits on the time until an answer begins and on
// pauses within it, but not on the total time of an answer that keeps arriving.
package messenger
