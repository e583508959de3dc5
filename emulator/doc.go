// Package emulator emulates the platform and the upstreams.
//
// It is for development, tests and measurements only. The emulated platform,
// engines and plain services have fault injection that can be switched by HTTP
// calls, so that any test or person can use it. They count the work that they
// did, so that guarantees can be verified independently of the routers.
package emulator
