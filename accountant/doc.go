// Package accountant summarizes the structured logs of a fleet of gateways: where requests and tokens went.
//
// It reads key=value lines of any number of routers and joins them by request id. It sums up the ends of requests by cause, money
// by workspace, failed attempts by server, and the state that routers logged over time. Lines are read one at a time. The memory
// needed grows with the number of different names in the lines, of time buckets and of joined requests. Only the number of joined
// requests is limited. The lines of one router are expected in chronological order.
package accountant
