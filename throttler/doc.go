// Package throttler enforces the rate limits and backoff times that servers report
// in their answers.
//
// A rate limit applies to all routers together, so one of them owns it: the first
// by rendezvous hash of the server. A router that knows of the limit asks the
// owner for a permit before it sends a request. The owner has a token bucket,
// which is empty at first. Permits that are not used in time expire. A request
// that gets no permit goes to another server, and the router does not ask again
// before the next token is due.
//
// If the owner does not reply, the next router by the same hash acts as its backup
// and grants a part of the limit, so that both together stay within what the
// limit's window allows. An owner that has just started forwards permit requests
// to the backup, because routers that do not know the owner yet still ask the
// backup.
//
// Every permit request and reply carries the newest observation of the limit and
// its age. A router that observes that a limit begins, changes or ends notifies
// the owner, and the owner notifies all others of the begin and the end. A server
// whose limit is zero still gets a request from time to time, because its answer
// is the only sign that the limit has ended.
//
// A backoff time applies only to the router that the server reported it to.
//
// Limits and Backoffs make the decisions and use neither a clock nor the network.
// Throttler provides both.
package throttler
