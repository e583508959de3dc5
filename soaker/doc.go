// Package soaker runs routers as separate processes under faults that are drawn from a seed, and checks every promise of the
// system from outside.
//
// The row store and the servers are those of package emulator and run in the soak's own process. The connections from callers
// and to the store go through proxies that cut, delay, slow down and reset them. The checks use what callers, servers and the
// operator saw. A check ignores an observation only if the record of disturbances shows that it is allowed, and a comment there
// says why.
package soaker
