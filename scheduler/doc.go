// Package scheduler chooses engines by the load that all routers together cause.
//
// The engines of a pool are divided into groups. One router, the owner of a
// group, gets a query for each run of the group from any router, and reports of
// how far the runs have progressed. Engines makes the decisions of an owner. It
// knows each run at each engine of the group, and from them the engines' pending
// prefill, running streams, memory, cached prompt parts and prefill speeds. Each
// choice reserves the engine for the run, so that the next choice takes it into
// account. Costs are those of package chooser, which a router uses for choices
// by its own observations alone.
//
// While the engines of a group are contended, the owner compares how many tokens
// each workspace uses with its max-min fair share. Runs of a workspace far above
// it get a level, by which they wait behind others of the same rank.
//
// What a sender reports is removed when it has sent nothing for 3 s, when the
// time of a run is over, and when an engine restarts. Nothing here decides
// whether a request may run: if an owner knows only a part of the load, its
// choices are worse, but no request runs twice.
//
// Engines uses neither a clock nor the network, and is not safe for concurrent
// use.
package scheduler
