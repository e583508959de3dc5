// Package accountant tells from the structured logs of a fleet of gateways where requests and tokens went.
//
// It reads key=value lines of any number of routers, joins them by request id, and sums up ends by cause, money by
// workspace, failed attempts by server, and what routers believed over time. Lines are read one by one; what is kept
// grows with the names in them, the buckets of time and the ids that are joined, which are bounded. The lines of one
// router are expected in the order of time.
package accountant
