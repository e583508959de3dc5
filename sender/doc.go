// Package sender sends requests to servers over persistent connections.
//
// It implements HTTP/1.1 itself because http.Transport has two disadvantages. It retries a request on its own when a reused
// connection breaks. If a server sends an unexpected extra answer, http.Transport may return it as the answer to the next
// request. In this package, an Error reports whether the request may have reached the server, and a connection on which anything
// unexpected happened is not reused.
//
// An answer is evidence of one sending of its request: a connection is used for a request only if nothing that was sent on it before can
// have caused an answer that may be taken for the answer to this request.
package sender
