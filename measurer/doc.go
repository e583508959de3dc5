// Package measurer collects the metrics of a role in bounded memory.
//
// A role is a function of a process, such as router or sidecar. Each role has
// its own map of expvar counters, so that those of several roles in one process
// stay separate. A histogram has a bounded number of labels; values with further
// labels are recorded under one common label.
package measurer
