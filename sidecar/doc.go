// Package sidecar implements the process that runs beside one upstream instance.
//
// All requests to the upstream pass through it. Package sealer decides which of
// them run; this package carries the decisions out. It serves links from routers,
// runs requests at the upstream, verifies routers' incarnations in the table and
// reports the upstream's load.
package sidecar
