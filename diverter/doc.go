// Package diverter sends the callers of an overloaded availability zone to other
// zones for a time.
//
// A load balancer that sends callers to the routers of their own zone leaves a
// zone only if none of the zone's routers is ready. Package rotator takes single
// routers out of rotation, at most half of a zone. It cannot help a zone whose
// routers are all overloaded. This package takes all routers of such a zone out of
// rotation at the same time, which is a diversion. They go on serving the requests
// that reach them, but their answers close the connections.
//
// Each router reports its load to the coordinator of its zone, and to a backup if
// the coordinator does not reply soon. A coordinator to which a majority of the
// zone's routers report proposes a diversion if the zone is overloaded and gets
// many more requests per router than the other zones. It asks the other zones'
// coordinators for their consent. A zone consents to the diversion of one zone
// only, and not while it is itself overloaded or diverted. All other zones must
// consent, except one that cannot be reached; so two zones are never diverted at
// the same time. The replies to the reports contain the decision. A diversion ends
// by itself, and earlier if other zones become overloaded.
//
// The types diversion, consents, allegiance, reports, plan and ballot make the
// decisions. They use neither a clock nor the network: Diverter passes them the
// time, and exchanges messages with the other routers.
package diverter
