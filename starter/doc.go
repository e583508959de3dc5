// Package starter builds the processes of the system from their settings and runs them, one by one or as a fleet on loopback.
//
// Routers and sidecars are assembled by google/wire. A router daemon outlives the incarnations of its router: if one finds that
// it has been fenced, the daemon starts the next one.
package starter
