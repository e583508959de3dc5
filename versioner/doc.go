// Package versioner keeps by which software version of a server each stream was begun, so that any router can continue it there.
//
// A caller that resumes a stream names the attempt that began it, and reaches another router than before. Before the first event of a
// stream goes to its caller, the router that serves it records the stream's version at a few other routers, its keepers, which are
// ranked by a hash of the attempt's ID. The router at which the stream is resumed asks the keepers. Streams are not kept in the store, so
// that they are resumed while it is away.
//
// While a pool is settled on one version, because its servers have had no other for longer than any stream lasts, nothing is sent: a
// stream that no keeper knows was begun at that version. A router knows this only as long as it reads the servers' table and the
// configuration. Once it no longer does, or servers of another version come, it records the streams that it has begun since. The store
// has which versions each pool has had, and when requests were last moved from or to it by the configuration, so that a router knows it
// soon after it has started. A stream whose version cannot be told in either way is not resumed.
//
// That a pool is settled is thus a lease of maxReadingAge. A router that cannot make a stream of a new version known to others holds
// back its first event until these leases have ended.
//
// If all routers end at once, no keeper is left. So each router also writes to the store, at intervals, which streams it has begun in
// pools with servers of several versions: one row a router, whatever the number of streams. A resumption reads these rows if no router
// knows the version.
//
// Notes, Ledger and History decide without clock or network, and Versioner carries out.
package versioner
