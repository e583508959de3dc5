// Package soaker runs routers as separate processes under faults that are drawn from a seed, and checks from outside that the
// system keeps its promises, which are listed in checks.go.
//
// The row store and the servers are those of package emulator and run in the soak's own process. The connections from callers and
// to the store go through proxies that cut, delay, slow down and reset them. The checks use what callers, servers and the
// operator saw. Faults and the lack of processor time (starvation) are recorded as disturbances of the routers, the servers or
// the store. A check ignores an observation only if the records show that it is allowed, and a comment there says why.
package soaker
