// Package estimator works out the capacity page from measured slopes.
//
// The page in docs is written by it, and a test reads the slopes back from the
// page and recomputes every sum, so that the page cannot drift.
package estimator
