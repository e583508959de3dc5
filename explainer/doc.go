// Package explainer records the decisions made about each request.
//
// A trace contains the workspace, the configuration revision, the holds, the
// candidates, the attempts and the bill. It contains no secret and no prompt
// text. Memory is bounded: old traces are dropped from it and can be found in
// the object store, to which traces are written in batches.
package explainer
