// Package throttler enforces the rate limits and backoff times that servers report
// in their answers.
//
// A rate limit applies to all routers together, so one of them owns it: the
// router with the highest rendezvous weight for the server. A router that knows
// of the limit asks the owner for a permit before it sends a request. The owner
// has a token bucket, which is empty at first. Permits that are not used in
// time expire. A request that gets no permit goes to another server, and the
// router does not ask again for about the time until the next token is due.
//
// If the owner does not reply, the router with the next lower weight acts as
// its backup and grants a part of the limit. The owner and the backup together
// may exceed the limit, but only within the bound that backupShare documents.
// An owner that has just started forwards permit requests to the backup,
// because routers that do not know the owner yet still ask the backup.
//
// Every permit request and reply carries the newest observation of the limit
// and its age. A router that sees in a server's answer that a limit begins,
// changes or ends notifies the owner and the backup. The owner notifies all
// others when a limit begins or ends, and of any change that it has seen
// itself. A server whose limit is zero still gets a request from time to time,
// because its answer is the only sign that the limit has ended.
//
// A backoff time, for which a server asks to get no requests, applies only to
// the router that received the answer.
//
// Limits and Backoffs make the decisions. They use neither a clock nor the
// network: Throttler passes them the time, and exchanges messages with the
// other routers.
package throttler
