// Package starter builds the processes of the system from their settings and runs them, one by one or as a fleet on loopback.
//
// Routers and sidecars are assembled by google/wire. A RouterDaemon runs one incarnation of its router after the other. If an
// incarnation finds that another router has fenced it, the daemon starts the next one.
//
// A GatewayDaemon is a router without sidecars: it connects to servers directly and keeps its durable state in a row store.
package starter
