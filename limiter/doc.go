// Package limiter decides which requests start now, which wait, and which are refused.
//
// The rate and concurrency limits of a contract refuse a request at once and report when to retry. Requests for which no upstream
// has capacity wait in bounded queues until their deadlines. The queues serve the interactive class first, with a limit that
// prevents the starvation of batch requests, and are fair between workspaces.
package limiter
