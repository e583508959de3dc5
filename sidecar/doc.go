// Package sidecar implements the process that runs beside one upstream instance.
//
// It carries out the decisions of package sealer: it serves links, runs requests
// at the upstream, verifies routers' incarnations in the table and reports load.
// All requests to the upstream pass through it.
package sidecar
