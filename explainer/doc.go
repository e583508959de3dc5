// Package explainer records the decisions made about each request.
//
// A trace contains the workspace, the configuration revision, the holds, the
// candidates, the attempts and the bill. It contains no secret and no prompt
// text. Traces are written to the object store in batches. Only a limited number
// of recent ones is also kept in memory.
package explainer
