// Package sharer lets the routers of an availability zone watch a table of the row
// store through a few of them.
//
// In a table in which every server writes each of its heartbeats, nearly all
// changes are irrelevant: only a number increases. If each router watched it,
// the traffic of the store would grow with the number of routers times the
// number of servers. Instead, a few routers of each zone, its readers, watch
// such a table themselves, and the others ask them for the relevant changes:
// those that change the row's Projection. All versions are those of the store,
// so a router can continue from any version, with or without a reader.
//
// A router watches the table itself while this uses little of its bandwidth,
// and whenever no reader replies in time with recent data. A reader that
// crashes, hangs, is cut off or lags behind is not asked again for a while.
package sharer
