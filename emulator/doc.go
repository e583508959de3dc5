// Package emulator emulates the platform and the upstreams.
//
// It is for development, tests and measurements only. Two environments are emulated. The first has a platform with a table, an
// object store and an instance list, model engines and plain services. Their faults can be switched by HTTP calls, so that any
// test or person can use them; engines and services count the work that they did. The second is the users' platform, with a row
// store and opaque servers: servers whose code is not ours and that only speak the users' protocol. Its faults are set by Go
// calls, and a log records what the servers ran. So the promises of the system can be verified independently of the routers.
package emulator
