// Package tallier counts how the requests of each workspace end at one router, and logs the counts.
//
// Served requests are logged only in samples, so the lines of single requests don't tell which share of a workspace's requests
// is served. The counts do. They are cumulative for one incarnation of the router, and every line names the incarnation. A line
// that is lost is therefore made up for by the next one, and the sum over all incarnations is exact but for what a crashed
// router had not logged yet, which is at most what ended within Interval.
package tallier
