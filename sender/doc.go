// Package sender sends requests to servers over persistent connections.
//
// It implements HTTP/1.1 itself because http.Transport retries a request on its own when a reused connection breaks, and returns
// an unexpected extra answer on a connection as the answer to the next request. Here an Error reports whether the request may
// have reached the server, and a connection on which anything unexpected happened is not reused.
package sender
