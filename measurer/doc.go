// Package measurer collects the metrics of a role in bounded memory.
//
// Counters are expvar values in a map of their own for each role, so that several
// roles in one process stay apart. A histogram has a bounded number of labels;
// the labels that come later share one.
package measurer
