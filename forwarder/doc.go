// Package forwarder serves opaque requests. It passes the bytes between a
// caller and a server without interpreting them, and uses only the request line
// and what the caller declares about the request in its headers.
//
// An exchange carries one request. It finds the route and the workspace,
// reserves budget for the most that the request may consume, chooses a server,
// and relays the answer. It records for every attempt whether the request may
// have run, because a refusal that reports "not run" must be true: the caller
// may rely on it to send a non-repeatable request again.
package forwarder
