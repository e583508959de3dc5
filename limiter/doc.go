// Package limiter decides which requests start now, which wait, and which are
// refused.
//
// The rate and concurrency limits of a contract refuse a request at once and
// tell the caller when to retry. Work for which no upstream has capacity waits
// in bounded queues. They serve the interactive class first, are fair between
// workspaces, and give each entry a deadline.
package limiter
