// Package forwarder serves opaque requests: their bytes pass between a caller and
// a server unread, and only what the caller declares about them is known.
//
// One exchange carries one request: it finds the route and the workspace, takes
// money for the most that the request may consume, chooses a server, and relays
// the answer. What every attempt may have done is kept as a fate, because a
// refusal that says "not run" is a promise.
package forwarder
