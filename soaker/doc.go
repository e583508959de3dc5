// Package soaker runs routers as processes of their own under faults drawn from a seed, and checks every promise from
// outside.
//
// The row store and the servers are the emulator's, in the soak's own process; the links from callers and to the store
// go through proxies that cut, delay, slow and reset. What is checked is what callers, servers and operator saw. A
// check leaves something out only where the record of disturbances shows that it may happen, and says so beside it.
package soaker
